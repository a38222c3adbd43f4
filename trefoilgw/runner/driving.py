"""Starts and stops runs on the target and extends their lease.

The target may carry out a start request later although it was not answered.
The driver therefore stops such a run. It reports it as not run only once the
target has confirmed the stop, after which it refuses the start, or once the
lease given in the start request has certainly expired. That a connection is
refused or reset says nothing about the runs: they are given up only once their
leases have expired, or another instance of the target answers.
"""

import logging
import math
from collections.abc import Callable
from collections.abc import Set

import attrs
import eventlet
from eventlet import event

from trefoilgw.platform import targets
from trefoilgw.room import core as room
from trefoilgw.room import owners
from trefoilgw.runner import fences
from trefoilgw.runner import leases
from trefoilgw.work import core as work
from trefoilgw.work import orders

# Time that the target may delay the answer to `hold` while no run ends. Short
# enough to detect stalled runs early; far below any lease.
HOLD_WAIT_S = 0.15
# The same while there are no runs whose progress must be watched. Shorter than
# `EXTEND_TIMEOUT_S`, so that a run started meanwhile keeps its lease.
IDLE_HOLD_WAIT_S = 0.45
# Time after an unanswered call in which two calls poll the target concurrently.
REDUNDANT_POLL_S = 3.0
# Without any answer for this time the lease is no longer extended, so that it
# expires and the runs can be placed elsewhere.
EXTEND_TIMEOUT_S = 0.5
# Without any list of runs for this time nothing is started any more. Each start
# extends the leases, so that they would never expire.
START_TIMEOUT_S = 2 * EXTEND_TIMEOUT_S
RETRY_INTERVAL_S = 0.05
# Checks whether the authority for a start outlives the leases in force. All of
# them take longer than the interval of the pings that renew it.
AUTHORITY_CHECKS = 10
# Time after which the lease of a run that had to stop ends if the target does
# not confirm the stop. As for the runs of a lost scheduler, the caller may then
# submit its job again.
UNCONFIRMED_STOP_S = owners.AUTHORITY_S + owners.STOP_ALLOWANCE_S

log = logging.getLogger(__name__)

RunKey = tuple[str, int]


