"""Tests of the driver: late requests, unresponsive targets, foreign runs."""

import unittest
from unittest import mock

import attrs
import eventlet

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import owners
from trefoilgw.room.tests import fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.room.tests.fixtures import B
from trefoilgw.runner import driving
from trefoilgw.runner import leases
from trefoilgw.work import core as work
from trefoilgw.work import orders

NO_ANSWER = orders.NoAnswer(True, "timed out")
ACCEPTED = orders.Accepted(5.0)


@attrs.define(slots=False)
class FakeClient:
    """Answers calls from prepared lists and repeats the last answer."""

    starts: list = attrs.field(factory=lambda: [ACCEPTED])
    stops: list = attrs.field(factory=lambda: [ACCEPTED])
    holds: list = attrs.field(factory=lambda: [NO_ANSWER])
    leases: list = attrs.field(factory=list)
    started: list = attrs.field(factory=list)
    stopped: list = attrs.field(factory=list)
    fences: list = attrs.field(factory=list)

    def _next(self, answers):
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    def start(self, instance, fence, task, run, payload, lease_end_s):
        self.fences.append(fence)
        self.started.append(task)
        return self._next(self.starts)

    def stop(self, instance, fence, task, run):
        self.fences.append(fence)
        self.stopped.append(task)
        return self._next(self.stops)

    def hold(self, instance, fence, lease_end_s, confirmed, wait_s):
        self.fences.append(fence)
        self.leases.append(lease_end_s)
        return self._next(self.holds)


def listing(running=(), ended=(), started_ms=1):
    progress = {(x, 1): 0.5 for x in running}
    ends = tuple(
        orders.RunEnd(number, task, 1, ending)
        for number, (task, ending) in enumerate(ended, 1)
    )
    return orders.RunListing(5.0, started_ms, progress, ends)


class DriverTestCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.allocator = fixtures.make_allocator(A)
        self.allocator.renew_authority(A, 1e6)
        self.client = FakeClient()
        self.driver = driving.TargetDriver(
            self.client,
            self.allocator,
            lease=leases.TargetLease(1.0, lambda: self.now_s),
            run_stop_s=0.0,
            now=lambda: self.now_s,
            on_change=lambda: None,
        )
        self.driver.reset_target_state()
        self.driver.lease.clock_offset_s = -95.0
        # Leases of an earlier process are over.
        self.driver.lease.end_s = self.now_s

    def request_start(self, task):
        fixtures.start_runs(self.allocator, A, task, now_s=self.now_s)

    def extend_lease(self):
        return self.driver._extend_lease(self.allocator.target)

    def endings(self):
        return fixtures.sent_endings(self.allocator.take_actions())


class PollTest(DriverTestCase):
    def polls_without_pause(self, took_s):
        """Returns how many of ten polls that fail are not followed by a pause.

        Args:
            took_s: Time after which each poll fails.
        """
        pauses = []

        def fail(*args):
            self.now_s += took_s
            return orders.NoAnswer(True, "connection reset")

        with (
            mock.patch.object(self.client, "hold", fail),
            mock.patch.object(driving.eventlet, "sleep", pauses.append),
        ):
            for _ in range(10):
                self.driver._poll_once()
        return 10 - len(pauses)

    def test_target_that_resets_connections_is_polled_with_pauses(self):
        """Otherwise its runner opens hundreds of connections a second."""
        self.assertEqual(0, self.polls_without_pause(0.001))

    def test_poll_that_timed_out_is_repeated_at_once(self):
        """The lease expires soon after, and time has passed already."""
        self.assertEqual(10, self.polls_without_pause(0.15))


