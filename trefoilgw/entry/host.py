"""State of a home that its filters share.

The decisions are made by the packages whose objects are held here. This
module only keeps them together with the clock and the open streams.
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

# A longer gap of the clock means that peers and agents may have taken this
# entry for dead; see section 5 of the design page.
PAUSE_S = 5.0


@attrs.define
class InFlight:
    """A batch that an agent holds credits for.

    Attributes:
        agent: Incarnation of the agent.
        job: Id of the job.
        customer: Name of the customer.
        kind: Name of the kind.
        credits: Credits that have not come back.
        tasks: Tasks of the batch.
        sent_s: Monotonic time of sending.
        left: Tasks without an outcome.
    """

    agent: str
    job: str
    customer: str
    kind: str
    credits: int
    tasks: int
    sent_s: float
    left: int = attrs.field()

    @left.default
    def _all_left(self) -> int:
        return self.tasks


@attrs.define(eq=False)
class Host:
    """One entry's state.

    Attributes:
        incarnation: 16 hex digits, new at every process start.
        domain: Failure domain.
        table: Job table.
        windows: Windows of the tickets issued here.
        epochs: Epochs whose own keys are accepted here.
        admission: Quotas, fair queueing and queue delay.
        placement: Credits and choice of agents.
        budget: Retry budget per customer.
        heartbeats: Suspicion and removal of agents.
        outliers: Ejection of agents and poison kinds.
        counts: Metrics.
        now: Monotonic clock in seconds.
        rng: Source of chance.
        follow: Carries out a result of the job table.
        dispatch_waiting: Places and sends work that waits.
        configuration: Configuration in force, None if none is known.
        services: Names of the services that it lists.
        roster: Roster of entries.
        agents: Open agent session by agent incarnation.
        peers: Open peer by entry incarnation.
        in_flight: Batch number to what an agent holds.
        queued: Job id to the tasks that wait at admission.
        schedule: Calls a function once after a delay in seconds.
        leaving: True once the entry takes no new jobs.
        open_requests: Callers' requests without an answer.
        clock_s: When the clock was read last.
    """

    incarnation: str
    domain: str
    table: jobs.JobTable
    windows: keys.TicketWindows
    epochs: keys.AcceptedEpochs
    admission: object
    placement: object
    budget: object
    heartbeats: object
    outliers: object
    counts: counters.Counters
    now: Callable[[], float] = time.monotonic
    rng: random.Random = attrs.field(factory=random.Random)
    follow: Callable = lambda result, now_s: None
    dispatch_waiting: Callable = lambda: None
    schedule: Callable = lambda delay_s, callback: None
    configuration: object | None = None
    services: tuple[str, ...] = ()
    roster: keys.RosterView = attrs.field(factory=keys.RosterView)
    agents: dict = attrs.field(factory=dict)
    peers: dict = attrs.field(factory=dict)
    in_flight: dict = attrs.field(factory=dict)
    queued: dict = attrs.field(factory=dict)
    leaving: bool = False
    open_requests: int = 0
    clock_s: float | None = None
    _waiters: dict = attrs.field(factory=dict)
    _batch_numbers: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def read_clock(self) -> float:
        """Returns the time, after dealing with a pause of this process.

        Everything that answers or decides reads the clock here, so that jobs
        from before a pause have ended by then.
        """
        now_s = self.now()
        last_s = self.clock_s
        self.clock_s = now_s
        if last_s is not None and now_s - last_s > PAUSE_S:
            self.counts.pauses += 1
            for ended in self.table.process_paused(now_s):
                self.follow(ended, now_s)
        return now_s

    def next_batch(self) -> int:
        """Returns a batch number that was not used before."""
        return next(self._batch_numbers)

    def release(
        self, batch: int, credits: int | None, run_s: float, now_s: float
    ) -> None:
        """Books credits of a batch as no longer in use.

        Args:
            batch: Number.
            credits: How many, None for all that are left.
            run_s: Mean run time of the tasks reported, 0 if none ran.
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

    def wait_for(self, job_id: str, timeout_s: float) -> None:
        """Blocks until a job ends, at most `timeout_s`."""
        waiter = self._waiters.get(job_id)
        if waiter is None:
            waiter = self._waiters[job_id] = event.Event()
        waiter.wait(timeout=timeout_s)

    def wake(self, job_id: str) -> None:
        """Ends all waiting for a job."""
        waiter = self._waiters.pop(job_id, None)
        if waiter is not None:
            waiter.send()

    def send(self, stream, message) -> bool:
        """Queues a message on a stream and counts it."""
        self.counts.sent(message)
        return stream.send(message)