@attrs.define(eq=False)
class TargetDriver:
    """Starts, stops and polls the runs of one target.

    Attributes:
        client: Client of the target.
        allocator: Allocates its capacity.
        lease: The lease of the runs.
        run_stop_s: Longest time in seconds that the target takes to stop a
            run.
        now: Clock in seconds.
        on_change: Called after each change of the allocator.
        on_started: Called with the task, the number of the run and the seconds
            that the start took, once it is confirmed.
        fence: Fencing token of the calls.
        last_answer_s: Time of the last answer to `hold`, or of the last reset.
        last_unanswered_s: Time at which a `hold` last got no valid answer
            although the target was reached.
        last_confirmed_end: Number of the last processed end of a run, which is
            confirmed to the target.
        confirmed_s: Time of the target's last confirmation of a start or stop,
            by run.
        pending_stops: Attempts that are being stopped, with an event for other
            callers that wait for the same stop.
        stop_since_s: Time from which the attempt of each pending stop may have
            had to stop.
        starting: Attempts whose start is being sent, or stopped for want of an
            answer.
        foreign_runs: Attempts that the target lists and this process has not
            started.
    """

    client: targets.TargetClient
    allocator: room.CapacityAllocator
    lease: leases.TargetLease
    run_stop_s: float
    now: Callable[[], float]
    on_change: Callable[[], None]
    on_started: Callable[[str, int, float], None] = lambda task, run, s: None
    fence: fences.Fence = attrs.field(factory=fences.Fence)
    last_answer_s: float = -math.inf
    last_unanswered_s: float = -math.inf
    last_confirmed_end: int = 0
    confirmed_s: dict[RunKey, float] = attrs.field(factory=dict)
    pending_stops: dict[RunKey, event.Event] = attrs.field(factory=dict)
    stop_since_s: dict[RunKey, float] = attrs.field(factory=dict)
    starting: set[RunKey] = attrs.field(factory=set)
    foreign_runs: set[RunKey] = attrs.field(factory=set)

    def reset_target_state(self) -> None:
        """Resets the state that belongs to an earlier life of the target.

        The fence rises before anything is placed at the new life: capacity is
        offered only after it has answered a `hold`. Calls to the earlier life
        that arrive late then have no effect.
        """
        self.last_answer_s = self.now()
        self.fence.advance()
        self.lease.forget_clock()
        self.last_confirmed_end = 0
        self.confirmed_s.clear()
        self.foreign_runs.clear()

    def start(self, task: str, run: int, payload: str) -> None:
        """Starts an attempt and reports the outcome to the allocator.

        This process may have been paused since the attempt was accepted. It is
        not started if it has ended since, if it is to be stopped, or if the
        authority of its scheduler is over.

        Blocks, so spawn it as a greenthread.
        """
        reason = self._await_authority(task, run)
        if reason:
            log.info(
                "start dropped",
                extra={"task": task, "run": run, "reason": reason},
            )
            self._refuse(task, run, reason)
            self.on_change()
            return
        self.starting.add((task, run))
        try:
            self._start(task, run, payload)
        finally:
            self.starting.discard((task, run))
        self.on_change()

    def _start(self, task: str, run: int, payload: str) -> None:
        """Sends a start and reports the outcome to the allocator."""
        target = self.allocator.target
        if target is None or not self.lease.clock_known:
            self._refuse(task, run, "target_unknown")
            return
        lease_end_s = self.lease.extend(self._lease_limit_s())
        if lease_end_s is None:
            self._refuse(task, run, "lease")
            return
        sent_s = self.now()
        match self._send_start(target, task, run, payload, lease_end_s):
            case orders.Accepted(clock_s=clock_s):
                self.lease.learn_clock(clock_s)
                self.confirmed_s[task, run] = self.now()
                self.allocator.run_started(task, run, self.now())
                self.on_started(task, run, self.now() - sent_s)
            case orders.Refused(reason=reason, clock_s=clock_s):
                self.lease.learn_clock(clock_s)
                self._refuse(task, run, str(reason))
            case orders.OtherInstance():
                self._refuse(task, run, "other_instance")
            case orders.NoAnswer(reached=False):
                self._refuse(task, run, "unreachable")
            case orders.NoAnswer(detail=detail):
                log.info(
                    "start not answered",
                    extra={"task": task, "run": run, "detail": detail},
                )
                # Also a next life of the target, whose clock begins anew,
                # rejects the start after any later call.
                self.fence.advance()
                if self.stop(task, run):
                    evidence = self._wait_until_stopped(target, (task, run))
                    if evidence is not None:
                        self.allocator.run_refused(
                            task, run, "not_answered", evidence=evidence
                        )

    def _lease_limit_s(self) -> float:
        """Returns when the lease of all runs must end at the latest.

        A run whose stop is not confirmed is stopped by the end of the lease.
        """
        oldest_s = min(self.stop_since_s.values(), default=math.inf)
        return min(
            self.allocator.lease_limit_s(), oldest_s + UNCONFIRMED_STOP_S
        )

    def _await_authority(self, task: str, run: int) -> str:
        """Waits until no lease in force outlives the authority for a start.

        A lease never shortens. If this process is paused after the start, only
        its end stops the run. An order that was long under way renews the
        authority for a short time only; the answer to the next ping does for
        the whole one.

        Returns:
            Why the attempt must not be sent, or nothing.
        """
        for _ in range(AUTHORITY_CHECKS):
            reason = self.allocator.start_refusal(task, run, self.now())
            limit_s = self.allocator.run_lease_limit_s(task, run)
            if reason or self.lease.end_s <= limit_s:
                return reason
            eventlet.sleep(RETRY_INTERVAL_S)
        return "lease"

    def _send_start(
        self,
        target: work.Target,
        task: str,
        run: int,
        payload: str,
        lease_end_s: float,
    ):
        """Returns the target's answer to a start."""
        fence = self.fence.token
        try:
            answer = self.client.start(
                target.instance, fence, task, run, payload, lease_end_s
            )
        except Exception as error:
            # The order may have been sent, so it is handled like a lost answer.
            log.exception("start failed", extra={"task": task, "run": run})
            return orders.NoAnswer(True, repr(error))
        self.fence.check(answer, fence)
        return answer

    def _refuse(self, task: str, run: int, reason: str) -> None:
        """Ends an attempt that was not sent, or that the target refused."""
        self.allocator.run_refused(
            task, run, reason, evidence=work.Evidence.NOT_RUN
        )

    def stop(self, task: str, run: int, since_s: float = math.inf) -> bool:
        """Stops an attempt and waits until the target has confirmed that.

        Blocks, so spawn it as a greenthread.

        Args:
            task: Name of the task.
            run: Number of the attempt.
            since_s: Time from which it may have had to stop, as its caller may
                have left then; infinite for now.

        Returns:
            True once the target has confirmed the stop or listed the end of the
            attempt, False if this instance of the target is gone. After a
            confirmed stop the attempt may go on for `run_stop_s`.
        """
        key = (task, run)
        pending = self.pending_stops.get(key)
        since_s = min(since_s, self.now())
        if pending is not None:
            self.stop_since_s[key] = min(since_s, self.stop_since_s[key])
            return pending.wait()
        pending = self.pending_stops[key] = event.Event()
        self.stop_since_s[key] = since_s
        confirmed = False
        try:
            confirmed = self._stop_until_confirmed(key)
        finally:
            del self.pending_stops[key]
            del self.stop_since_s[key]
            pending.send(confirmed)
        return confirmed

    def _wait_until_stopped(
        self, target: work.Target, key: RunKey
    ) -> work.Evidence | None:
        """Waits until an attempt whose stop is confirmed no longer runs.

        It may have been running if only the answer to its start was lost.

        Returns:
            Why it can no longer work. None if the target lists its end, which
            the next poll reports.
        """
        answer = self.client.hold(
            target.instance,
            self.fence.token,
            None,
            self.last_confirmed_end,
            0.0,
        )
        listed = isinstance(answer, orders.RunListing)
        if not listed or key in answer.running:
            eventlet.sleep(self.run_stop_s)
            return work.Evidence.ENDED
        if answer.started_ms not in (0, target.started_ms):
            return work.Evidence.ENDED
        ended = {(x.task, x.run) for x in answer.ended}
        return None if key in ended else work.Evidence.NOT_RUN

    def _stop_until_confirmed(self, key: RunKey) -> bool:
        """Repeats the stop request until it is confirmed; see `stop`."""
        target = self.allocator.target
        while target is not None and target is self._if_current(target):
            fence = self.fence.token
            try:
                answer = self.client.stop(target.instance, fence, *key)
            except Exception as error:
                log.exception(
                    "stop failed", extra={"task": key[0], "run": key[1]}
                )
                answer = orders.NoAnswer(True, repr(error))
            self.fence.check(answer, fence)
            match answer:
                case orders.Accepted(clock_s=clock_s):
                    self.lease.learn_clock(clock_s)
                    # Its end may be listed only after that time.
                    self.confirmed_s[key] = self.now() + self.run_stop_s
                    return True
                case orders.OtherInstance():
                    return False
            if not self._may_be_at_work(key):
                # The target has meanwhile listed the end of the run.
                return True
            eventlet.sleep(RETRY_INTERVAL_S)
        return False

    def _may_be_at_work(self, key: RunKey) -> bool:
        """Returns whether an attempt may be running, or may still start."""
        return (
            key in self.allocator.runs
            or key in self.foreign_runs
            or key in self.starting
        )

    def _if_current(self, target: work.Target) -> work.Target | None:
        """Returns the target if it is still the registered one, else None."""
        known = self.allocator.target
        same = (
            known is not None
            and known.instance == target.instance
            and known.started_ms == target.started_ms
        )
        return target if same else None

    def run(self) -> None:
        """Polls the target forever; spawn it as a greenthread.

        Each poll extends the lease and processes the ends of runs.
        """
        while True:
            self._poll_once()

    def run_redundant_poll(self) -> None:
        """Polls concurrently with `run` after a call was not answered.

        While one call waits for an answer that is lost, the other still
        reports which runs have ended.
        """
        while True:
            if self.now() - self.last_unanswered_s < REDUNDANT_POLL_S:
                self._poll_once()
            else:
                eventlet.sleep(RETRY_INTERVAL_S)

    def _poll_once(self) -> None:
        """Polls the target; pauses if there is none or it can't be reached.

        Logs any exception, so that polling continues.
        """
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

    def check_life(self) -> None:
        """Polls the target after a report that another life of it has begun.

        The other polls may wait in `hold` for an answer of the earlier life. A
        start that arrives late has no effect once the new one has seen the
        fence of this call. Spawn it as a greenthread.
        """
        target = self.allocator.target
        if target is not None:
            self._extend_lease(target, may_wait=False)
            self.on_change()

    def _extend_lease(self, target: work.Target, may_wait: bool = True) -> bool:
        """Calls `hold`, extending the lease if that is allowed.

        The answer is processed.

        Args:
            target: The target.
            may_wait: Whether the answer may wait for the end of a run.

        Returns:
            False if the caller should wait before the next call: the target is
            gone, has restarted, can't be reached or refuses the call.
        """
        sent_s = self.now()
        lease_end_s = None
        wait_s = 0.0
        if self.lease.clock_known:
            idle = not self.allocator.runs
            if may_wait:
                wait_s = IDLE_HOLD_WAIT_S if idle else HOLD_WAIT_S
            recent = sent_s - self.last_answer_s < EXTEND_TIMEOUT_S
            # The lease is that of all runs at the target. A foreign run must
            # end even if its stop is lost, as its task is repeated elsewhere.
            if recent and self.allocator.reachable and not self.foreign_runs:
                lease_end_s = self.lease.extend(self._lease_limit_s())
        fence = self.fence.token
        answer = self.client.hold(
            target.instance, fence, lease_end_s, self.last_confirmed_end, wait_s
        )
        self.fence.check(answer, fence)
        if self._if_current(target) is None:
            return True
        match answer:
            case orders.RunListing():
                self.last_answer_s = self.now()
                self.lease.learn_clock(answer.clock_s)
                return self._reconcile(target, answer, sent_s)
            case orders.OtherInstance():
                self._discard_target(
                    "another instance answers",
                    evidence=work.Evidence.OTHER_LIFE,
                )
            case orders.Refused(reason=reason):
                # It has extended no lease, and lists no ends.
                self._check_leases(f"refused: {reason}")
            case orders.NoAnswer(reached=reached, detail=detail):
                if reached:
                    self.last_unanswered_s = self.now()
                else:
                    self._mark_unreachable(detail)
                self._check_leases(detail)
                # A target that resets each connection fails at once. Without a
                # pause the next connection would follow immediately.
                return reached and self.now() - sent_s >= RETRY_INTERVAL_S
        return False

    def _mark_unreachable(self, detail: str) -> None:
        """Marks the target as unreachable; its runs may go on."""
        if not self.allocator.reachable:
            return
        log.warning(
            "target lost",
            extra={
                "detail": detail,
                "runs": len(self.allocator.runs),
                "lease_s": round(self.lease.remaining_s(), 3),
            },
        )
        self.allocator.target_unreachable()

    def _check_leases(self, detail: str) -> None:
        """Gives up all runs of an unreachable target whose leases are over.

        A target that has deregistered before is gone then.
        """
        if self.now() - self.last_answer_s > START_TIMEOUT_S:
            self._mark_unreachable(detail)
        if not self.lease.expired():
            return
        if self.allocator.leaving:
            self._discard_target(
                "it has left", evidence=work.Evidence.LEASE_EXPIRED
            )
            return
        self._mark_unreachable(detail)
        if self.allocator.runs:
            runs = len(self.allocator.runs)
            log.warning("leases expired", extra={"runs": runs})
            self.allocator.leases_expired("target_lost")

    def _target_restarted(
        self, reply: orders.RunListing, sent_s: float
    ) -> None:
        """Gives up the runs of an earlier life of the same instance.

        Starts that were sent since may have reached the new life. Their answers
        are awaited first, and what it has started is kept.

        Args:
            reply: The listing of the new life.
            sent_s: When it was requested.
        """
        if self.starting:
            self._mark_unreachable("the target has restarted")
            return
        kept = reply.running.keys() | {
            key for key, at_s in self.confirmed_s.items() if at_s > sent_s
        }
        life = attrs.evolve(
            self.allocator.target,
            started_ms=reply.started_ms,
            draining=False,
            sequence=0,
        )
        successor = self.allocator.successor
        if successor is None or not successor.is_same_life(life):
            # Another writer's report may name an instance that does not exist.
            # Its refusal of a call would end the runs that are kept.
            self.allocator.successor = life if kept else None
        self._discard_target(
            "the target has restarted",
            kept,
            evidence=work.Evidence.OTHER_LIFE,
        )

    def _discard_target(
        self,
        reason: str,
        kept: Set[RunKey] = frozenset(),
        *,
        evidence: work.Evidence,
    ) -> None:
        """Removes a target that is gone or has restarted.

        Args:
            reason: Why, for the log.
            kept: Runs that its next life has already started.
            evidence: Why its other runs can no longer work.
        """
        log.warning(
            "target gone",
            extra={"detail": reason, "runs": len(self.allocator.runs)},
        )
        if self.allocator.target_gone("target_gone", kept, evidence=evidence):
            self.target_registered()
        else:
            self.reset_target_state()
        for key in kept & self.allocator.runs.keys():
            self.confirmed_s[key] = self.now()

    def target_registered(self) -> None:
        """Handles the registration of a target with the allocator."""
        target = self.allocator.target
        log.info(
            "target joined",
            extra={"instance": target.instance, "born": target.started_ms},
        )
        self.reset_target_state()

    def _reconcile(
        self, target: work.Target, reply: orders.RunListing, sent_s: float
    ) -> bool:
        """Reconciles the runs that the target lists with the allocator's runs.

        Ended runs are reported to the allocator. Runs that this process has
        not started are stopped.

        Args:
            target: The target that was called.
            reply: Its answer.
            sent_s: When the call was sent.

        Returns:
            False if the target has restarted.
        """
        if (
            reply.started_ms
            and target.started_ms
            and reply.started_ms != target.started_ms
        ):
            self._target_restarted(reply, sent_s)
            return False
        if not self.allocator.reachable:
            log.info("target back", extra={"instance": target.instance})
            self.allocator.reachable = True
        now_s = self.now()
        for end in reply.ended:
            self.last_confirmed_end = max(self.last_confirmed_end, end.number)
            self._clear_confirmed((end.task, end.run))
            self.allocator.run_ended(end.task, end.run, end.ending, now_s)
        for key in list(self.confirmed_s):
            # The listing includes the start or stop only if it was requested
            # after the confirmation.
            if self.confirmed_s[key] < sent_s and key not in reply.running:
                self._clear_confirmed(key)
                self.allocator.run_ended(*key, work.Ending.STOPPED, now_s)
        self.allocator.update_progress(reply.running, now_s)
        self.foreign_runs &= reply.running.keys()
        self.allocator.runs_reconciled = (
            not reply.running.keys() - self.allocator.runs.keys()
        )
        known = self.allocator.runs.keys() | self.foreign_runs
        for key in reply.running.keys() - known:
            self.foreign_runs.add(key)
            log.warning("foreign run", extra={"task": key[0], "run": key[1]})
            eventlet.spawn_n(self.stop, *key)
        return True

    def _clear_confirmed(self, key: RunKey) -> None:
        """Removes the confirmation time of an attempt that has ended."""
        self.confirmed_s.pop(key, None)
