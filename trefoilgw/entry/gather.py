"""Filter: waits for the end of a job.

This module also handles the outcomes that agents report.
"""

from trefoilgw.entry import decode
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.entry import lending
from trefoilgw.jobs import model as jobs
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

MIN_RUN_TIME_S = 1e-4
# Reasons for which an agent refuses tasks that were sent to it.
_REFUSAL_REASONS = frozenset(
    {
        outcomes.Reason.AUTHORITY_LOST,
        outcomes.Reason.CAPACITY,
        outcomes.Reason.LEAVING,
        outcomes.Reason.NO_SLOT,
    }
)


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Waits for the end of a running job as long as the caller does."""
    job = exchange.job
    if job is None or job.ended or not exchange.request.wait_s:
        return
    host.wait_for_job(job.id, exchange.request.wait_s)
    host.read_clock()


def handle_batch_done(
    host: hosts.Host, session, done: messages.BatchDone
) -> None:
    """Handles outcomes and credits that an agent sent.

    The credits are added even if the outcomes are no longer accepted.
    """
    now_s = host.read_clock()
    agent = session.agent
    batch = host.in_flight.get(done.batch)
    if batch is None or batch.agent != agent:
        host.counts.foreign_messages += 1
    else:
        _record_outcomes(host, batch, done, now_s)
    if done.credits:
        host.placement.credits_granted(agent, done.credits)
        lending.lend_deferred(host, now_s)
    result = host.table.apply_outcomes(
        done.batch,
        done.outcomes,
        done.final,
        now_s,
        jobs.Origin(done.job, agent, session.number),
    )
    if done.final and done.batch not in host.table.batches.by_number:
        session.pending_acks.append(done.batch)
    host.handle_job_event(result, now_s)
    host.dispatch_waiting()


def _record_outcomes(
    host: hosts.Host,
    batch: hosts.BatchInFlight,
    done: messages.BatchDone,
    now_s: float,
) -> None:
    """Releases credits of a batch and updates the estimates by its outcomes.

    The estimates are run times in placement and failures per agent and kind in
    the outlier detection.
    """
    run_s = []
    refused = 0
    for outcome in done.outcomes:
        match outcome.fate:
            case "completed":
                run_s.append(_plausible_run_time_s(outcome.run_s))
                host.placement.observe(batch.kind, batch.agent, run_s[-1])
                host.outliers.observe(batch.agent, batch.kind, False, now_s)
            case "failed":
                run_s.append(_plausible_run_time_s(outcome.run_s))
                host.outliers.observe(batch.agent, batch.kind, True, now_s)
            case "not_run" if outcome.reason in _REFUSAL_REASONS:
                refused += 1
    if refused and refused == batch.tasks:
        host.counts.record_wasted("refused_dispatch")
        host.counts.record_wasted("refusal")
    batch.tasks_left -= len(done.outcomes)
    mean_s = sum(run_s) / len(run_s) if run_s else 0.0
    released = max(0, batch.credits - max(0, batch.tasks_left))
    host.release_credits(
        done.batch, None if done.final else released, mean_s, now_s
    )


def _plausible_run_time_s(run_s: float) -> float:
    """Returns a run time in seconds that estimates can use.

    A faulty clock or agent must not distort them with a zero, negative or
    infinite time; such a time is replaced by `MIN_RUN_TIME_S`.
    """
    if MIN_RUN_TIME_S < run_s < decode.MAX_DEADLINE_S:
        return run_s
    return MIN_RUN_TIME_S
