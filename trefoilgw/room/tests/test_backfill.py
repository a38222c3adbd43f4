"""Tests of reservations for blocked tasks and of backfilling."""

import itertools
import random
import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.room import backfill
from trefoilgw.room import offers
from trefoilgw.room import runs as room_runs
from trefoilgw.room.tests import fixtures
from trefoilgw.work import core as work
from trefoilgw.work import run_limits

A, B = fixtures.A, fixtures.B
SMALL = messages.Room(1000, 64, 0)
LARGE = messages.Room(4000, 64, 0)


def cores(number):
    return work.Demand(number * 1000, 100, 0)


def make_bid(urgency, slack_s, need, expected_s, error=0.1, tasks=1):
    wanted = messages.Room.of(need.demand.times(tasks))
    return messages.WaitingDemand(
        urgency, slack_s, need, wanted, expected_s, error
    )


def order(task, expected_s, need=SMALL, slack_s=5.0, error=0.1, urgency=4):
    return messages.RunOrder(task, 1, need, expected_s, urgency, error, slack_s)


def start(allocator, name, *orders, offer=0, now_s=0.1):
    groups = (messages.RunGroup("p", orders),) if orders else ()
    allocator.start_runs(name, messages.StartRuns(offer, groups), now_s)
    return allocator.take_actions()


def offered(allocator, now_s=0.1):
    allocator.offer_capacity(now_s)
    return fixtures.sent_messages(allocator.take_actions(), messages.Offer)


def blocked_allocator(slack_s=0.1, expected_s=1.0, cpu=4):
    """Returns a target where a large task of A waits for a run of 1 s.

    The run leaves one core free.
    """
    allocator = fixtures.make_allocator(A, B, cores=cpu)
    running = order("r.0.0.0", expected_s, messages.Room(3000, 64, 0))
    start(allocator, B, running, now_s=0.0)
    allocator.run_started("r.0.0.0", 1, 0.0)
    allocator.update_bid(
        A, messages.Bid((make_bid(2, slack_s, LARGE, 1.0),)), 0.1
    )
    return allocator


class RunLimitTest(unittest.TestCase):
    def test_limit_holds_for_the_stated_share_of_the_runs(self):
        """A limit at the mean would be missed by half of the runs."""
        rng = random.Random(3)
        for error in (0.1, 0.33, 0.5):
            deviation = error * run_limits.DEVIATION_RATIO
            limit_s = run_limits.run_limit_s(0.4, error)
            within = sum(
                0.4 * rng.lognormvariate(0.0, deviation) <= limit_s
                for _ in range(20_000)
            )
            self.assertAlmostEqual(
                run_limits.CERTAINTY, within / 20_000, delta=0.01
            )

    def test_limit_of_a_run_that_overruns_moves_on(self):
        """A limit in the past would promise room that does not come."""
        before_s = 0.0
        for elapsed_s in (0.0, 0.1, 0.5, 1.0, 3.0, 30.0, 3000.0):
            limit_s = run_limits.run_limit_s(0.4, 0.1, elapsed_s)
            self.assertGreater(limit_s, elapsed_s)
            self.assertGreaterEqual(limit_s, before_s)
            before_s = limit_s


class ReservationTest(unittest.TestCase):
    def test_reservation_starts_when_enough_runs_have_ended(self):
        """The ends add up in order of time, whichever run is listed first."""
        ends = ((3.0, cores(4)), (1.0, cores(1)), (2.0, cores(2)))
        found = backfill.reserve(cores(4), cores(1), ends)
        self.assertEqual(2.0, found.start_s)
        self.assertEqual(0, found.extra.cpu_millicores)

    def test_room_beside_the_task_is_left_over(self):
        """Work that leaves the task its room may run for any time."""
        found = backfill.reserve(cores(3), cores(2), ((1.0, cores(2)),))
        self.assertEqual(1000, found.extra.cpu_millicores)

    def test_no_reservation_without_enough_room(self):
        """Room of offers whose runs are unknown may never come free."""
        ends = ((float("inf"), cores(4)),)
        self.assertIsNone(backfill.reserve(cores(4), cores(1), ends))

    def test_estimates_follow_the_target(self):
        """Runs of a slow target end later than their schedulers expect."""
        observed = backfill.ObservedRunTimes()
        for _ in range(200):
            observed.record(0.8, 0.4)
        self.assertAlmostEqual(2.0, observed.ratio, delta=0.05)
        self.assertGreater(observed.limit_s(0.4, 0.1), 0.8)

    def test_progress_tells_the_end_of_a_run(self):
        """A run that is far behind its estimate holds its room for longer."""
        run = room_runs.Run(
            A, order("j.0.0.0", 0.4), cores(1), room_runs.RunState.RUNNING, 0.0
        )
        run.progress, run.last_progress_s = 0.2, 0.4
        observed = backfill.ObservedRunTimes()
        self.assertGreater(observed.ends_by_s(run, 0.4), 2.0)


