"""Tests of the speed that a runner learns of its target."""

import math
import random
import unittest

from trefoilgw.room import speed
from trefoilgw.room.tests import fixtures
from trefoilgw.work import core as work
from trefoilgw.work import slowness

A = fixtures.A
SPREAD = 0.3


def learn(estimate, ratio, jobs, interval_s=0.1, from_s=0.0, seed=1):
    """Ends one run of each of some jobs; returns the time of the last one."""
    rng = random.Random(seed)
    now_s = from_s
    for number in range(jobs):
        now_s += interval_s
        run_s = ratio * rng.lognormvariate(0.0, SPREAD)
        estimate.record(f"{from_s}-{number}", run_s, 1.0)
        estimate.tick(now_s)
    return now_s


class EstimateTest(unittest.TestCase):
    def setUp(self):
        self.estimate = speed.SpeedEstimate()

    def test_slowness_is_learned_from_ends(self):
        """Long runs end late at a slow target that counts as a normal one."""
        for ratio in (0.6, 1.0, 1.7):
            with self.subTest(ratio=ratio):
                estimate = speed.SpeedEstimate()
                learn(estimate, ratio, 100)
                found = slowness.from_steps(slowness.steps_of(estimate.code))
                self.assertAlmostEqual(ratio, found, delta=0.15 * ratio)

    def test_few_runs_are_not_reported(self):
        """The run times of single jobs are off by a third or more."""
        learn(self.estimate, 1.7, 5)
        self.assertEqual(slowness.UNKNOWN, self.estimate.code)
        self.assertLess(self.estimate.log_slowness, math.log(1.7))

    def test_runs_of_one_job_count_little(self):
        """All runs of a job whose expected time is wrong seem slow."""
        for _ in range(200):
            self.estimate.record("j", 3.0, 1.0)
        self.estimate.tick(1.0)
        self.assertEqual(slowness.UNKNOWN, self.estimate.code)

    def test_old_runs_are_forgotten(self):
        """A target without runs may have changed since."""
        now_s = learn(self.estimate, 1.7, 100)
        self.estimate.tick(now_s + 5 * speed.DECAY_TIME_S)
        self.assertEqual(slowness.UNKNOWN, self.estimate.code)

    def test_change_is_learned_within_two_seconds(self):
        """What has ended in the last second counts more than all before."""
        now_s = learn(self.estimate, 1.0, 300)
        learn(self.estimate, 2.4, 20, from_s=now_s)
        found = slowness.from_steps(slowness.steps_of(self.estimate.code))
        self.assertGreater(found, 1.7)

    def test_code_seldom_changes_at_constant_speed(self):
        """Each change is part of the reports to all schedulers."""
        changes, last = 0, self.estimate.code
        rng = random.Random(3)
        for number in range(2000):
            run_s = rng.lognormvariate(0.04, SPREAD)
            self.estimate.record(f"j{number}", run_s, 1.0)
            self.estimate.tick(number * 0.1)
            changes += self.estimate.code != last
            last = self.estimate.code
        self.assertLessEqual(changes, 5)

    def test_odd_times_are_ignored(self):
        """A single infinite value would spoil the mean for good."""
        for odd in (0.0, -1.0, math.inf, math.nan):
            self.assertFalse(self.estimate.record("j", odd, 1.0))
            self.assertFalse(self.estimate.record("j", 1.0, odd))
        self.assertEqual(8, self.estimate.invalid_runs)
        self.assertEqual(0.0, self.estimate.all_runs.weight)

    def test_single_run_is_bounded(self):
        """A run that was suspended for an hour says nothing about speed."""
        self.estimate.record("j", 3600.0, 0.001)
        self.assertEqual(
            math.log(speed.MAX_RUN_RATIO), self.estimate.all_runs.value
        )


class ReportTest(unittest.TestCase):
    def setUp(self):
        self.allocator = fixtures.make_allocator(A)

    def end_runs(self, count, run_s, from_s):
        """Runs single tasks one after the other; returns the last time."""
        now_s = from_s
        for number in range(count):
            task = f"j{number}.0.0.0"
            self.allocator.renew_authority(A, now_s)
            fixtures.start_runs(self.allocator, A, task, now_s=now_s)
            self.allocator.run_started(task, 1, now_s)
            now_s += run_s
            self.allocator.run_ended(task, 1, work.Ending.DONE, now_s)
            self.allocator.tick(now_s)
        self.allocator.take_actions()
        return now_s

    def reports(self, now_s):
        self.allocator.report_capacity(now_s)
        return [
            x.slowness
            for _, x in fixtures.sent_messages(
                self.allocator.take_actions(), fixtures.messages.CapacityReport
            )
        ]

    def test_report_contains_the_slowness(self):
        """Each scheduler sees too few of the runs to learn it alone."""
        now_s = self.end_runs(80, 1.5, 0.1)
        (code,) = self.reports(now_s)
        self.assertAlmostEqual(
            1.5, slowness.from_steps(slowness.steps_of(code)), delta=0.2
        )

    def test_change_of_speed_alone_causes_no_report(self):
        """Reports would then outnumber the changes of the capacity."""
        now_s = self.end_runs(80, 1.5, 0.1)
        self.assertEqual(1, len(self.reports(now_s)))
        self.allocator.target_speed.forget()
        self.assertEqual([], self.reports(now_s + 10.0))
        fixtures.start_runs(self.allocator, A, "k.0.0.0", now_s=now_s)
        self.allocator.take_actions()
        self.assertEqual([slowness.UNKNOWN], self.reports(now_s + 20.0))

    def test_next_life_begins_without_an_estimate(self):
        """Another life of a target may run on another kind of machine."""
        self.end_runs(80, 1.5, 0.1)
        self.allocator.target_reported(fixtures.make_target(started_ms=2))
        self.allocator.target_gone("gone", evidence=work.Evidence.OTHER_LIFE)
        self.assertEqual(slowness.UNKNOWN, self.allocator.target_speed.code)


if __name__ == "__main__":
    unittest.main()
