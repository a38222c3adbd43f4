"""Whose work is next, and what is refused.

Admission keeps the queues of this entry. It decides how many credits a job
may spend; where the tasks go is up to `placement`.
"""

import collections

import attrs

from trefoilgw.admission import quota
from trefoilgw.admission import work
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

QUEUE_LIMIT_JOBS = 10_000


@attrs.define(eq=False)
class Waiting:
    """A job in the queue.

    Attributes:
        item: The job.
        tasks: Tasks that are still to be sent.
        started: True once some were sent.
    """

    item: work.WorkItem
    tasks: int
    started: bool = False


@attrs.define
class Admission:
    """Queues, quotas and shares of this entry."""

    quotas: dict[str, quota.Quota] = attrs.field(factory=dict)
    limits: dict[str, int] = attrs.field(factory=dict)
    running: collections.Counter = attrs.field(factory=collections.Counter)
    jobs: dict[str, Waiting] = attrs.field(factory=dict)
    starts: collections.Counter = attrs.field(factory=collections.Counter)

    def configure(self, configuration, now_s: float) -> None:
        """Takes over the customers and kinds of a configuration."""
        quotas = {}
        for customer in configuration.customers:
            kinds = [
                kind
                for kind in configuration.kinds
                if customer.name in kind.customers
            ]
            total = sum(kind.weight for kind in kinds)
            shares = {kind.name: kind.weight / total for kind in kinds}
            known = self.quotas.get(customer.name)
            if known is None:
                known = quota.Quota.start(customer.starts_s, shares, now_s)
            known.set_rate(customer.starts_s, now_s)
            known.set_shares(shares, now_s)
            quotas[customer.name] = known
            self.limits[customer.name] = customer.running_limit_tasks
        self.quotas = quotas

    def offer(
        self, item: work.WorkItem, now_s: float
    ) -> work.Queued | outcomes.Refused:
        """Queues a job or refuses it with a true not run."""
        self.starts[item.customer] += item.tasks
        if now_s + item.run_time_s > item.deadline_s:
            return outcomes.Refused(outcomes.Reason.DEADLINE, True)
        if len(self.jobs) >= QUEUE_LIMIT_JOBS:
            return outcomes.Refused(outcomes.Reason.OVERLOAD, True, "", 1.0)
        known = self.quotas.get(item.customer)
        wait_s = known.take(item.kind, item.tasks, now_s) if known else 0.0
        if wait_s > 0.0:
            return outcomes.Refused(outcomes.Reason.QUOTA, True, "", wait_s)
        self.jobs[item.job] = Waiting(item, item.tasks)
        return work.Queued(item.job)

    def next(
        self,
        free_credits: int,
        total_credits: int,
        now_s: float,
        service: str,
    ) -> work.Grant | work.Dropped | None:
        """Returns the next decision for a service, or None.

        After a grant, `started` must be called before the next call.
        """
        for job, waiting in self.jobs.items():
            item = waiting.item
            if item.service != service:
                continue
            if now_s + item.run_time_s > item.deadline_s:
                del self.jobs[job]
                return work.Dropped(
                    job,
                    outcomes.Refused(
                        outcomes.Reason.DEADLINE, not waiting.started
                    ),
                )
            limit = self.limits.get(item.customer, free_credits)
            room = limit - self.running[item.customer]
            credits = min(free_credits, waiting.tasks, room)
            if credits > 0:
                return work.Grant(job, credits, waiting.tasks)
        return None

    def started(
        self, job: str, credits: int, now_s: float, tasks: int | None = None
    ) -> None:
        """Records what was sent for a grant.

        Args:
            job: Key.
            credits: Credits spent, 0 if no agent could be used.
            now_s: Monotonic time in seconds.
            tasks: Tasks sent; None means all that waited.
        """
        waiting = self.jobs.get(job)
        if waiting is None:
            return
        waiting.started = waiting.started or credits > 0
        waiting.tasks -= waiting.tasks if tasks is None else tasks
        self.running[waiting.item.customer] += credits
        if waiting.tasks <= 0:
            del self.jobs[job]

    def finished(
        self,
        customer: str,
        kind: str,
        credits: int,
        run_s: float,
        now_s: float,
        job: str = "",
    ) -> None:
        """Records credits that came back with a batch of a job.

        Args:
            customer: Name.
            kind: Name.
            credits: Credits that came back.
            run_s: Mean run time of the tasks reported, 0 if none ran.
            now_s: Monotonic time in seconds.
            job: Key of the job, empty if not known any more.
        """
        self.running[customer] -= credits

    def reclaim(self, now_s: float) -> tuple[work.Reclaim, ...]:
        """Returns which running jobs should give back credits."""
        return ()

    def remove(self, job: str) -> None:
        """Takes a job that ended or was cancelled out of its queue."""
        self.jobs.pop(job, None)

    def waiting(self, service: str) -> int:
        """Returns how many tasks wait for a service."""
        return sum(
            waiting.tasks
            for waiting in self.jobs.values()
            if waiting.item.service == service
        )

    def demand(self, now_s: float) -> tuple[messages.CustomerDemand, ...]:
        """Returns the demand since the last call, for `Usage`."""
        demands = tuple(
            messages.CustomerDemand(
                customer, float(starts), self.running[customer]
            )
            for customer, starts in self.starts.items()
        )
        self.starts.clear()
        return demands

    def peer_usage(
        self,
        entry: str,
        demands: tuple[messages.CustomerDemand, ...],
        now_s: float = 0.0,
    ) -> None:
        """Takes in a peer's demand."""

    def peer_left(self, entry: str) -> None:
        """Forgets a peer's demand."""
