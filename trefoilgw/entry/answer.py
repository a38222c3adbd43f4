"""Filter: the caller's answer, whole or failed, never in part."""

import json

from trefoilgw.callers import problems
from trefoilgw.callers import values
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.jobs import model as jobs
from trefoilgw.outcomes import core as outcomes

OK = 200
ACCEPTED = 202


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sets the reply for the job."""
    if exchange.job is not None:
        exchange.reply = render(exchange.job)


def render(job: jobs.Job) -> values.Reply:
    """Returns the answer for a job as it stands."""
    match job.state:
        case jobs.State.RUNNING:
            job.announced = True
            return values.Reply(ACCEPTED, _running(job))
        case jobs.State.COMPLETE:
            return values.Reply(OK, _complete(job))
        case jobs.State.FAILED:
            return values.Reply(OK, _failed(job))
        case jobs.State.REFUSED:
            return problems.problem(job.refused)
    raise ValueError(f"unknown state {job.state!r}")


def lost(key: str, tasks: int | None) -> values.Reply:
    """Returns the answer for a job whose home is lost.

    Args:
        key: Key of the job.
        tasks: How many tasks it has, None if that is not known here.
    """
    reason = outcomes.Reason.HOME_LOST
    fate = outcomes.Unknown(reason)
    fates = [] if tasks is None else [fate] * tasks
    return values.Reply(OK, _failed_body(key, reason, fates))


def _running(job: jobs.Job) -> bytes:
    """Returns the body for a job without an answer."""
    fields = {"key": job.key, "state": "running", "tasks": len(job.fates)}
    return json.dumps(fields).encode()


def _complete(job: jobs.Job) -> bytes:
    """Returns the body with all results, which are JSON text already."""
    results = b",".join(fate.result or b"null" for fate in job.fates)
    head = f'{{"key":"{job.key}","state":"complete","results":['
    return head.encode() + results + b"]}"


def _failed(job: jobs.Job) -> bytes:
    """Returns the body with the fate of each task and no results."""
    return _failed_body(job.key, job.abort_reason, job.fates)


def _failed_body(key: str, reason: outcomes.Reason, fates: list) -> bytes:
    """Returns the body of a failed job."""
    fields = {
        "key": key,
        "state": "failed",
        "reason": str(reason),
        "fates": [_fate(index, fate) for index, fate in enumerate(fates)],
    }
    return json.dumps(fields).encode()


def _fate(index: int, fate: outcomes.Fate) -> dict:
    """Returns the fate of one task for callers."""
    match fate:
        case outcomes.Completed():
            return _row(index, "completed")
        case outcomes.Failed(reason=reason, detail=detail):
            return _row(index, "failed", reason, detail)
        case outcomes.NotRun(reason=reason, detail=detail):
            return _row(index, "not_run", reason, detail)
        case outcomes.Unknown(reason=reason, detail=detail):
            return _row(index, "unknown", reason, detail)
    raise TypeError(f"not a fate: {fate!r}")


def _row(index: int, fate: str, reason: str = "", detail: str = "") -> dict:
    """Returns one row of the list of fates."""
    return {
        "index": index,
        "fate": fate,
        "reason": str(reason),
        "detail": detail,
    }
