"""State of an entry that its filters share.

The decisions are made by the packages whose objects are held here. This
module only combines them with the clock and the open streams.
"""

import itertools
import random
import time
from collections.abc import Callable

import attrs
from eventlet import event

from trefoilgw.entry import counters
from trefoilgw.jobs import core as jobs
from trefoilgw.keys import core as keys

# After a longer gap between clock readings, peers and agents may have removed
# this entry as failed; see section 5 of the design page.
MIN_PAUSE_S = 5.0


@attrs.define
class BatchInFlight:
    """A batch that uses credits of an agent.

    Attributes:
        agent: Incarnation of the agent.
        job: Id of the job.
        customer: Name of the customer.
        kind: Name of the kind.
        credits: Credits that were not released yet.
        tasks: Number of tasks in the batch.
        sent_s: Monotonic time at which it was sent.
        tasks_left: Number of tasks without an outcome.
    """

    agent: str
    job: str
    customer: str
    kind: str
    credits: int
    tasks: int
    sent_s: float
    tasks_left: int = attrs.field()

    @tasks_left.default
    def _initial_tasks_left(self) -> int:
        return self.tasks


@attrs.define(eq=False)
class Host:
    """State of one entry.

    Attributes:
        incarnation: 16 hex digits, new at every process start.
        domain: Failure domain.
        table: Job table.
        windows: Windows of the tickets issued here.
        epochs: Epochs whose caller-chosen keys are accepted here.
        admission: Quotas, fair queueing and queue delay.
        placement: Credits and choice of agents.
        retry_budget: Retry budget per customer.
        heartbeats: Suspicion and removal of agents.
        outliers: Ejection of agents and poison kinds.
        counts: Counters for the metrics.
        now: Monotonic clock in seconds.
        rng: Random number generator.
        handle_job_event: Applies an event of the job table.
        dispatch_waiting: Places and sends waiting work.
        configuration: Configuration in force, None if none is known.
        services: Names of the services in the configuration.
        roster: Roster of entries.
        agents: Open agent session by agent incarnation.
        peers: Connected peer by entry incarnation.
        in_flight: Batches that use credits, by batch number.
        queued_tasks: Number of tasks waiting at admission, by job id.
        schedule: Calls a function once after a delay in seconds.
        leaving: True once the entry takes no new jobs.
        open_requests: Number of requests that are being answered.
        last_clock_read_s: Monotonic time at which `read_clock` was called last,
            None before.
    """

    incarnation: str
    domain: str
    table: jobs.JobTable
    windows: keys.TicketWindows
    epochs: keys.AcceptedEpochs
    admission: object
    placement: object
    retry_budget: object
    heartbeats: object
    outliers: object
    counts: counters.Counters
    now: Callable[[], float] = time.monotonic
    rng: random.Random = attrs.field(factory=random.Random)
    handle_job_event: Callable = lambda job_event, now_s: None
    dispatch_waiting: Callable = lambda: None
    schedule: Callable = lambda delay_s, callback: None
    configuration: object | None = None
    services: tuple[str, ...] = ()
    roster: keys.RosterView = attrs.field(factory=keys.RosterView)
    agents: dict = attrs.field(factory=dict)
    peers: dict = attrs.field(factory=dict)
    in_flight: dict = attrs.field(factory=dict)
    queued_tasks: dict = attrs.field(factory=dict)
    leaving: bool = False
    open_requests: int = 0
    last_clock_read_s: float | None = None
    _waiters: dict = attrs.field(factory=dict)
    _batch_numbers: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def read_clock(self) -> float:
        """Returns the monotonic time after handling a pause of this process.

        If the process was paused since the last call, this ends the jobs from
        before the pause. All code that answers or decides must read the clock
        here, so that it never acts for such a job.
        """
        now_s = self.now()
        last_s = self.last_clock_read_s
        self.last_clock_read_s = now_s
        if last_s is not None and now_s - last_s > MIN_PAUSE_S:
            self.counts.pauses += 1
            for job_event in self.table.process_paused(now_s):
                self.handle_job_event(job_event, now_s)
        return now_s

    def next_batch_number(self) -> int:
        """Returns a new batch number."""
        return next(self._batch_numbers)

    def release_credits(
        self, batch: int, credits: int | None, run_s: float, now_s: float
    ) -> None:
        """Tells admission that a batch no longer uses some of its credits.

        Args:
            batch: Number of the batch.
            credits: Credits to release, None for all that remain and to
                forget the batch.
            run_s: Mean run time of the reported tasks in seconds, 0 if none
                ran.
            now_s: Monotonic time.
        """
        held = self.in_flight.get(batch)
        if held is None:
            return
        count = held.credits if credits is None else min(credits, held.credits)
        held.credits -= count
        if credits is None:
            del self.in_flight[batch]
        if count:
            self.admission.finished(
                held.customer, held.kind, count, run_s, now_s, held.job
            )

    def wait_for_job(self, job_id: str, timeout_s: float) -> None:
        """Blocks until a job ends, for at most `timeout_s` seconds."""
        waiter = self._waiters.get(job_id)
        if waiter is None:
            waiter = self._waiters[job_id] = event.Event()
        waiter.wait(timeout=timeout_s)

    def wake_waiters(self, job_id: str) -> None:
        """Wakes all greenthreads that wait for a job."""
        waiter = self._waiters.pop(job_id, None)
        if waiter is not None:
            waiter.send()

    def send(self, stream, message) -> bool:
        """Queues a message on a stream and counts it.

        Returns:
            False if the stream is closed.
        """
        self.counts.record_sent(message)
        return stream.send(message)
