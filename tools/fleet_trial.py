"""Discrete-event trial of schedulers and runners under a load pattern.

The decisions are those of the product: `scheduling.Scheduler`,
`room.CapacityAllocator` and, in a weighted fleet, `links.Links` and
`reach.ReachWeight` exchange their messages with a delay. There is no
network and there are no processes, so a trial compares policies and counts
messages, but doesn't measure the product.
"""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions as room_actions
from trefoilgw.room import core as room
from trefoilgw.runner import links as runner_links
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import reach as scheduling_reach
from trefoilgw.subsets import core as subsets
from trefoilgw.work import core as work

SERVICE = "proof"
STRETCH = 1.6
LATENCY_S = 0.06
# An answer within this many times the objective is late, but still of use.
LATE_FACTOR = 3.0
LATE_VALUE = 0.2
# Time from sending a message to the end of its handling by the receiver.
MESSAGE_DELAY_S = (0.0005, 0.0025)
# Time of a call of the target by its runner.
CALL_S = 0.0015
SCHEDULER_TICK_S = 0.02
RUNNER_TICK_S = 0.05
# Length of the windows of which the worst ones are reported.
WINDOW_S = 2.0
# Processor time of a scheduler for a message, a submission and a ping, on a
# core. Assumed; only hosts with `Fleet.processors` spend it.
MESSAGE_CPU_S = 0.0003
SUBMISSION_CPU_S = 0.001
PING_CPU_S = 0.0001
PING_INTERVAL_S = 0.3
# Time to open a stream, until the next attempt, and until a record of a
# scheduler has reached all runners.
DIAL_S = 0.005
REDIAL_S = 0.3
GOSSIP_S = 0.5
# Standard deviation of the logarithm of declared over actual run times.
DECLARED_SPREAD = 0.35


@attrs.frozen
class Kind:
    """A kind of job.

    Attributes:
        name: Name of its queue.
        jobs_s: Mean rate of submissions, over all schedulers.
        tasks: Mean number of tasks of a job.
        run_s: Mean run time of a task on a target of normal speed.
        millicores: Capacity that a task needs.
        priority: Priority of its queue.
    """

    name: str
    jobs_s: float
    tasks: int
    run_s: float
    millicores: int = 10_000
    priority: int = 0

    @property
    def queue(self) -> work.Queue:
        """The queue of its jobs."""
        return work.Queue(
            self.name,
            "h",
            f"/{self.name}/",
            SERVICE,
            self.priority,
            3,
            STRETCH,
            LATENCY_S,
        )


@attrs.frozen
class Burst:
    """A time in which more jobs of a kind are submitted.

    Attributes:
        kind: Name of the kind.
        from_s: Begin of the burst.
        to_s: End of the burst.
        factor: Ratio to the usual rate of submissions.
    """

    kind: str
    from_s: float
    to_s: float
    factor: float


