"""Filter: offers a new job to admission, or refuses it."""

from trefoilgw.admission import work
from trefoilgw.callers import problems
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.jobs import model as jobs
from trefoilgw.outcomes import core as outcomes


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Queues a new job or sets the refusal as reply."""
    if not exchange.is_new:
        return
    job = exchange.job
    now_s = host.read_clock()
    refused = _refusal(host, job, now_s) or offer(host, job, now_s)
    if refused is None:
        host.budget.record_first_attempts(job.customer, now_s, len(job.fates))
        return
    host.follow(host.table.withdraw(job, refused, now_s), now_s)
    exchange.reply = problems.problem(job.refused)


def offer(
    host: hosts.Host, job: jobs.Job, now_s: float, retry: bool = False
) -> outcomes.Refused | None:
    """Queues the waiting tasks of a job; returns why not, if refused.

    Args:
        host: State of this entry.
        job: The job.
        now_s: Monotonic time.
        retry: True for tasks that were accepted before.
    """
    if job.id in host.queued:
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
    host.queued[job.id] = item.tasks
    return None


def _refusal(
    host: hosts.Host, job: jobs.Job, now_s: float
) -> outcomes.Refused | None:
    """Returns why a job is refused before it is offered."""
    kind = job.kind
    if not host.outliers.admit_kind(kind.name, now_s):
        return outcomes.Refused(
            outcomes.Reason.POISON_KIND,
            not_run=True,
            detail=f"tasks of kind {kind.name!r} fail on most agents",
            retry_after_s=host.outliers.retry_after_s(kind.name, now_s),
        )
    if not _offered(host, kind.service):
        return outcomes.Refused(
            outcomes.Reason.NO_TARGET,
            not_run=True,
            detail=f"no target of service {kind.service!r} is connected",
            retry_after_s=1.0,
        )
    return None


def _offered(host: hosts.Host, service: str) -> bool:
    """Returns whether a connected agent that may get work offers a service.

    Credits don't tell: an entry that joins while other entries hold them all
    has none of its own until it borrows some for work that waits.
    """
    return any(
        not session.blocked and service in session.hello.services
        for session in host.agents.values()
    )
