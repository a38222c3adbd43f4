"""Predicted waits right after an outage, when nothing has been measured."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling.tests import scenes
from trefoilgw.work import core as work

RUNNERS = [f"r{x}" for x in range(8)]


def rejected(results):
    return [x for x in results if isinstance(x, actions.Rejected)]


class AfterOutageTest(unittest.TestCase):
    """Callers come all at once when the site is back."""

    def setUp(self):
        self.found = scheduling.Scheduler("d1")
        for name in RUNNERS:
            self.found.runner_joined(name, "i1", "d1", 10.0)
            self.found.reconcile_runs(name, messages.ActiveRuns(()), 10.0)

    def report(self, name, now_s, freed=0):
        self.found.capacity_reported(name, scenes.report(freed=freed), now_s)

    def submit(self, count, now_s):
        """Returns the results of jobs of 2 tasks with 0.3 s of slack."""
        queue = scenes.queue(stretch=1.6, latency_s=0.26)
        return [
            self.found.submit(
                scenes.job(f"j{now_s}-{x}", 2, 0.4, queue), 1, now_s
            )
            for x in range(count)
        ]

    def fill(self, now_s):
        """Fills all room with runs, of which none has ended at a time."""
        for name in RUNNERS:
            self.report(name, 10.01)
        self.submit(16, 10.02)
        self.found.take_actions()
        for number, name in enumerate(RUNNERS, 1):
            busy = scenes.report(free=scenes.NONE, freed=0, received=number)
            self.found.capacity_reported(name, busy, now_s)

    def test_runners_that_have_just_joined_count(self):
        """One runner of eight knew its target, and 127 jobs were rejected
        that the others could have run a moment later."""
        self.report("r0", 10.01)
        self.assertEqual([], rejected(self.submit(14, 10.01)))

    def test_runners_that_stay_without_a_target_do_not_count(self):
        """A target may be gone for good."""
        self.report("r0", 10.01)
        later_s = 10.0 + forecasts.JOINING_S
        self.assertTrue(rejected(self.submit(14, later_s)))

    def test_room_in_use_is_expected_to_come_free(self):
        """No run has ended yet, which is no sign that none will."""
        self.fill(10.05)
        self.assertEqual([], rejected(self.submit(4, 10.05)))

    def test_measured_rates_count_once_they_are_settled(self):
        """While long runs fill the room, little of it comes free."""
        self.fill(11.5)
        self.assertTrue(rejected(self.submit(12, 11.5)))


class StartedTest(unittest.TestCase):
    def test_line_and_views_are_shared_with_the_scheduler(self):
        """A forecast from copies would not see the waiting work."""
        found = scenes.scheduler("r1")
        self.assertIs(found.waiting_jobs, found.forecaster.waiting_jobs)
        self.assertIs(found.runner_views, found.forecaster.runner_views)
        self.assertIs(found.arrivals, found.forecaster.arrivals)
        found.submit(scenes.job("j"), 1, 0.0)
        scenes.ended(found, "r1", "j.0.0.0", 1, work.Ending.DONE)
        self.assertIs(found.waiting_jobs, found.forecaster.waiting_jobs)
