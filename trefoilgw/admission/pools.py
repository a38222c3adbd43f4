"""The order in which the flows of one pool of credits are served.

Services that share agents share a pool. The order is start-time fair queueing
(Goyal, Vin and Cheng, 1996), with a second order by held credits for
guaranteed shares. `granting` decides how much a flow gets.
"""

import collections
import heapq
import itertools
import math

import attrs

from trefoilgw.admission import flows
from trefoilgw.admission import work

# Heaps are rebuilt when they hold so many outdated entries per flow, which
# keeps the cost per change at O(log flows).
STALE_FACTOR = 4
STALE_LIMIT = 64
# Demand is judged so often; a flood is known after some 0.5 s.
FAIR_LEVEL_INTERVAL_S = 0.1
# A flow floods if it demands so many times its fair share. Demand varies by
# chance, and a flow just above its share is no flood.
FLOOD_FACTOR = 2.0
# Rounding of weights must not turn a share of 5 credits into 6.
SHARE_DIGITS = 9
# Demand in credits below which an idle flow is no longer judged.
NEGLIGIBLE_DEMAND = 0.01
# A flow that used less than its fair share is served ahead of others until it
# has caught up with so many seconds of that share.
CATCH_UP_S = 5.0


@attrs.define(eq=False)
class Pool:
    """The flows that compete for the same credits.

    Attributes:
        by_tag: Heap of (start tag, order, flow) over eligible flows.
        by_tag_not_flooding: The same over those that don't flood.
        by_least_held: Heap of (held per weight, start tag, order, flow).
        by_most_held: Heap of (negative held per weight, order, flow) over flows
            that hold credits.
        sequence: Numbers heap entries, so that flows are never compared.
        virtual_time: Virtual time.
        active_flows: Flows that wait or hold credits.
        configured_weight: Sum over the flows of the configuration.
        active_weight: Sum over flows that wait or hold credits.
        waiting_weight: Sum over flows with waiting jobs.
        tasks: Tasks that wait, by service.
        flows_with_demand: Flows that wait, hold credits or had demand lately.
        fair_level: Credits per weight that every flow could have, infinite if
            there are enough for all demands.
        fair_level_updated_s: When demands were last judged.
        free: Free credits at the last call.
        total: All credits at the last call.
        reclaimed: Credits asked back that have not come yet.
        reclaimed_s: When some were last asked back.
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
        """Updates sums and orders after any change of a flow."""
        if flow.eligible:
            self._push_tag(flow)
        self.update_held(flow)

    def update_held(self, flow: flows.FlowState) -> None:
        """Updates sums and orders after a change of held credits alone."""
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
        """Brings the sums up to date after a change of waiting tasks."""
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
        """Counts task-seconds that were asked for, served or not."""
        flow.add_demand(work_s, now_s)
        self.flows_with_demand[flow] = None

    def update_fair_level(self, now_s: float) -> None:
        """Finds the fair level of service and the flows that flood.

        Notes:
            Weighted max-min fairness by filling up: flows that demand less
            than their share leave the rest to the others. Costs O(f log f)
            for f flows, at most 10 times a second.
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
            fair = self.fair_level * flow.weight
            flow.above_share = flow.demand > fair
            flooding = flow.demand > FLOOD_FACTOR * fair
            if flooding != flow.flooding:
                flow.flooding = flooding
                if flow.eligible:
                    self._push_tag(flow)

    def _compute_fair_level(
        self, tracked_flows: list[flows.FlowState]
    ) -> float:
        """Returns the credits per weight at which demands use up all."""
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
            Plain start-time fair queueing starts at the virtual time. Starting
            some seconds of fair share before it lets a flow that is within
            its share on average catch up after a burst.
        """
        weight = max(self.active_weight, flow.weight)
        ahead = CATCH_UP_S * self.total / weight
        flow.start_tag = max(flow.start_tag, self.virtual_time - ahead)

    def charge(self, flow: flows.FlowState, work_s: float) -> None:
        """Charges a flow for task-seconds that it begins to use."""
        first = self.first_by_tag()
        if first is not None:
            self.virtual_time = max(self.virtual_time, first.start_tag)
        flow.start_tag += work_s / flow.weight

    def first_by_tag(self) -> flows.FlowState | None:
        """Returns the eligible flow with the lowest start tag."""
        return self._first(self.by_tag)

    def first_not_flooding(self) -> flows.FlowState | None:
        """Returns the first by tag of those that don't flood."""
        return self._first(self.by_tag_not_flooding)

    def first_by_least_held(self) -> flows.FlowState | None:
        """Returns the eligible flow with the fewest credits per weight."""
        return self._first(self.by_least_held)

    def first_by_most_held(self) -> flows.FlowState | None:
        """Returns the flow with the most credits per weight."""
        return self._first(self.by_most_held)

    def pop_most_held(self) -> tuple:
        """Takes out the first entry by excess, to see the next one."""
        return heapq.heappop(self.by_most_held)

    def restore_most_held(self, entries: list[tuple]) -> None:
        """Puts entries back that were taken out."""
        for entry in entries:
            heapq.heappush(self.by_most_held, entry)

    def guaranteed_share(self, flow: flows.FlowState) -> float:
        """Returns the credits that a flow finds at any time, at least 1."""
        weights = max(self.configured_weight, flow.weight)
        share = self.total * flow.weight / weights
        return max(1.0, round(share, SHARE_DIGITS))

    def fair_share(self, flow: flows.FlowState) -> float:
        """Returns a flow's share among the flows active now, at least 1."""
        weights = self.active_weight
        if not flow.counted_active:
            weights += flow.weight
        share = self.total * flow.weight / weights
        if self.fair_level < math.inf:
            share = max(share, self.fair_level * flow.weight)
        return max(1.0, share)

    def contended(self, flow: flows.FlowState) -> bool:
        """Tells whether another flow waits or holds credits."""
        return self.active_flows > flow.counted_active

    def within_share(self, flow: flows.FlowState) -> bool:
        """Tells whether a flow holds less than it is guaranteed."""
        return flow.held < self.guaranteed_share(flow)

    def park(self, flow: flows.FlowState, parked: bool) -> None:
        """Sets whether a flow may be served."""
        flow.parked = parked
        self.update_flow(flow)

    def _push_tag(self, flow: flows.FlowState) -> None:
        """Adds an eligible flow to the orders by start tag."""
        entry = (flow.start_tag, next(self.sequence), flow)
        self._push(self.by_tag, entry)
        if not flow.flooding:
            self._push(self.by_tag_not_flooding, entry)

    def _first(self, heap: list) -> flows.FlowState | None:
        """Returns the flow of the first entry that is up to date."""
        while heap:
            if self._is_current(heap, heap[0]):
                return heap[0][-1]
            heapq.heappop(heap)
        return None

    def _push(self, heap: list, entry: tuple) -> None:
        """Adds an entry; drops outdated ones if there are many."""
        heapq.heappush(heap, entry)
        if len(heap) > STALE_LIMIT + STALE_FACTOR * self.active_flows:
            current = {}
            for item in heap:
                if self._is_current(heap, item):
                    current[item[-1]] = item
            heap[:] = current.values()
            heapq.heapify(heap)

    def _is_current(self, heap: list, item: tuple) -> bool:
        """Tells whether a heap entry matches its flow."""
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
    """All pools, and which service belongs to which.

    Attributes:
        pool_names: Pool by service; services not named share one pool.
        by_name: The pools.
        flow_states: All flows by customer, kind and service.
    """

    pool_names: dict[str, str] = attrs.field(factory=dict)
    by_name: dict[str, Pool] = attrs.field(factory=dict)
    flow_states: dict[tuple[work.Flow, str], flows.FlowState] = attrs.field(
        factory=dict
    )

    def pool_of(self, service: str) -> Pool:
        """Returns the pool of a service."""
        name = self.pool_names.get(service, "")
        pool = self.by_name.get(name)
        if pool is None:
            pool = self.by_name[name] = Pool()
        return pool

    def forget_idle(self, flow: flows.FlowState) -> None:
        """Deletes an idle flow."""
        if not flow.active:
            self.flow_states.pop((flow.flow, flow.service), None)

    def rebuild(self, service_weights) -> None:
        """Rebuilds the pools after a change of weights or names.

        Args:
            service_weights: Sum of the configured weights by service.
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
            values = old.get(name, (0.0, 0, 0))
            pool.virtual_time, pool.free, pool.total = values
        for flow in self.flow_states.values():
            flow.pool = self.pool_of(flow.service)
            flow.counted_active = False
            flow.counted_tasks = 0
            flow.parked = False
            flow.pool.update_flow(flow)
            flow.pool.flows_with_demand[flow] = None
