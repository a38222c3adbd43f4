"""Filter: creates at most one job per key.

A resubmission gets the job that its key already has, even if a new job would
now be refused. Only this filter knows whether anything ran under a key, so it
decides whether a refusal may say "not run".
"""

import attrs

from trefoilgw.callers import problems
from trefoilgw.callers import values
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.entry import identify
from trefoilgw.jobs import model as jobs
from trefoilgw.outcomes import core as outcomes


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sets the new or existing job, or a refusal as reply."""
    request = exchange.request
    if request is None:
        return
    now_s = host.read_clock()
    match request.action:
        case values.Action.SUBMIT:
            found = _submit(host, exchange, now_s)
        case values.Action.READ:
            found = host.table.find(exchange.key, exchange.customer, now_s)
        case values.Action.CANCEL:
            found = _cancel(host, exchange, now_s)
        case _:
            raise ValueError(f"not an action on a job: {request.action}")
    if isinstance(found, outcomes.Refused):
        exchange.reply = problems.problem(found)
    else:
        exchange.job = found


def _submit(
    host: hosts.Host, exchange: exchanges.Exchange, now_s: float
) -> jobs.Job | outcomes.Refused:
    """Returns the job of a submission, or its refusal."""
    submission = exchange.submission
    digest = submission.digest if submission else b""
    known = host.table.check_key(exchange.key, exchange.customer, digest, now_s)
    refusal = exchange.pending_refusal or (
        identify.LEAVING if host.leaving else None
    )
    match known:
        case jobs.Existing(job=job):
            return job
        case outcomes.Refused():
            # A body that can't be decoded doesn't prove that the key was
            # reused for another submission.
            if submission is None:
                return attrs.evolve(refusal, not_run=False)
            return known
    if refusal is not None:
        return refusal
    kind = exchange.kind
    accepted = host.table.submit(
        exchange.key,
        exchange.customer,
        kind,
        submission.payloads,
        _or_default(submission.deadline_s, kind.deadline_s),
        _or_default(submission.idempotent, kind.idempotent),
        now_s,
        digest,
        announced=bool(exchange.request.key),
    )
    match accepted:
        case jobs.Accepted(job=job):
            exchange.is_new = True
            return job
        case jobs.Existing(job=job):
            return job
    return accepted


def _or_default(value, default):
    """Returns the submitted value, or the default if there is none."""
    return default if value is None else value


def _cancel(
    host: hosts.Host, exchange: exchanges.Exchange, now_s: float
) -> jobs.Job | outcomes.Refused:
    """Cancels a job and returns it, or a refusal."""
    result = host.table.cancel(exchange.key, exchange.customer, now_s)
    if isinstance(result, outcomes.Refused):
        return result
    host.handle_job_event(result, now_s)
    return result.job
