"""Quota and running-task limit of each customer at this entry."""

from collections.abc import Mapping

import attrs

from trefoilgw.admission import flows
from trefoilgw.admission import quota
from trefoilgw.admission import sharing
from trefoilgw.admission import work
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# Weight of the latest interval in the exponentially smoothed demand.
DEMAND_SMOOTHING = 0.5
# Over shorter intervals the measured demand is dominated by chance.
MIN_DEMAND_INTERVAL_S = 0.5


@attrs.define(eq=False)
class CustomerState:
    """Quota, running-task limit and demand of one customer at this entry.

    Attributes:
        quota: Token buckets for its task starts at this entry.
        starts_s: Quota of the customer over all entries, starts/s.
        limit_tasks: Limit on its running tasks over all entries.
        own_limit_tasks: This entry's share of the limit.
        running: Credits that its batches hold here.
        offered_tasks: Task starts offered since the last report.
        demand_s: Offered task starts/s, exponentially smoothed.
        peer_demands: Last reported demand by peer entry.
        parked: Flows that may not be served until running tasks finish.
    """

    quota: quota.Quota
    starts_s: float
    limit_tasks: int
    own_limit_tasks: int
    running: int = 0
    offered_tasks: int = 0
    demand_s: float = 0.0
    peer_demands: dict[str, messages.CustomerDemand] = attrs.field(factory=dict)
    parked: list[flows.FlowState] = attrs.field(factory=list)

    @property
    def available_credits(self) -> int:
        """Credits that the customer may still spend at this entry."""
        return self.own_limit_tasks - self.running

    def park(self, flow: flows.FlowState) -> None:
        """Parks a flow until running tasks of the customer finish."""
        flow.pool.park(flow, True)
        self.parked.append(flow)

    def unpark(self) -> None:
        """Unparks the parked flows if the limit leaves credits for them."""
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
        """Counts the demand of a job and charges it to the quota.

        Args:
            item: The job.
            now_s: Monotonic time in seconds.
            refused: Refusal for another reason; the job is then not charged.

        Returns:
            `refused`, or a refusal if the quota is used up, or None.
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
        """Returns the smoothed demand and starts a new interval.

        Args:
            customer: Name of the customer.
            elapsed_s: Length of the interval that ends, in seconds.
        """
        rate_s = self.offered_tasks / elapsed_s
        self.demand_s += DEMAND_SMOOTHING * (rate_s - self.demand_s)
        self.offered_tasks = 0
        return messages.CustomerDemand(customer, self.demand_s, self.running)

    def update_own_share(self, entries: set[str], now_s: float | None) -> None:
        """Updates this entry's share of the quota and of the limit.

        Args:
            entries: Connected peers, whether or not they reported demand.
            now_s: Monotonic time in seconds; None for the time of the last
                change of the quota.
        """
        if now_s is None:
            now_s = self.quota.common.updated_s
        starts = {"": self.demand_s}
        running = {"": float(self.running)}
        for entry in entries:
            demand = self.peer_demands.get(entry)
            starts[entry] = demand.starts_s if demand else 0.0
            running[entry] = float(demand.running) if demand else 0.0
        share_s = sharing.entry_share(self.starts_s, "", starts)
        if share_s != self.quota.starts_s:
            self.quota.set_rate(share_s, now_s)
        limit = sharing.entry_limit_share(float(self.limit_tasks), "", running)
        self.own_limit_tasks = max(1, int(limit))
        self.unpark()


def configure_customer(
    state: CustomerState | None,
    record,
    kind_shares: Mapping[str, float],
    entries: set[str],
    now_s: float,
) -> CustomerState:
    """Returns a customer's state with its configuration applied.

    Args:
        state: State to update, None if the customer is new.
        record: A `records.Customer`.
        kind_shares: Share of its quota by kind, 0 to 1.
        entries: Connected peers.
        now_s: Monotonic time in seconds.
    """
    limit = record.running_limit_tasks
    if state is None:
        starts = quota.Quota.with_full_buckets(
            record.starts_s, kind_shares, now_s
        )
        state = CustomerState(starts, record.starts_s, limit, limit)
    state.starts_s = record.starts_s
    state.limit_tasks = limit
    state.quota.set_shares(kind_shares, now_s)
    state.update_own_share(entries, now_s)
    return state
