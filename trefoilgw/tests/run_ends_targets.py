"""A model of the target and its client, for the property test of run ends.

The target follows the platform's protocol: leases on its own steady clock,
which may be slow and begins anew with each life, deadlines that are cut to the
longest lease and never shorten, a fence below which nothing is done and which
each life has yet to see, stops that take a while, and calls that are lost,
unanswered or carried out late.
"""

from collections.abc import Callable

import attrs
import greenlet

from trefoilgw.platform import targets
from trefoilgw.tests import run_ends_kernel as kernel
from trefoilgw.work import core as work
from trefoilgw.work import orders

MAX_LEASE_S = 1.0
RUN_STOP_S = 0.05
LATEST_S = 5.0
CORES = 4
DURATIONS_S = (0.05, 0.3, 1.0, 3.0, 6.0)
MAX_DELAY_S = 0.003
# How calls may go wrong; `lost` ones are not carried out.
MODES = (
    "lost",
    "unanswered",
    "late",
    "refused",
    "reset",
    "unhealthy",
    "slow",
    "mixed",
)
# Results of calls that fail at once.
FAILURES = {
    "refused": orders.NoAnswer(False, "refused"),
    "reset": orders.NoAnswer(True, "reset"),
    "unhealthy": orders.Refused(orders.RefusalReason.UNHEALTHY),
}
CALLS = ("start", "stop", "hold")

RunKey = tuple[str, int]


class Running(dict):
    """Runs that a target lists, in a fixed order."""

    def keys(self):
        """Returns the runs."""
        return kernel.SortedSet(self)


@attrs.define(eq=False)
class Life:
    """One life of a target.

    Attributes:
        instance: Its name.
        started_ms: When it started.
        origin_s: World time at which its clock was at 0.
        rate: Speed of its clock.
        up: False once it has ended.
        runs: Start and duration of each run that is at work.
        stopping: Runs that are being stopped.
        highest: Highest run that was stopped or has ended, by task.
        ended: Ends that are not confirmed.
        last_end: Number of the last end.
        deadline_s: End of the lease on its clock.
        waiting: Answers to `hold` that wait for an end.
        sequence: Number of its last report.
        fence: Highest fence of a call.
    """

    instance: str
    started_ms: int
    origin_s: float
    rate: float
    up: bool = True
    runs: dict[RunKey, tuple[float, float]] = attrs.field(factory=dict)
    stopping: set[RunKey] = attrs.field(factory=set)
    highest: dict[str, int] = attrs.field(factory=dict)
    ended: list[orders.RunEnd] = attrs.field(factory=list)
    last_end: int = 0
    deadline_s: float = 0.0
    waiting: list[Callable[[], None]] = attrs.field(factory=list)
    sequence: int = 0
    fence: int = 0


