"""Tests of the allocator of a target whose domain is evacuated."""

import unittest

from trefoilgw.evacuation import warming
from trefoilgw.messages import runs as messages
from trefoilgw.room.tests import fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.work import core as work

TASK = "j.0.0.0"


class EvacuationTest(unittest.TestCase):
    def test_new_orders_are_refused_as_not_run(self):
        """A scheduler that was cut off does not know of the evacuation."""
        allocator = fixtures.make_allocator(A)
        allocator.set_evacuated(True, 0.1)
        issued = fixtures.start_runs(allocator, A, TASK)
        self.assertEqual([], fixtures.started_tasks(issued))
        self.assertEqual(
            [(A, TASK, "not_run", "evacuated")], fixtures.sent_endings(issued)
        )
        self.assertEqual(
            [(TASK, "not_run", "i-1", 1)], fixtures.sent_evidence(issued)
        )

    def test_accepted_start_that_was_not_sent_is_dropped(self):
        """The runner may have been paused between the order and the start."""
        allocator = fixtures.make_allocator(A)
        fixtures.start_runs(allocator, A, TASK)
        self.assertEqual("", allocator.start_refusal(TASK, 1, 0.1))
        allocator.set_evacuated(True, 0.1)
        self.assertEqual("evacuated", allocator.start_refusal(TASK, 1, 0.1))

    def test_runs_go_on(self):
        """Stopped work would have to be repeated elsewhere."""
        allocator = fixtures.make_allocator(A)
        fixtures.start_confirmed(allocator, A, TASK)
        allocator.set_evacuated(True, 0.2)
        allocator.tick(0.3)
        self.assertEqual([], fixtures.stopped_tasks(allocator.take_actions()))
        allocator.run_ended(TASK, 1, work.Ending.DONE, 0.5)
        self.assertEqual(
            [(A, TASK, "done", "")],
            fixtures.sent_endings(allocator.take_actions()),
        )

    def test_reports_unusable_at_once_and_offers_nothing(self):
        """Schedulers would send orders that are all refused."""
        allocator = fixtures.make_allocator(A)
        allocator.report_capacity(0.1)
        allocator.take_actions()
        allocator.set_evacuated(True, 0.11)
        fixtures.update_bid(allocator, A, 0.5)
        allocator.offer_capacity(0.11)
        allocator.report_capacity(0.11)
        issued = allocator.take_actions()
        self.assertEqual([], fixtures.sent_messages(issued, messages.Offer))
        ((_, report),) = fixtures.sent_messages(issued, messages.CapacityReport)
        self.assertFalse(report.usable)

    def test_answer_to_an_open_offer_is_refused(self):
        """It was reserved before the evacuation was known."""
        allocator = fixtures.make_allocator(A)
        fixtures.update_bid(allocator, A, 0.5)
        allocator.offer_capacity(0.1)
        ((_, offer),) = fixtures.sent_messages(
            allocator.take_actions(), messages.Offer
        )
        allocator.set_evacuated(True, 0.11)
        issued = fixtures.start_runs(allocator, A, TASK, offer=offer.number)
        self.assertEqual(
            [(A, TASK, "not_run", "evacuated")], fixtures.sent_endings(issued)
        )
        self.assertEqual(4000, allocator.free().cpu_millicores)

    def test_draining_target_stays_unusable_when_it_is_taken_back(self):
        """A target may drain while its domain is evacuated."""
        allocator = fixtures.make_allocator(A)
        allocator.set_evacuated(True, 0.1)
        allocator.target_reported(
            fixtures.make_target(draining=True, sequence=2)
        )
        allocator.set_evacuated(False, 0.2)
        self.assertFalse(allocator.usable)
        issued = fixtures.start_runs(allocator, A, TASK)
        self.assertEqual(
            [(A, TASK, "not_run", "unusable")], fixtures.sent_endings(issued)
        )


class TakenBackTest(unittest.TestCase):
    def take_back(self, cold_s):
        """Returns an allocator whose domain is taken back at 1 s."""
        allocator = fixtures.make_allocator(A)
        allocator.warm_up.reported(cold_s, 1.0)
        allocator.set_evacuated(True, 0.5)
        allocator.set_evacuated(False, 1.0)
        return allocator

    def test_warm_target_gets_all_of_its_room_at_once(self):
        """Load must return as soon as it is allowed."""
        allocator = self.take_back(0.0)
        self.assertTrue(allocator.usable)
        self.assertEqual(4000, allocator.free().cpu_millicores)

    def test_room_of_a_cold_target_rises(self):
        """Full load would make all of its runs late."""
        allocator = self.take_back(4.0)
        first = allocator.free()
        self.assertEqual(warming.MIN_SHARE * 4000, first.cpu_millicores)
        self.assertEqual(8192, first.memory_mb)
        free = []
        for now_s in (2.0, 3.0, 4.0, 5.0):
            allocator.tick(now_s)
            free.append(allocator.free().cpu_millicores)
        self.assertEqual(sorted(free), free)
        self.assertEqual(4000, free[-1])

    def test_cold_target_without_evacuation_keeps_its_room(self):
        """A start of a target must not change how much it gets."""
        allocator = fixtures.make_allocator(A)
        allocator.warm_up.reported(4.0, 1.0)
        allocator.tick(1.1)
        allocator.set_evacuated(False, 1.1)
        self.assertEqual(4000, allocator.free().cpu_millicores)


if __name__ == "__main__":
    unittest.main()
