"""Rules of the job table that need no table."""

from trefoilgw.jobs import model
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes

# A task struck for one of these reasons is not sent again.
_FINAL_REASONS = frozenset(
    {
        outcomes.Reason.CANCELLED,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.SIBLING_FAILED,
    }
)

TABLE_FULL = outcomes.Refused(
    outcomes.Reason.OVERLOAD,
    not_run=True,
    detail="the table of keys is full",
    retry_after_s=keys.TICKET_WINDOW_S,
)
NO_SLOT_IN_TIME = outcomes.Refused(
    outcomes.Reason.DEADLINE,
    not_run=True,
    detail="no slot was free before the deadline",
)


def resubmitted(
    record: model.Record, digest: bytes
) -> model.Existing | outcomes.Refused:
    """Returns the answer to a submission whose key has a record."""
    if record.digest != digest:
        return outcomes.Refused(
            outcomes.Reason.KEY_REUSED,
            not_run=record.state is model.State.REFUSED,
            detail="this key was submitted before with another body",
        )
    if isinstance(record, model.Job):
        return model.Existing(record)
    return answer_gone(record)


def answer_gone(
    record: model.Tombstone | model.RefusedKey,
) -> outcomes.Refused:
    """Returns the answer for a job that is not held any longer."""
    if isinstance(record, model.RefusedKey):
        return record.refused
    return outcomes.Refused(
        outcomes.Reason.EXPIRED_KEY,
        not_run=False,
        detail=f"the job ended as {record.state}; its answer is not held "
        "any longer",
    )


def matches(batch: model.Batch, origin: model.Origin) -> bool:
    """Returns whether a message may speak about a batch."""
    return (
        batch.job.id == origin.job
        and batch.agent == origin.agent
        and batch.session == origin.session
    )


def may_retry(job: model.Job, fate: outcomes.NotRun) -> bool:
    """Returns whether a struck task is worth another attempt."""
    return job.abort_reason is None and fate.reason not in _FINAL_REASONS


def reason_of_rest(doomed: outcomes.Reason) -> outcomes.Reason:
    """Returns the reason for tasks that don't start because of the job."""
    if doomed in _FINAL_REASONS:
        return doomed
    return outcomes.Reason.SIBLING_FAILED


def set_fate(job: model.Job, index: int, fate: outcomes.Fate) -> None:
    """Sets the final fate of one task, once."""
    if job.fates[index] is None:
        job.fates[index] = fate
        job.left -= 1


def doom(job: model.Job, reason: outcomes.Reason) -> None:
    """Ends the waiting tasks of a job that can't complete any more."""
    job.abort_reason = job.abort_reason or reason
    for index in job.waiting:
        set_fate(job, index, outcomes.NotRun(reason_of_rest(job.abort_reason)))
    job.waiting = []


def cut(job: model.Job, reason: outcomes.Reason) -> None:
    """Ends all tasks of a job; those at agents are unknown."""
    job.abort_reason = job.abort_reason or reason
    for index in job.waiting:
        set_fate(job, index, outcomes.NotRun(reason))
    job.waiting = []
    for index in range(len(job.fates)):
        set_fate(job, index, outcomes.Unknown(reason))


def slim(job: model.Job) -> None:
    """Frees what an ended job does not need any more."""
    job.payloads = ()
    job.waiting = ()
    job.open_batches = frozenset()
    job.refusing_agents = frozenset()


def end_state(job: model.Job) -> model.State:
    """Returns the state of a job whose tasks all have a fate."""
    complete = all(isinstance(f, outcomes.Completed) for f in job.fates)
    return model.State.COMPLETE if complete else model.State.FAILED


def all_as(
    batch: model.Batch, fate: outcomes.Fate
) -> list[tuple[int, outcomes.Fate]]:
    """Returns one fate for all tasks of a batch without an outcome."""
    return [(index, fate) for index in sorted(batch.remaining)]
