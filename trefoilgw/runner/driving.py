"""Carries orders out at the target and keeps the lease of its runs.

An order without an answer may be carried out later. The driver therefore
stops such a run and reports it as never run only once the target has confirmed
the stop, after which it refuses the start, or once the lease that the start
named has certainly ended.
"""

import logging
import math
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event

from trefoilgw.platform import targets
from trefoilgw.room import core as room
from trefoilgw.work import core as work
from trefoilgw.work import orders

# Short enough to see soon that runs stand still; far below any lease.
HOLD_WAIT_S = 0.1
# After a call without an answer, two calls wait at the target for this time.
DOUBT_S = 3.0
# Without any answer for this time the lease is no longer extended, so that the
# runs lapse and can be placed elsewhere.
EXTEND_S = 0.5
RETRY_S = 0.05
# Clocks of targets may be this much slow.
CLOCK_ERROR = 0.02
# Delay of an order beyond the end of its lease that is still allowed for.
LAPSE_SLACK_S = 0.05

log = logging.getLogger(__name__)

Key = tuple[str, int]


@attrs.define(eq=False)
class Driver:
    """Speaks to one target.

    Attributes:
        client: Client of the target.
        keeper: State of its room.
        lease_s: Length of the runs' lease.
        run_stop_s: Longest time that the target takes to stop a run.
        now: Clock in seconds.
        on_change: Called after each change of the keeper.
        on_started: Called with task, number and seconds when a start is
            confirmed.
        clock_s: Time by which the target's clock is ahead, None if unknown.
        lease_until_s: When everything at the target has certainly lapsed.
        answered_s: When a call that extends the lease was answered last.
        unanswered_s: When one was given up last.
        confirmed: Number of the last end taken note of.
        settled_s: When the target last confirmed a start or a stop of a run.
        stopping: Attempts for which a stop is being repeated, with an event
            for others that need the same stop.
        foreign: Attempts found at the target that nobody here asked for.
    """

    client: targets.TargetClient
    keeper: room.RoomKeeper
    lease_s: float
    run_stop_s: float
    now: Callable[[], float]
    on_change: Callable[[], None]
    on_started: Callable[[str, int, float], None] = lambda task, run, s: None
    clock_s: float | None = None
    lease_until_s: float = 0.0
    answered_s: float = -math.inf
    unanswered_s: float = -math.inf
    confirmed: int = 0
    settled_s: dict[Key, float] = attrs.field(factory=dict)
    stopping: dict[Key, event.Event] = attrs.field(factory=dict)
    foreign: set[Key] = attrs.field(factory=set)

    def target_changed(self) -> None:
        """Forgets what was known of an earlier life of the target."""
        self.answered_s = self.now()
        self.clock_s = None
        self.confirmed = 0
        self.settled_s.clear()
        self.foreign.clear()

    def start(self, task: str, run: int, payload: str) -> None:
        """Starts an attempt; spawn it as a greenthread."""
        target = self.keeper.target
        if target is None or self.clock_s is None:
            self.keeper.run_refused(task, run, "target_unknown")
            self.on_change()
            return
        sent_s = self.now()
        answer = self.client.start(
            target.instance, task, run, payload, self._lease_end_s()
        )
        match answer:
            case orders.Accepted(clock_s=clock_s):
                self._set_clock(clock_s)
                self.settled_s[task, run] = self.now()
                self.keeper.run_started(task, run, self.now())
                self.on_started(task, run, self.now() - sent_s)
            case orders.Refused(reason=reason, clock_s=clock_s):
                self._set_clock(clock_s)
                self.keeper.run_refused(task, run, str(reason))
            case orders.OtherInstance():
                self.keeper.run_refused(task, run, "other_instance")
            case orders.NoAnswer(reached=False):
                self.keeper.run_refused(task, run, "unreachable")
            case orders.NoAnswer(detail=detail):
                log.info(
                    "start not answered",
                    extra={"task": task, "run": run, "detail": detail},
                )
                if self.stop(task, run):
                    self._settle(target, (task, run))
                    self.keeper.run_refused(task, run, "not_answered")
        self.on_change()

    def stop(self, task: str, run: int) -> bool:
        """Stops an attempt for certain; spawn it as a greenthread.

        Returns:
            True once the target has confirmed the stop, False if this life
            of the target is over.
        """
        key = (task, run)
        under_way = self.stopping.get(key)
        if under_way is not None:
            return under_way.wait()
        under_way = self.stopping[key] = event.Event()
        confirmed = self._stop_until_confirmed(key)
        self.stopping.pop(key, None)
        under_way.send(confirmed)
        return confirmed

    def _settle(self, target: work.Target, key: Key) -> None:
        """Waits until a stopped attempt is certainly not running.

        It may have been running if only the answer to its start was lost.
        """
        answer = self.client.hold(target.instance, None, self.confirmed, 0.0)
        listed = isinstance(answer, orders.LeaseExtended)
        if not listed or key in answer.running:
            eventlet.sleep(self.run_stop_s)

    def _stop_until_confirmed(self, key: Key) -> bool:
        """Repeats a stop; see `stop`."""
        target = self.keeper.target
        while target is not None and target is self._same_life(target):
            answer = self.client.stop(target.instance, *key)
            match answer:
                case orders.Accepted(clock_s=clock_s):
                    self._set_clock(clock_s)
                    self.settled_s[key] = self.now()
                    return True
                case orders.OtherInstance():
                    return False
            if key not in self.keeper.runs and key not in self.foreign:
                # The target has listed its end meanwhile.
                return True
            eventlet.sleep(RETRY_S)
        return False

    def _same_life(self, target: work.Target) -> work.Target | None:
        """Returns the target if it is still the one that was meant."""
        known = self.keeper.target
        same = known is not None and known.started_ms == target.started_ms
        return target if same else None

    def run(self) -> None:
        """Keeps the lease and takes in ends; spawn it as a greenthread."""
        while True:
            self._hold_safely()

    def run_in_doubt(self) -> None:
        """Does the same beside `run` while calls are not answered.

        While one call waits for an answer that never comes, the other still
        tells which runs have ended.
        """
        while True:
            if self.now() - self.unanswered_s < DOUBT_S:
                self._hold_safely()
            else:
                eventlet.sleep(RETRY_S)

    def _hold_safely(self) -> None:
        """Extends the lease once, or waits if there is no target to ask."""
        target = self.keeper.target
        answered = False
        if target is not None:
            try:
                answered = self._hold(target)
            except Exception:
                log.exception("hold failed")
            self.on_change()
        if not answered:
            eventlet.sleep(RETRY_S)

    def _hold(self, target: work.Target) -> bool:
        """Extends the lease once; returns False if nothing can be asked."""
        sent_s = self.now()
        lease_end_s = None
        wait_s = 0.0
        if self.clock_s is not None:
            wait_s = HOLD_WAIT_S
            if sent_s - self.answered_s < EXTEND_S:
                lease_end_s = self._lease_end_s()
        answer = self.client.hold(
            target.instance, lease_end_s, self.confirmed, wait_s
        )
        if self._same_life(target) is None:
            return True
        match answer:
            case orders.LeaseExtended():
                self.answered_s = self.now()
                self._set_clock(answer.clock_s)
                return self._take_in(target, answer, sent_s)
            case orders.OtherInstance():
                self._target_gone("another instance answers")
            case orders.NoAnswer(reached=False, detail=detail):
                # Nothing listens on this host, so nothing runs there.
                self._silent(detail)
            case orders.NoAnswer(detail=detail):
                self.unanswered_s = self.now()
                if self.unanswered_s > self.lease_until_s:
                    self._silent(detail)
                return True
        return False

    def _silent(self, detail: str) -> None:
        """Notes that the target can't be reached and runs nothing."""
        if self.keeper.reachable:
            log.warning("target lost", extra={"detail": detail})
        self.keeper.target_silent("target_lost")

    def _target_gone(self, reason: str) -> None:
        """Notes that this life of the target is over."""
        log.warning("target gone", extra={"detail": reason})
        self.keeper.target_left("target_gone")
        self.target_changed()

    def _take_in(
        self, target: work.Target, held: orders.LeaseExtended, sent_s: float
    ) -> bool:
        """Compares what the target lists with what was asked for."""
        if (
            held.started_ms
            and target.started_ms
            and held.started_ms != target.started_ms
        ):
            self._target_gone("it has started anew")
            return False
        if not self.keeper.reachable:
            log.info("target back", extra={"instance": target.instance})
            self.keeper.reachable = True
        now_s = self.now()
        for end in held.ended:
            self.confirmed = max(self.confirmed, end.number)
            self._forget((end.task, end.run))
            self.keeper.run_ended(end.task, end.run, end.ending, now_s)
        for key in list(self.settled_s):
            # The answer is newer than the order only if it was asked later.
            if self.settled_s[key] < sent_s and key not in held.running:
                self._forget(key)
                self.keeper.run_ended(*key, work.Ending.STOPPED, now_s)
        self.keeper.runs_listed(held.running, now_s)
        self.foreign &= held.running.keys()
        self.keeper.settled = not held.running.keys() - self.keeper.runs.keys()
        known = self.keeper.runs.keys() | self.foreign
        for key in held.running.keys() - known:
            self.foreign.add(key)
            log.warning("foreign run", extra={"task": key[0], "run": key[1]})
            eventlet.spawn_n(self.stop, *key)
        return True

    def _forget(self, key: Key) -> None:
        """Forgets an attempt that has ended."""
        self.settled_s.pop(key, None)

    def _set_clock(self, clock_s: float | None) -> None:
        """Learns the target's clock from an answer."""
        if clock_s is not None:
            self.clock_s = clock_s - self.now()

    def _lapse_s(self) -> float:
        """Returns the seconds after which a lease has certainly ended."""
        return self.lease_s * (1.0 + CLOCK_ERROR) + LAPSE_SLACK_S

    def _lease_end_s(self) -> float:
        """Returns the end of a new lease on the target's clock."""
        now_s = self.now()
        self.lease_until_s = now_s + self._lapse_s()
        return now_s + self.clock_s + self.lease_s
