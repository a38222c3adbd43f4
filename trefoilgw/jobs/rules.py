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
    retry_after_s=keys.WINDOW_S,
)


def resubmitted(
    record: model.Job | model.Tombstone, digest: bytes
) -> model.Existing | outcomes.Refused:
    """Returns the answer to a submission whose key has a record."""
    if record.digest != digest:
        return outcomes.Refused(
            outcomes.Reason.KEY_REUSED,
            not_run=False,
            detail="this key was submitted before with another body",
        )
    if isinstance(record, model.Job):
        return model.Existing(record)
    return answer_gone(record)


def answer_gone(record: model.Tombstone) -> outcomes.Refused:
    """Returns the answer for a job of which only the tombstone is left."""
    return outcomes.Refused(
        outcomes.Reason.EXPIRED_KEY,
        not_run=record.state is model.State.REFUSED,
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
    return job.doomed is None and fate.reason not in _FINAL_REASONS


def reason_of_rest(doomed: outcomes.Reason) -> outcomes.Reason:
    """Returns the reason for tasks that don't start because of the job."""
    if doomed in _FINAL_REASONS:
        return doomed
    return outcomes.Reason.SIBLING_FAILED


def explain(
    job: model.Job, open_batches: tuple[model.BatchTarget, ...], now_s: float
) -> model.Explanation:
    """Returns what is known about a job."""
    reason = job.refused.reason if job.refused else job.doomed or ""
    return model.Explanation(
        key=job.key,
        customer=job.customer,
        state=job.state,
        kind=job.kind.name,
        reason=str(reason),
        age_s=now_s - job.accepted_s,
        deadline_in_s=job.deadline_s - now_s,
        tasks=len(job.fates),
        waiting=len(job.waiting),
        open_batches=open_batches,
        fates=tuple(
            "open" if fate is None else type(fate).__name__.lower()
            for fate in job.fates
        ),
    )


def explain_tombstone(job_id: str, state: model.State) -> model.Explanation:
    """Returns what is known about a job whose answer is gone."""
    customer, _, key = job_id.rpartition(":")
    return model.Explanation(
        key, customer, state, "", "", 0.0, 0.0, 0, 0, (), ()
    )
