"""Pools of credits and the order in which their flows are served.

Services that share agents share a pool. Flows are ordered by start-time fair
queueing (Goyal, Vin and Cheng, 1996) and, for guaranteed shares, by the credits
that they hold. `granting` decides how many credits a flow gets.
"""

import collections
import heapq
import itertools
import math

import attrs

from trefoilgw.admission import flows
from trefoilgw.admission import work

# A heap is rebuilt when it has more than STALE_LIMIT entries plus STALE_FACTOR
# entries per active flow, which keeps the cost per change at O(log flows).
STALE_FACTOR = 4
STALE_LIMIT = 64
# Interval between updates of the fair level. A flood is detected after about
# 0.5 s.
FAIR_LEVEL_INTERVAL_S = 0.1
# A flow counts as flooding if it demands more than this many times its fair
# share. Demand varies by chance, so a flow just above its share does not count.
FLOOD_FACTOR = 2.0
# Decimal digits to which a guaranteed share is rounded. A rounding error in the
# weights must not raise a share of 5 credits to 6.
SHARE_DIGITS = 9
# Demand in credits below which an idle flow is left out of the fair level.
NEGLIGIBLE_DEMAND = 0.01
# A flow that used less than its fair share may catch up on at most this many
# seconds of that share by being served ahead of others.
CATCH_UP_S = 5.0


