"""Which entries an agent connects to, and how it dials them."""

import random
import unittest

import eventlet

from trefoilgw.agent import choice
from trefoilgw.agent import connections
from trefoilgw.agent.tests import scenes
from trefoilgw.messages import core as messages
from trefoilgw.streams import core as streams

AGENT = "f" * 16


def listing(number):
    incarnation = f"{number:016x}"
    address = f"192.0.2.{number}:1"
    return messages.RosterEntry(incarnation, address, "", "d1")


class ChoiceTest(unittest.TestCase):
    def test_small_roster_is_served_whole(self):
        """A small deployment must not lose paths to a subset."""
        roster = [listing(number) for number in range(4)]
        self.assertEqual(set(roster), set(choice.assigned(AGENT, roster)))

    def test_subset_is_stable_and_spread(self):
        """A roster change must move few agents, and all entries be used."""
        roster = [listing(number) for number in range(20)]
        agents = [f"{number:016x}" for number in range(200)]
        before = {agent: choice.assigned(agent, roster) for agent in agents}
        self.assertEqual({4}, {len(chosen) for chosen in before.values()})
        used = {entry for chosen in before.values() for entry in chosen}
        self.assertEqual(set(roster), used)
        gone = roster.pop()
        for agent in agents:
            after = set(choice.assigned(agent, roster))
            kept = set(before[agent]) - {gone}
            self.assertLessEqual(kept, after)

    def test_unreachable_entries_are_made_up_for(self):
        """A cut region must not leave an agent without entries."""
        roster = [listing(number) for number in range(6)]
        down = frozenset(
            entry.stream_address for entry in choice.assigned(AGENT, roster)
        )
        chosen = choice.assigned(AGENT, roster, down)
        self.assertEqual(set(roster), set(chosen))


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        limit = eventlet.Timeout(4 * scenes.TIMEOUT_S)
        self.addCleanup(limit.cancel)
        self.closed = []

    def entries(self, letters):
        made = [scenes.Entry(letter) for letter in letters]
        for entry in made:
            self.addCleanup(entry.stop)
        return made

    def connect(self, *seeds, accept=lambda *_: True):
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
        made = connections.Connections(
            agent=AGENT,
            key=bytes.fromhex(scenes.KEY),
            seeds=seeds,
            hello=lambda: hello,
            accept=accept,
            on_open=lambda link: None,
            on_message=lambda link, message: None,
            on_closed=self.closed.append,
            rng=random.Random(1),
        )
        self.addCleanup(made.close, "the test ended")
        made.update()
        return made

    def wait_for_entries(self, made, *expected):
        """Waits until exactly these entries are connected."""
        wanted = sorted(entry.incarnation for entry in expected)
        while sorted(link.entry for link in made.open_links()) != wanted:
            eventlet.sleep(0.001)

    def list_all(self, entries, epoch=1):
        roster = tuple(entry.listing() for entry in entries)
        for entry in entries:
            entry.roster, entry.epoch = roster, epoch
        return roster

    def test_roster_is_learned_from_one_seed(self):
        """A single seed must lead to every entry."""
        entries = self.entries("abc")
        self.list_all(entries)
        made = self.connect(entries[0].address)
        self.wait_for_entries(made, *entries)
        self.assertEqual([1, 1, 1], [entry.sessions for entry in entries])

    def test_seeds_without_a_roster(self):
        """Without the platform the seeds alone must connect."""
        entries = self.entries("abc")
        made = self.connect(*(entry.address for entry in entries))
        self.wait_for_entries(made, *entries)
        self.assertEqual(0, made.epoch)

    def test_unlisted_seed_is_served_beside_the_roster(self):
        """An entry that has not joined yet must get credits."""
        first, second, new = self.entries("abc")
        self.list_all([first, second])
        made = self.connect(first.address, new.address)
        self.wait_for_entries(made, first, second, new)

    def test_balancer_is_left_once_the_roster_is_known(self):
        """Dialing a balancer again would replace a live session."""
        (entry,) = self.entries("a")
        other = messages.RosterEntry("a" * 16, entry.address, "", "d1")
        port = int(entry.address.split(":")[1])
        balancer = eventlet.listen(("127.0.0.2", 0))
        self.addCleanup(streams.close_socket, balancer)
        entry.roster, entry.epoch = (other,), 1

        def forward():
            sock, _ = balancer.accept()
            onward = eventlet.connect(("127.0.0.1", port))
            eventlet.spawn_n(pump, sock, onward)
            pump(onward, sock)

        def pump(source, sink):
            while data := source.recv(65536):
                sink.sendall(data)

        eventlet.spawn_n(forward)
        seed = f"127.0.0.2:{balancer.getsockname()[1]}"
        made = self.connect(seed)
        while not any(
            link.address == entry.address for link in made.open_links()
        ):
            eventlet.sleep(0.001)
        self.wait_for_entries(made, entry)
        self.assertNotIn(seed, made._wanted())
        self.assertEqual(2, entry.sessions)

    def test_large_roster_is_served_in_part(self):
        """Every agent connected to every entry costs too much traffic."""
        entries = self.entries("abcdef")
        roster = self.list_all(entries)
        chosen = {e.incarnation for e in choice.assigned(AGENT, roster)}
        serving = [e for e in entries if e.incarnation in chosen]
        resting = [e for e in entries if e.incarnation not in chosen]
        made = self.connect(resting[0].address)
        self.wait_for_entries(made, *serving)

    def test_restarted_entry_is_dialed_again(self):
        """An entry that comes back must be found without a roster change."""
        (entry,) = self.entries("a")
        made = self.connect(entry.address)
        self.wait_for_entries(made, entry)
        entry.stop()
        while not self.closed:
            eventlet.sleep(0.001)
        reborn = scenes.Entry("b", entry.address)
        self.addCleanup(reborn.stop)
        self.wait_for_entries(made, reborn)

    def test_refused_session_is_dropped(self):
        """A stream that is not the newest must not be used."""
        (entry,) = self.entries("a")
        verdicts = [False, True]
        made = self.connect(entry.address, accept=lambda *_: verdicts.pop(0))
        self.wait_for_entries(made, entry)
        self.assertEqual(2, entry.sessions)

    def test_redial_delays_have_full_jitter(self):
        """Agents that redial in step would flood a restarted entry."""
        made = self.connect()
        for failures in (0, 1, 3, 20):
            delays = [made._redial_delay_s(failures) for _ in range(200)]
            limit_s = min(
                connections.REDIAL_LIMIT_S,
                connections.REDIAL_FIRST_S * 2**failures,
            )
            self.assertLess(min(delays), 0.1 * limit_s)
            self.assertGreater(max(delays), 0.9 * limit_s)
            self.assertLessEqual(max(delays), limit_s)


if __name__ == "__main__":
    unittest.main()
