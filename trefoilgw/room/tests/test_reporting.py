"""Tests of what a runner tells a scheduler about the other schedulers."""

import unittest

from trefoilgw.messages import codec
from trefoilgw.messages import runs as messages
from trefoilgw.room import owners
from trefoilgw.room import reporting
from trefoilgw.room.tests import fixtures
from trefoilgw.work import core as work
from trefoilgw.work import rates


def make_owner(name, reach=0, demand=0):
    bids = ()
    if demand:
        capacity = work.Demand(demand, 64, 0)
        bids = (owners.Bid(2, 1.0, capacity, capacity),)
    return owners.Owner(name, 10.0, bids=bids, reach=reach)


class CompetingCpuTest(unittest.TestCase):
    def demand(self, reader_reach, other_reach):
        reader = make_owner("a", reader_reach)
        known = [reader, make_owner("b", other_reach, 12_000)]
        return reporting.competing_cpu(known, reader)

    def test_equal_reaches_count_the_whole_demand(self):
        """Hosts that are equal must forecast as before."""
        for reaches in ((36, 36), (30, 44), (0, 36), (36, 0), (0, 0), (-3, 7)):
            with self.subTest(reaches=reaches):
                self.assertEqual((0, 0, 12_000), self.demand(*reaches))

    def test_scheduler_with_more_runners_competes_elsewhere_too(self):
        """A host with few runners rejected jobs for work that others ran."""
        self.assertEqual((0, 0, 4_000), self.demand(24, 72))

    def test_scheduler_with_fewer_runners_competes_at_all_of_them(self):
        """It bids at a third of the reader's runners for all of its work."""
        self.assertEqual((0, 0, 36_000), self.demand(72, 24))

    def test_odd_reach_is_bounded(self):
        """One wrong figure must not make a scheduler reject everything."""
        self.assertEqual((0, 0, 96_000), self.demand(2**60, 1))
        self.assertEqual((0, 0, 1_500), self.demand(1, 2**60))


class OthersStartedTest(unittest.TestCase):
    def setUp(self):
        self.allocator = fixtures.make_allocator("a", "b")

    def reports(self, now_s):
        self.allocator.tick(now_s)
        self.allocator.report_capacity(now_s)
        return dict(
            fixtures.sent_messages(
                self.allocator.take_actions(), messages.CapacityReport
            )
        )

    def test_each_scheduler_learns_what_the_others_started(self):
        """A quiet scheduler admitted work that urgent work of others passed.

        It took the others for as quiet as itself.
        """
        for number in range(3):
            fixtures.start_confirmed(self.allocator, "a", f"j{number}.0.0.0")
        reports = self.reports(0.6)
        self.assertEqual((0,), reports["a"].others_started)
        steps = reports["b"].others_started
        started = sum(rates.from_step(x) for x in steps)
        self.assertGreater(started, 0.0)

    def test_report_grows_by_few_bytes(self):
        """Reports are among the most frequent messages."""
        fixtures.start_confirmed(self.allocator, "a", "j.0.0.0")
        report = self.reports(0.6)["b"]
        empty = messages.CapacityReport(
            report.starts_received,
            report.usable,
            report.suspect,
            report.service,
            report.capacity,
            report.free,
            report.freed_cpu,
            report.competing_cpu,
            report.schedulers,
        )
        grown = len(codec.encode(report)) - len(codec.encode(empty))
        self.assertLessEqual(grown, 8)

    def test_rates_alone_cause_no_report(self):
        """The number of messages must not grow with what they tell."""
        fixtures.start_confirmed(self.allocator, "a", "j.0.0.0")
        first = self.reports(0.6)["b"]
        now_s = 0.6
        for _ in range(20):
            now_s += 0.2
            self.allocator.renew_authority("a", now_s)
            self.assertEqual({}, self.reports(now_s))
        self.allocator.run_ended("j.0.0.0", 1, work.Ending.DONE, now_s)
        later = self.reports(now_s + 0.2)["b"]
        self.assertNotEqual((0,), first.others_started)
        self.assertEqual((0,), later.others_started)


if __name__ == "__main__":
    unittest.main()
