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
JUDGE_INTERVAL_S = 0.1
# A flow floods if it demands so many times its fair share. Demand varies by
# chance, and a flow just above its share is no flood.
FLOOD_FACTOR = 2.0
# Rounding of weights must not turn a share of 5 credits into 6.
SHARE_DIGITS = 9
# Demand in credits below which an idle flow is no longer judged.
FORGOTTEN_DEMAND = 0.01
# A flow that used less than its fair share is served ahead of others until it
# has caught up with so many seconds of that share.
CATCH_UP_S = 5.0


@attrs.define(eq=False)
class Pool:
    """The flows that compete for the same credits.

    Attributes:
        by_tag: Heap of (start tag, order, flow) over eligible flows.
        calm: The same over those that don't flood.
        by_need: Heap of (held per weight, start tag, order, flow).
        by_excess: Heap of (negative held per weight, order, flow) over flows
            that hold credits.
        order: Numbers heap entries, so that flows are never compared.
        virtual: Virtual time.
        active_flows: Flows that wait or hold credits.
        configured_weight: Sum over the flows of the configuration.
        active_weight: Sum over flows that wait or hold credits.
        waiting_weight: Sum over flows with waiting jobs.
        tasks: Tasks that wait, by service.
        demanding: Flows that wait, hold credits or had demand lately.
        level: Credits per weight that every flow could have, infinite if
            there are enough for all demands.
        judged_s: When demands were last judged.
        free: Free credits at the last call.
        total: All credits at the last call.
        reclaimed: Credits asked back that have not come yet.
        reclaimed_s: When some were last asked back.
    """

    by_tag: list = attrs.field(factory=list)
    calm: list = attrs.field(factory=list)
    by_need: list = attrs.field(factory=list)
    by_excess: list = attrs.field(factory=list)
    order: itertools.count = attrs.field(factory=itertools.count)
    virtual: float = 0.0
    active_flows: int = 0
    configured_weight: float = 0.0
    active_weight: float = 0.0
    waiting_weight: float = 0.0
    tasks: collections.Counter = attrs.field(factory=collections.Counter)
    demanding: dict[flows.FlowState, None] = attrs.field(factory=dict)
    level: float = math.inf
    judged_s: float = float("-inf")
    free: int = 0
    total: int = 0
    reclaimed: int = 0
    reclaimed_s: float = float("-inf")

    def changed(self, flow: flows.FlowState) -> None:
        """Updates sums and orders after any change of a flow."""
        if flow.eligible:
            self._push_tag(flow)
        self.held_changed(flow)

    def held_changed(self, flow: flows.FlowState) -> None:
        """Updates sums and orders after a change of held credits alone."""
        self.count(flow)
        order = next(self.order)
        if flow.eligible:
            entry = (flow.need, flow.start_tag, order, flow)
            self._push(self.by_need, entry)
        if flow.held:
            self._push(self.by_excess, (-flow.need, order, flow))

    def count(self, flow: flows.FlowState) -> None:
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

    def demanded(
        self, flow: flows.FlowState, work_s: float, now_s: float
    ) -> None:
        """Counts task-seconds that were asked for, served or not."""
        flow.demanded(work_s, now_s)
        self.demanding[flow] = None

    def judge(self, now_s: float) -> None:
        """Finds the fair level of service and the flows that flood.

        Notes:
            Weighted max-min fairness by filling up: flows that demand less
            than their share leave the rest to the others. Costs O(f log f)
            for f flows, at most 10 times a second.
        """
        if now_s - self.judged_s < JUDGE_INTERVAL_S or not self.total:
            return
        self.judged_s = now_s
        flows_now = list(self.demanding)
        for flow in flows_now:
            flow.demanded(0.0, now_s)
            if not flow.active and flow.demand < FORGOTTEN_DEMAND:
                del self.demanding[flow]
        self.level = self._fill_level(flows_now)
        for flow in flows_now:
            fair = self.level * flow.weight
            flow.above_share = flow.demand > fair
            flooding = flow.demand > FLOOD_FACTOR * fair
            if flooding != flow.flooding:
                flow.flooding = flooding
                if flow.eligible:
                    self._push_tag(flow)

    def _fill_level(self, flows_now: list[flows.FlowState]) -> float:
        """Returns the credits per weight at which demands use up all."""
        left = float(self.total)
        weight = sum(flow.weight for flow in flows_now)
        for flow in sorted(flows_now, key=lambda f: f.demand / f.weight):
            if flow.demand > left * flow.weight / weight:
                return left / weight
            left -= flow.demand
            weight -= flow.weight
        return math.inf

    def begin(self, flow: flows.FlowState) -> None:
        """Sets the start tag of a flow that begins to wait.

        Notes:
            Plain start-time fair queueing starts at the virtual time. Starting
            some seconds of fair share before it lets a flow that is within
            its share on average catch up after a burst.
        """
        weight = max(self.active_weight, flow.weight)
        ahead = CATCH_UP_S * self.total / weight
        flow.start_tag = max(flow.start_tag, self.virtual - ahead)

    def charge(self, flow: flows.FlowState, work_s: float) -> None:
        """Charges a flow for task-seconds that it begins to use."""
        first = self.first_by_tag()
        if first is not None:
            self.virtual = max(self.virtual, first.start_tag)
        flow.start_tag += work_s / flow.weight

    def first_by_tag(self) -> flows.FlowState | None:
        """Returns the eligible flow with the lowest start tag."""
        return self._first(self.by_tag)

    def first_calm(self) -> flows.FlowState | None:
        """Returns the first by tag of those that don't flood."""
        return self._first(self.calm)

    def first_by_need(self) -> flows.FlowState | None:
        """Returns the eligible flow with the fewest credits per weight."""
        return self._first(self.by_need)

    def first_by_excess(self) -> flows.FlowState | None:
        """Returns the flow with the most credits per weight."""
        return self._first(self.by_excess)

    def skip_excess(self) -> tuple:
        """Takes out the first entry by excess, to see the next one."""
        return heapq.heappop(self.by_excess)

    def restore_excess(self, entries: list[tuple]) -> None:
        """Puts entries back that were taken out."""
        for entry in entries:
            heapq.heappush(self.by_excess, entry)

    def guaranteed(self, flow: flows.FlowState) -> float:
        """Returns the credits that a flow finds at any time, at least 1."""
        weights = max(self.configured_weight, flow.weight)
        share = self.total * flow.weight / weights
        return max(1.0, round(share, SHARE_DIGITS))

    def fair(self, flow: flows.FlowState) -> float:
        """Returns a flow's share among the flows active now, at least 1."""
        weights = self.active_weight
        if not flow.counted_active:
            weights += flow.weight
        share = self.total * flow.weight / weights
        if self.level < math.inf:
            share = max(share, self.level * flow.weight)
        return max(1.0, share)

    def contended(self, flow: flows.FlowState) -> bool:
        """Tells whether another flow waits or holds credits."""
        return self.active_flows > flow.counted_active

    def within_share(self, flow: flows.FlowState) -> bool:
        """Tells whether a flow holds less than it is guaranteed."""
        return flow.held < self.guaranteed(flow)

    def park(self, flow: flows.FlowState, parked: bool) -> None:
        """Sets whether a flow may be served."""
        flow.parked = parked
        self.changed(flow)

    def _push_tag(self, flow: flows.FlowState) -> None:
        """Adds an eligible flow to the orders by start tag."""
        entry = (flow.start_tag, next(self.order), flow)
        self._push(self.by_tag, entry)
        if not flow.flooding:
            self._push(self.calm, entry)

    def _first(self, heap: list) -> flows.FlowState | None:
        """Returns the flow of the first entry that is up to date."""
        while heap:
            if self._is_fresh(heap, heap[0]):
                return heap[0][-1]
            heapq.heappop(heap)
        return None

    def _push(self, heap: list, entry: tuple) -> None:
        """Adds an entry; drops outdated ones if there are many."""
        heapq.heappush(heap, entry)
        if len(heap) > STALE_LIMIT + STALE_FACTOR * self.active_flows:
            fresh = {}
            for item in heap:
                if self._is_fresh(heap, item):
                    fresh[item[-1]] = item
            heap[:] = fresh.values()
            heapq.heapify(heap)

    def _is_fresh(self, heap: list, item: tuple) -> bool:
        """Tells whether a heap entry matches its flow."""
        flow = item[-1]
        if flow.pool is not self:
            return False
        if heap is self.by_excess:
            return flow.held > 0 and -item[0] == flow.need
        if not flow.eligible:
            return False
        if heap is self.by_need:
            return item[:2] == (flow.need, flow.start_tag)
        if heap is self.calm and flow.flooding:
            return False
        return item[0] == flow.start_tag


