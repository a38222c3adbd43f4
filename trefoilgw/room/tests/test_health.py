"""Tests of the doubts about a target and of the probes that end them."""

import math
import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.room import health
from trefoilgw.room import probation
from trefoilgw.room.tests import fixtures
from trefoilgw.work import core as work

A = fixtures.A


class TargetCase(unittest.TestCase):
    def setUp(self):
        self.allocator = fixtures.make_allocator(A)
        self.health = self.allocator.target_health
        self.now_s = 0.1
        self.number = 0

    def start(self):
        """Requests a run; returns its task if it starts, else None."""
        self.number += 1
        task = f"j{self.number}.0.0.0"
        self.allocator.renew_authority(A, self.now_s)
        issued = fixtures.start_runs(self.allocator, A, task, now_s=self.now_s)
        if not fixtures.started_tasks(issued):
            return None
        self.allocator.run_started(task, 1, self.now_s)
        return task

    def run_once(self, ending, run_s=0.01):
        """Plays a run; returns whether it was started."""
        task = self.start()
        if task is None:
            return False
        self.now_s += run_s
        self.allocator.run_ended(task, 1, ending, self.now_s)
        return True

    def fail_until_suspect(self):
        for _ in range(health.FAILED_JOBS_LIMIT):
            self.run_once(work.Ending.FAILED)
        self.assertTrue(self.allocator.target_health.suspect)

    def seconds_to_next_probe(self, ending):
        """Tries every 10 ms to start a run; returns when one has."""
        began_s = self.now_s
        while not self.run_once(ending, 0.0):
            self.now_s += 0.01
            self.allocator.tick(self.now_s)
            self.assertLess(self.now_s - began_s, 60.0)
        return self.now_s - began_s


class FailingTest(TargetCase):
    def test_probes_of_a_failing_target_are_spaced(self):
        """A target that fails at once is always free for the next probe.

        Each of them costs a job one of its attempts.
        """
        self.fail_until_suspect()
        self.run_once(work.Ending.FAILED)
        took_s = self.seconds_to_next_probe(work.Ending.FAILED)
        self.assertAlmostEqual(probation.PROBE_INTERVAL_S, took_s, delta=0.02)

    def test_no_offer_while_no_probe_is_due(self):
        """An offer would be answered with a task that is then refused."""
        self.fail_until_suspect()
        self.run_once(work.Ending.FAILED)
        fixtures.update_bid(self.allocator, A, 0.5, now_s=self.now_s)
        self.allocator.take_actions()
        self.allocator.offer_capacity(self.now_s)
        self.assertEqual([], self.allocator.take_actions())
        self.now_s += 2 * probation.PROBE_INTERVAL_S
        self.allocator.tick(self.now_s)
        self.allocator.offer_capacity(self.now_s)
        self.assertEqual(1, len(self.allocator.take_actions()))

    def test_schedulers_are_told_when_a_probe_is_due(self):
        """Else they reject the job for it, or admit jobs that wait in vain."""
        self.fail_until_suspect()
        self.assertEqual([(True, True)], self.reported())
        self.run_once(work.Ending.FAILED)
        self.now_s += probation.PROBE_INTERVAL_S / 2
        self.allocator.tick(self.now_s)
        self.assertEqual([(True, False)], self.reported())
        self.now_s += probation.PROBE_INTERVAL_S
        self.allocator.tick(self.now_s)
        self.assertEqual([(True, True)], self.reported())
        self.start()
        self.now_s += 0.1
        self.assertEqual([(True, False)], self.reported())

    def reported(self):
        """Returns what the next reports say of the doubt and the probe."""
        self.allocator.take_actions()
        self.allocator.report_capacity(self.now_s)
        sent = fixtures.sent_messages(
            self.allocator.take_actions(), messages.CapacityReport
        )
        return [(x.suspect, x.probe_due) for _, x in sent]

    def test_target_that_fails_half_of_its_runs_is_suspect(self):
        """Each success hides the failures if only those in a row count."""
        for number in range(12):
            failed = number % 2
            self.run_once(work.Ending.FAILED if failed else work.Ending.DONE)
        self.assertTrue(self.health.suspect)

    def test_few_failures_among_many_successes_are_no_reason(self):
        """Some jobs can never succeed and fail at every target."""
        for number in range(60):
            failed = number % 6 == 0
            self.run_once(work.Ending.FAILED if failed else work.Ending.DONE)
        self.assertFalse(self.health.suspect)

    def test_refusals_as_unhealthy_count_as_failures(self):
        """A target that refuses all starts would be tried again and again.

        Each task that it refuses comes back at once, so few jobs are enough
        for many refusals.
        """
        for number in range(health.FAILED_JOBS_LIMIT):
            fixtures.start_runs(
                self.allocator, A, "j.0.0.0", run=number, now_s=self.now_s
            )
            self.allocator.run_refused(
                "j.0.0.0", number, "unhealthy", evidence=work.Evidence.NOT_RUN
            )
        self.assertTrue(self.health.suspect)

    def test_failures_in_doubt_are_not_collected(self):
        """A target may stay bad for hours, with a probe every second."""
        self.fail_until_suspect()
        for _ in range(20):
            self.seconds_to_next_probe(work.Ending.FAILED)
        limit = health.FAILED_JOBS_LIMIT
        self.assertEqual(limit, len(self.health.failed_jobs))

    def test_own_report_ends_no_suspicion(self):
        """A target may say that it is ready while it fails everything."""
        self.fail_until_suspect()
        self.allocator.target_reported(fixtures.make_target(sequence=9))
        self.assertTrue(self.allocator.target_health.suspect)

    def test_run_from_before_the_suspicion_does_not_end_it(self):
        """Long runs that have begun in time may succeed after the turn."""
        old = self.start()
        self.fail_until_suspect()
        self.now_s += 1.0
        self.allocator.run_ended(old, 1, work.Ending.DONE, self.now_s)
        self.assertTrue(self.health.suspect)