class StartTest(DriverTestCase):
    def test_unanswered_start_is_not_run_only_after_a_confirmed_stop(self):
        """A request without an answer may be carried out seconds later."""
        self.request_start("j.0.0.0")
        self.client.starts = [NO_ANSWER]
        self.client.stops = [NO_ANSWER, NO_ANSWER, ACCEPTED]
        self.client.holds = [listing()]
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual(3, len(self.client.stopped))
        self.assertEqual(
            [(A, "j.0.0.0", "not_run", "not_answered")], self.endings()
        )

    def test_unexpected_error_of_a_start_is_like_a_lost_answer(self):
        """The run would keep its capacity until the runner restarts."""
        self.request_start("j.0.0.0")
        self.client.starts = [RuntimeError("unexpected")]
        with self.assertLogs("trefoilgw.runner.driving", "ERROR"):
            self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual(["j.0.0.0"], self.client.stopped)
        self.assertEqual({}, self.allocator.runs)

    def test_unexpected_error_of_a_stop_does_not_end_it(self):
        """The run could not be stopped any more, and its lease was extended."""
        self.request_start("j.0.0.0")
        self.driver.start("j.0.0.0", 1, "p")
        self.client.stops = [RuntimeError("broken"), ACCEPTED]
        with (
            mock.patch.object(driving.eventlet, "sleep"),
            self.assertLogs(driving.log),
        ):
            self.assertTrue(self.driver.stop("j.0.0.0", 1))
        self.assertEqual({}, self.driver.pending_stops)

    def test_unanswered_start_is_stopped_also_once_its_run_is_given_up(self):
        """The target may carry it out seconds later, after newer calls."""
        self.request_start("j.0.0.0")
        self.client.starts = [NO_ANSWER]
        self.client.stops = [NO_ANSWER, NO_ANSWER, NO_ANSWER, ACCEPTED]

        def give_up(_):
            self.allocator.leases_expired("target_lost")

        with mock.patch.object(driving.eventlet, "sleep", give_up):
            self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual(4, len(self.client.stopped))

    def test_stopped_run_that_is_not_listed_may_take_its_time_to_end(self):
        """A confirmed stop takes effect within the time that targets state."""
        self.driver.run_stop_s = 0.05
        self.request_start("j.0.0.0")
        self.driver.start("j.0.0.0", 1, "p")
        self.driver.stop("j.0.0.0", 1)
        self.client.holds = [listing()]
        self.now_s += 0.04
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.now_s += 0.02
        self.extend_lease()
        self.assertEqual("stopped", self.endings()[0][2])

    def test_two_stops_share_one_confirmation(self):
        """A pending stop must not be taken for a confirmed one."""
        self.request_start("j.0.0.0")
        self.client.stops = [NO_ANSWER, ACCEPTED]
        results = [
            eventlet.spawn(self.driver.stop, "j.0.0.0", 1) for _ in range(2)
        ]
        self.assertEqual([True, True], [x.wait() for x in results])
        self.assertEqual(2, len(self.client.stopped))

    def test_run_that_was_given_up_is_not_started(self):
        """It began again elsewhere, 1 to 9 ms before.

        A runner that wakes reads the orders that came meanwhile, and then
        finds that the leases have expired, before it starts the first of them.
        """
        self.request_start("j.0.0.0")
        self.now_s += 1.2
        self.extend_lease()
        self.assertEqual("lost", self.endings()[0][2])
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([], self.client.started)

    def test_paused_runner_does_not_start_what_it_accepted_before(self):
        """Its scheduler gave the run up, and began it elsewhere, meanwhile."""
        self.allocator.owners[A].authority_until_s = self.now_s + 0.9
        self.request_start("j.0.0.0")
        self.now_s += 3.0
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([], self.client.started)
        self.assertEqual(
            [(A, "j.0.0.0", "not_run", "authority")], self.endings()
        )

    def test_run_that_is_to_be_stopped_is_not_started(self):
        """A start that is sent after the order to stop may overtake it."""
        self.request_start("j.0.0.0")
        order = messages.StopRuns((messages.RunRef("j.0.0.0", 1),))
        self.allocator.stop_runs(A, order)
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([], self.client.started)
        self.assertEqual("not_run", self.endings()[0][2])

    def test_refused_start_has_not_run(self):
        """The target has not started it, so another target may."""
        self.request_start("j.0.0.0")
        refused = orders.Refused(orders.RefusalReason.ROOM, 5.0)
        self.client.starts = [refused]
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([(A, "j.0.0.0", "not_run", "room")], self.endings())


