"""Flows, their waiting jobs and the order in which flows are served.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over flows, with a
second order by held credits for guaranteed shares. `core` decides how much a
flow gets.
"""

import heapq
import itertools

import attrs

from trefoilgw.admission import delay
from trefoilgw.admission import work

# Heaps are rebuilt when they hold so many outdated entries per flow, which
# keeps the cost per change at O(log flows).
STALE_FACTOR = 4
STALE_LIMIT = 64


@attrs.define(eq=False)
class JobState:
    """A job that waits or holds credits.

    Attributes:
        item: As offered.
        flow: Its flow.
        queued_s: When it was queued.
        tasks: Tasks that still wait to be sent.
        waiting: True while it is in the queue.
        started: True once some of its tasks were sent.
        delay_checked: True once its queue delay was judged.
        credits: Credits that its batches hold.
        long_credits: Credits of batches with more tasks than credits, less
            those asked back.
    """

    item: work.WorkItem
    flow: "FlowState"
    queued_s: float
    tasks: int
    waiting: bool = True
    started: bool = False
    delay_checked: bool = False
    credits: int = 0
    long_credits: int = 0


@attrs.define(eq=False)
class FlowState:
    """One flow at one service.

    Attributes:
        flow: Customer and kind.
        weight: Share relative to the other flows, positive.
        queue: Heap of (finish tag, order, job); may hold removed jobs.
        jobs: Jobs that wait.
        tasks: Tasks that wait.
        work_s: Expected run time of the waiting tasks together.
        held: Credits that its batches hold.
        start_tag: Virtual time at which its next grant starts.
        served: Virtual time inside the flow, orders its jobs.
        parked: True while it may not be served, whatever waits.
        controller: Controls its queue delay.
        running: Jobs that hold credits, the oldest first.
        long: Those of them with `long_credits`.
        finished_s: When a task of it last came back.
        counted_active: As it stands in the sums of its service.
        counted_waiting: As it stands in the sums of its service.
    """

    flow: work.Flow
    weight: float
    queue: list = attrs.field(factory=list)
    jobs: int = 0
    tasks: int = 0
    work_s: float = 0.0
    held: int = 0
    start_tag: float = 0.0
    served: float = 0.0
    parked: bool = False
    controller: delay.QueueDelay = attrs.field(factory=delay.QueueDelay)
    running: dict[str, JobState] = attrs.field(factory=dict)
    long: dict[str, JobState] = attrs.field(factory=dict)
    finished_s: float = float("-inf")
    counted_active: bool = False
    counted_waiting: bool = False

    @property
    def active(self) -> bool:
        """True if it has waiting jobs or holds credits."""
        return self.jobs > 0 or self.held > 0

    @property
    def eligible(self) -> bool:
        """True if it has a waiting job that may be served."""
        return self.jobs > 0 and not self.parked

    @property
    def need(self) -> float:
        """Held credits per weight; the least served flow has the lowest."""
        return self.held / self.weight

    def hold(self, state: JobState, credits: int, tasks: int) -> None:
        """Books credits that a job spends on `tasks` tasks."""
        if credits <= 0:
            return
        self.held += credits
        state.credits += credits
        self.running[state.item.job] = state
        if tasks > credits:
            state.long_credits += credits
            self.long[state.item.job] = state

    def release(self, credits: int, job: str) -> list[JobState]:
        """Books credits that came back.

        Args:
            credits: At most `held`.
            job: Whose they were; the oldest jobs' if it is not known.

        Returns:
            Jobs that hold no credits any more.
        """
        self.held -= credits
        ended = []
        state = self.running.get(job)
        while credits > 0 and self.running:
            if state is None:
                state = next(iter(self.running.values()))
            count = min(credits, state.credits)
            credits -= count
            state.credits -= count
            self.ask_back(state, max(0, state.long_credits - state.credits))
            if not state.credits:
                del self.running[state.item.job]
                ended.append(state)
            state = None
        return ended

    def adopt(self, state: JobState) -> None:
        """Replaces a job by its new state after a part was queued again."""
        job = state.item.job
        if job in self.running:
            self.running[job] = state
        if job in self.long:
            self.long[job] = state

    def ask_back(self, state: JobState, credits: int) -> None:
        """Books credits of long batches as asked back."""
        state.long_credits -= credits
        if not state.long_credits:
            self.long.pop(state.item.job, None)

    def push(self, state: JobState, order: int) -> None:
        """Queues a job.

        Notes:
            Jobs are served in the order in which they would finish if the
            flow's credits were shared evenly among them, so a small job
            doesn't wait for a large one. The flow's virtual time grows with
            all service, so a large job is overtaken only by so much work.
        """
        job_work_s = state.tasks * state.item.run_time_s
        tag = self.served + job_work_s
        heapq.heappush(self.queue, (tag, order, state))
        self.jobs += 1
        self.tasks += state.tasks
        self.work_s += job_work_s

    def head(self) -> JobState | None:
        """Returns the job that is served next."""
        while self.queue and not self.queue[0][2].waiting:
            heapq.heappop(self.queue)
        return self.queue[0][2] if self.queue else None

    def sent(self, state: JobState, tasks: int) -> None:
        """Takes tasks out of the queue, and the job with its last one."""
        done_s = tasks * state.item.run_time_s
        self.served += done_s / max(1, self.jobs)
        state.tasks -= tasks
        self.tasks -= tasks
        self.work_s = max(0.0, self.work_s - done_s)
        if state.tasks <= 0:
            self._leave(state)

    def drop(self, state: JobState) -> None:
        """Takes a job out of the queue."""
        if not state.waiting:
            return
        self.tasks -= state.tasks
        left_s = state.tasks * state.item.run_time_s
        self.work_s = max(0.0, self.work_s - left_s)
        self._leave(state)

    def _leave(self, state: JobState) -> None:
        """Ends a job's waiting; its heap entry goes later."""
        state.waiting = False
        self.jobs -= 1
        if not self.jobs:
            self.queue.clear()
            self.work_s = 0.0
            self.controller.emptied()
        elif len(self.queue) > STALE_LIMIT + STALE_FACTOR * self.jobs:
            self.queue = [entry for entry in self.queue if entry[2].waiting]
            heapq.heapify(self.queue)