@attrs.frozen
class Fleet:
    """Sizes of a fleet.

    Attributes:
        schedulers: Number of schedulers.
        runners: Number of runners.
        domains: Number of failure domains.
        millicores: Capacity of a target; every third has half as much again.
        speeds: Speeds of the targets, in turn.
        unevenness: Standard deviation of the logarithm of the schedulers'
            shares of the submissions.
        shares: Relative submissions of a scheduler by failure domain, in turn;
            empty to draw them by `unevenness`.
        processors: Processors of a scheduler's host by failure domain, in
            turn; empty if they are never short.
        streams: Schedulers that each runner is connected to, 0 for the rule
            of the product.
        weighted: Whether the schedulers' weights move streams.
    """

    schedulers: int
    runners: int
    domains: int = 3
    millicores: int = 64_000
    speeds: Sequence[float] = (0.8, 1.0, 1.25)
    unevenness: float = 0.4
    shares: Sequence[float] = ()
    processors: Sequence[float] = ()
    streams: int = 0
    weighted: bool = False

    def capacity(self, number: int) -> int:
        """Returns the millicores of a target."""
        return self.millicores * (3 if number % 3 == 2 else 2) // 2

    def speed(self, number: int) -> float:
        """Returns the speed of a target."""
        return self.speeds[number // self.domains % len(self.speeds)]


@attrs.define(eq=False)
class JobRecord:
    """What became of a job.

    Attributes:
        kind: Name of its kind.
        at_s: Time of its submission.
        objective_s: Time in which it should be answered.
        work: Core-seconds of work.
        scheduler: Name of its scheduler.
        ended_s: Time of the answer, None before it.
        outcome: The answer.
    """

    kind: str
    at_s: float
    objective_s: float
    work: float
    scheduler: str = ""
    ended_s: float | None = None
    outcome: object = None

    @property
    def value(self) -> float:
        """1 if it was done in time, `LATE_VALUE` if late, else 0."""
        if not isinstance(self.outcome, actions.Completed):
            return 0.0
        took_s = self.ended_s - self.at_s
        if took_s <= self.objective_s:
            return 1.0
        return LATE_VALUE if took_s <= LATE_FACTOR * self.objective_s else 0.0


@attrs.define(eq=False)
class _Stream:
    """Delivers the messages of one direction in order."""

    trial: "Trial"
    deliver: Callable[[object], None]
    last_s: float = 0.0

    def send(self, message: object) -> None:
        self.trial.messages[type(message).__name__] += 1
        delay_s = self.trial.rng.uniform(*MESSAGE_DELAY_S)
        self.last_s = max(self.last_s, self.trial.now_s + delay_s)
        self.trial.at(self.last_s, self.deliver, message)


@attrs.define(eq=False)
class _Runner:
    """A runner with its target."""

    trial: "Trial"
    name: str
    speed: float
    allocator: room.CapacityAllocator
    streams: dict[str, _Stream] = attrs.field(factory=dict)
    links: runner_links.Links | None = None

    def receive(self, owner: str, message: object) -> None:
        now_s = self.trial.now_s
        match message:
            case messages.StartRuns():
                self.allocator.start_runs(owner, message, now_s)
            case messages.StopRuns():
                self.allocator.stop_runs(owner, message)
            case messages.Bid():
                self.allocator.update_bid(owner, message, now_s)
        self.flush()

    def tick(self) -> None:
        now_s = self.trial.now_s
        for owner in self.streams:
            self.allocator.renew_authority(owner, now_s)
            self.allocator.set_reach(owner, self.trial.reach(owner))
        self.allocator.tick(now_s)
        self.flush()

    def learn_reach(self) -> None:
        for link in self.links.links.values():
            link.runners = self.trial.reach(link.address)

    def flush(self) -> None:
        now_s = self.trial.now_s
        self.allocator.offer_capacity(now_s)
        self.allocator.report_capacity(now_s)
        for action in self.allocator.take_actions():
            match action:
                case room_actions.SendMessage(owner=owner, message=message):
                    if isinstance(message, messages.RunEnded):
                        ending = f"{message.ending} {message.reason}".strip()
                        self.trial.endings[ending] += 1
                    if owner in self.streams:
                        self.streams[owner].send(message)
                case room_actions.Start(task=task, run=run):
                    self.trial.after(CALL_S, self.started, task, run)
                case room_actions.Stop(task=task, run=run):
                    ending = work.Ending.STOPPED
                    self.trial.after(CALL_S, self.ended, task, run, ending)

    def started(self, task: str, run: int) -> None:
        self.allocator.run_started(task, run, self.trial.now_s)
        run_s = self.trial.run_times[task] / self.speed
        self.trial.after(run_s, self.ended, task, run, work.Ending.DONE)
        self.flush()

    def ended(self, task: str, run: int, ending: work.Ending) -> None:
        self.allocator.run_ended(task, run, ending, self.trial.now_s)
        self.flush()


@attrs.define(eq=False)
class _Scheduler:
    """A scheduler with its callers.

    Attributes:
        processors: Processors of its host, infinite if they are never short.
        busy_until_s: Time at which it will have handled all that has arrived.
    """

    trial: "Trial"
    name: str
    state: scheduling.Scheduler
    processors: float = math.inf
    busy_until_s: float = 0.0
    reach: scheduling_reach.ReachWeight = attrs.field(init=False)
    alive: bool = True
    streams: dict[str, _Stream] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        known = 1.0 if math.isinf(self.processors) else self.processors
        weight = subsets.host_weight(known)
        self.reach = scheduling_reach.ReachWeight(weight)

    def record(self) -> messages.SchedulerRecord:
        """Returns what the runners learn about it."""
        issued_ms = round(self.trial.now_s * 1000)
        return messages.SchedulerRecord(
            self.name,
            self.state.domain,
            self.name,
            1,
            True,
            self.reach.weight,
            issued_ms,
        )

    def measure(self) -> None:
        """Measures the load and passes a changed weight on."""
        if self.alive and self.reach.measure(
            self.state.runner_views.values(),
            self.state.admitted_cpu,
            self.trial.now_s,
        ):
            self.trial.after(GOSSIP_S, self.trial.pass_on, self.record())

    def spend(self, cpu_s: float, call: Callable, *args) -> None:
        """Calls a function once the processor has done it and all before."""
        if math.isinf(self.processors):
            call(*args)
            return
        begin_s = max(self.trial.now_s, self.busy_until_s)
        self.busy_until_s = begin_s + cpu_s / self.processors
        self.trial.at(self.busy_until_s, call, *args)

    def ping(self) -> None:
        """Spends the processor time of the pings of all runners."""
        self.spend(len(self.streams) * PING_CPU_S, lambda: None)

    def receive(self, runner: str, message: object) -> None:
        self.spend(MESSAGE_CPU_S, self.handle, runner, message)

    def handle(self, runner: str, message: object) -> None:
        if runner not in self.streams:
            return
        now_s = self.trial.now_s
        match message:
            case messages.CapacityReport():
                self.state.capacity_reported(runner, message, now_s)
            case messages.Offer():
                self.state.capacity_offered(runner, message, now_s)
            case messages.RunEnded():
                self.state.run_ended(runner, message, now_s)
            case messages.ActiveRuns():
                self.state.reconcile_runs(runner, message, now_s)
        self.flush()

    def submit(self, spec: work.JobSpec, record: JobRecord) -> None:
        self.spend(SUBMISSION_CPU_S, self.admit, spec, record)

    def admit(self, spec: work.JobSpec, record: JobRecord) -> None:
        if not self.alive:
            return
        now_s = self.trial.now_s
        result = self.state.submit(spec, 1, now_s)
        if isinstance(result, actions.Rejected):
            record.ended_s, record.outcome = now_s, result
        self.flush()

    def tick(self) -> None:
        self.spend(0.0, self.update, self.trial.now_s)

    def update(self, due_s: float) -> None:
        """Handles a tick that was due at a time."""
        if self.alive:
            self.state.lateness.measure(self.trial.now_s - due_s)
            self.state.tick(self.trial.now_s)
            self.flush()

    def flush(self) -> None:
        for action in self.state.take_actions():
            match action:
                case actions.SendMessage(runner=runner, message=message):
                    if runner in self.streams:
                        self.streams[runner].send(message)
                case actions.Answer(job=job, outcome=outcome):
                    record = self.trial.jobs[job.key]
                    record.ended_s = self.trial.now_s
                    record.outcome = outcome


@attrs.define(eq=False)
class _OpenStream:
    """The stream of a link, which the trial closes."""

    trial: "Trial"
    runner: _Runner
    link: runner_links.Link

    def send(self, message: object) -> None:
        """Does nothing, as pings are not played."""

    def close(self, reason: str) -> None:
        self.trial.disconnect(self.runner, self.link)


@attrs.define(eq=False, slots=False)
class _Links(runner_links.Links):
    """Streams of a runner that are opened by the trial."""

    open_link: Callable[[runner_links.Link], None] = attrs.field(kw_only=True)

    def _dial(self, address: str, now_s: float) -> None:
        self.links[address] = runner_links.Link(address, now_s)
        self.open_link(self.links[address])


@attrs.define(eq=False)
class Trial:
    """One trial of a fleet under a load.

    Attributes:
        fleet: Sizes of the fleet.
        kinds: Kinds of jobs.
        bursts: Times with more load.
        seed: Seed of all random choices.
        now_s: Simulated time.
        jobs: Records by key of the job.
        run_times: Run time of each task on a target of normal speed.
        messages: Number of messages sent by type.
        endings: Number of ended attempts by ending and reason.
        runners: The runners.
    """

    fleet: Fleet
    kinds: Sequence[Kind]
    bursts: Sequence[Burst] = ()
    seed: int = 1
    now_s: float = 0.0
    jobs: dict[str, JobRecord] = attrs.field(factory=dict)
    run_times: dict[str, float] = attrs.field(factory=dict)
    messages: collections.Counter = attrs.field(factory=collections.Counter)
    endings: collections.Counter = attrs.field(factory=collections.Counter)
    rng: random.Random = attrs.field(init=False)
    _schedulers: dict = attrs.field(factory=dict)
    runners: list = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    def at(self, at_s: float, call: Callable, *args) -> None:
        """Calls a function at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), call, args))

    def after(self, delay_s: float, call: Callable, *args) -> None:
        """Calls a function after a delay."""
        self.at(self.now_s + delay_s, call, *args)

    def run(self, duration_s: float) -> "Trial":
        """Runs the trial until all jobs submitted in a time have ended."""
        schedulers = self._build()
        shares = self.fleet.shares
        weights = [
            shares[number % len(shares)]
            if shares
            else self.rng.lognormvariate(0.0, self.fleet.unevenness)
            for number in range(len(schedulers))
        ]
        for kind in self.kinds:
            for at_s in self._arrivals(kind, duration_s):
                scheduler = self.rng.choices(schedulers, weights)[0]
                self._plan_job(kind, at_s, scheduler)
        end_s = duration_s + 10.0
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    def _build(self) -> list[_Scheduler]:
        """Returns the schedulers, connected to the runners."""
        domains = [f"d{x}" for x in range(self.fleet.domains)]
        processors = self.fleet.processors or (math.inf,)
        schedulers = {
            f"s{x}": _Scheduler(
                self,
                f"s{x}",
                scheduling.Scheduler(domains[x % len(domains)], rng=self.rng),
                processors[x % len(processors)],
            )
            for x in range(self.fleet.schedulers)
        }
        self._schedulers = schedulers
        members = [
            subsets.Member(name, x.state.domain)
            for name, x in schedulers.items()
        ]
        for scheduler in schedulers.values():
            self._repeat(SCHEDULER_TICK_S, scheduler.tick)
            if self.fleet.processors:
                self._repeat(PING_INTERVAL_S, scheduler.ping)
            if self.fleet.weighted:
                interval_s = scheduling_reach.MEASURE_INTERVAL_S
                self._repeat(interval_s, scheduler.measure)
        for number in range(self.fleet.runners):
            runner = self._make_runner(number)
            self.runners.append(runner)
            domain = domains[number % len(domains)]
            if self.fleet.weighted:
                self._add_links(runner, domain)
                self._repeat(RUNNER_TICK_S, runner.tick)
                continue
            limit = self.fleet.streams or subsets.stream_count(
                len(members), len(members), self.fleet.runners
            )
            chosen = subsets.select_members(
                subsets.Member(runner.name, domain), members, (), limit
            )
            for name in sorted(chosen):
                self._connect(runner, domain, schedulers[name])
            self._repeat(RUNNER_TICK_S, runner.tick)
        return list(schedulers.values())

    def _make_runner(self, number: int) -> _Runner:
        """Returns a runner whose target is known."""
        allocator = room.CapacityAllocator()
        capacity = work.Demand(self.fleet.capacity(number), 1_000_000, 0)
        allocator.target_reported(
            work.Target(f"t{number}", 1, SERVICE, capacity, False, 1)
        )
        allocator.runs_reconciled = True
        return _Runner(self, f"r{number}", self.fleet.speed(number), allocator)

    def _connect(
        self, runner: _Runner, domain: str, scheduler: _Scheduler
    ) -> None:
        """Opens the stream between a runner and a scheduler."""

        def to_runner(message):
            if scheduler.streams.get(runner.name) is forth:
                runner.receive(scheduler.name, message)

        def to_scheduler(message):
            if runner.streams.get(scheduler.name) is back:
                scheduler.receive(runner.name, message)

        forth, back = _Stream(self, to_runner), _Stream(self, to_scheduler)
        scheduler.streams[runner.name] = forth
        runner.streams[scheduler.name] = back
        now_s = self.now_s
        scheduler.state.runner_connected(runner.name, "i", domain, now_s)
        runner.allocator.owner_connected(scheduler.name, now_s)

    def _add_links(self, runner: _Runner, domain: str) -> None:
        """Lets a runner select its schedulers by itself."""
        runner.links = _Links(
            subsets.Member(runner.name, domain),
            None,
            runner.allocator,
            lambda: self.now_s,
            runner.flush,
            open_link=lambda link: self.after(
                DIAL_S, self._open, runner, domain, link
            ),
        )
        records = [x.record() for x in self._schedulers.values()]
        runner.links.known.merge_records(records, 0.0)
        self._repeat(runner_links.IDLE_PING_INTERVAL_S, runner.learn_reach)
        self._repeat(runner_links.SELECTION_INTERVAL_S, runner.links.select)
        runner.links.select()

    def _open(
        self, runner: _Runner, domain: str, link: runner_links.Link
    ) -> None:
        """Opens the stream of a link once its scheduler answers."""
        scheduler = self._schedulers[link.address]
        if not link.wanted:
            return
        if not scheduler.alive:
            self.after(REDIAL_S, self._open, runner, domain, link)
            return
        link.owner = scheduler.name
        link.stream = _OpenStream(self, runner, link)
        link.retiring_since_s = None
        self._connect(runner, domain, scheduler)
        runner.flush()

    def disconnect(self, runner: _Runner, link: runner_links.Link) -> None:
        """Closes the stream of a link; it is dialed again while wanted."""
        link.stream = None
        link.down_since_s = self.now_s
        scheduler = self._schedulers[link.address]
        del scheduler.streams[runner.name], runner.streams[scheduler.name]
        scheduler.state.runner_disconnected(runner.name)
        runner.allocator.owner_disconnected(scheduler.name, self.now_s)
        domain = runner.links.own.domain
        self.after(REDIAL_S, self._open, runner, domain, link)

    def pass_on(self, record: object) -> None:
        """Tells all runners a record of a scheduler."""
        for runner in self.runners:
            runner.links.known.merge_records((record,), self.now_s)

    def kill(self, name: str) -> None:
        """Ends a scheduler and its streams."""
        self._schedulers[name].alive = False
        for runner in self.runners:
            link = runner.links.links.get(name)
            if link is not None and link.stream is not None:
                self.disconnect(runner, link)

    def _repeat(self, interval_s: float, call: Callable) -> None:
        """Calls a function at an interval, from a random moment on."""

        def tick():
            call()
            self.after(interval_s, tick)

        self.at(self.rng.uniform(0.0, interval_s), tick)

    def _arrivals(self, kind: Kind, duration_s: float) -> list[float]:
        """Returns the times of the submissions of a kind."""
        bursts = [x for x in self.bursts if x.kind == kind.name]
        peak = max([1.0, *(x.factor for x in bursts)])
        times = []
        at_s = 0.0
        while True:
            at_s += self.rng.expovariate(kind.jobs_s * peak)
            if at_s >= duration_s:
                return times
            factor = max(
                [1.0] + [x.factor for x in bursts if x.from_s <= at_s < x.to_s]
            )
            if self.rng.random() < factor / peak:
                times.append(at_s)

    def _plan_job(self, kind: Kind, at_s: float, scheduler: _Scheduler) -> None:
        """Draws a job and submits it at a time."""
        key = f"j{len(self.jobs)}"
        count = max(1, round(self.rng.lognormvariate(-0.08, 0.4) * kind.tasks))
        job_run_s = kind.run_s * self.rng.lognormvariate(-0.08, 0.4)
        declared_s = job_run_s * self.rng.lognormvariate(0.0, DECLARED_SPREAD)
        millicores = round(kind.millicores * self.rng.uniform(0.8, 1.2))
        demand = work.Demand(millicores, 64, 0)
        names = [f"{key}.0.0.{x}" for x in range(count)]
        for name in names:
            self.run_times[name] = job_run_s * self.rng.uniform(0.85, 1.15)
        longest_s = max(self.run_times[x] for x in names)
        record = JobRecord(
            kind.name,
            at_s,
            STRETCH * longest_s + LATENCY_S,
            sum(self.run_times[x] for x in names) * millicores / 1000,
            scheduler.name,
        )
        self.jobs[key] = record
        spec = work.JobSpec(
            key,
            kind.queue,
            "p",
            tuple(work.TaskSpec(x, demand, declared_s) for x in names),
        )
        self.at(at_s, scheduler.submit, spec, record)

    # Results.

    def reach(self, scheduler: str) -> int:
        """Returns the number of runners connected to a scheduler."""
        return len(self._schedulers[scheduler].streams)

    def served_shares(self) -> dict[str, float]:
        """Returns the share of completed jobs by scheduler."""
        done: dict[str, int] = collections.Counter()
        known: dict[str, int] = collections.Counter()
        for record in self.jobs.values():
            known[record.scheduler] += 1
            done[record.scheduler] += isinstance(
                record.outcome, actions.Completed
            )
        return {x: done[x] / known[x] for x in sorted(known)}

    def value(self, kind: str | None = None) -> float:
        """Returns the mean value of the jobs of a kind, or of all."""
        values = [x.value for x in self.jobs.values() if kind in (None, x.kind)]
        return sum(values) / len(values) if values else math.nan

    def worst_value(self, windows: int = 2) -> float:
        """Returns the mean value of the worst windows, by work of the jobs."""
        earned: dict[int, float] = collections.defaultdict(float)
        owed: dict[int, float] = collections.defaultdict(float)
        for record in self.jobs.values():
            window = int(record.at_s / WINDOW_S)
            owed[window] += record.work
            earned[window] += record.value * record.work
        shares = sorted(earned[x] / owed[x] for x in owed)
        return sum(shares[:windows]) / windows

    def count(self, outcome: type) -> int:
        """Returns the number of jobs with an outcome of a type."""
        return sum(isinstance(x.outcome, outcome) for x in self.jobs.values())

    def refused_starts(self) -> float:
        """Returns the refused starts for each task that was done."""
        refused = sum(
            count
            for ending, count in self.endings.items()
            if ending.startswith(work.Ending.NOT_RUN)
        )
        return refused / max(1, self.endings["done"])

    def summary(self) -> str:
        """Returns the results as text."""
        kinds = " ".join(
            f"{x.name} {self.value(x.name):.3f}" for x in self.kinds
        )
        return (
            f"value {self.value():.3f} worst {self.worst_value():.3f} {kinds}"
            f" rejected {self.count(actions.Rejected) / len(self.jobs):.3f}"
            f" refused starts {self.refused_starts():.3f}"
            f" messages a job {self.messages.total() / len(self.jobs):.1f}"
        )


def scale_load(
    fleet: Fleet, kinds: Sequence[Kind], utilization: float
) -> tuple[Kind, ...]:
    """Returns the kinds at rates that need a share of the fleet's capacity."""
    needed = sum(x.jobs_s * x.tasks * x.run_s * x.millicores for x in kinds)
    capacity = sum(
        fleet.capacity(x) * fleet.speed(x) for x in range(fleet.runners)
    )
    factor = utilization * capacity / needed
    return tuple(attrs.evolve(x, jobs_s=factor * x.jobs_s) for x in kinds)