@attrs.define(eq=False)
class Pool:
    """The flows that compete for the same credits.

    Attributes:
        by_tag: Heap of (start tag, sequence number, flow) over eligible
            flows.
        by_tag_not_flooding: The same over eligible flows that don't flood.
        by_least_held: Heap of (held per weight, start tag, sequence number,
            flow) over eligible flows.
        by_most_held: Heap of (negative held per weight, sequence number,
            flow) over flows that hold credits.
        sequence: Sequence numbers for heap entries, so that flows are never
            compared.
        virtual_time: Virtual time of start-time fair queueing.
        active_flows: Number of flows that wait or hold credits.
        configured_weight: Total weight of the configured flows.
        active_weight: Total weight of the flows that wait or hold credits.
        waiting_weight: Total weight of the flows with waiting jobs.
        tasks: Number of tasks that wait, by service.
        flows_with_demand: Flows that wait, hold credits or had demand
            recently.
        fair_level: Credits per weight that every flow could have, infinite if
            there are enough for all demands.
        fair_level_updated_s: When `fair_level` was last updated.
        free: Free credits at the last call of `Admission.next`.
        total: All credits at the last call of `Admission.next`.
        reclaimed: Credits reclaimed and not yet returned.
        reclaimed_s: When credits were last reclaimed.
    """

    by_tag: list = attrs.field(factory=list)
    by_tag_not_flooding: list = attrs.field(factory=list)
    by_least_held: list = attrs.field(factory=list)
    by_most_held: list = attrs.field(factory=list)
    sequence: itertools.count = attrs.field(factory=itertools.count)
    virtual_time: float = 0.0
    active_flows: int = 0
    configured_weight: float = 0.0
    active_weight: float = 0.0
    waiting_weight: float = 0.0
    tasks: collections.Counter = attrs.field(factory=collections.Counter)
    flows_with_demand: dict[flows.FlowState, None] = attrs.field(factory=dict)
    fair_level: float = math.inf
    fair_level_updated_s: float = float("-inf")
    free: int = 0
    total: int = 0
    reclaimed: int = 0
    reclaimed_s: float = float("-inf")

    def update_flow(self, flow: flows.FlowState) -> None:
        """Updates sums and heaps after any change of a flow."""
        if flow.eligible:
            self._push_tag(flow)
        self.update_held(flow)

    def update_held(self, flow: flows.FlowState) -> None:
        """Updates sums and heaps if only a flow's held credits changed."""
        self.update_sums(flow)
        sequence = next(self.sequence)
        if flow.eligible:
            entry = (flow.held_per_weight, flow.start_tag, sequence, flow)
            self._push(self.by_least_held, entry)
        if flow.held:
            self._push(
                self.by_most_held, (-flow.held_per_weight, sequence, flow)
            )

    def update_sums(self, flow: flows.FlowState) -> None:
        """Updates the sums after a change of a flow's tasks or credits."""
        active = flow.jobs > 0 or flow.held > 0
        if active != flow.counted_active:
            flow.counted_active = active
            self.active_flows += 1 if active else -1
            self.active_weight += flow.weight if active else -flow.weight
            if not self.active_flows:
                self.active_weight = 0.0
        tasks = flow.tasks if flow.jobs else 0
        if tasks != flow.counted_tasks:
            if bool(tasks) != bool(flow.counted_tasks):
                sign = 1.0 if tasks else -1.0
                self.waiting_weight += sign * flow.weight
            self.tasks[flow.service] += tasks - flow.counted_tasks
            flow.counted_tasks = tasks

    def add_demand(
        self, flow: flows.FlowState, work_s: float, now_s: float
    ) -> None:
        """Adds offered task-seconds to a flow's demand, served or not."""
        flow.add_demand(work_s, now_s)
        self.flows_with_demand[flow] = None

    def update_fair_level(self, now_s: float) -> None:
        """Updates the fair level and marks the flows that flood.

        Notes:
            The level is that of weighted max-min fairness by progressive
            filling: flows that demand less than their share leave the rest
            to the others. Costs O(f log f) for f flows, at most 10 times a
            second.
        """
        if (
            now_s - self.fair_level_updated_s < FAIR_LEVEL_INTERVAL_S
            or not self.total
        ):
            return
        self.fair_level_updated_s = now_s
        tracked_flows = list(self.flows_with_demand)
        for flow in tracked_flows:
            flow.add_demand(0.0, now_s)
            if not flow.active and flow.demand < NEGLIGIBLE_DEMAND:
                del self.flows_with_demand[flow]
        self.fair_level = self._compute_fair_level(tracked_flows)
        for flow in tracked_flows:
            fair_share = self.fair_level * flow.weight
            flow.above_share = flow.demand > fair_share
            flooding = flow.demand > FLOOD_FACTOR * fair_share
            if flooding != flow.flooding:
                flow.flooding = flooding
                if flow.eligible:
                    self._push_tag(flow)

    def _compute_fair_level(
        self, tracked_flows: list[flows.FlowState]
    ) -> float:
        """Returns the credits per weight at which demands use all credits.

        Infinite if there are enough credits for all demands.
        """
        left = float(self.total)
        weight = sum(flow.weight for flow in tracked_flows)
        for flow in sorted(tracked_flows, key=lambda f: f.demand / f.weight):
            if flow.demand > left * flow.weight / weight:
                return left / weight
            left -= flow.demand
            weight -= flow.weight
        return math.inf

    def set_start_tag(self, flow: flows.FlowState) -> None:
        """Sets the start tag of a flow that begins to wait.

        Notes:
            Plain start-time fair queueing starts at the virtual time. An
            earlier start, by up to `CATCH_UP_S` seconds of fair share, lets
            a flow that stays within its share on average catch up after a
            burst.
        """
        weight = max(self.active_weight, flow.weight)
        catch_up = CATCH_UP_S * self.total / weight
        flow.start_tag = max(flow.start_tag, self.virtual_time - catch_up)

    def charge(self, flow: flows.FlowState, work_s: float) -> None:
        """Charges a flow for granted task-seconds; advances virtual time."""
        first = self.first_by_tag()
        if first is not None:
            self.virtual_time = max(self.virtual_time, first.start_tag)
        flow.start_tag += work_s / flow.weight

    def first_by_tag(self) -> flows.FlowState | None:
        """Returns the eligible flow with the lowest start tag."""
        return self._first(self.by_tag)

    def first_not_flooding(self) -> flows.FlowState | None:
        """Returns the eligible, not flooding flow with the lowest start tag."""
        return self._first(self.by_tag_not_flooding)

    def first_by_least_held(self) -> flows.FlowState | None:
        """Returns the eligible flow with the fewest held credits per weight."""
        return self._first(self.by_least_held)

    def first_by_most_held(self) -> flows.FlowState | None:
        """Returns the flow with the most held credits per weight."""
        return self._first(self.by_most_held)

    def pop_most_held(self) -> tuple:
        """Removes the top entry of `by_most_held` to expose the next one."""
        return heapq.heappop(self.by_most_held)

    def restore_most_held(self, entries: list[tuple]) -> None:
        """Puts entries from `pop_most_held` back."""
        for entry in entries:
            heapq.heappush(self.by_most_held, entry)

    def guaranteed_share(self, flow: flows.FlowState) -> float:
        """Returns a flow's share among all configured flows, at least 1.

        The flow is guaranteed these credits whatever the others demand.
        """
        total_weight = max(self.configured_weight, flow.weight)
        share = self.total * flow.weight / total_weight
        return max(1.0, round(share, SHARE_DIGITS))

    def fair_share(self, flow: flows.FlowState) -> float:
        """Returns a flow's share among the active flows, at least 1.

        Includes credits that flows below their share leave to the others.
        """
        total_weight = self.active_weight
        if not flow.counted_active:
            total_weight += flow.weight
        share = self.total * flow.weight / total_weight
        if self.fair_level < math.inf:
            share = max(share, self.fair_level * flow.weight)
        return max(1.0, share)

    def contended(self, flow: flows.FlowState) -> bool:
        """Returns whether another flow waits or holds credits."""
        return self.active_flows > flow.counted_active

    def within_share(self, flow: flows.FlowState) -> bool:
        """Returns whether a flow holds less than its guaranteed share."""
        return flow.held < self.guaranteed_share(flow)

    def park(self, flow: flows.FlowState, parked: bool) -> None:
        """Parks or unparks a flow; a parked flow is not served."""
        flow.parked = parked
        self.update_flow(flow)

    def _push_tag(self, flow: flows.FlowState) -> None:
        """Adds an eligible flow to the heaps by start tag."""
        entry = (flow.start_tag, next(self.sequence), flow)
        self._push(self.by_tag, entry)
        if not flow.flooding:
            self._push(self.by_tag_not_flooding, entry)

    def _first(self, heap: list) -> flows.FlowState | None:
        """Returns the flow of the first current entry, dropping stale ones."""
        while heap:
            if self._is_current(heap, heap[0]):
                return heap[0][-1]
            heapq.heappop(heap)
        return None

    def _push(self, heap: list, entry: tuple) -> None:
        """Adds an entry; drops stale entries if there are many."""
        heapq.heappush(heap, entry)
        if len(heap) > STALE_LIMIT + STALE_FACTOR * self.active_flows:
            current = {}
            for item in heap:
                if self._is_current(heap, item):
                    current[item[-1]] = item
            heap[:] = current.values()
            heapq.heapify(heap)

    def _is_current(self, heap: list, item: tuple) -> bool:
        """Returns whether a heap entry matches the state of its flow."""
        flow = item[-1]
        if flow.pool is not self:
            return False
        if heap is self.by_most_held:
            return flow.held > 0 and -item[0] == flow.held_per_weight
        if not flow.eligible:
            return False
        if heap is self.by_least_held:
            return item[:2] == (flow.held_per_weight, flow.start_tag)
        if heap is self.by_tag_not_flooding and flow.flooding:
            return False
        return item[0] == flow.start_tag


