"""Carries out what the job table decided."""

from trefoilgw.entry import admit
from trefoilgw.entry import host as hosts
from trefoilgw.jobs import model as jobs
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.retries import core as retries


def follow(host: hosts.Host, result, now_s: float) -> None:
    """Carries out one result of the job table.

    Raises:
        TypeError: The result is of an unknown type.
    """
    match result:
        case None:
            return
        case jobs.JobEnded(job=job, strike=strike):
            _forget(host, job)
            _strike(host, strike, job.abort_reason or outcomes.Reason.CANCELLED)
            host.counts.ended(job.state)
            host.wake(job.id)
        case jobs.StrikeBatches(job=job, batches=batches, reason=reason):
            _forget(host, job)
            _strike(host, batches, reason)
        case jobs.Cancelled(job=job, ended=True):
            follow(host, jobs.JobEnded(job), now_s)
        case jobs.Cancelled(job=job, batches=batches):
            _forget(host, job)
            _strike(host, batches, outcomes.Reason.CANCELLED)
        case jobs.RetryTasks(job=job, indices=indices):
            _retry(host, job, indices, now_s)
        case _:
            raise TypeError(f"unknown result {result!r}")


def offer_later(host: hosts.Host, job: jobs.Job, delay_s: float) -> None:
    """Offers the waiting tasks of a job to admission after a delay."""
    host.schedule(delay_s, lambda: _offer(host, job))


def _offer(host: hosts.Host, job: jobs.Job) -> None:
    """Offers the waiting tasks of a job to admission."""
    now_s = host.read_clock()
    if job.ended or not job.waiting:
        return
    refused = admit.offer(host, job, now_s, retry=True)
    if refused is not None:
        follow(host, host.table.withdraw(job, refused, now_s), now_s)
    host.dispatch_waiting()


def _retry(
    host: hosts.Host, job: jobs.Job, indices: tuple[int, ...], now_s: float
) -> None:
    """Sends refused tasks again, if the customer's retry budget allows."""
    if not host.budget.allow(job.customer, now_s, len(indices)):
        result = host.table.abandon_tasks(
            job, indices, outcomes.Reason.CAPACITY, now_s
        )
        follow(host, result, now_s)
        return
    host.counts.tasks_retried += len(indices)
    delay_s = retries.backoff_s(job.attempts, host.rng)
    job.attempts += 1
    offer_later(host, job, delay_s)


def _forget(host: hosts.Host, job: jobs.Job) -> None:
    """Takes a job out of the queue."""
    if host.queued.pop(job.id, None) is not None:
        host.admission.remove(job.id)


def _strike(
    host: hosts.Host,
    batches: tuple[jobs.BatchLocation, ...],
    reason: outcomes.Reason,
) -> None:
    """Asks agents not to start what has not started."""
    by_agent: dict[str, list[int]] = {}
    for target in batches:
        by_agent.setdefault(target.agent, []).append(target.batch)
    for agent, numbers in by_agent.items():
        session = host.agents.get(agent)
        if session is not None:
            host.send(
                session.stream, messages.Strike(tuple(numbers), str(reason))
            )
