"""Processes with a virtual clock, for the property test of the ends of runs.

Each callback of a process and each of its greenthreads is a greenlet. They
wait for the virtual clock only, so that a history runs in milliseconds and the
same seed gives the same order of events. A process may be stopped as by
SIGSTOP, also at any reading of its clock. What becomes due meanwhile happens
afterwards in an order that the event loop allows.
"""

import collections
import contextlib
import functools
import heapq
import itertools
import random
import types
from collections.abc import Callable
from unittest import mock

import attrs
import greenlet

from trefoilgw.runner import driving
from trefoilgw.runner import links
from trefoilgw.runner import program
from trefoilgw.subsets import core as subsets

START_S = 1000.0
# Time that each callback takes which became due while the process was stopped.
MAX_BACKLOG_STEP_S = 0.002

_active_worlds: list["World"] = []


class ViolationError(AssertionError):
    """A run was at work, or started, after it was reported as ended."""


class SortedSet(set):
    """A set whose order doesn't depend on the hashes of strings."""

    def __iter__(self):
        return iter(sorted(super().__iter__()))

    def __sub__(self, other):
        return SortedSet(super().__sub__(set(other)))


def _select_members(*args) -> SortedSet:
    """Selects schedulers as the product, in a fixed order."""
    return SortedSet(subsets.select_members(*args))


@attrs.define(eq=False)
class Process:
    """A process of the product.

    Attributes:
        name: Name for the trace.
        offset_s: Time by which its clock is ahead of the world's.
        alive: False once it was killed.
        stopped: Whether it is stopped.
        backlog: What became due while it was stopped.
        stuck: Greenlet in which it was stopped, or None.
        readings_left: Readings of the clock until it is stopped in the middle
            of a callback, 0 if it won't be.
        spawns_left: Greenthreads that it spawns until it is stopped after the
            present callback, 0 if it won't be.
        stop_s: Length of these stops.
        stop_after_reading: Whether the stop follows the reading, so that the
            callback goes on with an old time.
    """

    name: str
    offset_s: float = 0.0
    alive: bool = True
    stopped: bool = False
    backlog: list = attrs.field(factory=list)
    stuck: greenlet.greenlet | None = None
    readings_left: int = 0
    spawns_left: int = 0
    stop_s: float = 0.0
    stop_after_reading: bool = False


@attrs.frozen
class Wakeup:
    """Resumes a greenlet unless another wakeup of the same wait did it.

    Attributes:
        waiter: The greenlet.
        value: What its wait returns.
        used: Gets an item once the wait is over.
    """

    waiter: greenlet.greenlet
    value: object
    used: list


@attrs.frozen(order=False)
class Due:
    """Something that happens at a time, to a process or to the world.

    Attributes:
        due_s: When.
        number: Order among those of the same time.
        process: The process, None for the world.
        is_input: Whether it is data that the process reads, not a timer.
        action: Callback, or a `Wakeup`.
    """

    due_s: float
    number: int
    process: Process | None
    is_input: bool
    action: Callable[[], None] | Wakeup


class World:
    """The virtual clock and what is due.

    Attributes:
        rng: Source of all choices that the operations leave open.
        now_s: The time.
        current: Process whose code runs.
        trace: Time and text of what happened.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now_s = START_S
        self.current: Process | None = None
        self.trace: list[tuple[float, str]] = []
        self._due: list[tuple[float, int, Due]] = []
        self._numbers = itertools.count()
        self._hub = greenlet.getcurrent()
        self._blocked: set[greenlet.greenlet] = set()

    def note(self, text: str, *args) -> None:
        """Adds a line to the trace."""
        self.trace.append((self.now_s - START_S, text.format(*args)))

    def after(
        self,
        delay_s: float,
        action: Callable[[], None] | Wakeup,
        process: Process | None = None,
        is_input: bool = False,
    ) -> None:
        """Lets something happen after a delay."""
        due = Due(
            self.now_s + delay_s,
            next(self._numbers),
            process,
            is_input,
            action,
        )
        heapq.heappush(self._due, (due.due_s, due.number, due))

    def run(self, until_s: float) -> None:
        """Runs all that is due until a time, counted from the start."""
        end_s = START_S + until_s
        while self._due and self._due[0][0] <= end_s:
            due_s, _, due = heapq.heappop(self._due)
            self.now_s = max(self.now_s, due_s)
            self._happen(due)
        self.now_s = max(self.now_s, end_s)

    def _happen(self, due: Due) -> None:
        """Carries out what is due, or keeps it for a stopped process."""
        process = due.process
        if process is None:
            due.action()
        elif process.stopped:
            process.backlog.append(due)
        elif process.alive:
            action = due.action
            if not isinstance(action, Wakeup):
                self._enter(process, greenlet.greenlet(action, self._hub))
            elif not action.used:
                action.used.append(True)
                self._enter(process, action.waiter, action.value)

    def _enter(self, process: Process, entered, *value) -> None:
        """Runs a greenlet of a process until it waits or ends."""
        self.current = process
        try:
            entered.switch(*value)
        finally:
            self.current = None

    def block(self) -> object:
        """Waits in a greenlet of a process; returns the wakeup's value."""
        waiter = greenlet.getcurrent()
        self._blocked.add(waiter)
        value = self._hub.switch()
        self._blocked.discard(waiter)
        return value

    def sleep(self, delay_s: float) -> None:
        """Lets a greenlet of a process wait for a time."""
        if self.current is not None:
            wakeup = Wakeup(greenlet.getcurrent(), None, [])
            self.after(delay_s, wakeup, self.current)
            self.block()

    def spawn(self, function: Callable, *args) -> None:
        """Runs a function of the current process in the next turn."""
        process = self.current
        if process is None:
            return
        self.after(0.0, functools.partial(function, *args), process)
        if process.spawns_left:
            process.spawns_left -= 1
            if not process.spawns_left:
                self.stop(process, process.stop_s)

    def clock(self) -> float:
        """Returns the time on the clock of the current process.

        The process may be stopped here.
        """
        process = self.current
        if process is None:
            return self.now_s
        if process.readings_left:
            process.readings_left -= 1
            if not process.readings_left:
                reading_s = self.now_s + process.offset_s
                process.stuck = greenlet.getcurrent()
                self.stop(process, process.stop_s)
                self.block()
                if process.stop_after_reading:
                    return reading_s
        return self.now_s + process.offset_s

    def stop(self, process: Process, duration_s: float) -> None:
        """Stops a process for a time as by SIGSTOP."""
        if process.alive and not process.stopped:
            self.note("{} stopped for {:.3f} s", process.name, duration_s)
            process.stopped = True
            self.after(duration_s, lambda: self._resume(process))

    def _resume(self, process: Process) -> None:
        """Lets a stopped process go on."""
        if not process.alive:
            return
        self.note("{} goes on", process.name)
        process.stopped = False
        timers = [x for x in process.backlog if not x.is_input]
        inputs = [x for x in process.backlog if x.is_input]
        self.rng.shuffle(inputs)
        process.backlog = []
        inputs_first = self.rng.random() < 0.5
        ordered = inputs + timers if inputs_first else timers + inputs
        step_s = self.rng.choice((0.0, MAX_BACKLOG_STEP_S))
        for position, due in enumerate(ordered):
            self.after(position * step_s, due.action, process, due.is_input)
        stuck, process.stuck = process.stuck, None
        if stuck is not None:
            self._enter(process, stuck, None)

    def close(self) -> None:
        """Ends all greenlets that still wait."""
        self._due.clear()
        for waiter in list(self._blocked):
            waiter.throw()


