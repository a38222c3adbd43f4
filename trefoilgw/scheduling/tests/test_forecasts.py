"""Tests of predicted waits right after an outage, before any run has ended."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

RUNNERS = [f"r{x}" for x in range(8)]


def rejected(results):
    return [x for x in results if isinstance(x, actions.Rejected)]


class RestartAfterOutageTest(unittest.TestCase):
    """All callers submit at once when the site is back."""

    def setUp(self):
        self.scheduler = scheduling.Scheduler("d1")
        for name in RUNNERS:
            self.scheduler.runner_connected(name, "i1", "d1", 10.0)
            self.scheduler.reconcile_runs(name, messages.ActiveRuns(()), 10.0)

    def report(self, name, now_s, freed_cpu=0):
        self.scheduler.capacity_reported(
            name, fixtures.make_report(freed_cpu=freed_cpu), now_s
        )

    def submit(self, count, now_s):
        """Returns the results of jobs of 2 tasks with 0.3 s of slack."""
        queue = fixtures.queue(stretch=1.6, latency_s=0.26)
        return [
            self.scheduler.submit(
                fixtures.job(f"j{now_s}-{x}", 2, 0.4, queue), 1, now_s
            )
            for x in range(count)
        ]

    def fill(self, now_s):
        """Fills all capacity with runs, none of which has ended by `now_s`."""
        for name in RUNNERS:
            self.report(name, 10.01)
        self.submit(16, 10.02)
        self.scheduler.take_actions()
        for number, name in enumerate(RUNNERS, 1):
            busy = fixtures.make_report(
                free=fixtures.NO_CAPACITY, freed_cpu=0, starts_received=number
            )
            self.scheduler.capacity_reported(name, busy, now_s)

    def test_newly_connected_runners_add_capacity(self):
        """Runners without a target report yet must count.

        With one of eight runners knowing its target, 127 jobs were rejected
        that the others could have run a moment later.
        """
        self.report("r0", 10.01)
        self.assertEqual([], rejected(self.submit(14, 10.01)))

    def test_runners_that_stay_without_a_target_add_no_capacity(self):
        """The target of such a runner may be permanently gone."""
        self.report("r0", 10.01)
        later_s = 10.0 + forecasts.MAX_JOINING_S
        self.assertTrue(rejected(self.submit(14, later_s)))

    def test_used_capacity_is_expected_to_be_freed(self):
        """Rates are 0 until a run ends, which does not mean that none will."""
        self.fill(10.05)
        self.assertEqual([], rejected(self.submit(4, 10.05)))

    def test_measured_rates_are_used_after_the_averaging_window(self):
        """While long runs occupy the capacity, little of it is freed."""
        self.fill(11.5)
        self.assertTrue(rejected(self.submit(12, 11.5)))


class SharedStateTest(unittest.TestCase):
    def test_state_is_shared_with_the_scheduler(self):
        """A forecaster with copies would not see the waiting work."""
        scheduler = fixtures.make_scheduler("r1")
        self.assertIs(scheduler.waiting_jobs, scheduler.forecaster.waiting_jobs)
        self.assertIs(scheduler.runner_views, scheduler.forecaster.runner_views)
        self.assertIs(scheduler.arrivals, scheduler.forecaster.arrivals)
        scheduler.submit(fixtures.job("j"), 1, 0.0)
        fixtures.end_run(scheduler, "r1", "j.0.0.0", 1, work.Ending.DONE)
        self.assertIs(scheduler.waiting_jobs, scheduler.forecaster.waiting_jobs)
