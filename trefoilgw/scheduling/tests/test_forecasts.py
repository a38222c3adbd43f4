"""Tests of predicted waits right after an outage, before any run has ended."""

import random
import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import admission
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling import planning
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work
from trefoilgw.work import rates

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


class UnevenSchedulersTest(unittest.TestCase):
    """Schedulers that share their runners and admit at different rates."""

    URGENT_MILLICORES = 4_000
    SCHEDULERS = 5

    def predict(self, others_started, old_runners=0):
        """Returns the forecast of a job that waits behind urgent work.

        This scheduler has admitted 4 cores of urgent work in the last second,
        and 40 cores a second come free at 4 runners.

        Args:
            others_started: What each runner reports.
            old_runners: Runners that don't report it.
        """
        scheduler = scheduling.Scheduler("d1", rng=random.Random(1))
        for number in range(4):
            name = f"r{number}"
            scheduler.runner_connected(name, "i1", "d1", 0.0)
            report = fixtures.make_report(
                free=fixtures.NO_CAPACITY,
                freed_cpu=10_000,
                schedulers=self.SCHEDULERS,
                others_started=() if number < old_runners else others_started,
            )
            scheduler.capacity_reported(name, report, 0.0)
        scheduler.arrivals["urgent"] = admission.ArrivalRate(
            self.URGENT_MILLICORES, 2.0, slack_s=0.15
        )
        scheduler.admitted_cpu.record(3, self.URGENT_MILLICORES)
        queue = fixtures.queue("late", stretch=4.0, latency_s=1.0)
        spec = fixtures.job("j", 2, 0.5, queue)
        job = planning.make_job(spec, 1, 1, scheduler.run_times, 2.0)
        return scheduler.forecaster.predict(job, (), 2.0)

    def steps(self, rate):
        """Returns reports of a rate of urgent work over all four runners."""
        return (0, 0, 0, rates.to_step(rate / 4))

    def test_equal_schedulers_forecast_as_before(self):
        """Deployments with even hosts must be served as before."""
        before = self.predict(())
        even = (self.SCHEDULERS - 1) * self.URGENT_MILLICORES
        for factor in (0.75, 1.0, 1.25):
            with self.subTest(factor=factor):
                found = self.predict(self.steps(factor * even))
                self.assertEqual(before, found)

    def test_crowded_scheduler_does_not_take_the_others_for_crowded(self):
        """It rejected jobs for urgent work that did not exist."""
        before = self.predict(())
        found = self.predict(self.steps(self.URGENT_MILLICORES))
        self.assertLess(found.wait_s, 0.7 * before.wait_s)

    def test_quiet_scheduler_expects_the_urgent_work_of_others(self):
        """It admitted jobs that then started late."""
        for old_runners in (0, 2):
            quiet = self.predict((0,), old_runners)
            found = self.predict(self.steps(30_000), old_runners)
            self.assertGreater(found.wait_s, 1.5 * quiet.wait_s)

    def test_scheduler_without_urgent_work_expects_that_of_others(self):
        """Its own rate of 0 times the number of schedulers is 0."""
        scheduler = fixtures.make_scheduler("r1")
        report = fixtures.make_report(
            schedulers=self.SCHEDULERS, others_started=(0, 0, 0, 30)
        )
        scheduler.capacity_reported("r1", report, 1.0)
        serving = list(scheduler.runner_views.values())
        found = scheduler.forecaster._urgent_rate(5, 0.0, serving)
        self.assertEqual(rates.from_step(30), found)
        self.assertEqual(
            0.0, scheduler.forecaster._urgent_rate(3, 0.0, serving)
        )

    def test_odd_rates_give_a_bounded_wait(self):
        """A wrong figure of one runner must not end the forecasts."""
        found = self.predict((-5, 0, 2**63, 2**64 - 1))
        self.assertLessEqual(found.wait_s, admission.MAX_PREDICTED_WAIT_S)
