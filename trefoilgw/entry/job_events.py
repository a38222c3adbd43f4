"""Applies the events that the job table returns."""

from trefoilgw.entry import admit
from trefoilgw.entry import host as hosts
from trefoilgw.jobs import model as jobs
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.retries import core as retries


def handle(host: hosts.Host, job_event, now_s: float) -> None:
    """Applies one event of the job table.

    Args:
        host: State of this entry.
        job_event: The event; None does nothing.
        now_s: Monotonic time.

    Raises:
        TypeError: The event is of an unknown type.
    """
    match job_event:
        case None:
            return
        case jobs.JobEnded(job=job, strike=strike):
            _dequeue(host, job)
            _send_strikes(
                host, strike, job.abort_reason or outcomes.Reason.CANCELLED
            )
            host.counts.record_ended(job.state)
            host.wake_waiters(job.id)
        case jobs.StrikeBatches(job=job, batches=batches, reason=reason):
            _dequeue(host, job)
            _send_strikes(host, batches, reason)
        case jobs.Canceled(job=job, ended=True):
            handle(host, jobs.JobEnded(job), now_s)
        case jobs.Canceled(job=job, batches=batches):
            _dequeue(host, job)
            _send_strikes(host, batches, outcomes.Reason.CANCELLED)
        case jobs.RetryTasks(job=job, indices=indices):
            _retry_tasks(host, job, indices, now_s)
        case _:
            raise TypeError(f"unknown job event {job_event!r}")


def schedule_offer(host: hosts.Host, job: jobs.Job, delay_s: float) -> None:
    """Schedules an offer of a job's waiting tasks to admission."""
    host.schedule(delay_s, lambda: _offer_waiting(host, job))


def _offer_waiting(host: hosts.Host, job: jobs.Job) -> None:
    """Offers the waiting tasks of a job to admission, or withdraws the job."""
    now_s = host.read_clock()
    if job.ended or not job.waiting:
        return
    refused = admit.offer(host, job, now_s, retry=True)
    if refused is not None:
        handle(host, host.table.withdraw(job, refused, now_s), now_s)
    host.dispatch_waiting()


def _retry_tasks(
    host: hosts.Host, job: jobs.Job, indices: tuple[int, ...], now_s: float
) -> None:
    """Schedules refused tasks again if the customer's retry budget allows it.

    Otherwise the tasks are abandoned.
    """
    if not host.retry_budget.allow(job.customer, now_s, len(indices)):
        result = host.table.abandon_tasks(
            job, indices, outcomes.Reason.CAPACITY, now_s
        )
        handle(host, result, now_s)
        return
    host.counts.tasks_retried += len(indices)
    delay_s = retries.backoff_s(job.attempts, host.rng)
    job.attempts += 1
    schedule_offer(host, job, delay_s)


def _dequeue(host: hosts.Host, job: jobs.Job) -> None:
    """Removes a job from the queue of admission."""
    if host.queued_tasks.pop(job.id, None) is not None:
        host.admission.remove(job.id)


def _send_strikes(
    host: hosts.Host,
    batches: tuple[jobs.BatchLocation, ...],
    reason: outcomes.Reason,
) -> None:
    """Asks agents not to start the tasks of batches that have not started."""
    by_agent: dict[str, list[int]] = {}
    for location in batches:
        by_agent.setdefault(location.agent, []).append(location.batch)
    for agent, numbers in by_agent.items():
        session = host.agents.get(agent)
        if session is not None:
            host.send(
                session.stream, messages.Strike(tuple(numbers), str(reason))
            )
