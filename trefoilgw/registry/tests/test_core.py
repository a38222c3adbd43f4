"""Tests of an entry's lease, roster and configuration under platform faults."""

import functools
import json
import random
import unittest

import eventlet
from eventlet import queue

from tools.standins import kv
from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.registry import core
from trefoilgw.registry import leases
from trefoilgw.registry import members
from trefoilgw.rollout import core as rollout
from trefoilgw.timers import core as timers

TIMEOUT_S = 60.0


class HookedClient(keyvalue.Client):
    """Calls a hook once before the next transaction or after the next read.

    Attributes:
        before_txn: Called before the next transaction, None for no call.
        after_read: Called after the next `read_all`, None for no call.
    """

    before_txn = None
    after_read = None

    def txn(self, *args):
        hook, self.before_txn = self.before_txn, None
        if hook:
            hook()
        return super().txn(*args)

    def read_all(self, reads):
        pages = super().read_all(reads)
        hook, self.after_read = self.after_read, None
        if hook:
            hook()
        return pages


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1000.0
        self.server = kv.Server()
        self.server.store.now = self.clock
        self.operator = keyvalue.Client(self.server.serve(), TIMEOUT_S)
        self.addCleanup(self.server.close)
        self.addCleanup(self.operator.close)
        self.silent = set()
        self.configurations = queue.Queue()
        self.rosters = queue.Queue()

    def clock(self):
        return self.now_s

    def make_registry(self, name):
        """Returns a registry that polls only when the test calls `poll`."""
        own = messages.RosterEntry(name * 16, "10.0.0.1:1", "10.0.0.1:2", "d1")
        client = HookedClient(self.server.address, TIMEOUT_S)
        self.addCleanup(client.close)
        made = core.Registry(
            client,
            own,
            timers.TimerService(now=self.clock),
            lambda revision, data: self.configurations.put(revision),
            lambda roster, read_s: self.rosters.put(roster),
            lambda name: name in self.silent,
            random.Random(1),
            self.clock,
            lambda _: eventlet.sleep(0),
        )
        self.addCleanup(made.stop)
        return made

    def stored(self):
        """Returns the roster stored at the platform."""
        value = self.operator.get(registry.ROSTER_KEY)
        return registry.parse_roster(value.data)

    def names(self):
        """Returns the one-letter names of the stored roster's entries."""
        return [name[0] for name in self.stored().incarnations]

    def configure(self, revision):
        """Stores a configuration with this revision."""
        data = json.dumps({"revision": revision}).encode()
        self.operator.put(keyvalue.Put(registry.CONFIG_KEY, data))

    def lease_names(self):
        """Returns the one-letter names of the entries with a lease key."""
        page = self.operator.range(
            keyvalue.Read(registry.ENTRIES_PREFIX, prefix=True)
        )
        return [item.key[-1] for item in page.items]

    def test_entries_join(self):
        first, second = self.make_registry("a"), self.make_registry("b")
        self.assertTrue(first.poll())
        self.assertTrue(second.poll())
        self.assertEqual((["a", "b"], 2), (self.names(), self.stored().epoch))
        self.assertTrue(first.poll())
        self.assertEqual(second.roster, first.roster)
        self.assertEqual(["a", "b"], self.lease_names())

    def test_poll_without_changes_costs_two_calls(self):
        """Every entry polls each 5 s; extra calls would load the platform."""
        entry = self.make_registry("a")
        entry.poll()
        entry.poll()
        self.server.calls.clear()
        self.assertTrue(entry.poll())
        calls = {"keepalive": 1, "txn": 1}
        self.assertEqual(calls, dict(self.server.calls))

    def test_entries_that_join_at_once(self):
        """Each entry must join, regardless of which one wins a race."""
        entries = [self.make_registry(name) for name in "abcdef"]

        def join(entry):
            while not entry.poll():
                eventlet.sleep(0)

        for thread in [eventlet.spawn(join, entry) for entry in entries]:
            thread.wait()
        self.assertEqual(list("abcdef"), self.names())
        self.assertEqual(6, self.stored().epoch)

    def test_lost_race(self):
        """Overwriting the roster of a concurrent join would drop that entry."""
        first, second = self.make_registry("a"), self.make_registry("b")
        second.client.before_txn = first.poll
        self.assertTrue(second.poll())
        self.assertEqual(1, second.counts.lost_races)
        self.assertEqual((["a", "b"], 2), (self.names(), self.stored().epoch))

    def test_watch_overtakes_a_read(self):
        """A read older than a watch event must not revert the event."""
        first, second = self.make_registry("a"), self.make_registry("b")
        first.poll()
        seen = []

        def join():
            second.poll()
            while not seen or seen[-1].epoch < 2:
                seen.append(self.rosters.get(timeout=TIMEOUT_S))
            while first.roster.epoch < 2:
                eventlet.sleep(0)

        first.client.after_read = join
        with self.assertNoLogs("trefoilgw.registry.members", "ERROR"):
            self.assertTrue(first.poll())
        self.assertEqual(2, first.roster.epoch)

    def test_unanswered_join(self):
        """A join that took effect must not start a second epoch."""
        epoch = 0
        for name, switch in (("a", "lose_answer"), ("b", "lose_request")):
            with self.subTest(switch):
                entry = self.make_registry(name)
                self.server.set_switches(**{switch: 1}, lose_kinds=("txn",))
                self.assertFalse(entry.poll())
                self.assertTrue(entry.poll())
                self.assertEqual(1, entry.counts.lost_answers)
                epoch += 1
                self.assertEqual(epoch, self.stored().epoch)
                self.assertIn(name, self.names())

    def test_unanswered_lease_calls(self):
        for name, kind in (("a", "grant"), ("b", "put")):
            with self.subTest(kind):
                entry = self.make_registry(name)
                self.server.set_switches(lose_answer=1, lose_kinds=(kind,))
                entry.poll()
                self.assertTrue(entry.poll())
                self.assertIn(name, self.lease_names())

    def test_deleted_lease_key_is_written_again(self):
        """Without its key, a live entry would look as if its lease lapsed."""
        entry = self.make_registry("a")
        entry.poll()
        key = registry.entry_key(entry.own.incarnation)
        self.operator.txn([], [keyvalue.Delete(key)])
        self.assertTrue(entry.poll())
        self.assertEqual(["a"], self.lease_names())

    def test_removal_needs_lapsed_lease_and_silent_stream(self):
        """A peer that lost only its link or its lease must not be removed.

        It is still the home of its keys.
        """
        cases = {
            "lease and stream": (True, True, False, True),
            "lease only": (True, False, False, False),
            "stream only": (False, True, False, False),
            "observer just resumed": (True, True, True, False),
        }
        for case, (lapsed, silent, paused, removed) in cases.items():
            with self.subTest(case):
                peer, observer = (
                    self.make_registry("p"),
                    self.make_registry("j"),
                )
                peer.poll()
                observer.poll()
                self.now_s += members.REMOVAL_SILENCE_S
                if lapsed:
                    self.operator.revoke(peer._lease_manager.lease)
                self.silent = {peer.own.incarnation} if silent else set()
                if paused:
                    observer.handle_pause(60.0)
                self.assertTrue(observer.poll())
                self.assertEqual(removed, "p" not in self.names())
                self.assertEqual(removed, observer.counts.removed_entries == 1)

    def test_stale_lease_keys_remove_no_peer(self):
        """A pause between the read and the check must not remove a peer."""
        peer, observer = self.make_registry("p"), self.make_registry("j")
        peer.poll()
        observer.poll()
        self.now_s += members.REMOVAL_SILENCE_S
        self.silent = {peer.own.incarnation}
        roster_manager = observer._roster_manager
        self.assertTrue(roster_manager.repair(set(), self.now_s - 60.0))
        self.assertEqual(["j", "p"], self.names())
        self.assertTrue(roster_manager.repair(set(), self.now_s))
        self.assertEqual(["j"], self.names())

    def test_lease_lapsed_while_paused(self):
        """A resumed entry must rejoin, even if it was removed."""
        paused, observer = self.make_registry("p"), self.make_registry("j")
        paused.poll()
        observer.poll()
        self.now_s += leases.LEASE_TTL_S - 1
        observer.poll()
        self.now_s += 2
        self.server.store.expire()
        self.assertEqual(["j"], self.lease_names())
        self.silent = {paused.own.incarnation}
        observer.poll()
        self.assertEqual(["j"], self.names())
        paused.handle_pause(17.0)
        self.assertTrue(paused.poll())
        self.assertEqual(1, paused.counts.lost_leases)
        self.assertEqual(["j", "p"], self.lease_names())
        self.assertEqual((["j", "p"], 4), (self.names(), self.stored().epoch))

    def test_epoch_ends_by_time(self):
        """If epochs never ended, tombstones of keys would stay forever."""
        latest_s = members.EPOCH_LIFETIME_S + members.MAX_EPOCH_JITTER_S
        # fault, epochs after the first poll past the end, after the next one
        faults = {
            "none": ({}, 1, 1),
            "answer lost": ({"lose_answer": 1, "lose_kinds": ("txn",)}, 1, 1),
            "request lost": ({"lose_request": 1, "lose_kinds": ("txn",)}, 0, 1),
            "outage": ({"down": True}, 0, 1),
        }
        for case, (switches, first, second) in faults.items():
            with self.subTest(case):
                entry = self.make_registry("a")
                entry.poll()
                roster = entry.roster
                self.now_s += members.EPOCH_LIFETIME_S - 1
                self.assertTrue(entry.poll())
                self.assertEqual(roster, self.stored())
                self.now_s += latest_s - members.EPOCH_LIFETIME_S + 1
                fail = functools.partial(self.server.set_switches, **switches)
                entry.client.before_txn = fail
                self.assertEqual(case == "none", entry.poll())
                self.server.set_switches()
                self.assertEqual(roster.epoch + first, self.stored().epoch)
                self.assertTrue(entry.poll())
                ended = self.stored()
                self.assertEqual(roster.epoch + second, ended.epoch)
                self.assertEqual(roster.entries, ended.entries)
                self.assertEqual(ended, entry.roster)
                self.assertTrue(entry.poll())
                self.assertEqual(ended, self.stored())

    def test_one_epoch_ends_once(self):
        """If each entry ended the epoch, keys would expire too early."""
        first, second = self.make_registry("a"), self.make_registry("b")
        first.poll()
        second.poll()
        first.poll()
        for cycle in range(1, 4):
            self.now_s += members.EPOCH_LIFETIME_S + members.MAX_EPOCH_JITTER_S
            first.client.before_txn = second.poll
            self.assertTrue(first.poll())
            self.assertTrue(second.poll())
            self.assertEqual(2 + cycle, self.stored().epoch)
            self.assertEqual(cycle, first.counts.lost_races)
        self.assertEqual(3, second.counts.timed_epochs)
        self.assertEqual(0, first.counts.timed_epochs)

    def test_change_of_the_entries_restarts_the_epoch_time(self):
        """A rolling restart must start no more epochs than it makes changes."""
        kept = self.make_registry("k")
        kept.poll()
        for name in "0123456789a":
            self.now_s += members.EPOCH_LIFETIME_S - 1
            entry = self.make_registry(name)
            entry.poll()
            kept.poll()
            self.assertTrue(entry.leave())
            kept.poll()
        self.assertEqual(1 + 2 * 11, self.stored().epoch)
        self.assertTrue(keys.AcceptedEpochs(self.stored().epoch).accepts(1))

    def test_platform_down(self):
        """An outage must leave roster and configuration unchanged."""
        entry = self.make_registry("a")
        entry.poll()
        roster, read_s = entry.roster, entry.roster_read_s
        self.now_s += 60.0
        faults = (
            ({"down": True}, TIMEOUT_S),
            ({"writes_s": 0.1, "reads_s": 0.1}, TIMEOUT_S),
            ({"slow_s": 3600.0}, 0.05),
        )
        for fault, timeout_s in faults:
            with self.subTest(fault=fault):
                self.server.set_switches(**fault)
                entry.client.timeout_s = timeout_s
                self.assertFalse(entry.poll())
                known = (entry.roster, entry.roster_read_s)
                self.assertEqual((roster, read_s), known)
        self.server.set_switches()
        entry.client.timeout_s = TIMEOUT_S
        self.assertTrue(entry.poll())
        self.assertEqual(self.now_s, entry.roster_read_s)
        self.assertEqual(["a"], self.lease_names())

    def test_configuration_by_watch_and_by_poll(self):
        self.configure(1)
        entry = self.make_registry("a")
        entry.poll()
        self.assertEqual(1, self.configurations.get(timeout=TIMEOUT_S))
        self.configure(2)
        self.assertEqual(2, self.configurations.get(timeout=TIMEOUT_S))
        entry.poll()
        self.assertTrue(self.configurations.empty())

    def test_restart_while_the_platform_is_down(self):
        """A peer's newer configuration must survive the platform's return."""
        self.configure(5)
        self.server.set_switches(down=True)
        entry = self.make_registry("a")
        state = rollout.Rollout()
        entry.on_configuration = state.offer
        self.assertFalse(entry.poll())
        self.assertEqual(0, state.revision)
        state.offer(7, b"from a peer")
        self.server.set_switches()
        self.assertTrue(entry.poll())
        self.assertEqual((7, b"from a peer"), (state.revision, state.document))
        self.configure(8)
        while state.revision < 8:
            eventlet.sleep(0)

    def test_silent_watch(self):
        """A watch that stops without an error must be restarted."""
        entry = self.make_registry("a")
        entry.poll()
        self.server.set_switches(silent_watches=True)
        self.configure(1)
        for _ in range(2):
            self.assertEqual(0, entry.counts.silent_watches)
            self.now_s += core.POLL_INTERVAL_S
            entry.poll()
        self.assertEqual(1, self.configurations.get(timeout=TIMEOUT_S))
        self.now_s += core.POLL_INTERVAL_S
        entry.poll()
        self.assertEqual(1, entry.counts.silent_watches)
        self.server.set_switches()
        self.configure(2)
        self.assertEqual(2, self.configurations.get(timeout=TIMEOUT_S))

    def test_lost_watch_is_restarted(self):
        entry = self.make_registry("a")
        entry.poll()
        first = entry._watch
        self.server.set_switches(down=True)
        first._thread.wait()
        self.assertEqual(1, entry.counts.lost_watches)
        self.server.set_switches()
        self.configure(1)
        entry.poll()
        self.assertIsNot(first, entry._watch)
        self.assertEqual(1, self.configurations.get(timeout=TIMEOUT_S))

    def test_unreadable_roster(self):
        """An entry must not overwrite a roster that it can't parse."""
        self.operator.put(keyvalue.Put(registry.ROSTER_KEY, b"{"))
        entry = self.make_registry("a")
        with self.assertLogs("trefoilgw.registry.members", "ERROR"):
            self.assertFalse(entry.poll())
        self.assertEqual(b"{", self.operator.get(registry.ROSTER_KEY).data)
        self.assertIsNone(entry.roster_read_s)

    def test_epochs_increase_after_the_roster_was_lost(self):
        entry = self.make_registry("a")
        entry.poll()
        self.operator.txn([], [keyvalue.Delete(registry.ROSTER_KEY)])
        self.assertTrue(entry.poll())
        self.assertEqual(2, self.stored().epoch)

    def test_leaving(self):
        """A planned stop must not wait for the lease to expire."""
        faults = {
            "none": {},
            "answer lost": {"lose_answer": 1, "lose_kinds": ("txn",)},
            "request lost": {"lose_request": 1, "lose_kinds": ("txn",)},
        }
        for case, switches in faults.items():
            with self.subTest(case):
                entry = self.make_registry("a")
                entry.poll()
                epoch = self.stored().epoch
                self.server.set_switches(**switches)
                self.assertTrue(entry.leave())
                self.assertEqual([], self.names())
                self.assertEqual(epoch + 1, self.stored().epoch)
                entry.poll()
                self.assertEqual([], self.names())
                self.assertEqual([], self.lease_names())

    def test_leaving_while_the_platform_is_down(self):
        entry = self.make_registry("a")
        entry.poll()
        self.server.set_switches(down=True)
        self.assertFalse(entry.leave())

    def test_started_registry_joins(self):
        entry = self.make_registry("a")
        entry.start()
        roster = self.rosters.get(timeout=TIMEOUT_S)
        self.assertEqual((entry.own,), roster.entries)
        self.assertTrue(entry.leave())


if __name__ == "__main__":
    unittest.main()
