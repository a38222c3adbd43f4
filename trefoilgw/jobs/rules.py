"""Rules for single jobs, records and batches, independent of the table."""

from trefoilgw.jobs import model
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes

# A task that did not run for one of these reasons is not retried.
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


def resubmission_answer(
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
    return record_refusal(record)


def record_refusal(
    record: model.Tombstone | model.RefusedKey,
) -> outcomes.Refused:
    """Returns the refusal for a job whose answer is no longer held."""
    if isinstance(record, model.RefusedKey):
        return record.refused
    return outcomes.Refused(
        outcomes.Reason.EXPIRED_KEY,
        not_run=False,
        detail=f"the job ended as {record.state}; its answer is not held "
        "any longer",
    )


def matches_origin(batch: model.Batch, origin: model.Origin) -> bool:
    """Returns True if a message is accepted as one about a batch.

    Its job, agent and session must be those of the batch.
    """
    return (
        batch.job.id == origin.job
        and batch.agent == origin.agent
        and batch.session == origin.session
    )


def may_retry(job: model.Job, fate: outcomes.NotRun) -> bool:
    """Returns True if a task that did not run may be retried."""
    return job.abort_reason is None and fate.reason not in _FINAL_REASONS


def unsent_reason(abort_reason: outcomes.Reason) -> outcomes.Reason:
    """Returns the reason for unsent tasks of an aborted job."""
    if abort_reason in _FINAL_REASONS:
        return abort_reason
    return outcomes.Reason.SIBLING_FAILED


def set_fate(job: model.Job, index: int, fate: outcomes.Fate) -> None:
    """Sets the final fate of a task unless it has one."""
    if job.fates[index] is None:
        job.fates[index] = fate
        job.open_tasks -= 1


def abort(job: model.Job, reason: outcomes.Reason) -> None:
    """Aborts a job: its waiting tasks become not run."""
    job.abort_reason = job.abort_reason or reason
    for index in job.waiting:
        set_fate(job, index, outcomes.NotRun(unsent_reason(job.abort_reason)))
    job.waiting = []


def end_tasks(job: model.Job, reason: outcomes.Reason) -> None:
    """Sets waiting tasks of a job to not run, other open tasks to unknown."""
    job.abort_reason = job.abort_reason or reason
    for index in job.waiting:
        set_fate(job, index, outcomes.NotRun(reason))
    job.waiting = []
    for index in range(len(job.fates)):
        set_fate(job, index, outcomes.Unknown(reason))


def release_memory(job: model.Job) -> None:
    """Frees data that an ended job no longer needs."""
    job.payloads = ()
    job.waiting = ()
    job.open_batches = frozenset()
    job.refusing_agents = frozenset()


def end_state(job: model.Job) -> model.State:
    """Returns the state of a job whose tasks all have a fate."""
    complete = all(isinstance(f, outcomes.Completed) for f in job.fates)
    return model.State.COMPLETE if complete else model.State.FAILED


def fate_for_all(
    batch: model.Batch, fate: outcomes.Fate
) -> list[tuple[int, outcomes.Fate]]:
    """Pairs each task of a batch without an outcome with the same fate."""
    return [(index, fate) for index in sorted(batch.remaining)]
