"""One timer service per process.

Parts subscribe callbacks to intervals or to a single delay. The service also
reports pauses of the whole process: a process that was stopped by a signal or
starved must check its leases before it goes on. Callbacks run in one
greenthread and must not block.
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

# A loop gap above this counts as a pause. Shorter gaps are ordinary
# scheduling noise on a loaded machine.
PAUSE_THRESHOLD_S = 1.0
# The loop wakes at least this often, so that a pause is noticed soon.
HEARTBEAT_S = 0.25

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Timer:
    """A subscription; `cancel` ends it.

    Attributes:
        callback: Called without arguments.
        interval_s: Seconds between calls, or None for a single call.
        jitter: Share of the interval, 0 to 1, by which each one varies.
        active: False once cancelled or, for a single call, once called.
    """

    callback: Callable[[], None]
    interval_s: float | None
    jitter: float
    active: bool = True

    def cancel(self) -> None:
        """Ends the subscription; the callback is not called again."""
        self.active = False


@attrs.define(eq=False)
class TimerService:
    """Calls subscribed callbacks when they are due.

    Attributes:
        rng: Source of jitter.
        now: Monotonic clock in seconds.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    now: Callable[[], float] = time.monotonic
    _due: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)
    _pause_callbacks: list = attrs.field(factory=list)
    _wake: event.Event = attrs.field(factory=event.Event)
    _running: bool = False

    def every(
        self,
        interval_s: float,
        callback: Callable[[], None],
        jitter: float = 0.0,
    ) -> Timer:
        """Calls `callback` every `interval_s` seconds until cancelled."""
        timer = Timer(callback, interval_s, jitter)
        self._schedule(timer, interval_s)
        return timer

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Calls `callback` once, `delay_s` seconds from now."""
        timer = Timer(callback, None, 0.0)
        self._schedule(timer, delay_s)
        return timer

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Calls `callback` with the gap in seconds after each pause.

        Pause callbacks run before any timer that fell due meanwhile.
        """
        self._pause_callbacks.append(callback)

    def run(self) -> None:
        """Runs the loop until `stop`; spawn it as a greenthread."""
        self._running = True
        last_s = self.now()
        while self._running:
            self._sleep()
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
        """Queues a timer and wakes the loop if it is now the first."""
        spread_s = delay_s * timer.jitter * self.rng.uniform(-1.0, 1.0)
        due_s = self.now() + max(0.0, delay_s + spread_s)
        entry = (due_s, next(self._order), timer)
        heapq.heappush(self._due, entry)
        if self._due[0] is entry:
            self._notify()

    def _notify(self) -> None:
        """Wakes the loop."""
        if not self._wake.ready():
            self._wake.send()

    def _sleep(self) -> None:
        """Waits until the first timer is due or the loop is woken."""
        timeout_s = HEARTBEAT_S
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
        """Calls every timer that is due."""
        while self._due and self._due[0][0] <= now_s:
            _, _, timer = heapq.heappop(self._due)
            if not timer.active:
                continue
            if timer.interval_s is None:
                timer.active = False
            else:
                self._schedule(timer, timer.interval_s)
            self._call(timer.callback)

    def _call(self, callback: Callable, *args) -> None:
        """Calls one callback; its error must not stop the others."""
        try:
            callback(*args)
        except Exception:
            log.exception("timer callback failed")
            eventlet.sleep(0)
