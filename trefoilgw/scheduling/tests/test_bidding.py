import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import bidding
from trefoilgw.scheduling.tests import fixtures


class FleetBidsTest(unittest.TestCase):
    """Work that waits at a scheduler with many runners."""

    def overload(self, runner_count, seconds, jobs_per_s, declared_s=0.4):
        """Submits jobs to full runners; returns the bids that were sent."""
        names = [f"r{x}" for x in range(runner_count)]
        scheduler = fixtures.make_scheduler(*names, free=fixtures.NO_CAPACITY)
        sent = []
        for step in range(round(seconds * jobs_per_s)):
            now_s = 1.0 + step / jobs_per_s
            scheduler.submit(
                fixtures.job(f"{step:016x}", 4, declared_s), 1, now_s
            )
            scheduler.tick(now_s)
            sent += fixtures.bids(scheduler.take_actions())
        return sent

    def test_rate_of_bids_does_not_grow_with_the_fleet(self):
        """Bids of every change to every runner saturated the schedulers."""
        small = self.overload(12, 2.0, 200)
        large = self.overload(120, 2.0, 200)
        limit = 2.0 / bidding.BID_SPACING_S
        self.assertGreater(len(small), 12)
        self.assertLessEqual(len(large), 1.2 * limit + 120)

    def test_little_work_bids_at_some_runners(self):
        """A task that waits for milliseconds need not reach the whole fleet."""
        names = [f"r{x}" for x in range(40)]
        scheduler = fixtures.make_scheduler(*names, free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("a" * 16), 1, 1.0)
        sent = fixtures.bids(scheduler.take_actions())
        self.assertEqual(bidding.MIN_BID_RUNNERS, len(sent))
        scheduler.cancel("a" * 16)
        scheduler.tick(1.02)
        withdrawn = fixtures.bids(scheduler.take_actions())
        self.assertEqual({x for x, _ in sent}, {x for x, _ in withdrawn})
        self.assertEqual({messages.Bid(())}, {bid for _, bid in withdrawn})

    def test_more_urgent_work_bids_at_once(self):
        """Urgent work must not wait for the interval behind long work."""
        names = [f"r{x}" for x in range(40)]
        scheduler = fixtures.make_scheduler(*names, free=fixtures.NO_CAPACITY)
        long_queue = fixtures.queue("long", stretch=4.0)
        scheduler.submit(fixtures.job("a" * 16, 4, 5.0, long_queue), 1, 1.0)
        scheduler.take_actions()
        scheduler.submit(fixtures.job("b" * 16, 1, 0.1), 1, 1.001)
        self.assertTrue(fixtures.bids(scheduler.take_actions()))

    def test_bid_of_a_runner_that_was_unusable_is_withdrawn(self):
        """It would reserve capacity for work that no longer waits."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        scheduler.submit(fixtures.job("a" * 16), 1, 1.0)
        scheduler.capacity_reported(
            "r1", fixtures.make_report(fixtures.NO_CAPACITY, usable=False), 1.1
        )
        scheduler.cancel("a" * 16)
        scheduler.tick(1.2)
        scheduler.take_actions()
        scheduler.capacity_reported(
            "r1", fixtures.make_report(fixtures.NO_CAPACITY), 1.3
        )
        self.assertEqual(
            [("r1", messages.Bid(()))],
            fixtures.bids(scheduler.take_actions()),
        )


if __name__ == "__main__":
    unittest.main()