class Event:
    """Takes the place of eventlet's event."""

    def __init__(self):
        self.values = []
        self.waiters = []

    def ready(self) -> bool:
        """Returns whether it was sent."""
        return bool(self.values)

    def wait(self) -> object:
        """Waits until it is sent, and returns the value."""
        if not self.values:
            world = _active_worlds[-1]
            self.waiters.append((greenlet.getcurrent(), world.current))
            world.block()
        return self.values[0]

    def send(self, value: object = None) -> None:
        """Wakes those that wait."""
        self.values.append(value)
        for waiter, process in self.waiters:
            wakeup = Wakeup(waiter, None, [])
            _active_worlds[-1].after(0.0, wakeup, process)


@contextlib.contextmanager
def active(world: World):
    """Lets the product's runner wait for the clock of a world."""
    fake = types.SimpleNamespace(
        sleep=world.sleep,
        spawn_n=world.spawn,
        event=types.SimpleNamespace(Event=Event),
    )
    selection = types.SimpleNamespace(
        select_members=_select_members,
        stream_count=subsets.stream_count,
        mean_choosers=subsets.mean_choosers,
        floor_share=subsets.floor_share,
        selection_weights=subsets.selection_weights,
        Member=subsets.Member,
    )
    patches = (
        mock.patch.object(driving, "eventlet", fake),
        mock.patch.object(driving, "event", fake.event),
        mock.patch.object(links, "eventlet", fake),
        mock.patch.object(links, "subsets", selection),
        mock.patch.object(program, "eventlet", fake),
        mock.patch.object(
            program, "clock", types.SimpleNamespace(boottime=world.clock)
        ),
    )
    _active_worlds.append(world)
    try:
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            try:
                yield
            finally:
                world.close()
    finally:
        _active_worlds.pop()


@attrs.define(eq=False)
class Pipe:
    """One direction of a stream: ordered, and held up while it is cut.

    Attributes:
        world: The world.
        route: Sending and receiving host.
        receive: Called with each item that arrives.
        cuts: Time at which each cut route is open again.
        broken: Whether all that is sent is lost.
    """

    world: World
    route: tuple[str, str]
    receive: Callable[[object], None]
    cuts: dict[tuple[str, str], float]
    broken: bool = False
    _items: collections.deque = attrs.field(factory=collections.deque)
    _moving: bool = False

    def send(self, item: object) -> None:
        """Sends an item."""
        if self.broken:
            return
        delay_s = self.world.rng.uniform(0.0005, 0.003)
        self._items.append((self.world.now_s + delay_s, item))
        if not self._moving:
            self._moving = True
            self.world.after(delay_s, self._move)

    def break_off(self) -> None:
        """Loses what is under way and all that is sent later."""
        self.broken = True
        self._items.clear()

    def _move(self) -> None:
        """Delivers the items that are due."""
        world = self.world
        open_s = self.cuts.get(self.route, 0.0)
        if world.now_s < open_s:
            delay_s = world.rng.uniform(0.0, 0.2)
            world.after(open_s - world.now_s + delay_s, self._move)
            return
        while self._items and self._items[0][0] <= world.now_s + 1e-9:
            self.receive(self._items.popleft()[1])
        if self._items:
            world.after(self._items[0][0] - world.now_s, self._move)
        else:
            self._moving = False
