"""Tests of the admission while the scheduler's processor is short."""

import unittest

from trefoilgw.scheduling import actions
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import lateness
from trefoilgw.scheduling.tests import fixtures

TICK_S = 0.05


class LatenessTest(unittest.TestCase):
    def test_small_lateness_is_none(self):
        """Hosts with time to spare must admit as before."""
        late = lateness.Lateness()
        for _ in range(100):
            late.measure(0.04)
        self.assertEqual(0.0, late.delay_s)

    def test_single_stall_is_none(self):
        """A collection of garbage or a suspension is over when it is seen."""
        for stall_s in (0.2, 3.0, 1e9):
            late = lateness.Lateness()
            late.measure(stall_s)
            self.assertEqual(0.0, late.delay_s)
            late.measure(0.0)
            self.assertEqual(0.0, late.delay_s)

    def test_lasting_lateness_counts_and_ends(self):
        """Rejections must end soon after the load."""
        late = lateness.Lateness()
        for _ in range(20):
            late.measure(0.2)
        self.assertAlmostEqual(0.2, late.delay_s, delta=0.01)
        count = 0
        while late.delay_s:
            late.measure(0.0)
            count += 1
        self.assertLess(count * TICK_S, 0.5)

    def test_clock_that_goes_back_is_no_lateness(self):
        """A negative average would hide a later shortage."""
        late = lateness.Lateness()
        late.measure(-100.0)
        self.assertEqual(0.0, late.mean_s)


class AdmissionTest(unittest.TestCase):
    def submit(self, late_s, latency_s):
        scheduler = fixtures.make_scheduler("r1")
        for _ in range(20):
            scheduler.lateness.measure(late_s)
        queue = fixtures.queue(stretch=1.0, latency_s=latency_s)
        return scheduler.submit(fixtures.job("j", 1, 0.4, queue), 1, 0.5)

    def test_late_scheduler_rejects_what_it_would_answer_late(self):
        """Its jobs ended late, and the work for them made all others late."""
        found = self.submit(0.2, 0.1)
        self.assertIsInstance(found, actions.Rejected)
        self.assertEqual("late", found.reason)
        self.assertGreater(found.wait_s, found.slack_s)
        self.assertGreater(found.retry_after_s, 0.0)

    def test_late_scheduler_admits_work_that_can_wait(self):
        """Long work must not be lost to a delay that is small beside it."""
        self.assertIsInstance(self.submit(0.2, 2.0), jobs.Job)

    def test_scheduler_in_time_admits_as_before(self):
        """Deployments with even hosts must be served as before."""
        for late_s in (0.0, 0.03):
            found = self.submit(late_s, 0.1)
            self.assertIsInstance(found, jobs.Job)
            self.assertEqual(0.0, found.predicted_wait_s)


if __name__ == "__main__":
    unittest.main()
