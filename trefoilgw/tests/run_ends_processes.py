"""Schedulers, runners and streams, for the property test of run ends.

The decisions, the driver, the links of a runner and the streams' handling in a
scheduler are the product's own. Sockets, timers and processes are the model's.
"""

import types

import attrs
import greenlet

from trefoilgw.messages import runs as messages
from trefoilgw.metrics import core as metrics
from trefoilgw.room import owners
from trefoilgw.runner import links
from trefoilgw.runner import program
from trefoilgw.scheduler import clients
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.streams import redialling
from trefoilgw.tests import run_ends_kernel as kernel
from trefoilgw.tests import run_ends_targets as targets
from trefoilgw.timers import core as timers
from trefoilgw.work import core as work
from trefoilgw.work import hosting

QUEUE = work.Queue("queue", "host", "/", "service", 0, 3, 20.0, 5.0)
SCHEDULER_TICK_S = 0.05
REPORT_INTERVAL_S = 0.5
# Steps of the time of day of a host, by the number of its runner process.
CLOCK_STEPS_MS = (0, 0, -5000)
# Items of a stream besides messages.
CONNECT = object()
CHALLENGE = object()
CLOSED = object()
assert owners.AUTHORITY_S < 1.0


@attrs.define(eq=False)
class StreamEnd:
    """One end of a stream; takes the place of `streams.Stream`.

    Attributes:
        world: The world.
        process: The process that has it.
        hello: What opened the stream.
        welcome: Its answer, None before it has arrived.
        pipe: Takes what is sent.
        inbox: What has arrived and is not read.
        outbox: What is not written.
        started: Whether messages are read.
        closed: Whether this process has closed it, or read that the other has.
        received_s: Time of the last read.
        opening: Wakes the greenthread that waits for the welcome, or None.
        dialed_s: When the runner began to dial.
    """

    world: kernel.World
    process: kernel.Process
    hello: object = None
    welcome: object = None
    pipe: kernel.Pipe | None = None
    inbox: list = attrs.field(factory=list)
    outbox: list = attrs.field(factory=list)
    started: bool = False
    closed: bool = False
    received_s: float = 0.0
    opening: kernel.Wakeup | None = None
    dialed_s: float = 0.0
    on_message: object = None
    on_closed: object = None
    _read_due: bool = False

    def start(self, on_message, on_closed, may_yield=True) -> None:
        """Begins to read."""
        self.on_message, self.on_closed = on_message, on_closed
        self.started = True
        self.received_s = self.world.now_s
        self._schedule_read()

    def send(self, message) -> bool:
        """Queues a message; it is written in the next turn."""
        if self.closed:
            return False
        self.outbox.append(message)
        if len(self.outbox) == 1:
            self.world.spawn(self._write)
        return True

    def _write(self) -> None:
        """Writes what is queued."""
        outbox, self.outbox = self.outbox, []
        if not self.closed:
            for message in outbox:
                self.pipe.send(message)

    def close(self, reason: str) -> None:
        """Closes the stream; what is not written is lost."""
        if self.closed:
            return
        self.closed = True
        self.pipe.send(CLOSED)
        if self.started:
            self.world.spawn(self.on_closed, self, reason)

    def silence_s(self) -> float:
        """Returns the seconds since something was last read."""
        return self.world.now_s - self.received_s

    def arrive(self, item: object) -> None:
        """Takes an item from the network, also while the process is stopped."""
        if self.closed or not self.process.alive:
            if item is not CLOSED:
                self.pipe.broken = False
                self.pipe.send(CLOSED)
            return
        self.inbox.append(item)
        if self.opening is not None:
            self.world.after(0.0, self.opening, self.process, True)
            self.opening = None
        self._schedule_read()

    def _schedule_read(self) -> None:
        """Lets the event loop read what has arrived."""
        ready = self.started and self.inbox and not self.closed
        if ready and not self._read_due:
            self._read_due = True
            self.world.after(0.0, self._read, self.process, True)

    def _read(self) -> None:
        """Handles what has arrived."""
        self._read_due = False
        self.received_s = self.world.now_s
        while self.inbox and not self.closed:
            item = self.inbox.pop(0)
            if item is CLOSED:
                self.close("closed by the peer")
            else:
                self.on_message(self, item)
        self._schedule_read()

    def reset(self) -> None:
        """Ends the stream for both sides and loses what is under way."""
        self.pipe.break_off()
        if not self.closed and self.process.alive:
            self.inbox.append(CLOSED)
            self._schedule_read()