class FlappingTest(TargetCase):
    def relapse(self):
        """Passes probes until the target is trusted, then fails again."""
        while self.health.suspect:
            self.seconds_to_next_probe(work.Ending.DONE)
        self.fail_until_suspect()

    def test_interval_grows_up_to_a_bound(self):
        """With every turn, work is lost at a target that got its share back."""
        self.fail_until_suspect()
        waits_s = []
        for _ in range(8):
            self.relapse()
            waits_s.append(self.seconds_to_next_probe(work.Ending.FAILED))
        for wait_s, next_s in zip(waits_s, waits_s[1:], strict=False):
            self.assertGreater(next_s, wait_s - 0.05)
        self.assertGreater(waits_s[2], 2 * waits_s[0])
        bound_s = probation.MAX_PROBE_INTERVAL_S
        self.assertAlmostEqual(bound_s, waits_s[-1], delta=0.05)

    def test_target_that_has_relapsed_needs_more_successes(self):
        """Half of the probes pass at a target that fails half of its runs."""
        self.fail_until_suspect()
        self.relapse()
        self.seconds_to_next_probe(work.Ending.DONE)
        self.assertTrue(self.health.suspect)
        self.seconds_to_next_probe(work.Ending.DONE)
        self.assertFalse(self.health.suspect)

    def test_relapses_are_forgotten(self):
        """A target that failed once an hour ago does not flap."""
        self.fail_until_suspect()
        self.relapse()
        while self.health.suspect:
            self.seconds_to_next_probe(work.Ending.DONE)
        self.now_s += 2 * probation.FLAP_MEMORY_S
        self.allocator.tick(self.now_s)
        self.fail_until_suspect()
        self.assertEqual(0, self.health.probes.relapses)

    def restart(self):
        """Plays a crash and the next life of the target."""
        life = self.allocator.target.started_ms + 1
        self.allocator.target_unreachable()
        self.allocator.target_gone("gone", evidence=work.Evidence.OTHER_LIFE)
        self.allocator.target_reported(fixtures.make_target(started_ms=life))
        self.allocator.runs_reconciled = True
        self.health = self.allocator.target_health

    def test_second_crash_within_seconds_is_a_reason(self):
        """A target that goes down and up by turns loses its runs each time."""
        self.restart()
        self.assertFalse(self.health.suspect)
        self.now_s += 1.0
        self.allocator.tick(self.now_s)
        self.restart()
        self.assertIs(health.SuspectReason.FLAPPING, self.health.suspect_reason)
        self.assertTrue(self.run_once(work.Ending.DONE))
        self.assertFalse(self.health.suspect)

    def test_planned_ends_are_no_losses(self):
        """In a release each target is replaced, some of them twice."""
        for _ in range(3):
            self.allocator.target_leaves()
            self.restart()
        self.assertFalse(self.health.suspect)


