"""State of a flow and of its jobs.

`pools` orders the flows among each other; this module orders the jobs within
one flow and accounts for its credits.
"""

import heapq
import math
import typing

import attrs

from trefoilgw.admission import delay
from trefoilgw.admission import work

if typing.TYPE_CHECKING:
    from trefoilgw.admission.pools import Pool

# Time constant of the exponentially decaying demand. With a shorter one, chance
# variation looks like a flood; with a longer one, a flood is detected too late.
DEMAND_TIME_CONSTANT_S = 2.0
# A job queue is rebuilt when it has more than STALE_LIMIT entries plus
# STALE_FACTOR entries per waiting job; removed jobs stay in it until then.
STALE_FACTOR = 4
STALE_LIMIT = 64


@attrs.define(eq=False)
class JobState:
    """A job that waits or holds credits.

    Attributes:
        item: The work item as offered.
        flow: Flow that the job belongs to.
        queued_s: Monotonic time at which it was queued.
        tasks: Tasks that still wait to be sent.
        waiting: True while it is in the queue.
        started: True once some of its tasks were sent.
        delay_checked: True once its queue delay was checked.
        credits: Credits that its batches hold.
        reclaimable_credits: Credits of batches with more tasks than credits,
            minus those already reclaimed.
    """

    item: work.WorkItem
    flow: "FlowState"
    queued_s: float
    tasks: int
    waiting: bool = True
    started: bool = False
    delay_checked: bool = False
    credits: int = 0
    reclaimable_credits: int = 0


