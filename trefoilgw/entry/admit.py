"""Filter: offers a new job to admission or refuses it."""

from trefoilgw.admission import work
from trefoilgw.callers import problems
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.jobs import model as jobs
from trefoilgw.outcomes import core as outcomes


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Queues a new job, or withdraws it and sets the refusal as reply."""
    if not exchange.is_new:
        return
    job = exchange.job
    now_s = host.read_clock()
    refused = _refusal(host, job, now_s) or offer(host, job, now_s)
    if refused is None:
        host.retry_budget.record_first_attempts(
            job.customer, now_s, len(job.fates)
        )
        return
    host.handle_job_event(host.table.withdraw(job, refused, now_s), now_s)
    exchange.reply = problems.problem(job.refused)


def offer(
    host: hosts.Host, job: jobs.Job, now_s: float, retry: bool = False
) -> outcomes.Refused | None:
    """Offers the waiting tasks of a job to admission, which queues them.

    Does nothing if the job is already queued.

    Args:
        host: State of this entry.
        job: The job.
        now_s: Monotonic time.
        retry: True for tasks that were accepted before.

    Returns:
        None if the tasks are queued, otherwise the refusal.
    """
    if job.id in host.queued_tasks:
        return None
    kind = job.kind
    item = work.WorkItem(
        job=job.id,
        customer=job.customer,
        kind=kind.name,
        service=kind.service,
        tasks=len(job.waiting),
        weight=kind.weight,
        urgency=kind.urgency,
        arrived_s=job.accepted_s,
        deadline_s=job.deadline_s,
        run_time_s=host.placement.run_time_s(kind.name) or kind.run_time_s,
    )
    answer = host.admission.offer(item, now_s, retry)
    if isinstance(answer, outcomes.Refused):
        return answer
    host.queued_tasks[job.id] = item.tasks
    return None


def _refusal(
    host: hosts.Host, job: jobs.Job, now_s: float
) -> outcomes.Refused | None:
    """Returns the refusal of a job that must not be offered, or None."""
    kind = job.kind
    if not host.outliers.admit_kind(kind.name, now_s):
        return outcomes.Refused(
            outcomes.Reason.POISON_KIND,
            not_run=True,
            detail=f"tasks of kind {kind.name!r} fail on most agents",
            retry_after_s=host.outliers.retry_after_s(kind.name, now_s),
        )
    if not _has_usable_agent(host, kind.service):
        return outcomes.Refused(
            outcomes.Reason.NO_TARGET,
            not_run=True,
            detail=f"no target of service {kind.service!r} is connected",
            retry_after_s=1.0,
        )
    return None


def _has_usable_agent(host: hosts.Host, service: str) -> bool:
    """Returns whether an agent of a service is connected and not blocked.

    Free credits are no measure for this: an entry that joins while other
    entries hold all credits has none until it borrows some for waiting work.
    """
    return any(
        not session.blocked and service in session.hello.services
        for session in host.agents.values()
    )