@attrs.define(eq=False)
class ServiceQueue:
    """The flows of one service and their order.

    Attributes:
        flows: By customer and kind.
        by_tag: Heap of (start tag, order, flow) over eligible flows.
        by_need: Heap of (held per weight, start tag, order, flow).
        by_excess: Heap of (negative held per weight, order, flow) over flows
            that hold credits.
        order: Numbers heap entries, so that flows are never compared.
        virtual: Virtual time of the service.
        configured_weight: Sum over the flows of the configuration.
        active_weight: Sum over flows that wait or hold credits.
        waiting_weight: Sum over flows with waiting jobs.
        tasks: Tasks that wait.
        free: Free credits at the last call.
        total: All credits at the last call.
        reclaimed: Credits asked back that have not come yet.
        reclaimed_s: When some were last asked back.
    """

    flows: dict[work.Flow, FlowState] = attrs.field(factory=dict)
    by_tag: list = attrs.field(factory=list)
    by_need: list = attrs.field(factory=list)
    by_excess: list = attrs.field(factory=list)
    order: itertools.count = attrs.field(factory=itertools.count)
    virtual: float = 0.0
    configured_weight: float = 0.0
    active_weight: float = 0.0
    waiting_weight: float = 0.0
    tasks: int = 0
    free: int = 0
    total: int = 0
    reclaimed: int = 0
    reclaimed_s: float = float("-inf")

    def changed(self, flow: FlowState) -> None:
        """Updates sums and orders after a flow changed."""
        if flow.active != flow.counted_active:
            flow.counted_active = flow.active
            sign = 1.0 if flow.active else -1.0
            self.active_weight += sign * flow.weight
        waits = flow.jobs > 0
        if waits != flow.counted_waiting:
            flow.counted_waiting = waits
            self.waiting_weight += flow.weight if waits else -flow.weight
        if flow.eligible:
            self._push(self.by_tag, (flow.start_tag, next(self.order), flow))
            self._push(
                self.by_need,
                (flow.need, flow.start_tag, next(self.order), flow),
            )
        if flow.held:
            self._push(self.by_excess, (-flow.need, next(self.order), flow))

    def first_by_tag(self) -> FlowState | None:
        """Returns the eligible flow with the lowest start tag."""
        heap = self.by_tag
        while heap:
            tag, _, flow = heap[0]
            if flow.eligible and tag == flow.start_tag:
                return flow
            heapq.heappop(heap)
        return None

    def first_by_need(self) -> FlowState | None:
        """Returns the eligible flow with the fewest credits per weight."""
        heap = self.by_need
        while heap:
            need, tag, _, flow = heap[0]
            if flow.eligible and (need, tag) == (flow.need, flow.start_tag):
                return flow
            heapq.heappop(heap)
        return None

    def first_by_excess(self) -> FlowState | None:
        """Returns the flow with the most credits per weight."""
        heap = self.by_excess
        while heap:
            need, _, flow = heap[0]
            if flow.held and -need == flow.need:
                return flow
            heapq.heappop(heap)
        return None

    def skip_excess(self) -> tuple:
        """Takes out the first entry by excess, to see the next one."""
        return heapq.heappop(self.by_excess)

    def restore_excess(self, entries: list[tuple]) -> None:
        """Puts entries back that were taken out."""
        for entry in entries:
            heapq.heappush(self.by_excess, entry)

    def guaranteed(self, flow: FlowState) -> float:
        """Returns the credits that a flow finds at any time, at least 1."""
        weights = max(self.configured_weight, flow.weight)
        return max(1.0, self.total * flow.weight / weights)

    def fair(self, flow: FlowState) -> float:
        """Returns a flow's share among the flows active now, at least 1."""
        weights = self.active_weight
        if not flow.counted_active:
            weights += flow.weight
        return max(1.0, self.total * flow.weight / weights)

    def contended(self, flow: FlowState) -> bool:
        """Tells whether another flow waits or holds credits."""
        return self.active_weight > flow.weight * 1.000001

    def within_share(self, flow: FlowState) -> bool:
        """Tells whether a flow holds less than it is guaranteed."""
        return flow.held < self.guaranteed(flow)

    def rebuild(self) -> None:
        """Rebuilds orders and sums, as after a change of weights."""
        self.by_tag.clear()
        self.by_need.clear()
        self.by_excess.clear()
        self.active_weight = 0.0
        self.waiting_weight = 0.0
        for flow in self.flows.values():
            flow.counted_active = flow.counted_waiting = False
            self.changed(flow)

    def park(self, flow: FlowState, parked: bool) -> None:
        """Sets whether a flow may be served."""
        flow.parked = parked
        self.changed(flow)

    def _push(self, heap: list, entry: tuple) -> None:
        """Adds an entry; drops outdated ones if there are many."""
        heapq.heappush(heap, entry)
        if len(heap) > STALE_LIMIT + STALE_FACTOR * len(self.flows):
            fresh = {}
            for item in heap:
                if self._is_fresh(heap, item):
                    fresh[id(item[-1])] = item
            heap[:] = fresh.values()
            heapq.heapify(heap)

    def _is_fresh(self, heap: list, item: tuple) -> bool:
        """Tells whether a heap entry matches its flow."""
        flow = item[-1]
        if heap is self.by_excess:
            return flow.held > 0 and -item[0] == flow.need
        if heap is self.by_need:
            return flow.eligible and item[:2] == (flow.need, flow.start_tag)
        return flow.eligible and item[0] == flow.start_tag