@attrs.define
class Pools:
    """All pools of an entry and the assignment of services to them.

    Attributes:
        pool_names: Pool name by service. Services without a name share one
            pool.
        by_name: Pools by name.
        flow_states: All flows, keyed by flow (customer and kind) and service.
    """

    pool_names: dict[str, str] = attrs.field(factory=dict)
    by_name: dict[str, Pool] = attrs.field(factory=dict)
    flow_states: dict[tuple[work.Flow, str], flows.FlowState] = attrs.field(
        factory=dict
    )

    def pool_of(self, service: str) -> Pool:
        """Returns the pool of a service, creating it if needed."""
        name = self.pool_names.get(service, "")
        pool = self.by_name.get(name)
        if pool is None:
            pool = self.by_name[name] = Pool()
        return pool

    def forget_idle(self, flow: flows.FlowState) -> None:
        """Deletes a flow if it is idle."""
        if not flow.active:
            self.flow_states.pop((flow.flow, flow.service), None)

    def rebuild(self, service_weights) -> None:
        """Rebuilds the pools after a change of weights or pool names.

        All flows become unparked.

        Args:
            service_weights: Total configured weight by service.
        """
        old = {
            name: (pool.virtual_time, pool.free, pool.total)
            for name, pool in self.by_name.items()
        }
        self.by_name = {}
        for service, weight in service_weights.items():
            self.pool_of(service).configured_weight += weight
        for flow in self.flow_states.values():
            self.pool_of(flow.service)
        for name, pool in self.by_name.items():
            previous = old.get(name, (0.0, 0, 0))
            pool.virtual_time, pool.free, pool.total = previous
        for flow in self.flow_states.values():
            flow.pool = self.pool_of(flow.service)
            flow.counted_active = False
            flow.counted_tasks = 0
            flow.parked = False
            flow.pool.update_flow(flow)
            flow.pool.flows_with_demand[flow] = None
