"""Description of a job's state at its home, for operators."""

from trefoilgw.jobs import batches
from trefoilgw.jobs import model
from trefoilgw.jobs import records
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes


def explain(
    job_records: records.Records,
    open_batches: batches.OpenBatches,
    job_id: str,
    now_s: float,
) -> model.Explanation | None:
    """Returns the state of a job, or None if there is no record."""
    key = keys.parse_key(job_id.rpartition(":")[2])
    if isinstance(key, outcomes.Refused):
        return None
    match job_records.get(records.period_of(key), job_id):
        case model.Job() as job:
            return _explain_job(job, open_batches.locations(job), now_s)
        case model.Tombstone(state=state) | model.RefusedKey(state=state):
            return _explain_tombstone(job_id, state)
    return None


def _explain_job(
    job: model.Job, open_batches: tuple[model.BatchLocation, ...], now_s: float
) -> model.Explanation:
    """Returns the state of a job that is still held."""
    reason = job.refused.reason if job.refused else job.abort_reason or ""
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
        fates=tuple(_fate_text(fate) for fate in job.fates),
    )


def _fate_text(fate: outcomes.Fate | None) -> str:
    """Returns a fate and its reason as text, as in ``unknown: deadline``."""
    match fate:
        case None:
            return "open"
        case outcomes.Completed():
            return "completed"
        case outcomes.Failed(reason=reason):
            return f"failed: {reason}"
        case outcomes.NotRun(reason=reason):
            return f"not run: {reason}"
        case outcomes.Unknown(reason=reason):
            return f"unknown: {reason}"
    raise TypeError(f"not a fate: {fate!r}")


def _explain_tombstone(job_id: str, state: model.State) -> model.Explanation:
    """Returns the state of a job whose answer is no longer held."""
    customer, _, key = job_id.rpartition(":")
    return model.Explanation(
        key, customer, state, "", "", 0.0, 0.0, 0, 0, (), ()
    )