@attrs.define(eq=False)
class Redialer:
    """Takes the place of `redialling.Redialer` in one runner process."""

    fleet: "Fleet"
    runner: "RunnerProcess"

    def maintain_stream(self, address, is_wanted, serve) -> None:
        """See `redialling.Redialer`."""
        world = self.fleet.world
        delay_s = redialling.MIN_REDIAL_DELAY_S
        while is_wanted():
            stream = self.dial(address)
            if stream is None:
                world.sleep(delay_s * world.rng.uniform(0.7, 1.3))
                delay_s = min(redialling.MAX_REDIAL_DELAY_S, delay_s * 2)
                continue
            delay_s = redialling.MIN_REDIAL_DELAY_S
            serve(stream)

    def dial(self, address) -> StreamEnd | None:
        """Opens a stream, or returns None."""
        fleet, world = self.fleet, self.fleet.world
        position = fleet.addresses[address]
        names = (self.runner.name, f"scheduler{position}")
        hello = messages.RunnerHello(
            1, self.runner.name, self.runner.incarnation, ""
        )
        near = StreamEnd(world, self.runner.process, dialed_s=world.now_s)

        def connect(item):
            """Handles what arrives at the scheduler's host."""
            if item is CONNECT:
                far.process = fleet.schedulers[position].process
                if not far.process.alive:
                    far.pipe.send(CLOSED)
                    return
                fleet.streams.append((near, far))
                world.after(0.0, challenge, far.process, True)
            elif item is hello and far.process.alive:
                world.after(0.0, register, far.process, True)
            else:
                far.arrive(item)

        def challenge():
            """Answers a connection that was accepted."""
            far.pipe.send(CHALLENGE)

        def register():
            """Sends the welcome and registers the stream."""
            scheduler = fleet.schedulers[position]
            far.hello = hello
            far.pipe.send(
                types.SimpleNamespace(incarnation=scheduler.incarnation)
            )
            scheduler.clients._stream_opened(far)

        far = StreamEnd(world, None)
        near.pipe = kernel.Pipe(world, names, connect, fleet.cuts)
        far.pipe = kernel.Pipe(world, names[::-1], near.arrive, fleet.cuts)
        near.pipe.send(CONNECT)
        end_s = world.now_s + redialling.DIAL_TIMEOUT_S
        if self._next(near, end_s) is CHALLENGE:
            near.inbox.pop(0)
            near.pipe.send(hello)
            self._next(near, end_s)
        if not near.inbox or near.inbox[0] in (CLOSED, CHALLENGE):
            near.closed = True
            near.pipe.send(CLOSED)
            return None
        near.welcome = near.inbox.pop(0)
        return near

    def _next(self, near: StreamEnd, end_s: float) -> object:
        """Waits for the next item of the handshake; None after its limit."""
        world, used = self.fleet.world, []
        waiter = greenlet.getcurrent()
        near.opening = kernel.Wakeup(waiter, None, used)
        timed_out = kernel.Wakeup(waiter, None, used)
        delay_s = max(0.0, end_s - world.now_s)
        world.after(delay_s, timed_out, self.runner.process)
        world.block()
        near.opening = None
        return near.inbox[0] if near.inbox else None


@attrs.define(eq=False)
class Counts:
    """Takes the place of the runner's metrics."""

    registry: metrics.Registry = attrs.field(factory=metrics.Registry)
    start_seconds: object = attrs.field(
        factory=lambda: types.SimpleNamespace(observe=lambda value: None)
    )

    def register_gauges(self, allocator) -> None:
        """Does nothing."""

    def run_ended(self, ended) -> None:
        """Does nothing."""


class CheckedRunner(program.Runner):
    """The product's runner, whose reports of ended runs are checked."""

    fleet: "Fleet"

    def _run_ended(self, ended) -> None:
        """Checks a report before it is sent."""
        super()._run_ended(ended)
        self.fleet.check_ended(
            (ended.task, ended.run),
            f"{self.incarnation} reports {ended.ending} ({ended.reason})",
        )


