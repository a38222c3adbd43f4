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
REDUNDANT_POLL_S = 3.0
# Without any answer for this time the lease is no longer extended, so that the
# runs lapse and can be placed elsewhere.
EXTEND_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.05
# Clocks of targets may be this much slow.
MAX_CLOCK_DRIFT = 0.02
# Delay of an order beyond the end of its lease that is still allowed for.
LAPSE_MARGIN_S = 0.05

log = logging.getLogger(__name__)

RunKey = tuple[str, int]


@attrs.define(eq=False)
class TargetDriver:
    """Speaks to one target.

    Attributes:
        client: Client of the target.
        allocator: State of its room.
        lease_s: Length of the runs' lease.
        run_stop_s: Longest time that the target takes to stop a run.
        now: Clock in seconds.
        on_change: Called after each change of the keeper.
        on_started: Called with task, number and seconds when a start is
            confirmed.
        clock_s: Time by which the target's clock is ahead, None if unknown.
        lease_until_s: When everything at the target has certainly lapsed.
        last_answer_s: When a call that extends the lease was answered last.
        last_unanswered_s: When one was given up last.
        last_confirmed_end: Number of the last end taken note of.
        confirmed_s: When the target last confirmed a start or a stop of a run.
        pending_stops: Attempts for which a stop is being repeated, with an event
            for others that need the same stop.
        foreign_runs: Attempts found at the target that nobody here asked for.
    """

    client: targets.TargetClient
    allocator: room.CapacityAllocator
    lease_s: float
    run_stop_s: float
    now: Callable[[], float]
    on_change: Callable[[], None]
    on_started: Callable[[str, int, float], None] = lambda task, run, s: None
    clock_s: float | None = None
    lease_until_s: float = 0.0
    last_answer_s: float = -math.inf
    last_unanswered_s: float = -math.inf
    last_confirmed_end: int = 0
    confirmed_s: dict[RunKey, float] = attrs.field(factory=dict)
    pending_stops: dict[RunKey, event.Event] = attrs.field(factory=dict)
    foreign_runs: set[RunKey] = attrs.field(factory=set)

    def reset_target_state(self) -> None:
        """Forgets what was known of an earlier life of the target."""
        self.last_answer_s = self.now()
        self.clock_s = None
        self.last_confirmed_end = 0
        self.confirmed_s.clear()
        self.foreign_runs.clear()

    def start(self, task: str, run: int, payload: str) -> None:
        """Starts an attempt; spawn it as a greenthread."""
        target = self.allocator.target
        if target is None or self.clock_s is None:
            self.allocator.run_refused(task, run, "target_unknown")
            self.on_change()
            return
        sent_s = self.now()
        answer = self.client.start(
            target.instance, task, run, payload, self._lease_end_s()
        )
        match answer:
            case orders.Accepted(clock_s=clock_s):
                self._set_clock(clock_s)
                self.confirmed_s[task, run] = self.now()
                self.allocator.run_started(task, run, self.now())
                self.on_started(task, run, self.now() - sent_s)
            case orders.Refused(reason=reason, clock_s=clock_s):
                self._set_clock(clock_s)
                self.allocator.run_refused(task, run, str(reason))
            case orders.OtherInstance():
                self.allocator.run_refused(task, run, "other_instance")
            case orders.NoAnswer(reached=False):
                self.allocator.run_refused(task, run, "unreachable")
            case orders.NoAnswer(detail=detail):
                log.info(
                    "start not answered",
                    extra={"task": task, "run": run, "detail": detail},
                )
                if self.stop(task, run):
                    self._wait_until_stopped(target, (task, run))
                    self.allocator.run_refused(task, run, "not_answered")
        self.on_change()

    def stop(self, task: str, run: int) -> bool:
        """Stops an attempt for certain; spawn it as a greenthread.

        Returns:
            True once the target has confirmed the stop, False if this life
            of the target is over.
        """
        key = (task, run)
        under_way = self.pending_stops.get(key)
        if under_way is not None:
            return under_way.wait()
        under_way = self.pending_stops[key] = event.Event()
        confirmed = self._stop_until_confirmed(key)
        self.pending_stops.pop(key, None)
        under_way.send(confirmed)
        return confirmed

    def _wait_until_stopped(self, target: work.Target, key: RunKey) -> None:
        """Waits until a stopped attempt is certainly not running.

        It may have been running if only the answer to its start was lost.
        """
        answer = self.client.hold(
            target.instance, None, self.last_confirmed_end, 0.0
        )
        listed = isinstance(answer, orders.LeaseExtended)
        if not listed or key in answer.running:
            eventlet.sleep(self.run_stop_s)

    def _stop_until_confirmed(self, key: RunKey) -> bool:
        """Repeats a stop; see `stop`."""
        target = self.allocator.target
        while target is not None and target is self._if_current(target):
            answer = self.client.stop(target.instance, *key)
            match answer:
                case orders.Accepted(clock_s=clock_s):
                    self._set_clock(clock_s)
                    self.confirmed_s[key] = self.now()
                    return True
                case orders.OtherInstance():
                    return False
            if key not in self.allocator.runs and key not in self.foreign_runs:
                # The target has listed its end meanwhile.
                return True
            eventlet.sleep(RETRY_INTERVAL_S)
        return False

    def _if_current(self, target: work.Target) -> work.Target | None:
        """Returns the target if it is still the one that was meant."""
        known = self.allocator.target
        same = known is not None and known.started_ms == target.started_ms
        return target if same else None

    def run(self) -> None:
        """Keeps the lease and takes in ends; spawn it as a greenthread."""
        while True:
            self._poll_once()

    def run_redundant_poll(self) -> None:
        """Does the same beside `run` while calls are not answered.

        While one call waits for an answer that never comes, the other still
        tells which runs have ended.
        """
        while True:
            if self.now() - self.last_unanswered_s < REDUNDANT_POLL_S:
                self._poll_once()
            else:
                eventlet.sleep(RETRY_INTERVAL_S)

    def _poll_once(self) -> None:
        """Extends the lease once, or waits if there is no target to ask."""
        target = self.allocator.target
        answered = False
        if target is not None:
            try:
                answered = self._extend_lease(target)
            except Exception:
                log.exception("hold failed")
            self.on_change()
        if not answered:
            eventlet.sleep(RETRY_INTERVAL_S)

    def _extend_lease(self, target: work.Target) -> bool:
        """Extends the lease once; returns False if nothing can be asked."""
        sent_s = self.now()
        lease_end_s = None
        wait_s = 0.0
        if self.clock_s is not None:
            wait_s = HOLD_WAIT_S
            if sent_s - self.last_answer_s < EXTEND_TIMEOUT_S:
                lease_end_s = self._lease_end_s()
        answer = self.client.hold(
            target.instance, lease_end_s, self.last_confirmed_end, wait_s
        )
        if self._if_current(target) is None:
            return True
        match answer:
            case orders.LeaseExtended():
                self.last_answer_s = self.now()
                self._set_clock(answer.clock_s)
                return self._reconcile(target, answer, sent_s)
            case orders.OtherInstance():
                self._discard_target("another instance answers")
            case orders.NoAnswer(reached=False, detail=detail):
                # Nothing listens on this host, so nothing runs there.
                self._mark_unreachable(detail)
            case orders.NoAnswer(detail=detail):
                self.last_unanswered_s = self.now()
                if self.last_unanswered_s > self.lease_until_s:
                    self._mark_unreachable(detail)
                return True
        return False

    def _mark_unreachable(self, detail: str) -> None:
        """Notes that the target can't be reached and runs nothing."""
        if self.allocator.reachable:
            log.warning("target lost", extra={"detail": detail})
        self.allocator.target_unreachable("target_lost")

    def _discard_target(self, reason: str) -> None:
        """Notes that this life of the target is over."""
        log.warning("target gone", extra={"detail": reason})
        self.allocator.target_left("target_gone")
        self.reset_target_state()

    def _reconcile(
        self, target: work.Target, held: orders.LeaseExtended, sent_s: float
    ) -> bool:
        """Compares what the target lists with what was asked for."""
        if (
            held.started_ms
            and target.started_ms
            and held.started_ms != target.started_ms
        ):
            self._discard_target("it has started anew")
            return False
        if not self.allocator.reachable:
            log.info("target back", extra={"instance": target.instance})
            self.allocator.reachable = True
        now_s = self.now()
        for end in held.ended:
            self.last_confirmed_end = max(self.last_confirmed_end, end.number)
            self._clear_confirmed((end.task, end.run))
            self.allocator.run_ended(end.task, end.run, end.ending, now_s)
        for key in list(self.confirmed_s):
            # The answer is newer than the order only if it was asked later.
            if self.confirmed_s[key] < sent_s and key not in held.running:
                self._clear_confirmed(key)
                self.allocator.run_ended(*key, work.Ending.STOPPED, now_s)
        self.allocator.update_progress(held.running, now_s)
        self.foreign_runs &= held.running.keys()
        self.allocator.runs_reconciled = (
            not held.running.keys() - self.allocator.runs.keys()
        )
        known = self.allocator.runs.keys() | self.foreign_runs
        for key in held.running.keys() - known:
            self.foreign_runs.add(key)
            log.warning("foreign run", extra={"task": key[0], "run": key[1]})
            eventlet.spawn_n(self.stop, *key)
        return True

    def _clear_confirmed(self, key: RunKey) -> None:
        """Forgets an attempt that has ended."""
        self.confirmed_s.pop(key, None)

    def _set_clock(self, clock_s: float | None) -> None:
        """Learns the target's clock from an answer."""
        if clock_s is not None:
            self.clock_s = clock_s - self.now()

    def _lapse_s(self) -> float:
        """Returns the seconds after which a lease has certainly ended."""
        return self.lease_s * (1.0 + MAX_CLOCK_DRIFT) + LAPSE_MARGIN_S

    def _lease_end_s(self) -> float:
        """Returns the end of a new lease on the target's clock."""
        now_s = self.now()
        self.lease_until_s = now_s + self._lapse_s()
        return now_s + self.clock_s + self.lease_s