class EvidenceTest(DriverTestCase):
    """The place that ends a run tells why it can no longer work."""

    def start(self, *starts, stops=(ACCEPTED,), holds=(NO_ANSWER,)):
        """Requests and starts a run with prepared answers of the target."""
        self.request_start("j.0.0.0")
        self.client.starts = list(starts)
        self.client.stops = list(stops)
        self.client.holds = list(holds)
        self.driver.start("j.0.0.0", 1, "p")

    def evidence(self):
        """Returns the evidence of the only reported end."""
        ((_, evidence, instance, started_ms),) = fixtures.sent_evidence(
            self.allocator.take_actions()
        )
        self.assertEqual(("i-1", 1), (instance, started_ms))
        return work.Evidence(evidence)

    def test_refused_and_unsent_starts(self):
        """None of them has started anything."""
        for answer in (
            orders.Refused(orders.RefusalReason.LATE, 5.0),
            orders.OtherInstance(),
            orders.NoAnswer(False, "refused"),
        ):
            with self.subTest(answer=answer):
                self.setUp()
                self.start(answer)
                self.assertIs(work.Evidence.NOT_RUN, self.evidence())

    def test_unanswered_start(self):
        """It may have been carried out, and only its answer was lost."""
        ran = work.Evidence.ENDED
        for held, evidence in (
            (listing(), work.Evidence.NOT_RUN),
            (listing(running=["j.0.0.0"]), ran),
            (listing(started_ms=2), ran),
            (NO_ANSWER, ran),
        ):
            with self.subTest(held=held):
                self.setUp()
                self.start(NO_ANSWER, holds=[held])
                self.assertIs(evidence, self.evidence())

    def test_unanswered_start_of_a_run_that_has_ended(self):
        """A run that was done counted as not run, and was repeated."""
        for ending in (work.Ending.DONE, work.Ending.STOPPED):
            with self.subTest(ending=ending):
                self.setUp()
                self.start(
                    NO_ANSWER, holds=[listing(ended=[("j.0.0.0", ending)])]
                )
                self.assertEqual([], self.allocator.take_actions())
                self.extend_lease()
                ((_, ended),) = fixtures.sent_messages(
                    self.allocator.take_actions(), messages.RunEnded
                )
                self.assertEqual(ending, ended.ending)
                self.assertEqual(work.Evidence.ENDED, ended.evidence)

    def test_listed_ends(self):
        """A run that is no longer listed has ended as well."""
        for held in (
            listing(ended=[("j.0.0.0", work.Ending.LOST)]),
            listing(),
        ):
            with self.subTest(held=held):
                self.setUp()
                self.start(ACCEPTED, holds=[held])
                self.now_s += 0.1
                self.extend_lease()
                self.assertIs(work.Evidence.ENDED, self.evidence())

    def test_another_life_answers(self):
        """It may be another instance, or the same one started anew."""
        for held in (orders.OtherInstance(), listing(started_ms=2)):
            with self.subTest(held=held):
                self.setUp()
                self.start(ACCEPTED, holds=[held])
                self.extend_lease()
                self.assertIs(work.Evidence.OTHER_LIFE, self.evidence())

    def test_expired_leases(self):
        """Also of a target that has left before, which is then gone."""
        for leaves in (False, True):
            with self.subTest(leaves=leaves):
                self.setUp()
                self.start(ACCEPTED, holds=[orders.NoAnswer(False, "refused")])
                if leaves:
                    self.allocator.target_leaves()
                self.now_s += 2.0
                self.extend_lease()
                self.assertIs(work.Evidence.LEASE_EXPIRED, self.evidence())