class RunnerProcess:
    """One process of a runner.

    Attributes:
        name: Name of the host.
        incarnation: Name of the process.
        process: Its state.
        runner: The product's runner.
    """

    def __init__(self, fleet: "Fleet", position: int, number: int):
        world = fleet.world
        self.fleet = fleet
        self.name = f"runner{position}"
        self.incarnation = f"{self.name}-{number}"
        self.process = kernel.Process(
            self.incarnation, 10_000.0 * (position + 1)
        )
        settings = hosting.HostSettings(
            name=self.name,
            domain="",
            address="10.0.1.1",
            stream_port=1,
            seeds=tuple(x.partition(":")[0] for x in fleet.addresses),
            callers_address="",
            ready_address="",
            reports_address="",
            target_address="10.0.1.1:2",
            store_address="",
            lease_limit_s=targets.MAX_LEASE_S,
            run_stop_s=targets.RUN_STOP_S,
            stop_limit_s=6.0,
        )
        self.runner = CheckedRunner(
            settings, incarnation=self.incarnation, counts=Counts()
        )
        self.runner.fleet = fleet
        step_ms = CLOCK_STEPS_MS[number % len(CLOCK_STEPS_MS)]
        self.runner.driver.fence.token = fleet.wall_ms() + step_ms
        self.runner.driver.client = targets.Client(
            fleet.targets[position], self.process
        )
        self.runner.links.redialer = Redialer(fleet, self)
        world.after(0.0, self._start, self.process)

    def _start(self) -> None:
        """Starts as `program.Runner.start`."""
        world, runner = self.fleet.world, self.runner
        world.spawn(runner.driver.run)
        world.spawn(runner.driver.run_redundant_poll)
        self._repeat(program.TICK_S, runner._tick)
        self._repeat(links.PING_CHECK_INTERVAL_S, runner.links.ping)
        self._repeat(links.SELECTION_INTERVAL_S, runner.links.select)
        runner.links.select()

    def _repeat(self, interval_s: float, callback) -> None:
        """Calls back at an interval."""
        world = self.fleet.world

        def call():
            world.after(interval_s, call, self.process)
            callback()

        world.after(world.rng.uniform(0.0, interval_s), call, self.process)

    def report(self, target: work.Target) -> None:
        """Takes a report of a target."""
        self.fleet.world.after(
            0.0,
            lambda: self.runner._target_reported(target),
            self.process,
            True,
        )

    def leave(self, instance: str, started_ms: int) -> None:
        """Takes a deregistration of a target."""
        self.fleet.world.after(
            0.0,
            lambda: self.runner._target_left(instance, started_ms),
            self.process,
            True,
        )


@attrs.define(eq=False)
class Call:
    """A submission of a caller that waits for its answer."""

    spec: work.JobSpec
    scheduler: "SchedulerProcess"
    closed: bool = False
    answered: bool = False