class Target:
    """A target; see the module.

    Attributes:
        world: The world.
        name: Name for the trace.
        life: Its present life.
        durations_s: Possible lengths of its runs.
        mode: How calls go wrong now, or empty.
        mode_calls: Calls that go wrong.
        mode_until_s: Until when.
        on_start: Called with the target and each run before it starts.
    """

    def __init__(self, world, name: str, on_start: Callable):
        self.world = world
        self.name = name
        self.on_start = on_start
        self.durations_s = DURATIONS_S
        self.mode = ""
        self.mode_calls: tuple[str, ...] = ()
        self.mode_until_s = 0.0
        self.born_ms = 1_000_000
        self.instances = 1
        self.life = self._begin(f"{name}-1")

    def _begin(self, instance: str) -> Life:
        """Returns a new life."""
        rng = self.world.rng
        self.born_ms += 1000
        return Life(
            instance,
            self.born_ms,
            self.world.now_s - rng.choice((0.0, 3.0, 400.0)),
            rng.choice((1.0, 0.99, 0.98)),
        )

    def restart(self, same_instance: bool) -> None:
        """Ends the present life and begins the next one."""
        life = self.life
        life.up = False
        for key in life.runs:
            self.world.note("{} {} ends with its life", self.name, key)
        life.runs.clear()
        if not same_instance:
            self.instances += 1
        self.life = self._begin(f"{self.name}-{self.instances}")
        self.world.note(
            "{} restarts as {} born {}",
            self.name,
            self.life.instance,
            self.life.started_ms,
        )

    def report(self) -> work.Target:
        """Returns what the target says about itself."""
        life = self.life
        life.sequence += 1
        return work.Target(
            life.instance,
            life.started_ms,
            "service",
            work.Demand(CORES * 1000, 4096, 0),
            False,
            life.sequence,
        )

    def clock_s(self, life: Life) -> float:
        """Returns the time on the clock of a life."""
        return (self.world.now_s - life.origin_s) * life.rate

    # Calls.

    def _rejection(self, instance: str, fence: int):
        """Returns why a call has no effect, None if it has one."""
        life = self.life
        if instance != life.instance:
            return orders.OtherInstance()
        if fence < life.fence:
            return orders.Refused(
                orders.RefusalReason.FENCED, self.clock_s(life)
            )
        life.fence = fence
        return None

    def start(self, instance: str, fence: int, key: RunKey, deadline_s: float):
        """Carries out a start."""
        life = self.life
        task, run = key
        rejected = self._rejection(instance, fence)
        if rejected is not None:
            return rejected
        clock_s = self.clock_s(life)
        if key in life.runs:
            self._extend(life, deadline_s)
            return orders.Accepted(clock_s)
        if run <= life.highest.get(task, -1):
            self._extend(life, deadline_s)
            return orders.Refused(orders.RefusalReason.OLD, clock_s)
        if deadline_s <= clock_s:
            return orders.Refused(orders.RefusalReason.LATE, clock_s)
        self._extend(life, deadline_s)
        if len(life.runs) >= CORES:
            return orders.Refused(orders.RefusalReason.ROOM, clock_s)
        self.on_start(self, key)
        duration_s = self.world.rng.choice(self.durations_s)
        life.runs[key] = (self.world.now_s, duration_s)
        ending = work.Ending.DONE
        if self.world.rng.random() < 0.1:
            ending = work.Ending.FAILED
        self.world.after(duration_s, lambda: self._end(life, key, ending))
        return orders.Accepted(clock_s)

    def stop(self, instance: str, fence: int, key: RunKey):
        """Carries out a stop."""
        life = self.life
        task, run = key
        rejected = self._rejection(instance, fence)
        if rejected is not None:
            return rejected
        life.highest[task] = max(run, life.highest.get(task, -1))
        if key in life.runs and key not in life.stopping:
            life.stopping.add(key)
            self.world.after(
                self.world.rng.choice((0.0, 0.02, RUN_STOP_S - 0.001)),
                lambda: self._end(life, key, work.Ending.STOPPED),
            )
        return orders.Accepted(self.clock_s(life))

    def hold(
        self,
        instance: str,
        fence: int,
        deadline_s: float | None,
        confirmed: int,
        wait_s: float,
        answer: Callable,
    ) -> None:
        """Carries out a hold and answers at once or when a run ends."""
        life = self.life
        rejected = self._rejection(instance, fence)
        if rejected is not None:
            answer(rejected)
            return
        if deadline_s is not None:
            self._extend(life, deadline_s)
        life.ended = [x for x in life.ended if x.number > confirmed]
        done = []

        def complete():
            if not done and life.up:
                done.append(True)
                answer(self._listing(life))

        if life.ended or wait_s <= 0.0:
            complete()
        else:
            life.waiting.append(complete)
            self.world.after(wait_s, complete)

    def _listing(self, life: Life) -> orders.RunListing:
        """Returns the lists of a life."""
        progress = {
            key: int(100 * min(1.0, (self.world.now_s - begun_s) / length_s))
            / 100
            for key, (begun_s, length_s) in life.runs.items()
        }
        return orders.RunListing(
            self.clock_s(life),
            life.started_ms,
            Running(progress),
            tuple(life.ended),
        )

    def _extend(self, life: Life, deadline_s: float) -> None:
        """Extends the lease of all runs; it never shortens."""
        clock_s = self.clock_s(life)
        deadline_s = min(deadline_s, clock_s + MAX_LEASE_S)
        if deadline_s > life.deadline_s:
            life.deadline_s = deadline_s
            self.world.after(
                max(0.0, deadline_s - clock_s) / life.rate,
                lambda: self._lapse(life, deadline_s),
            )

    def _lapse(self, life: Life, deadline_s: float) -> None:
        """Ends all runs if the lease was not extended."""
        if life.up and life.deadline_s <= deadline_s:
            for key in list(life.runs):
                self._end(life, key, work.Ending.LOST)

    def _end(self, life: Life, key: RunKey, ending: work.Ending) -> None:
        """Ends a run that is still at work."""
        if not life.up or key not in life.runs:
            return
        del life.runs[key]
        life.stopping.discard(key)
        task, run = key
        life.highest[task] = max(run, life.highest.get(task, -1))
        life.last_end += 1
        life.ended.append(orders.RunEnd(life.last_end, task, run, ending))
        self.world.note("{} {} ends: {}", self.name, key, ending)
        waiting, life.waiting = life.waiting, []
        for complete in waiting:
            complete()


