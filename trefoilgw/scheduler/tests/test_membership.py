"""Tests of how a scheduler's weight reaches the others."""

import unittest
from unittest import mock

import attrs

from trefoilgw.messages import codec
from trefoilgw.messages import runs
from trefoilgw.scheduler import membership

RECORD = runs.SchedulerRecord("10.1.0.13:7720", "za", "a" * 16, 0, True, 500)
OTHER = runs.SchedulerRecord("10.1.0.14:7720", "zb", "b" * 16, 5, True, 900)


class WeightTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.sent = []
        peers = mock.Mock(streams={})
        peers.down.return_value = set()
        self.membership = membership.Membership(
            RECORD, peers, self.sent.append, lambda: self.now_s
        )

    def read_list(self, revision):
        """Merges a list that holds what the schedulers have registered."""
        self.membership.list_read(
            [attrs.evolve(x, revision=revision) for x in (RECORD, OTHER)],
            revision,
        )
        self.membership.update()

    def take_sent(self):
        """Returns the records of the messages sent since the last call."""
        taken = [
            y
            for x in self.sent
            if isinstance(x, runs.SchedulerRecords)
            for y in x.records
        ]
        self.sent.clear()
        return taken

    def test_registered_weight_is_passed_on_with_the_list(self):
        """A new scheduler starts with the weight of its host."""
        self.membership.set_registered(True)
        self.read_list(5)
        weights = {x.address: x.weight for x in self.take_sent()}
        self.assertEqual({RECORD.address: 500, OTHER.address: 900}, weights)

    def test_change_is_one_record_and_no_call_of_the_store(self):
        """680 changes a day of other things use the store already."""
        self.membership.set_registered(True)
        self.read_list(5)
        self.take_sent()
        with self.assertNoLogs(membership.log):
            self.membership.set_weight(700)
            for _ in range(4):
                self.membership.update()
            self.read_list(9)
        (record,) = self.take_sent()
        self.assertEqual(700, record.weight)
        message = runs.SchedulerRecords((record,))
        self.assertLess(len(codec.encode(message)), 80)

    def test_change_before_the_first_list_is_passed_on_with_it(self):
        """The store may answer only after a while."""
        self.membership.set_registered(True)
        self.membership.set_weight(700)
        self.membership.update()
        self.read_list(5)
        weights = [
            x.weight for x in self.take_sent() if x.address == RECORD.address
        ]
        self.assertEqual([700], weights)

    def test_later_change_wins_although_the_clock_goes_back(self):
        """The clocks of hosts are set while they run."""
        self.membership.set_weight(700)
        before_ms = self.membership.record.weight_ms
        with mock.patch.object(membership.time, "time", lambda: 1.0):
            self.membership.set_weight(800)
        self.assertGreater(self.membership.record.weight_ms, before_ms)

    def test_unlisted_scheduler_announces_its_weight(self):
        """A scheduler that can't reach the store serves on."""
        self.membership.set_weight(700)
        self.membership.update()
        (announcement,) = self.sent
        self.assertEqual(700, announcement.weight)

    def test_other_process_at_the_own_address_keeps_its_weight(self):
        """The list may still hold the process before this one."""
        self.membership.set_registered(True)
        earlier = attrs.evolve(RECORD, incarnation="c" * 16, weight=300)
        self.membership.list_read([earlier], 5)
        self.membership.set_weight(700)
        self.membership.update()
        self.assertEqual([300], [x.weight for x in self.take_sent()])


if __name__ == "__main__":
    unittest.main()