class SchedulerProcess:
    """One process of a scheduler; see `scheduler.program.Program`.

    Attributes:
        incarnation: Name of the process.
        process: Its state.
        scheduler: The product's decisions.
        clients: The product's handling of streams.
        calls: Submissions that wait for their answer.
    """

    def __init__(self, fleet: "Fleet", position: int, number: int):
        world = fleet.world
        self.fleet = fleet
        self.incarnation = f"scheduler{position}-{number}"
        self.process = kernel.Process(
            self.incarnation, 100_000.0 * (position + 1)
        )
        self.scheduler = scheduling.Scheduler("", rng=world.rng)
        self.clients = clients.Clients(
            self.incarnation,
            self.scheduler,
            world.clock,
            self.flush,
            lambda stream, message: None,
            list,
            list,
            lambda runner, ended: None,
        )
        self.calls: list[Call] = []
        self._sent: dict[tuple[str, int], jobs.Task] = {}
        self._turn_s = 0.0
        world.after(0.0, self._start, self.process)

    def _start(self) -> None:
        """Starts the timers."""
        self._turn_s = self.fleet.world.clock()
        self._run_timers()

    def _run_timers(self) -> None:
        """Calls the timers, and before them the callback for pauses."""
        world = self.fleet.world
        now_s = world.clock()
        paused_s, self._turn_s = now_s - self._turn_s, now_s
        if paused_s > timers.PAUSE_THRESHOLD_S:
            for call in list(self.calls):
                if call.closed:
                    self.caller_left(call)
        due = [self._tick, self.clients.close_silent]
        world.rng.shuffle(due)
        for callback in due:
            callback()
        world.after(SCHEDULER_TICK_S, self._run_timers, self.process)

    def _tick(self) -> None:
        """Applies timeouts as `Program._tick`."""
        self.scheduler.tick(self.fleet.world.clock())
        self.flush()

    def submit(self, call: Call) -> None:
        """Admits a job as `Program.submit`."""
        if call.closed:
            return
        skew_ms = self.fleet.wall_skew_ms.get(self.incarnation, 0)
        result = self.scheduler.submit(
            call.spec,
            self.fleet.wall_ms() + skew_ms,
            self.fleet.world.clock(),
        )
        if isinstance(result, actions.Rejected):
            self.fleet.answered(call, result)
            return
        self.calls.append(call)
        self.flush()

    def caller_left(self, call: Call) -> None:
        """Cancels a job as `Program._caller_disconnected`."""
        if call not in self.calls:
            return
        self.calls.remove(call)
        if all(x.spec.key != call.spec.key for x in self.calls):
            self.scheduler.cancel(call.spec.key)
            self.flush()

    def flush(self) -> None:
        """Carries out the decisions as `Program.flush`."""
        self._check_sent()
        for action in self.scheduler.take_actions():
            match action:
                case actions.SendMessage(runner=runner, message=message):
                    self.clients.send(runner, message)
                case actions.Answer(job=job, outcome=outcome):
                    for call in list(self.calls):
                        if call.spec.key == job.key:
                            self.calls.remove(call)
                            self.fleet.answered(call, outcome)

    def _check_sent(self) -> None:
        """Checks the runs that the scheduler takes for ended since before."""
        before, self._sent = self._sent, {}
        for job in self.scheduler.admitted.values():
            for task in job.sent():
                self._sent[task.spec.name, task.run] = task
        for key, task in before.items():
            job = self.scheduler.admitted.get(key[0].partition(".")[0])
            ended = key not in self._sent and (
                job is None
                or task not in job.tasks
                or task.state is not jobs.TaskState.DONE
            )
            if ended and task.state is not jobs.TaskState.SENT:
                self.fleet.check_ended(
                    key, f"{self.incarnation} repeats or ends the task"
                )
            elif ended and task.run != key[1]:
                self.fleet.check_ended(
                    key, f"{self.incarnation} has sent the task again"
                )


