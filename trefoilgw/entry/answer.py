"""Filter: builds the caller's answer.

A job has all of its results or has failed; partial results are never returned.
"""

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
    """Sets the reply for the job of the exchange."""
    if exchange.job is not None:
        exchange.reply = render(exchange.job)


def render(job: jobs.Job) -> values.Reply:
    """Returns the answer for a job in its present state."""
    match job.state:
        case jobs.State.RUNNING:
            job.announced = True
            return values.Reply(ACCEPTED, _running_body(job))
        case jobs.State.COMPLETE:
            return values.Reply(OK, _complete_body(job))
        case jobs.State.FAILED:
            return values.Reply(OK, _failed_job_body(job))
        case jobs.State.REFUSED:
            return problems.problem(job.refused)
    raise ValueError(f"unknown state {job.state!r}")


def lost_job_reply(key: str, tasks: int | None) -> values.Reply:
    """Returns the answer for a job whose home entry is lost.

    Args:
        key: Key of the job.
        tasks: Number of its tasks, None if that is not known here.
    """
    reason = outcomes.Reason.HOME_LOST
    fate = outcomes.Unknown(reason)
    fates = [] if tasks is None else [fate] * tasks
    return values.Reply(OK, _failed_body(key, reason, fates))


def _running_body(job: jobs.Job) -> bytes:
    """Returns the body for a running job."""
    fields = {"key": job.key, "state": "running", "tasks": len(job.fates)}
    return json.dumps(fields).encode()


def _complete_body(job: jobs.Job) -> bytes:
    """Returns the body for a complete job, with all results.

    The results are JSON text already.
    """
    results = b",".join(fate.result or b"null" for fate in job.fates)
    head = f'{{"key":"{job.key}","state":"complete","results":['
    return head.encode() + results + b"]}"


def _failed_job_body(job: jobs.Job) -> bytes:
    """Returns the body for a failed job, with fates and without results."""
    return _failed_body(job.key, job.abort_reason, job.fates)


def _failed_body(key: str, reason: outcomes.Reason, fates: list) -> bytes:
    """Returns the body for a failed job from the fates of its tasks."""
    fields = {
        "key": key,
        "state": "failed",
        "reason": str(reason),
        "fates": [
            _render_fate(index, fate) for index, fate in enumerate(fates)
        ],
    }
    return json.dumps(fields).encode()


def _render_fate(index: int, fate: outcomes.Fate) -> dict:
    """Returns the JSON fields for the fate of one task.

    Raises:
        TypeError: The fate is of an unknown type.
    """
    match fate:
        case outcomes.Completed():
            return _fate_fields(index, "completed")
        case outcomes.Failed(reason=reason, detail=detail):
            return _fate_fields(index, "failed", reason, detail)
        case outcomes.NotRun(reason=reason, detail=detail):
            return _fate_fields(index, "not_run", reason, detail)
        case outcomes.Unknown(reason=reason, detail=detail):
            return _fate_fields(index, "unknown", reason, detail)
    raise TypeError(f"not a fate: {fate!r}")


def _fate_fields(
    index: int, fate: str, reason: str = "", detail: str = ""
) -> dict:
    """Returns one element of the list of fates."""
    return {
        "index": index,
        "fate": fate,
        "reason": str(reason),
        "detail": detail,
    }
