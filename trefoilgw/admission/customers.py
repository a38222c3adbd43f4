"""Quota and running-task limit of each customer at this entry."""

from collections.abc import Mapping

import attrs

from trefoilgw.admission import flows
from trefoilgw.admission import quota
from trefoilgw.admission import sharing
from trefoilgw.admission import work
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# Weight of the newest second in the reported demand.
DEMAND_SMOOTHING = 0.5
# Demands reported more often than this would measure chance.
MIN_DEMAND_INTERVAL_S = 0.5


@attrs.define(eq=False)
class CustomerState:
    """One customer at this entry.

    Attributes:
        quota: Starts at this entry.
        starts_s: Quota of the customer over all entries, starts/s.
        limit_tasks: Running tasks that it may have over all entries.
        own_limit_tasks: This entry's part of the limit.
        running: Credits that its batches hold here.
        offered_tasks: Task starts offered since the last report.
        demand_s: Offered task starts/s, smoothed.
        peers: Last demand by entry.
        parked: Flows that wait until running tasks finish.
    """

    quota: quota.Quota
    starts_s: float
    limit_tasks: int
    own_limit_tasks: int
    running: int = 0
    offered_tasks: int = 0
    demand_s: float = 0.0
    peers: dict[str, messages.CustomerDemand] = attrs.field(factory=dict)
    parked: list[flows.FlowState] = attrs.field(factory=list)

    @property
    def available_credits(self) -> int:
        """Credits that it may still spend here."""
        return self.own_limit_tasks - self.running

    def park(self, flow: flows.FlowState) -> None:
        """Lets a flow rest until running tasks of the customer finish."""
        flow.pool.park(flow, True)
        self.parked.append(flow)

    def unpark(self) -> None:
        """Lets the parked flows be served again if there is room."""
        if self.available_credits <= 0:
            return
        for flow in self.parked:
            flow.pool.park(flow, False)
        self.parked.clear()

    def charge(
        self,
        item: work.WorkItem,
        now_s: float,
        refused: outcomes.Refused | None,
    ) -> outcomes.Refused | None:
        """Counts the demand and charges the quota.

        Args:
            item: The job.
            now_s: Monotonic time in seconds.
            refused: Why it is refused otherwise; it is then not charged.

        Returns:
            Why the job is refused, or None.
        """
        self.offered_tasks += item.tasks
        if refused is not None:
            return refused
        wait_s = self.quota.take(item.kind, item.tasks, now_s)
        if wait_s <= 0.0:
            return None
        return outcomes.Refused(
            outcomes.Reason.QUOTA,
            not_run=True,
            detail=f"quota of {self.starts_s:g} task starts/s is used up",
            retry_after_s=wait_s,
        )

    def report_demand(
        self, customer: str, elapsed_s: float
    ) -> messages.CustomerDemand:
        """Returns the smoothed demand and starts a new interval."""
        rate_s = self.offered_tasks / elapsed_s
        self.demand_s += DEMAND_SMOOTHING * (rate_s - self.demand_s)
        self.offered_tasks = 0
        return messages.CustomerDemand(customer, self.demand_s, self.running)

    def update_own_share(self, entries: set[str], now_s: float | None) -> None:
        """Sets this entry's part of quota and limit.

        Args:
            entries: Connected peers, whether or not they reported demand.
            now_s: Monotonic time in seconds; None for the last known.
        """
        if now_s is None:
            now_s = self.quota.common.updated_s
        starts = {"": self.demand_s}
        running = {"": float(self.running)}
        for entry in entries:
            demand = self.peers.get(entry)
            starts[entry] = demand.starts_s if demand else 0.0
            running[entry] = float(demand.running) if demand else 0.0
        part = sharing.entry_share(self.starts_s, "", starts)
        if part != self.quota.starts_s:
            self.quota.set_rate(part, now_s)
        limit = sharing.entry_limit_share(float(self.limit_tasks), "", running)
        self.own_limit_tasks = max(1, int(limit))
        self.unpark()


def configure_customer(
    known: CustomerState | None,
    record,
    kind_shares: Mapping[str, float],
    entries: set[str],
    now_s: float,
) -> CustomerState:
    """Returns a customer's state after its record was accepted.

    Args:
        known: Its state so far, None if it is new.
        record: A `records.Customer`.
        kind_shares: Part of its quota by kind.
        entries: Connected peers.
        now_s: Monotonic time in seconds.
    """
    limit = record.running_limit_tasks
    if known is None:
        starts = quota.Quota.with_full_buckets(
            record.starts_s, kind_shares, now_s
        )
        known = CustomerState(starts, record.starts_s, limit, limit)
    known.starts_s = record.starts_s
    known.limit_tasks = limit
    known.quota.set_shares(kind_shares, now_s)
    known.update_own_share(entries, now_s)
    return known