class LeaseTest(DriverTestCase):
    def start_one(self, task="j.0.0.0"):
        self.request_start(task)
        self.driver.start(task, 1, "p")
        self.allocator.take_actions()

    def check_runs_are_lost_with_their_leases(self):
        """Checks that runs are lost once leases given at 100 s are over."""
        leases_end_s = 100.0 + self.driver.lease.length_s * (
            1.0 + leases.MAX_CLOCK_DRIFT
        )
        while self.now_s < leases_end_s:
            self.extend_lease()
            self.assertEqual([], self.endings())
            self.now_s += 0.05
        self.now_s = leases_end_s + leases.LAPSE_MARGIN_S + 0.001
        self.extend_lease()
        self.assertEqual("lost", self.endings()[0][2])

    def test_each_end_is_reported_once(self):
        """The target lists an end repeatedly until it is confirmed."""
        self.start_one()
        ended = listing(ended=[("j.0.0.0", work.Ending.DONE)])
        self.client.holds = [ended]
        self.extend_lease()
        self.assertEqual("done", self.endings()[0][2])
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.assertEqual(1, self.driver.last_confirmed_end)

    def test_run_that_is_not_listed_has_ended(self):
        """A run whose end was missed would use capacity forever."""
        self.start_one()
        self.client.holds = [listing()]
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.now_s += 0.1
        self.extend_lease()
        self.assertEqual("stopped", self.endings()[0][2])

    def test_lease_of_an_unresponsive_target_is_not_extended(self):
        """Its runs would otherwise continue forever without being reported."""
        self.start_one()
        self.client.holds = [listing(running=["j.0.0.0"]), NO_ANSWER]
        self.extend_lease()
        for _ in range(40):
            self.now_s += 0.1
            self.extend_lease()
            endings = self.endings()
            if endings:
                break
        self.assertEqual("lost", endings[0][2])
        self.assertFalse(self.allocator.reachable)
        last_extended_s = 100.0 + driving.EXTEND_TIMEOUT_S
        self.assertGreater(self.now_s, last_extended_s + 1.02)
        self.assertLess(self.now_s, last_extended_s + 1.3)
        self.assertIsNone(self.client.leases[-1])

    def test_lease_ends_with_the_authority_of_the_schedulers(self):
        """Runs went on for a second after it if the target missed their stop.

        The caller of a lost scheduler has submitted its job again by then.
        """
        self.allocator.owners[A].authority_until_s = self.now_s + 0.5
        self.start_one()
        self.client.holds = [listing(running=["j.0.0.0"])]
        self.extend_lease()
        end_s = 5.0 + 0.5 + owners.STOP_ALLOWANCE_S
        self.assertAlmostEqual(end_s, self.client.leases[-1])
        self.now_s += 0.4
        self.extend_lease()
        self.now_s += 0.4
        self.extend_lease()
        self.assertIsNone(self.client.leases[-1])

    def test_first_authority_to_end_limits_the_lease(self):
        """All runs at a target share one lease."""
        self.allocator.owner_connected(B, self.now_s)
        self.start_one()
        fixtures.start_confirmed(self.allocator, B, "k.0.0.0", now_s=self.now_s)
        self.assertEqual(
            self.now_s + owners.AUTHORITY_S + owners.STOP_ALLOWANCE_S,
            self.allocator.lease_limit_s(),
        )

    def test_start_that_would_extend_an_ended_lease_is_refused(self):
        """A start extends the lease of all runs, also of a lost scheduler."""
        self.allocator.owner_connected(B, self.now_s)
        fixtures.start_confirmed(self.allocator, B, "k.0.0.0", now_s=self.now_s)
        self.now_s += owners.AUTHORITY_S + owners.STOP_ALLOWANCE_S
        self.request_start("j.0.0.0")
        self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([], self.client.started)
        self.assertEqual([(A, "j.0.0.0", "not_run", "lease")], self.endings())

    def test_runs_of_an_earlier_process_get_no_longer_lease(self):
        """They went on until the target confirmed their stop."""
        self.client.holds = [listing(running=["old.0.0.0"])]
        self.extend_lease()
        self.extend_lease()
        self.assertEqual([None, None], self.client.leases)

    def test_refused_connection_keeps_the_runs_until_their_leases_expire(self):
        """Runs went on at a target that was cut off, and began elsewhere.

        A refused or reset connection does not show that the process is gone.
        """
        self.start_one()
        self.client.holds = [orders.NoAnswer(False, "refused")]
        self.extend_lease()
        self.assertFalse(self.allocator.usable)
        self.check_runs_are_lost_with_their_leases()

    def lost_at_s(self, answer):
        """Returns when a run is reported as lost if all calls fail alike.

        A new start comes each 0.3 s.

        Args:
            answer: The answer of the target to each call.
        """
        self.start_one()
        self.client.holds = [answer]
        self.client.starts = [answer]
        self.client.stops = [ACCEPTED]
        for number in range(100):
            self.extend_lease()
            if "lost" in [x[2] for x in self.endings()]:
                break
            if number % 6 == 0:
                self.request_start(f"k{number}.0.0.0")
                self.driver.start(f"k{number}.0.0.0", 1, "p")
            self.now_s += 0.05
        return self.now_s

    def test_target_that_refuses_each_call_loses_its_runs(self):
        """Its leases expired, but the runs were held until it answered again.

        A target that refuses a call has not extended any lease. The starts
        that it refuses may not hold the runs either.
        """
        refused = orders.Refused(orders.RefusalReason.UNHEALTHY, None)
        lost_at_s = self.lost_at_s(refused)
        self.assertGreater(lost_at_s, 100.0 + 1.02)
        self.assertLess(lost_at_s, 100.0 + driving.START_TIMEOUT_S + 1.02 + 0.2)
        self.assertFalse(self.allocator.usable)

    def test_starts_do_not_hold_the_runs_of_a_silent_target(self):
        """Each start extended the leases, for as long as there was room."""
        lost_at_s = self.lost_at_s(NO_ANSWER)
        self.assertGreater(lost_at_s, 100.0 + 1.02)
        self.assertLess(lost_at_s, 100.0 + driving.START_TIMEOUT_S + 1.02 + 0.2)

    def test_unreachable_target_gets_no_longer_lease(self):
        """A request that is not received would only delay the end of the runs.

        The target may also be back within that time, with its runs.
        """
        self.start_one()
        self.client.holds = [
            listing(running=["j.0.0.0"]),
            orders.NoAnswer(False, "refused"),
            orders.NoAnswer(False, "refused"),
            listing(running=["j.0.0.0"]),
        ]
        for _ in range(2):
            self.extend_lease()
            self.now_s += 0.05
        until_s = self.driver.lease.until_s
        self.extend_lease()
        self.assertIsNone(self.client.leases[-1])
        self.assertEqual(until_s, self.driver.lease.until_s)
        self.extend_lease()
        self.assertTrue(self.allocator.usable)
        self.assertEqual([], self.endings())

    def test_foreign_runs_are_stopped_first(self):
        """Runs of a killed runner must not run concurrently with new ones."""
        self.client.holds = [listing(running=["old.0.0.0"])]
        self.extend_lease()
        self.assertFalse(self.allocator.usable)
        eventlet.sleep(0)
        self.assertEqual(["old.0.0.0"], self.client.stopped)
        self.client.holds = [listing()]
        self.extend_lease()
        self.assertTrue(self.allocator.usable)

    def test_lease_of_foreign_runs_is_not_extended(self):
        """A killed runner's run went on under the lease of its successor.

        Its scheduler repeats it 2.05 s after the last renewal, also while the
        stops of the new runner are lost.
        """
        self.client.holds = [listing(running=["old.0.0.0"])]
        self.client.stops = [NO_ANSWER]
        self.extend_lease()
        for _ in range(3):
            self.now_s += 0.1
            self.extend_lease()
        self.assertEqual([None] * 3, self.client.leases[1:])
        self.client.holds = [listing()]
        self.extend_lease()
        self.start_one()
        self.extend_lease()
        self.assertIsNotNone(self.client.leases[-1])

    def test_restarted_target_ends_all_runs_as_lost(self):
        """A target that has restarted has none of its earlier runs."""
        self.start_one()
        self.client.holds = [listing(started_ms=2)]
        self.extend_lease()
        self.assertEqual("lost", self.endings()[0][2])
        self.assertIsNone(self.allocator.target)

    def test_run_that_a_restarted_target_has_started_is_kept(self):
        """It was given up, and began elsewhere, while it worked on.

        The target may start again as the same instance, so that it accepts
        starts before the runner has learned of the restart.
        """
        self.start_one("old.0.0.0")
        self.start_one("new.0.0.0")
        self.client.holds = [listing(running=["new.0.0.0"], started_ms=2)]
        self.extend_lease()
        self.assertEqual(
            [(A, "old.0.0.0", "lost", "target_gone")], self.endings()
        )
        self.allocator.target_reported(fixtures.make_target(started_ms=2))
        self.now_s += 0.1
        self.extend_lease()
        self.assertTrue(self.allocator.usable)
        self.client.holds = [listing(started_ms=2)]
        self.now_s += 0.1
        self.extend_lease()
        self.assertEqual("stopped", self.endings()[0][2])

    def test_foreign_report_does_not_end_runs_that_are_kept(self):
        """They were given up while they worked on.

        The report of another writer named an instance that does not exist. It
        was taken for the successor, and refused calls in its name.
        """
        self.start_one("new.0.0.0")
        foreign = fixtures.make_target(started_ms=2)
        foreign = attrs.evolve(foreign, instance="other")
        self.allocator.target_reported(foreign)
        self.client.holds = [listing(running=["new.0.0.0"], started_ms=2)]
        self.extend_lease()
        self.assertEqual("i-1", self.allocator.target.instance)
        self.now_s += 0.1
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.assertTrue(self.allocator.usable)

    def test_restart_counts_once_all_starts_are_answered(self):
        """The new life may have taken a start that is not answered yet."""
        self.request_start("j.0.0.0")
        self.driver.starting.add(("j.0.0.0", 1))
        self.client.holds = [listing(started_ms=2)]
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.assertFalse(self.allocator.usable)
        self.driver.starting.clear()
        self.now_s += 0.1
        self.extend_lease()
        self.assertEqual("lost", self.endings()[0][2])
        self.assertIsNone(self.allocator.target)

    def test_answer_of_another_instance_ends_all_runs_as_lost(self):
        """The successor that was reported before takes over at once."""
        self.start_one()
        self.allocator.target_reported(fixtures.make_target(started_ms=2))
        self.client.holds = [listing(running=["j.0.0.0"])]
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.client.holds = [orders.OtherInstance(), listing(started_ms=2)]
        self.extend_lease()
        self.assertEqual("lost", self.endings()[0][2])
        self.extend_lease()
        self.assertTrue(self.allocator.usable)

    def test_target_that_left_keeps_its_runs_until_their_leases_expire(self):
        """A refused connection is no proof either once it has deregistered.

        The deregistration may come from another writer, or early.
        """
        self.start_one()
        self.allocator.target_leaves()
        self.client.holds = [
            listing(running=["j.0.0.0"]),
            orders.NoAnswer(False, "refused"),
        ]
        self.extend_lease()
        self.assertEqual([], self.endings())
        self.check_runs_are_lost_with_their_leases()
        self.assertIsNone(self.allocator.target)

    def test_stalled_runs_are_queued_for_a_stop(self):
        """The program carries out the stops that the allocator queues."""
        self.start_one()
        self.client.holds = [listing(running=["j.0.0.0"])]
        self.extend_lease()
        self.now_s += 1.0
        self.extend_lease()
        self.assertEqual(
            [actions.Stop("j.0.0.0", 1)], self.allocator.take_actions()
        )


if __name__ == "__main__":
    unittest.main()