class StalledTest(TargetCase):
    def test_probe_that_ends_before_it_is_listed_ends_the_suspicion(self):
        """A short probe never shows its progress."""
        self.health.suspect_reason = health.SuspectReason.STALLED
        self.assertTrue(self.run_once(work.Ending.DONE))
        self.assertFalse(self.health.suspect)

    def test_run_from_before_the_suspicion_does_not_end_it(self):
        """It may have been nearly done when the target came to a halt."""
        old = self.start()
        self.health.suspect_reason = health.SuspectReason.STALLED
        self.allocator.run_ended(old, 1, work.Ending.DONE, self.now_s)
        self.assertTrue(self.health.suspect)


class SlowTest(TargetCase):
    def poll(self, shares):
        """Lists the progress of runs."""
        self.allocator.update_progress(
            {(task, 1): share for task, share in shares.items()}, self.now_s
        )

    def test_target_that_turns_slow_is_suspect_within_a_second(self):
        """Over its whole life, a run that was half done still seems fast."""
        tasks = [self.start() for _ in range(3)]
        began_s, share = self.now_s, 0.0
        for _ in range(5):
            self.now_s += 0.1
            share += 0.1
            self.poll(dict.fromkeys(tasks, share))
        self.assertFalse(self.health.suspect)
        while not self.health.suspect:
            self.now_s += 0.1
            share += 0.1 / 8
            self.poll(dict.fromkeys(tasks, round(share, 2)))
            self.assertLess(self.now_s - began_s, 0.5 + 1.0)

    def test_short_runs_that_have_ended_show_that_a_target_is_slow(self):
        """Runs that end between two listings never show their progress."""
        tasks = [f"j{x}.0.0.0" for x in range(3)]
        fixtures.start_confirmed(self.allocator, A, *tasks, expected_s=0.1)
        for task in tasks:
            self.allocator.run_ended(task, 1, work.Ending.DONE, 0.9)
        self.allocator.update_progress({}, 0.9)
        self.assertIs(health.SuspectReason.SLOW, self.health.suspect_reason)

    def test_probe_that_ends_fast_ends_the_suspicion(self):
        """A short probe may end before its progress is listed."""
        self.health.suspect_reason = health.SuspectReason.SLOW
        self.run_once(work.Ending.DONE, 5.0)
        self.assertTrue(self.health.suspect)
        self.now_s += 1.0
        self.allocator.tick(self.now_s)
        self.assertTrue(self.run_once(work.Ending.DONE, 0.9))
        self.assertFalse(self.health.suspect)

    def test_slow_target_that_fails_is_in_doubt_as_failing(self):
        """If all targets are slow it is used, and would fail all jobs."""
        self.health.suspect_reason = health.SuspectReason.SLOW
        for number in range(health.FAILED_JOBS_LIMIT):
            task = f"f{number}.0.0.0"
            fixtures.start_confirmed(
                self.allocator, A, task, now_s=self.now_s, may_be_slow=True
            )
            self.allocator.run_ended(task, 1, work.Ending.FAILED, self.now_s)
        self.assertIs(health.SuspectReason.FAILING, self.health.suspect_reason)
        refused = fixtures.start_runs(
            self.allocator, A, "g.0.0.0", now_s=self.now_s, may_be_slow=True
        )
        self.assertEqual([], fixtures.started_tasks(refused))

    def test_probe_too_short_to_be_measured_ends_the_suspicion(self):
        """A service of short tasks only would have no other probe."""
        self.health.suspect_reason = health.SuspectReason.SLOW
        run_s = health.MIN_SPEED_AGE_S / 2
        self.assertTrue(self.run_once(work.Ending.DONE, run_s))
        self.assertFalse(self.health.suspect)

    def test_target_of_a_slow_kind_is_judged_by_its_usual_speed(self):
        """It would else be suspect whenever three short estimates meet."""
        found = [health.RunProgress(f"j{x}", 1.0, 1.0, 0.35) for x in range(3)]
        self.health.set_usual_speed(0.6)
        self.health.update_speed(found)
        self.assertFalse(self.health.suspect)
        self.health.set_usual_speed(1.0)
        self.health.update_speed(found)
        self.assertTrue(self.health.suspect)

    def test_speed_is_not_measured_with_an_odd_expected_time(self):
        """A time of 0 would make every run seem to stand still."""
        for odd in (0.0, -1.0, math.inf, math.nan):
            found = [health.RunProgress(x, 1.0, odd, 0.5) for x in "abcd"]
            self.health.update_speed(found)
            self.assertFalse(self.health.suspect)


if __name__ == "__main__":
    unittest.main()