class Fleet:
    """Hosts, their network and their callers, and what is checked.

    Attributes:
        world: The clock.
        ended: Who reported a run as ended, by run.
        answered_counts: Outcomes of jobs by kind.
    """

    def __init__(
        self,
        world: kernel.World,
        scheduler_count: int,
        runner_count: int,
        second_address: bool,
    ):
        self.world = world
        self.cuts: dict[tuple[str, str], float] = {}
        self.streams: list[tuple[StreamEnd, StreamEnd]] = []
        self.ended: dict[tuple[str, int], str] = {}
        self.sources: dict[str, str] = {}
        self.outcomes: dict[str, int] = {}
        self.wall_skew_ms: dict[str, int] = {}
        self.starts = 0
        self.addresses = {f"10.0.0.{x}:1": x for x in range(scheduler_count)}
        if second_address:
            self.addresses["10.0.0.9:1"] = 0
        self.targets = [
            targets.Target(world, f"target{x}", self.check_start)
            for x in range(runner_count)
        ]
        self.schedulers = [
            self._make_scheduler(x, 1) for x in range(scheduler_count)
        ]
        self.runners = [RunnerProcess(self, x, 1) for x in range(runner_count)]
        self.calls: list[Call] = []
        self._processes = [*self.schedulers, *self.runners]
        self._numbers: dict[str, int] = {}
        for position in range(runner_count):
            self._report(position)

    def wall_ms(self) -> int:
        """Returns the time of day in milliseconds."""
        return int((self.world.now_s - 900.0) * 1000)

    def _make_scheduler(self, position: int, number: int) -> SchedulerProcess:
        """Returns a new process of a scheduler."""
        made = SchedulerProcess(self, position, number)
        self.wall_skew_ms[made.incarnation] = self.world.rng.choice(
            (0, 0, 1703, -2301)
        )
        return made

    # What is checked.

    def check_start(self, target, key: tuple[str, int]) -> None:
        """Checks that a run may start at a target."""
        self.starts += 1
        self.world.note("{} {} starts", target.name, key)
        if key in self.ended:
            self.fail(f"{key} starts at {target.name}: {self.ended[key]}")
        for other in self.targets:
            for running in other.life.runs:
                if running[0] == key[0]:
                    text = f"{running} is at work at {other.name}"
                    self.fail(f"{key} starts at {target.name}: {text}")

    def check_ended(self, key: tuple[str, int], source: str) -> None:
        """Checks that a run that is reported as ended is not at work."""
        self.world.note("{}: {}", key, source)
        self.ended.setdefault(key, source)
        for target in self.targets:
            if key in target.life.runs:
                self.fail(f"{key} is at work at {target.name}: {source}")

    def fail(self, text: str) -> None:
        """Ends the history with a violation."""
        self.world.note("VIOLATION: {}", text)
        raise kernel.ViolationError(text)

    # Targets' reports.

    def restart_target(
        self, position: int, same_instance: bool, reports: bool
    ) -> None:
        """Restarts a target.

        Args:
            position: Its number.
            same_instance: Whether the next life has the same name.
            reports: Whether the next life reports when it begins. Otherwise its
                first reports are lost.
        """
        self.targets[position].restart(same_instance)
        if reports:
            self._send_report(position)

    def _report(self, position: int) -> None:
        """Lets a target report, now and at its interval."""
        world = self.world
        world.after(REPORT_INTERVAL_S, lambda: self._report(position))
        self._send_report(position)

    def _send_report(self, position: int) -> None:
        """Lets a target report now."""
        runner = self.runners[position]
        if runner.process.alive:
            runner.report(self.targets[position].report())

    # Callers.

    def submit(self, spec: work.JobSpec, position: int) -> None:
        """Submits a job to a scheduler."""
        scheduler = self.schedulers[position % len(self.schedulers)]
        if not scheduler.process.alive:
            self._submit_later(spec, 0.3)
            return
        call = Call(spec, scheduler)
        self.calls.append(call)
        self.world.note("{} to {}", spec.key, scheduler.incarnation)
        self.world.after(
            0.001, lambda: scheduler.submit(call), scheduler.process, True
        )

    def _submit_later(self, spec: work.JobSpec, delay_s: float) -> None:
        """Submits a job again."""
        position = self.world.rng.randrange(8)
        self.world.after(delay_s, lambda: self.submit(spec, position))

    def answered(self, call: Call, outcome) -> None:
        """Takes the answer to a call."""
        kind = type(outcome).__name__
        self.outcomes[kind] = self.outcomes.get(kind, 0) + 1
        if call.closed:
            return
        call.closed = True
        self.world.note("{} answered: {}", call.spec.key, kind)
        if kind == "Rejected":
            self._submit_later(call.spec, 0.3)

    def leave(self, call: Call) -> None:
        """Lets a caller leave; it submits the job again later."""
        if call.closed:
            return
        call.closed = True
        scheduler = call.scheduler
        self.world.note("{} leaves {}", call.spec.key, scheduler.incarnation)
        self.world.after(
            0.001,
            lambda: scheduler.caller_left(call),
            scheduler.process,
            True,
        )
        self._submit_later(call.spec, RESEND_S)

    # Processes.

    def kill(self, process: kernel.Process, silently: bool) -> None:
        """Kills a process, or its host without an end of its streams."""
        self.world.note("{} killed", process.name)
        process.alive = False
        process.stopped = False
        process.backlog.clear()
        for ends in self.streams:
            for end in ends:
                if end.process is process and not end.closed:
                    if silently:
                        end.pipe.break_off()
                    else:
                        end.pipe.send(CLOSED)

    def restart_runner(self, position: int, delay_s: float, silently: bool):
        """Kills a runner and starts it again later."""
        old = self.runners[position]
        if not old.process.alive:
            return
        self.kill(old.process, silently)
        number = int(old.incarnation.rpartition("-")[2]) + 1

        def start():
            self.world.note("{} starts again", old.name)
            self.runners[position] = RunnerProcess(self, position, number)

        self.world.after(delay_s, start)

    def restart_scheduler(self, position: int, delay_s: float, silently: bool):
        """Kills a scheduler and starts it again later; its callers leave."""
        old = self.schedulers[position]
        if not old.process.alive:
            return
        self.kill(old.process, silently)
        for call in self.calls:
            if call.scheduler is old:
                self.leave(call)
        number = int(old.incarnation.rpartition("-")[2]) + 1

        def start():
            self.world.note("scheduler{} starts again", position)
            self.schedulers[position] = self._make_scheduler(position, number)

        self.world.after(delay_s, start)


# Time after which a caller without an answer submits its job again.
RESEND_S = 1.3
