"""Filter: waits for the outcomes of a job; and takes them as they arrive."""

from trefoilgw.entry import decode
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.entry import lending
from trefoilgw.jobs import model as jobs
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

RUN_TIME_LEAST_S = 1e-4
# An agent gives one of these reasons if it refuses what was sent to it.
_REFUSALS = frozenset(
    {
        outcomes.Reason.AUTHORITY_LOST,
        outcomes.Reason.CAPACITY,
        outcomes.Reason.LEAVING,
        outcomes.Reason.NO_SLOT,
    }
)


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Waits as long as the caller does, if the job still runs."""
    job = exchange.job
    if job is None or job.ended or not exchange.request.wait_s:
        return
    host.wait_for(job.id, exchange.request.wait_s)
    host.read_clock()


def take(host: hosts.Host, session, done: messages.BatchDone) -> None:
    """Takes outcomes and credits that an agent sent.

    The session's credits count whether or not its outcomes still do.
    """
    now_s = host.read_clock()
    agent = session.agent
    batch = host.in_flight.get(done.batch)
    if batch is None or batch.agent != agent:
        host.counts.foreign_messages += 1
    else:
        _learn(host, batch, done, now_s)
    if done.credits:
        host.placement.credits_granted(agent, done.credits)
        lending.lend_owed(host, now_s)
    result = host.table.outcomes(
        done.batch,
        done.outcomes,
        done.final,
        now_s,
        jobs.Origin(done.job, agent, session.number),
    )
    if done.final and done.batch not in host.table.batches.by_number:
        session.acked.append(done.batch)
    host.follow(result, now_s)
    host.dispatch_waiting()


def _learn(
    host: hosts.Host,
    batch: hosts.InFlight,
    done: messages.BatchDone,
    now_s: float,
) -> None:
    """Books the credits of a batch and learns from its outcomes."""
    run_s = []
    refused = 0
    for outcome in done.outcomes:
        match outcome.fate:
            case "completed":
                run_s.append(_sane_s(outcome.run_s))
                host.placement.observe(batch.kind, batch.agent, run_s[-1])
                host.outliers.observe(batch.agent, batch.kind, False, now_s)
            case "failed":
                run_s.append(_sane_s(outcome.run_s))
                host.outliers.observe(batch.agent, batch.kind, True, now_s)
            case "not_run" if outcome.reason in _REFUSALS:
                refused += 1
    if refused and refused == batch.tasks:
        host.counts.waste("refused_dispatch")
        host.counts.waste("refusal")
    batch.left -= len(done.outcomes)
    mean_s = sum(run_s) / len(run_s) if run_s else 0.0
    spare = max(0, batch.credits - max(0, batch.left))
    host.release(done.batch, None if done.final else spare, mean_s, now_s)


def _sane_s(run_s: float) -> float:
    """Returns a run time that estimates can take in.

    A clock or an agent at fault must not spoil them with a zero, a negative
    or an infinite time.
    """
    if RUN_TIME_LEAST_S < run_s < decode.DEADLINE_LIMIT_S:
        return run_s
    return RUN_TIME_LEAST_S