class BackfillTest(unittest.TestCase):
    def bid_small(self, allocator, expected_s, error=0.1, slack_s=5.0):
        allocator.update_bid(
            B,
            messages.Bid((make_bid(4, slack_s, SMALL, expected_s, error),)),
            0.1,
        )

    def test_short_work_starts_before_the_blocked_task(self):
        """Room that accumulates for a large task would stay unused."""
        allocator = blocked_allocator()
        self.bid_small(allocator, 0.3)
        ((owner, offer),) = offered(allocator)
        self.assertEqual(B, owner)
        self.assertTrue(offer.backfill)
        self.assertTrue(0.3 < offer.run_limit_s < 1.2)
        issued = start(allocator, B, order("s.0.0.0", 0.3), offer=offer.number)
        self.assertEqual(["s.0.0.0"], fixtures.started_tasks(issued))
        self.assertEqual(1, allocator.backfilling.backfilled)
        self.assertEqual(1, allocator.backfilling.reservations)

    def test_work_that_may_outlast_the_reservation_waits(self):
        """Its mean ends before it, which is true of half of such runs only."""
        allocator = blocked_allocator()
        self.bid_small(allocator, 0.8, error=0.4)
        self.assertEqual([], offered(allocator))

    def test_long_work_uses_room_that_is_left_over(self):
        """A task beside which there is room is not delayed by any run."""
        allocator = blocked_allocator(cpu=5)
        self.bid_small(allocator, 60.0)
        ((owner, offer),) = offered(allocator)
        self.assertEqual((B, 0.0), (owner, offer.run_limit_s))

    def test_answer_is_bounded_by_the_offer(self):
        """Further runs in the answer would delay the large task."""
        allocator = blocked_allocator(cpu=5, slack_s=-0.05)
        self.bid_small(allocator, 60.0)
        ((_, offer),) = offered(allocator)
        issued = start(
            allocator,
            B,
            order("s.0.0.0", 60.0),
            order("s.0.0.1", 60.0),
            offer=offer.number,
        )
        self.assertEqual(["s.0.0.0"], fixtures.started_tasks(issued))
        self.assertEqual(
            [(B, "s.0.0.1", "not_run", "reserved")],
            fixtures.sent_endings(issued),
        )

    def test_run_beyond_the_limit_of_the_offer_is_refused(self):
        """A scheduler may hold another opinion of its run times."""
        allocator = blocked_allocator()
        self.bid_small(allocator, 0.3)
        ((_, offer),) = offered(allocator)
        issued = start(allocator, B, order("s.0.0.0", 2.0), offer=offer.number)
        self.assertEqual("reserved", fixtures.sent_endings(issued)[0][3])

    def test_task_larger_than_the_target_blocks_nothing(self):
        """It waits for another target."""
        allocator = fixtures.make_allocator(A, B, cores=2)
        allocator.update_bid(
            A, messages.Bid((make_bid(2, 0.1, LARGE, 1.0),)), 0.1
        )
        self.bid_small(allocator, 60.0)
        self.assertEqual([B], [x for x, _ in offered(allocator)])

    def test_declined_backfill_keeps_the_bid_of_the_blocked_task(self):
        """The scheduler may have no short work, but still the large task."""
        allocator = blocked_allocator()
        allocator.update_bid(
            A,
            messages.Bid(
                (make_bid(2, 0.1, LARGE, 1.0), make_bid(4, 5.0, SMALL, 0.3))
            ),
            0.1,
        )
        ((_, offer),) = offered(allocator)
        start(allocator, A, offer=offer.number)
        self.assertEqual([2], [x.urgency for x in allocator.owners[A].bids])

    def test_overdue_task_is_not_overtaken_without_an_offer(self):
        """Starts without an offer would take its room for ever."""
        allocator = blocked_allocator(slack_s=0.1)
        allocator.offer_capacity(0.1)
        issued = start(allocator, B, order("s.0.0.0", 30.0), now_s=0.15)
        self.assertEqual(["s.0.0.0"], fixtures.started_tasks(issued))
        allocator = blocked_allocator(slack_s=0.1)
        allocator.offer_capacity(0.2)
        issued = start(allocator, B, order("s.0.0.0", 30.0), now_s=0.25)
        self.assertEqual("reserved", fixtures.sent_endings(issued)[0][3])
        issued = start(allocator, B, order("s.0.0.1", 0.2), now_s=0.25)
        self.assertEqual(["s.0.0.1"], fixtures.started_tasks(issued))


