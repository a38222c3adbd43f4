"""Tests of what a scheduler counts on right after a loss of all hosts."""

import random
import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import recovering
from trefoilgw.scheduling.tests import fixtures

RUNNERS = [f"r{x}" for x in range(8)]
JOINED_S = 10.0
LONG_QUEUE = fixtures.queue("long", stretch=3.0, latency_s=0.2)


class RecoveryTestCase(unittest.TestCase):
    """A scheduler to which all runners have just connected."""

    def setUp(self):
        self.scheduler = scheduling.Scheduler("d1", rng=random.Random(1))
        for name in RUNNERS:
            self.scheduler.runner_connected(name, "i1", "d1", JOINED_S)
            self.scheduler.reconcile_runs(
                name, messages.ActiveRuns(()), JOINED_S
            )

    def report(self, names, now_s, **changes):
        for name in names:
            report = fixtures.make_report(**{"freed_cpu": 0, **changes})
            self.scheduler.capacity_reported(name, report, now_s)

    def submit(self, count, now_s, tasks=2, run_s=0.4, queue=fixtures.QUEUE):
        """Returns the number of admitted jobs of a number of equal ones."""
        results = [
            self.scheduler.submit(
                fixtures.job(f"{queue.name}{now_s}-{x}", tasks, run_s, queue),
                1,
                now_s,
            )
            for x in range(count)
        ]
        return sum(not isinstance(x, actions.Rejected) for x in results)

    def rejected(self):
        """Returns the rejections among the answers since the last call."""
        found = fixtures.answers(self.scheduler.take_actions())
        return [x for _, x in found if isinstance(x, actions.Rejected)]


class SharedCapacityTest(RecoveryTestCase):
    def test_free_capacity_is_shared_until_reports_show_the_others(self):
        """All schedulers took the same free capacity for their own.

        Eight schedulers admitted eight times what the targets could run.
        """
        self.report(RUNNERS, 10.01, schedulers=8)
        admitted = self.submit(50, 10.02, run_s=2.0)
        self.assertLessEqual(admitted * 2, len(RUNNERS) * 4 // 8 + 2)
        self.assertGreaterEqual(admitted, 1)

    def test_first_job_may_use_all_free_capacity(self):
        """A job larger than the share was rejected although all was idle."""
        self.report(RUNNERS, 10.01, schedulers=8)
        self.assertEqual(1, self.submit(1, 10.02, tasks=32, run_s=2.0))
        self.assertEqual(0, self.submit(1, 10.03, tasks=2, run_s=1.0))

    def test_idle_capacity_is_used_once_the_others_have_left_it(self):
        """A share for each would leave capacity idle if the load is uneven."""
        self.report(RUNNERS, 10.01, schedulers=8)
        later_s = 10.02 + recovering.SHARING_S
        self.assertEqual(8, self.submit(8, later_s, run_s=2.0))

    def test_restart_of_a_single_scheduler_uses_measured_rates(self):
        """Its runners have worked on for the others all the while."""
        self.report(
            RUNNERS,
            10.01,
            free=fixtures.NO_CAPACITY,
            freed_cpu=8000,
            schedulers=2,
        )
        self.assertGreaterEqual(self.submit(4, 10.02, queue=LONG_QUEUE), 4)

    def test_single_new_runner_changes_nothing(self):
        """Deployments without a loss must be served as before."""
        self.report(RUNNERS, 10.01)
        self.assertTrue(self.scheduler.forecaster.is_recovering(10.5))
        self.assertFalse(self.scheduler.forecaster.is_recovering(12.0))
        self.scheduler.runner_connected("r0", "i2", "d1", 12.0)
        self.assertFalse(self.scheduler.forecaster.is_recovering(12.1))

    def test_connections_that_were_reset_change_nothing(self):
        """The runners and their targets were there all the while."""
        self.report(RUNNERS, 10.01)
        for name in RUNNERS:
            self.scheduler.runner_disconnected(name)
            self.scheduler.runner_connected(name, "i1", "d1", 12.0)
        self.assertFalse(self.scheduler.forecaster.is_recovering(12.1))
        self.report(RUNNERS, 12.2)
        self.assertFalse(self.scheduler.forecaster.is_recovering(12.3))


class JoiningTest(RecoveryTestCase):
    def count(self, now_s):
        """Returns how many targets are expected within 0.35 s at least."""
        supply = recovering.make_supply(
            "proof",
            list(self.scheduler.runner_views.values()),
            self.scheduler.forecaster.joining,
            (),
            10.0,
            now_s,
        )
        return (supply.within(0.35) - supply.within(0.0)) / 4000

    def test_targets_are_expected_at_the_rate_of_the_earlier_ones(self):
        """Targets report every 1.5 s; all were expected within 0.4 s."""
        self.report(RUNNERS[:1], 10.2)
        self.assertLess(self.count(10.2), 3.0)

    def test_targets_that_report_at_once_are_all_expected(self):
        """After the restart of a scheduler the runners know their targets."""
        self.report(RUNNERS[:1], 10.01)
        self.assertGreater(self.count(10.01), 6.0)

    def test_targets_that_stay_away_are_not_expected(self):
        """Half of the targets may be gone for good."""
        self.report(RUNNERS[:4], 10.5)
        self.assertLess(self.count(10.5 + 2.0), 1.0)
        late_s = JOINED_S + recovering.MAX_JOINING_S
        self.assertEqual(0.0, self.count(late_s))


class ExpectedEndsTest(RecoveryTestCase):
    def test_long_runs_that_have_just_started_free_nothing_soon(self):
        """A rate of one over the run time freed capacity at once.

        Jobs were admitted behind runs that had just begun and ended late.
        """
        self.report(RUNNERS, 10.01)
        self.assertEqual(16, self.submit(16, 10.02, run_s=2.0))
        self.assertEqual(0, self.submit(4, 10.05))

    def test_capacity_counts_each_time_it_becomes_free(self):
        """A long wait serves many short runs one after the other."""
        self.report(RUNNERS, 10.01)
        self.submit(16, 10.02, run_s=0.1)
        queue = fixtures.queue("slow", stretch=1.6, latency_s=2.0)
        self.assertGreaterEqual(
            self.submit(40, 10.05, run_s=0.1, queue=queue), 36
        )


class LateJobTest(RecoveryTestCase):
    def test_job_is_rejected_when_the_expected_targets_stay_away(self):
        """It was held to the end of its time and never offered."""
        self.report(RUNNERS[:1], 10.01)
        admitted = self.submit(8, 10.02, run_s=1.0, queue=LONG_QUEUE)
        self.assertEqual(8, admitted)
        self.scheduler.take_actions()
        self.scheduler.tick(10.9)
        rejected = self.rejected()
        self.assertTrue(rejected)
        for outcome in rejected:
            self.assertEqual("overload", outcome.reason)
            self.assertGreater(outcome.retry_after_s, 0.0)

    def test_jobs_that_may_have_run_are_kept(self):
        """A rejection says that the job has certainly not run."""
        self.report(RUNNERS[:1], 10.01)
        self.submit(8, 10.02, run_s=1.0, queue=LONG_QUEUE)
        for job in self.scheduler.waiting_jobs:
            job.may_have_run = True
        self.scheduler.take_actions()
        self.scheduler.tick(10.9)
        self.assertEqual([], self.rejected())
