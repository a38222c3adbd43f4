"""Tests of the selection of entries and of the streams to them."""

import random
import unittest

import eventlet

from trefoilgw.agent import connections
from trefoilgw.agent import entry_selection
from trefoilgw.agent.tests import fixtures
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

AGENT = "f" * 16


def make_roster_entry(number):
    incarnation = f"{number:016x}"
    address = f"192.0.2.{number}:1"
    return messages.RosterEntry(incarnation, address, "", "d1")


class EntrySelectionTest(unittest.TestCase):
    def test_small_roster_is_assigned_whole(self):
        """A small deployment must keep all paths from agents to entries."""
        roster = [make_roster_entry(number) for number in range(4)]
        self.assertEqual(
            set(roster), set(entry_selection.assigned_entries(AGENT, roster))
        )

    def test_subset_is_stable_and_spread(self):
        """All entries must be used, and few agents move if an entry leaves.

        An agent must keep its entries except the one that left.
        """
        roster = [make_roster_entry(number) for number in range(20)]
        agents = [f"{number:016x}" for number in range(200)]
        before = {
            agent: entry_selection.assigned_entries(agent, roster)
            for agent in agents
        }
        self.assertEqual({4}, {len(chosen) for chosen in before.values()})
        used = {entry for chosen in before.values() for entry in chosen}
        self.assertEqual(set(roster), used)
        removed = roster.pop()
        for agent in agents:
            after = set(entry_selection.assigned_entries(agent, roster))
            kept = set(before[agent]) - {removed}
            self.assertLessEqual(kept, after)

    def test_unreachable_entries_are_replaced(self):
        """An agent must get other entries if all of its own are unreachable.

        This occurs, for example, if a region is disconnected.
        """
        roster = [make_roster_entry(number) for number in range(6)]
        down = frozenset(
            entry.stream_address
            for entry in entry_selection.assigned_entries(AGENT, roster)
        )
        chosen = entry_selection.assigned_entries(AGENT, roster, down)
        self.assertEqual(set(roster), set(chosen))


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        limit = eventlet.Timeout(4 * fixtures.TIMEOUT_S)
        self.addCleanup(limit.cancel)
        self.closed = []

    def make_entries(self, letters):
        entries = [fixtures.FakeEntry(letter) for letter in letters]
        for entry in entries:
            self.addCleanup(entry.stop)
        return entries

    def connect(self, *seeds, accept=lambda *_: True):
        """Returns connections that have begun to dial the seeds."""
        hello = messages.AgentHello(
            messages.PROTOCOL_VERSION,
            "agent",
            AGENT,
            "d1",
            ("s",),
            8,
            64,
            0,
            "",
        )
        agent_connections = connections.Connections(
            agent=AGENT,
            key=bytes.fromhex(fixtures.KEY),
            seeds=seeds,
            hello=lambda: hello,
            accept=accept,
            on_open=lambda link: None,
            on_message=lambda link, message: None,
            on_closed=self.closed.append,
            rng=random.Random(1),
        )
        self.addCleanup(agent_connections.close, "the test ended")
        agent_connections.update()
        return agent_connections

    def wait_for_entries(self, agent_connections, *expected):
        """Waits until exactly these entries are connected."""
        incarnations = sorted(entry.incarnation for entry in expected)
        while (
            sorted(link.entry for link in agent_connections.open_links())
            != incarnations
        ):
            eventlet.sleep(0.001)

    def set_roster(self, entries, epoch=1):
        """Makes the entries send a roster that lists all of them."""
        roster = tuple(entry.roster_entry() for entry in entries)
        for entry in entries:
            entry.roster, entry.epoch = roster, epoch
        return roster

    def test_roster_is_learned_from_one_seed(self):
        """A single seed must be enough to find every entry."""
        entries = self.make_entries("abc")
        self.set_roster(entries)
        agent_connections = self.connect(entries[0].address)
        self.wait_for_entries(agent_connections, *entries)
        self.assertEqual([1, 1, 1], [entry.sessions for entry in entries])

    def test_seeds_without_a_roster(self):
        """Without a roster, an agent must connect to the seeds alone."""
        entries = self.make_entries("abc")
        agent_connections = self.connect(*(entry.address for entry in entries))
        self.wait_for_entries(agent_connections, *entries)
        self.assertEqual(0, agent_connections.epoch)

    def test_unlisted_seed_is_connected_besides_the_roster(self):
        """An entry that has not joined yet needs a stream to get credits."""
        first, second, new = self.make_entries("abc")
        self.set_roster([first, second])
        agent_connections = self.connect(first.address, new.address)
        self.wait_for_entries(agent_connections, first, second, new)

    def test_balancer_is_not_dialed_once_the_roster_is_known(self):
        """Dialing a load balancer again would replace a live session."""
        (entry,) = self.make_entries("a")
        listed = messages.RosterEntry("a" * 16, entry.address, "", "d1")
        port = int(entry.address.split(":")[1])
        balancer = eventlet.listen(("127.0.0.2", 0))
        self.addCleanup(streams.close_socket, balancer)
        entry.roster, entry.epoch = (listed,), 1

        def forward():
            sock, _ = balancer.accept()
            upstream = eventlet.connect(("127.0.0.1", port))
            eventlet.spawn_n(copy, sock, upstream)
            copy(upstream, sock)

        def copy(source, sink):
            while data := source.recv(65536):
                sink.sendall(data)

        eventlet.spawn_n(forward)
        seed = f"127.0.0.2:{balancer.getsockname()[1]}"
        agent_connections = self.connect(seed)
        while not any(
            link.address == entry.address
            for link in agent_connections.open_links()
        ):
            eventlet.sleep(0.001)
        self.wait_for_entries(agent_connections, entry)
        self.assertNotIn(seed, agent_connections._wanted_addresses())
        self.assertEqual(2, entry.sessions)

    def test_large_roster_is_connected_in_part(self):
        """A full mesh of agents and entries would cost too much traffic."""
        entries = self.make_entries("abcdef")
        roster = self.set_roster(entries)
        chosen = {
            e.incarnation
            for e in entry_selection.assigned_entries(AGENT, roster)
        }
        assigned = [e for e in entries if e.incarnation in chosen]
        unassigned = [e for e in entries if e.incarnation not in chosen]
        agent_connections = self.connect(unassigned[0].address)
        self.wait_for_entries(agent_connections, *assigned)

    def test_restarted_entry_is_dialed_again(self):
        """A restarted entry must be reached without a roster change."""
        (entry,) = self.make_entries("a")
        agent_connections = self.connect(entry.address)
        self.wait_for_entries(agent_connections, entry)
        entry.stop()
        while not self.closed:
            eventlet.sleep(0.001)
        restarted = fixtures.FakeEntry("b", entry.address)
        self.addCleanup(restarted.stop)
        self.wait_for_entries(agent_connections, restarted)

    def test_rejected_session_is_closed(self):
        """A stream that `accept` rejects must not be used."""
        (entry,) = self.make_entries("a")
        results = [False, True]
        agent_connections = self.connect(
            entry.address, accept=lambda *_: results.pop(0)
        )
        self.wait_for_entries(agent_connections, entry)
        self.assertEqual(2, entry.sessions)

    def test_redial_delays_have_full_jitter(self):
        """Agents that redial all at once would overload a restarted entry."""
        agent_connections = self.connect()
        for failures in (0, 1, 3, 20):
            delays = [
                agent_connections._redial_delay_s(failures) for _ in range(200)
            ]
            limit_s = min(
                connections.MAX_REDIAL_DELAY_S,
                connections.INITIAL_REDIAL_DELAY_S * 2**failures,
            )
            self.assertLess(min(delays), 0.1 * limit_s)
            self.assertGreater(max(delays), 0.9 * limit_s)
            self.assertLessEqual(max(delays), limit_s)


if __name__ == "__main__":
    unittest.main()