class FailureTest(unittest.TestCase):
    """Nothing may stay blocked by a reservation that has lost its reason."""

    def assert_free(self, allocator, now_s):
        """Asserts that long work gets the free core within a tick."""
        allocator.tick(now_s)
        allocator.update_bid(
            B, messages.Bid((make_bid(4, 5.0, SMALL, 60.0),)), now_s
        )
        self.assertEqual([B], [x for x, _ in offered(allocator, now_s)])
        self.assertIsNone(allocator.backfilling.blocked)

    def setUp(self):
        self.allocator = blocked_allocator()
        offered(self.allocator)
        self.assertEqual(A, self.allocator.backfilling.blocked.owner)

    def test_scheduler_dies(self):
        """Its stream breaks, and nobody withdraws its bid."""
        self.allocator.owner_disconnected(A, 0.12)
        self.assert_free(self.allocator, 0.15)

    def test_scheduler_is_retired(self):
        """It gets no capacity any more."""
        self.allocator.set_retiring(A, True)
        self.assert_free(self.allocator, 0.15)

    def test_scheduler_is_frozen(self):
        """Its stream is open, but it would answer no offer."""
        for tick in range(30):
            self.allocator.renew_authority(B, 0.1 + tick * 0.05)
            self.allocator.tick(0.1 + tick * 0.05)
        self.assert_free(self.allocator, 1.6)

    def test_bid_is_withdrawn(self):
        """The job may have been placed elsewhere or left by its caller."""
        self.allocator.update_bid(A, messages.Bid(()), 0.12)
        self.assert_free(self.allocator, 0.15)

    def test_target_drains(self):
        """Nothing is reserved at a target that takes no work."""
        self.allocator.target_reported(
            fixtures.make_target(draining=True, sequence=2)
        )
        offered(self.allocator, 0.15)
        self.assertIsNone(self.allocator.backfilling.blocked)

    def test_run_overruns(self):
        """Short work still starts while the reservation moves on."""
        for now_s in (0.9, 1.9, 5.9):
            for name in (A, B):
                self.allocator.renew_authority(name, now_s)
            self.allocator.tick(now_s)
            self.allocator.update_bid(
                B, messages.Bid((make_bid(4, 5.0, SMALL, 0.02),)), now_s
            )
            found = offered(self.allocator, now_s)
            self.assertEqual([B], [x for x, _ in found])
            start(self.allocator, B, offer=found[0][1].number, now_s=now_s)
        self.allocator.run_ended("r.0.0.0", 1, work.Ending.DONE, 6.0)
        self.assertEqual(A, offered(self.allocator, 6.0)[0][0])


class AgeingTest(unittest.TestCase):
    """A flood of small work that is more urgent on arrival.

    It starts with and without offers. Without ageing, the room that a large
    task needs is never free at one time, and once it is, the headroom for the
    flood keeps the task from it.
    """

    SMALL_LIMIT_S = 0.2
    SLACK_S = 1.0

    def wait_s(self, seed, need, until_s=20.0):
        """Returns how long a task waits under the flood."""
        rng = random.Random(seed)
        allocator = fixtures.make_allocator(A, B, cores=8)
        numbers = itertools.count()
        ends = {}
        waiting_since_s = 2.0
        small_urgency = rng.choice((4, 5))
        now_s = 0.0
        while now_s < until_s:
            now_s += 0.01
            for name in (A, B):
                allocator.renew_authority(name, now_s)
            allocator.tick(now_s)
            for task, end_s in list(ends.items()):
                if now_s >= end_s:
                    del ends[task]
                    allocator.run_ended(task, 1, work.Ending.DONE, now_s)
            if now_s >= waiting_since_s:
                slack_s = waiting_since_s + self.SLACK_S - now_s
                bid = make_bid(5, slack_s, need, 1.0)
                allocator.update_bid(A, messages.Bid((bid,)), now_s)
            bid = make_bid(small_urgency, 0.1, SMALL, 0.1, tasks=8)
            allocator.update_bid(B, messages.Bid((bid,)), now_s)
            issued = []
            for owner, offer in offered(allocator, now_s):
                if owner == A:
                    return now_s - waiting_since_s
                count = offer.room.cpu_millicores // SMALL.cpu_millicores
                issued += start(
                    allocator,
                    B,
                    *self.flood(numbers, count, small_urgency),
                    offer=offer.number,
                    now_s=now_s,
                )
            direct = self.flood(numbers, rng.randrange(9), small_urgency)
            issued += start(allocator, B, *direct, now_s=now_s)
            for task in fixtures.started_tasks(issued):
                allocator.run_started(task, 1, now_s)
                ends[task] = now_s + rng.uniform(0.05, self.SMALL_LIMIT_S)
        return until_s

    def flood(self, numbers, count, urgency):
        return [
            order(f"f{next(numbers)}.0.0.0", 0.1, slack_s=0.1, urgency=urgency)
            for _ in range(count)
        ]

    def test_every_size_starts_in_bounded_time(self):
        """The bound is the slack, the limit of the wait for headroom, and runs.

        Two generations of runs may be under way before the room is kept.
        """
        bound_s = self.SLACK_S + offers.MAX_OVERDUE_S + 3 * self.SMALL_LIMIT_S
        for seed in range(20):
            for size in (1000, 3000, 6000, 8000):
                with self.subTest(seed=seed, size=size):
                    need = messages.Room(size, 64, 0)
                    self.assertLess(self.wait_s(seed, need), bound_s)


if __name__ == "__main__":
    unittest.main()
