import unittest

import attrs

from trefoilgw.membership import schedulers
from trefoilgw.messages import runs as messages


def make_record(
    address, revision=1, present=True, incarnation="a" * 16, domain="d1"
):
    return messages.SchedulerRecord(
        address, domain, incarnation, revision, present
    )


def addresses(known, now_s=0.0):
    return set(known.members(now_s))


class StoreListTest(unittest.TestCase):
    def test_removal_wins_over_an_older_copy(self):
        """A scheduler that has left must not return with a peer's old list."""
        known = schedulers.KnownSchedulers()
        known.merge_list([make_record("s1"), make_record("s2")], 10, 0.0)
        known.merge_list([make_record("s1")], 20, 1.0)
        later_s = 1.0 + schedulers.REMOVAL_DELAY_S
        self.assertEqual({"s1"}, addresses(known, later_s))
        changed = known.merge_records([make_record("s2", 10)], later_s)
        self.assertEqual((), changed)
        self.assertEqual({"s1"}, addresses(known, later_s))

    def test_removal_reaches_a_process_that_never_read_the_list(self):
        """Runners know the list from schedulers only."""
        scheduler = schedulers.KnownSchedulers()
        scheduler.merge_list([make_record("s1"), make_record("s2")], 10, 0.0)
        runner = schedulers.KnownSchedulers()
        for message in scheduler.messages():
            runner.merge_records(message.records, 0.0)
        changed = scheduler.merge_list([make_record("s1")], 20, 1.0)
        runner.merge_records(changed, 1.0)
        later_s = 1.0 + schedulers.REMOVAL_DELAY_S
        self.assertEqual({"s1"}, addresses(runner, later_s))

    def test_reused_address_gets_its_new_process(self):
        """Addresses are given to other hosts soon after they are free."""
        known = schedulers.KnownSchedulers()
        known.merge_list([make_record("s1")], 10, 0.0)
        known.merge_list([], 20, 1.0)
        new = make_record("s1", 30, incarnation="b" * 16, domain="d2")
        self.assertEqual((new,), known.merge_list([new], 30, 2.0))
        self.assertEqual("d2", known.members(99.0)["s1"].domain)

    def test_entry_missing_for_a_moment_stays_known(self):
        """Stale reads and leases that lapsed in an outage lack live hosts."""
        known = schedulers.KnownSchedulers()
        known.merge_list([make_record("s1")], 10, 0.0)
        known.merge_list([], 20, 1.0)
        self.assertEqual({"s1"}, addresses(known, 3.0))
        known.merge_list([make_record("s1", 30)], 30, 3.5)
        self.assertEqual({"s1"}, addresses(known, 99.0))

    def test_unchanged_list_is_not_passed_on(self):
        """Each read would otherwise send the list to the whole fleet."""
        known = schedulers.KnownSchedulers()
        known.merge_list([make_record("s1", 10)], 10, 0.0)
        changed = known.merge_list([make_record("s1", 20)], 20, 3.0)
        self.assertEqual((), changed)

    def test_churn_of_a_whole_fleet_converges(self):
        """35 hosts replaced in turn, with copies that arrive late."""
        scheduler = schedulers.KnownSchedulers()
        runner = schedulers.KnownSchedulers()
        hosts = [f"old{x}" for x in range(35)]
        late = []
        for turn in range(35):
            hosts[turn] = f"new{turn}"
            revision = 10 + turn
            changed = scheduler.merge_list(
                [make_record(x, revision) for x in hosts], revision, turn * 2.0
            )
            late.append(changed)
        for changed in reversed(late):
            runner.merge_records(changed, 70.0)
        self.assertEqual(set(hosts), addresses(scheduler, 90.0))
        self.assertEqual(set(hosts), addresses(runner, 90.0))


class AnnouncementTest(unittest.TestCase):
    def announcement(self, sequence):
        return messages.SchedulerAnnouncement("s1", "d1", "a" * 16, sequence)

    def test_announcement_is_passed_on_once(self):
        """Flooding must end when everybody knows."""
        known = schedulers.KnownSchedulers()
        self.assertTrue(known.merge_announcement(self.announcement(5), 0.0))
        self.assertFalse(known.merge_announcement(self.announcement(5), 0.1))
        self.assertFalse(known.merge_announcement(self.announcement(4), 0.1))
        self.assertEqual({"s1"}, addresses(known))

    def test_announced_scheduler_that_falls_silent_is_dropped(self):
        """Nobody else says that an unlisted scheduler has left."""
        known = schedulers.KnownSchedulers()
        known.merge_announcement(self.announcement(5), 0.0)
        known.expire(schedulers.ANNOUNCEMENT_LIFETIME_S + 0.1)
        self.assertEqual(set(), addresses(known))

    def test_announcement_outlasts_a_list_without_the_scheduler(self):
        """A scheduler that the store refuses serves on."""
        known = schedulers.KnownSchedulers()
        known.merge_list([make_record("s1")], 10, 0.0)
        known.merge_list([], 20, 1.0)
        known.merge_announcement(self.announcement(5), 8.0)
        self.assertEqual({"s1"}, addresses(known, 9.0))


class WeightTest(unittest.TestCase):
    """Weights change without the store, records with it."""

    def record(self, weight, weight_ms, revision=1, incarnation="a" * 16):
        return attrs.evolve(
            make_record("s1", revision, incarnation=incarnation),
            weight=weight,
            weight_ms=weight_ms,
        )

    def weight(self, known):
        return known.members(0.0)["s1"].weight

    def test_last_issued_weight_applies_in_any_order(self):
        """Copies of records arrive over several peers."""
        known = schedulers.KnownSchedulers()
        known.merge_list([self.record(500, 0)], 10, 0.0)
        newer = self.record(700, 9, revision=5)
        self.assertEqual(1, len(known.merge_records([newer], 0.0)))
        self.assertEqual(700, self.weight(known))
        older = self.record(600, 8, revision=5)
        self.assertEqual((), known.merge_records([newer, older], 0.0))
        self.assertEqual(700, self.weight(known))

    def test_list_of_the_store_does_not_undo_it(self):
        """The store holds the weight with which a scheduler registered.

        Each read would otherwise move streams back and forth.
        """
        known = schedulers.KnownSchedulers()
        known.merge_list([self.record(500, 0)], 10, 0.0)
        known.merge_records([self.record(700, 9)], 0.0)
        changed = known.merge_list([self.record(500, 0, 20)], 20, 3.0)
        self.assertEqual((), changed)
        self.assertEqual(700, self.weight(known))

    def test_copy_of_an_earlier_release_does_not_remove_it(self):
        """It passes records on without their weights."""
        known = schedulers.KnownSchedulers()
        known.merge_list([self.record(500, 0)], 10, 0.0)
        self.assertEqual((), known.merge_records([make_record("s1", 20)], 0.0))
        self.assertEqual(500, self.weight(known))

    def test_new_process_at_the_address_has_its_own_weight(self):
        """A host that takes over an address is another one."""
        known = schedulers.KnownSchedulers()
        known.merge_records([self.record(700, 9)], 0.0)
        known.merge_list([self.record(2000, 0, 20, "b" * 16)], 20, 3.0)
        self.assertEqual(2000, self.weight(known))

    def test_announced_scheduler_has_a_weight(self):
        """The store may not answer for a long time."""
        known = schedulers.KnownSchedulers()
        announcement = messages.SchedulerAnnouncement("s1", "d1", "a", 5, 700)
        known.merge_announcement(announcement, 0.0)
        self.assertEqual(700, self.weight(known))


if __name__ == "__main__":
    unittest.main()
