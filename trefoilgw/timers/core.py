"""The timer service, of which each process has one.

Callbacks are registered for a repeated interval or for a single delay. The
service also reports pauses of the whole process: a process that was stopped by
a signal or got no CPU time must check its leases before it continues. Callbacks
run in one greenthread and must not block.
"""

import heapq
import itertools
import logging
import random
import time
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event

# A gap between two turns of the loop counts as a pause above this. Shorter
# gaps are ordinary scheduling noise on a loaded machine.
PAUSE_THRESHOLD_S = 1.0
# Repeated timers without jitter are called at multiples of this, so that one
# wake-up of the process serves several of them.
ALIGNMENT_S = 0.05
# The loop sleeps at most this long, so that a pause is detected soon.
MAX_SLEEP_S = 0.25

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Timer:
    """A registered callback; `cancel` removes it.

    Attributes:
        callback: Called without arguments.
        interval_s: Seconds between calls, or None for a single call.
        jitter: Fraction of the interval, 0 to 1, by which each delay varies.
        active: False once canceled or, for a single call, once called.
    """

    callback: Callable[[], None]
    interval_s: float | None
    jitter: float
    active: bool = True

    def cancel(self) -> None:
        """Cancels the timer; the callback is not called again."""
        self.active = False


@attrs.define(eq=False)
class TimerService:
    """Calls registered callbacks when they are due.

    Attributes:
        rng: Source of jitter.
        now: Monotonic clock in seconds.
        phase_s: Offset of the aligned calls. It is random, so that not all
            hosts work at the same moments.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    now: Callable[[], float] = time.monotonic
    phase_s: float = attrs.field(init=False)
    _due: list = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _pause_callbacks: list = attrs.field(factory=list)
    _wake: event.Event = attrs.field(factory=event.Event)
    _running: bool = False

    def __attrs_post_init__(self):
        self.phase_s = self.rng.uniform(0.0, ALIGNMENT_S)

    def every(
        self,
        interval_s: float,
        callback: Callable[[], None],
        jitter: float = 0.0,
    ) -> Timer:
        """Calls `callback` every `interval_s` seconds until canceled.

        Without jitter and with an interval of at least `ALIGNMENT_S`, the first
        call is at a multiple of that, and all calls keep to the interval.
        """
        timer = Timer(callback, interval_s, jitter)
        self._schedule_repeated(timer, self.now())
        return timer

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Calls `callback` once, `delay_s` seconds from now."""
        timer = Timer(callback, None, 0.0)
        self._schedule(timer, delay_s)
        return timer

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Registers a callback for pauses of the process.

        After each pause it is called with the length of the gap in seconds,
        before any timer that became due during the pause.
        """
        self._pause_callbacks.append(callback)

    def run(self) -> None:
        """Runs the loop until `stop`; spawn it as a greenthread."""
        self._running = True
        last_s = self.now()
        while self._running:
            self._wait_until_due()
            now_s = self.now()
            gap_s = now_s - last_s
            last_s = now_s
            if gap_s > PAUSE_THRESHOLD_S:
                self._report_pause(gap_s)
            self._call_due(now_s)

    def stop(self) -> None:
        """Ends the loop."""
        self._running = False
        self._notify()

    def _schedule(self, timer: Timer, delay_s: float) -> None:
        """Queues a timer and wakes the loop if the timer is due first."""
        jitter_s = delay_s * timer.jitter * self.rng.uniform(-1.0, 1.0)
        self._push(timer, self.now() + max(0.0, delay_s + jitter_s))

    def _schedule_repeated(self, timer: Timer, last_s: float) -> None:
        """Queues the next call of a repeated timer.

        Args:
            timer: The timer.
            last_s: When its last call was due, or it was registered.
        """
        if timer.jitter or timer.interval_s < ALIGNMENT_S:
            self._schedule(timer, timer.interval_s)
            return
        due_s = last_s + timer.interval_s
        if due_s < self.now():  # Calls were missed.
            due_s = self.now() + timer.interval_s
        steps = round((due_s - self.phase_s) / ALIGNMENT_S)
        self._push(timer, steps * ALIGNMENT_S + self.phase_s)

    def _push(self, timer: Timer, due_s: float) -> None:
        """Queues a call and wakes the loop if it is due first."""
        entry = (due_s, next(self._sequence), timer)
        heapq.heappush(self._due, entry)
        if self._due[0] is entry:
            self._notify()

    def _notify(self) -> None:
        """Wakes the loop."""
        if not self._wake.ready():
            self._wake.send()

    def _wait_until_due(self) -> None:
        """Waits until the first timer is due or the loop is woken."""
        timeout_s = MAX_SLEEP_S
        if self._due:
            timeout_s = min(timeout_s, self._due[0][0] - self.now())
        self._wake.wait(timeout=max(0.0, timeout_s))
        if self._wake.ready():
            self._wake = event.Event()

    def _report_pause(self, gap_s: float) -> None:
        """Calls the pause callbacks."""
        for callback in self._pause_callbacks:
            self._call(callback, gap_s)

    def _call_due(self, now_s: float) -> None:
        """Calls the callbacks of the timers that are due."""
        while self._due and self._due[0][0] <= now_s:
            due_s, _, timer = heapq.heappop(self._due)
            if not timer.active:
                continue
            if timer.interval_s is None:
                timer.active = False
            else:
                self._schedule_repeated(timer, due_s)
            self._call(timer.callback)

    def _call(self, callback: Callable, *args) -> None:
        """Calls a callback; an exception is logged and does not propagate.

        One failing callback must not stop the others.
        """
        try:
            callback(*args)
        except Exception:
            log.exception("timer callback failed")
            eventlet.sleep(0)