@attrs.define
class Pools:
    """All pools, and which service belongs to which.

    Attributes:
        names: Pool by service; services not named share one pool.
        by_name: The pools.
        states: All flows by customer, kind and service.
    """

    names: dict[str, str] = attrs.field(factory=dict)
    by_name: dict[str, Pool] = attrs.field(factory=dict)
    states: dict[tuple[work.Flow, str], flows.FlowState] = attrs.field(
        factory=dict
    )

    def of(self, service: str) -> Pool:
        """Returns the pool of a service."""
        name = self.names.get(service, "")
        pool = self.by_name.get(name)
        if pool is None:
            pool = self.by_name[name] = Pool()
        return pool

    def forget_idle(self, flow: flows.FlowState) -> None:
        """Deletes an idle flow."""
        if not flow.active:
            self.states.pop((flow.flow, flow.service), None)

    def rebuild(self, service_weights) -> None:
        """Rebuilds the pools after a change of weights or names.

        Args:
            service_weights: Sum of the configured weights by service.
        """
        old = {
            name: (pool.virtual, pool.free, pool.total)
            for name, pool in self.by_name.items()
        }
        self.by_name = {}
        for service, weight in service_weights.items():
            self.of(service).configured_weight += weight
        for flow in self.states.values():
            self.of(flow.service)
        for name, pool in self.by_name.items():
            values = old.get(name, (0.0, 0, 0))
            pool.virtual, pool.free, pool.total = values
        for flow in self.states.values():
            flow.pool = self.of(flow.service)
            flow.counted_active = False
            flow.counted_tasks = 0
            flow.parked = False
            flow.pool.changed(flow)
            flow.pool.demanding[flow] = None