@attrs.define(eq=False)
class Client:
    """Takes the place of `targets.TargetClient` in one runner process.

    Attributes:
        target: The target.
        process: The runner process.
        in_progress: Number of calls in progress.
        queued: Greenlets that wait for a connection.
    """

    target: Target
    process: kernel.Process
    in_progress: int = 0
    queued: list = attrs.field(factory=list)

    def start(self, instance, fence, task, run, payload, lease_end_s):
        """See `targets.TargetClient`."""
        deadline_s = int(lease_end_s * 1000) / 1000
        return self._call(
            "start",
            (task, run),
            targets.ORDER_TIMEOUT_S,
            lambda answer: answer(
                self.target.start(instance, fence, (task, run), deadline_s)
            ),
        )

    def stop(self, instance, fence, task, run):
        """See `targets.TargetClient`."""
        return self._call(
            "stop",
            (task, run),
            targets.ORDER_TIMEOUT_S,
            lambda answer: answer(
                self.target.stop(instance, fence, (task, run))
            ),
        )

    def hold(self, instance, fence, lease_end_s, confirmed, wait_s):
        """See `targets.TargetClient`."""
        deadline_s = None
        if lease_end_s is not None:
            deadline_s = int(lease_end_s * 1000) / 1000
        return self._call(
            "hold",
            deadline_s,
            wait_s + targets.HOLD_MARGIN_S,
            lambda answer: self.target.hold(
                instance, fence, deadline_s, confirmed, wait_s, answer
            ),
        )

    def _call(self, call: str, detail, timeout_s: float, carry_out: Callable):
        """Makes a call once fewer than the longest number are in progress."""
        world = self.target.world
        while self.in_progress >= targets.MAX_CONNECTIONS:
            self.queued.append(greenlet.getcurrent())
            world.block()
        self.in_progress += 1
        answer = self._exchange(call, timeout_s, carry_out)
        self.in_progress -= 1
        if self.queued:
            wakeup = kernel.Wakeup(self.queued.pop(0), None, [])
            world.after(0.0, wakeup, self.process)
        if call != "hold" or not isinstance(answer, orders.RunListing):
            world.note(
                "{} {} {} at {}: {}",
                self.process.name,
                call,
                detail,
                self.target.name,
                answer,
            )
        return answer

    def _exchange(self, call: str, timeout_s: float, carry_out: Callable):
        """Sends a call and waits for its answer or the time limit."""
        world = self.target.world
        rng = world.rng
        waiter, used = greenlet.getcurrent(), []
        mode = self._mode(call)
        delay_s = rng.uniform(0.0003, MAX_DELAY_S)

        def answer(value, delay_s=0.0):
            wakeup = kernel.Wakeup(waiter, value, used)
            world.after(delay_s, wakeup, self.process, True)

        def respond(value):
            if mode in ("unanswered", "reset"):
                return
            back_s = rng.uniform(0.0003, MAX_DELAY_S)
            if mode == "slow":
                back_s = timeout_s * rng.uniform(0.5, 1.05)
            answer(value, back_s)

        if mode in FAILURES:
            answer(FAILURES[mode], delay_s)
        executed_s = self._execution_delay_s(mode, delay_s)
        if executed_s is not None:
            world.after(executed_s, lambda: carry_out(respond))
        timed_out = kernel.Wakeup(
            waiter, orders.NoAnswer(True, "timed out"), used
        )
        world.after(timeout_s, timed_out, self.process)
        return world.block()

    def _execution_delay_s(self, mode: str, delay_s: float) -> float | None:
        """Returns when a call is carried out, None if it never is."""
        rng = self.target.world.rng
        match mode:
            case "refused" | "unhealthy" | "lost":
                return None
            case "late":
                return rng.uniform(0.01, LATEST_S)
            case "reset" if rng.random() < 0.5:
                return None
        return delay_s

    def _mode(self, call: str) -> str:
        """Returns how a call goes wrong, or nothing."""
        target, rng = self.target, self.target.world.rng
        if target.world.now_s >= target.mode_until_s:
            return ""
        if call not in target.mode_calls:
            return ""
        if target.mode == "mixed":
            return rng.choice(("", *MODES[:-1]))
        return target.mode