@attrs.define(eq=False)
class FlowState:
    """State of one flow at one service.

    Attributes:
        flow: Customer and kind.
        service: Service that its tasks need.
        pool: Pool of credits that it competes for.
        weight: Share relative to the other flows, positive.
        queue: Heap of (finish tag, sequence number, job); may hold removed
            jobs.
        jobs: Number of jobs that wait.
        tasks: Number of tasks that wait.
        work_s: Expected run time of all waiting tasks, in task-seconds.
        held: Credits that its batches hold.
        start_tag: Virtual time at which its next grant starts.
        virtual_time: Virtual time inside the flow; orders its jobs.
        parked: True while it may not be served even if jobs wait.
        demand: Offered task-seconds per second, that is credits, averaged
            over the last seconds up to `demand_updated_s`.
        demand_updated_s: When `demand` was last updated.
        above_share: True if it demands more than its fair share.
        flooding: True if it demands more than `pools.FLOOD_FACTOR` times its
            fair share.
        delay_controller: Controls its queue delay.
        running: Jobs that hold credits by key, oldest first.
        reclaimable_jobs: Those of them with `reclaimable_credits`.
        last_finished_s: When a task of the flow last finished.
        counted_active: Value of `active` counted in the sums of its pool.
        counted_tasks: Value of `tasks` counted in the sums of its pool.
    """

    flow: work.Flow
    service: str
    pool: "Pool"
    weight: float
    queue: list = attrs.field(factory=list)
    jobs: int = 0
    tasks: int = 0
    work_s: float = 0.0
    held: int = 0
    start_tag: float = 0.0
    virtual_time: float = 0.0
    parked: bool = False
    demand: float = 0.0
    demand_updated_s: float = 0.0
    above_share: bool = False
    flooding: bool = False
    delay_controller: delay.QueueDelay = attrs.field(factory=delay.QueueDelay)
    running: dict[str, JobState] = attrs.field(factory=dict)
    reclaimable_jobs: dict[str, JobState] = attrs.field(factory=dict)
    last_finished_s: float = float("-inf")
    counted_active: bool = False
    counted_tasks: int = 0

    @property
    def active(self) -> bool:
        """True if the flow has waiting jobs or holds credits."""
        return self.jobs > 0 or self.held > 0

    @property
    def eligible(self) -> bool:
        """True if the flow has a waiting job that may be served."""
        return self.jobs > 0 and not self.parked

    @property
    def held_per_weight(self) -> float:
        """Held credits per weight; lowest for the least served flow."""
        return self.held / self.weight

    def add_demand(self, work_s: float, now_s: float) -> None:
        """Adds task-seconds to the demand, which decays exponentially."""
        elapsed_s = now_s - self.demand_updated_s
        if elapsed_s > 0.0:
            self.demand *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
            self.demand_updated_s = now_s
        self.demand += work_s / DEMAND_TIME_CONSTANT_S

    def hold(self, state: JobState, credits: int, tasks: int) -> None:
        """Records credits that a job spends on `tasks` tasks."""
        if credits <= 0:
            return
        self.held += credits
        state.credits += credits
        self.running[state.item.job] = state
        if tasks > credits:
            state.reclaimable_credits += credits
            self.reclaimable_jobs[state.item.job] = state

    def release(self, credits: int, job: str) -> list[JobState]:
        """Records returned credits.

        Args:
            credits: Credits returned, at most `held`.
            job: Key of the job that held them. What it does not hold is taken
                from the oldest jobs.

        Returns:
            Jobs that no longer hold credits.
        """
        self.held -= credits
        finished = []
        state = self.running.get(job)
        while credits > 0 and self.running:
            if state is None:
                state = next(iter(self.running.values()))
            count = min(credits, state.credits)
            credits -= count
            state.credits -= count
            self.mark_reclaimed(
                state, max(0, state.reclaimable_credits - state.credits)
            )
            if not state.credits:
                del self.running[state.item.job]
                finished.append(state)
            state = None
        return finished

    def replace_job(self, state: JobState) -> None:
        """Replaces a running job's state after some tasks were requeued."""
        job = state.item.job
        if job in self.running:
            self.running[job] = state
        if job in self.reclaimable_jobs:
            self.reclaimable_jobs[job] = state

    def mark_reclaimed(self, state: JobState, credits: int) -> None:
        """Records credits of a job as reclaimed."""
        state.reclaimable_credits -= credits
        if not state.reclaimable_credits:
            self.reclaimable_jobs.pop(state.item.job, None)

    def enqueue(self, state: JobState, sequence: int) -> None:
        """Queues a job.

        Notes:
            Jobs are served in the order in which they would finish if the
            flow's credits were shared evenly among them, so a small job
            doesn't wait for a large one. The flow's virtual time advances with
            every task served, so only a bounded amount of later work can
            overtake a large job.
        """
        job_work_s = state.tasks * state.item.run_time_s
        tag = self.virtual_time + job_work_s
        heapq.heappush(self.queue, (tag, sequence, state))
        self.jobs += 1
        self.tasks += state.tasks
        self.work_s += job_work_s

    def head(self) -> JobState | None:
        """Returns the job that is served next, or None if none waits."""
        while self.queue and not self.queue[0][2].waiting:
            heapq.heappop(self.queue)
        return self.queue[0][2] if self.queue else None

    def dequeue_sent(self, state: JobState, tasks: int) -> None:
        """Dequeues tasks that were sent, and the job with its last task."""
        sent_work_s = tasks * state.item.run_time_s
        self.virtual_time += sent_work_s / max(1, self.jobs)
        state.tasks -= tasks
        self.tasks -= tasks
        self.work_s = max(0.0, self.work_s - sent_work_s)
        if state.tasks <= 0:
            self._end_waiting(state)

    def dequeue(self, state: JobState) -> None:
        """Dequeues a job with all its waiting tasks."""
        if not state.waiting:
            return
        self.tasks -= state.tasks
        waiting_work_s = state.tasks * state.item.run_time_s
        self.work_s = max(0.0, self.work_s - waiting_work_s)
        self._end_waiting(state)

    def _end_waiting(self, state: JobState) -> None:
        """Marks a job as no longer waiting; its heap entry is removed later."""
        state.waiting = False
        self.jobs -= 1
        if not self.jobs:
            self.queue.clear()
            self.work_s = 0.0
            self.delay_controller.reset()
        elif len(self.queue) > STALE_LIMIT + STALE_FACTOR * self.jobs:
            self.queue = [entry for entry in self.queue if entry[2].waiting]
            heapq.heapify(self.queue)
