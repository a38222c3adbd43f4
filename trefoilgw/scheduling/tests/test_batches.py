"""Tests of jobs whose tasks are taken as one unit, and of limited offers."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import batches
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling.tests import fixtures

# What the targets free in a second: a job of four tasks waits for 0.1 s, and
# could wait for 0.18 s.
FREED_CPU = 40_000
# Runners that have just joined are forecast by `recovering`.
JOINED_S = -10.0
ONE_CORE = messages.Room(1000, 64, 0)


def waiting_scheduler(tasks=4, free=fixtures.NO_CAPACITY):
    """Returns a scheduler with one waiting job at a full runner."""
    scheduler = fixtures.make_scheduler("r1", free=free, now_s=JOINED_S)
    report(scheduler, free, FREED_CPU, 0.0)
    job = scheduler.submit(fixtures.job("j", tasks=tasks), 1, 0.0)
    assert not isinstance(job, actions.Rejected), job
    scheduler.take_actions()
    return scheduler, job


def report(scheduler, free, freed_cpu, now_s):
    scheduler.capacity_reported(
        "r1", fixtures.make_report(free, freed_cpu=freed_cpu), now_s
    )


class UnitTest(unittest.TestCase):
    def test_no_first_task_if_the_last_one_starts_too_late(self):
        """A started job that ends late can't be rejected any more."""
        scheduler, job = waiting_scheduler()
        report(scheduler, fixtures.NO_CAPACITY, 20_000, 0.05)
        scheduler.tick(0.06)
        self.assertTrue(job.is_held)
        report(scheduler, ONE_CORE, 20_000, 0.07)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))
        offer = messages.Offer(3, 7, messages.Room(3000, 8192, 0))
        scheduler.capacity_offered("r1", offer, 0.07)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))
        self.assertFalse(job.started)

    def test_job_starts_as_a_whole(self):
        """A job that is held must not wait for more room than it needs."""
        scheduler, job = waiting_scheduler()
        report(scheduler, fixtures.NO_CAPACITY, 20_000, 0.05)
        scheduler.tick(0.06)
        report(scheduler, fixtures.CAPACITY, 20_000, 0.07)
        self.assertEqual(4, len(fixtures.sent(scheduler.take_actions())))
        self.assertTrue(job.started)

    def test_job_with_time_starts_by_parts(self):
        """A job is not delayed while its last task will start in time."""
        scheduler, job = waiting_scheduler()
        scheduler.tick(0.01)
        self.assertFalse(job.is_held)
        report(scheduler, ONE_CORE, FREED_CPU, 0.02)
        self.assertEqual(1, len(fixtures.sent(scheduler.take_actions())))

    def test_job_of_one_task_is_never_held(self):
        """It has no parts, and needs its bid to get room."""
        scheduler, job = waiting_scheduler(tasks=1)
        report(scheduler, fixtures.NO_CAPACITY, 1, 0.05)
        scheduler.tick(0.06)
        self.assertFalse(job.is_held)

    def test_held_job_does_not_bid(self):
        """Runners would keep room for parts that it does not take."""
        scheduler, _ = waiting_scheduler()
        report(scheduler, fixtures.NO_CAPACITY, 20_000, 0.05)
        scheduler.take_actions()
        scheduler.tick(0.2)
        bids = fixtures.bids(scheduler.take_actions())
        self.assertEqual([messages.Bid(())], [x for _, x in bids])


class RejectionTest(unittest.TestCase):
    def test_hopeless_job_is_rejected_at_once(self):
        """Its caller could still be served elsewhere or later."""
        scheduler, _ = waiting_scheduler()
        report(scheduler, fixtures.NO_CAPACITY, 1, 0.05)
        scheduler.tick(0.06)
        ((key, outcome),) = fixtures.answers(scheduler.take_actions())
        self.assertEqual(("j", "overload"), (key, outcome.reason))
        self.assertGreater(outcome.retry_after_s, 1.0)
        self.assertEqual({}, scheduler.admitted)

    def test_lost_runners_do_not_end_the_jobs(self):
        """Their streams may open again before the jobs are late."""
        scheduler, job = waiting_scheduler()
        scheduler.runner_disconnected("r1")
        scheduler.tick(0.06)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))
        self.assertFalse(job.is_held)

    def test_started_job_is_not_rejected(self):
        """A rejection says that no part of the job has run."""
        scheduler, job = waiting_scheduler(free=ONE_CORE)
        self.assertTrue(job.started)
        report(scheduler, fixtures.NO_CAPACITY, 1, 0.05)
        for now_s in (0.06, 0.2, 0.4):
            scheduler.tick(now_s)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))
        self.assertIn("j", scheduler.admitted)

    def test_reviews_are_spaced(self):
        """A review for each message would cost more than the placing."""
        reviews = batches.Reviews()
        due = [reviews.is_due(x * 0.02) for x in range(100)]
        self.assertLessEqual(sum(due), 20)

    def test_review_agrees_with_the_forecast_of_an_arrival(self):
        """Two forecasts that differ would admit a job and reject it then."""
        scheduler, job = waiting_scheduler()
        ((found, waiting),) = scheduler.forecaster.predict_waiting(
            scheduler.admitted.values(), 0.0
        )
        self.assertIs(job, found)
        self.assertIsInstance(waiting, forecasts.Forecast)
        self.assertAlmostEqual(job.predicted_wait_s, waiting.wait_s)


class LimitedOfferTest(unittest.TestCase):
    def test_only_work_that_surely_ends_is_placed(self):
        """Longer runs would delay the task that waits for more room."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        report(scheduler, fixtures.NO_CAPACITY, FREED_CPU, 0.0)
        scheduler.submit(fixtures.job("long", declared_s=0.4), 1, 0.0)
        scheduler.submit(fixtures.job("short", declared_s=0.1), 1, 0.0)
        scheduler.take_actions()
        offer = messages.Offer(
            2, 7, messages.Room(4000, 8192, 0), 0.3, 0.1, True
        )
        scheduler.capacity_offered("r1", offer, 0.01)
        sent = fixtures.sent(scheduler.take_actions())
        self.assertEqual([("r1", "short.0.0.0", 1)], sent)

    def test_bids_and_orders_tell_the_error_of_the_estimate(self):
        """Without it a runner could only trust the mean."""
        scheduler = fixtures.make_scheduler("r1", free=ONE_CORE)
        scheduler.submit(fixtures.job("j", tasks=2), 1, 0.0)
        issued = scheduler.take_actions()
        ((_, bid),) = fixtures.bids(issued)
        self.assertEqual(
            (0.4, 0.33), (bid.demands[0].expected_s, bid.demands[0].error)
        )
        (order,) = (
            order
            for x in issued
            if isinstance(x.message, messages.StartRuns)
            for group in x.message.groups
            for order in group.orders
        )
        self.assertEqual(0.33, order.error)
        self.assertGreater(order.slack_s, 0.0)


if __name__ == "__main__":
    unittest.main()
