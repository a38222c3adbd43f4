"""Tests of how a scheduler learns of evacuations and passes them on."""

import json
import types
import unittest
from unittest import mock

import eventlet

from trefoilgw.evacuation import core as evacuation
from trefoilgw.keyvalue import values
from trefoilgw.messages import runs
from trefoilgw.platform import hosting
from trefoilgw.platform import store as platform_store
from trefoilgw.platform.tests import test_decoding
from trefoilgw.scheduler import configuration
from trefoilgw.scheduler import evacuations
from trefoilgw.scheduler import program
from trefoilgw.scheduling.tests import fixtures

A, B = "zone-a", "zone-b"


def state(revision, *domains, document=b""):
    return platform_store.OperatorsState(document, frozenset(domains), revision)


def changes(revision, *domain_changes, document=b""):
    return platform_store.OperatorsChanges(document, domain_changes, revision)


class Harness:
    """A scheduler's evacuations with what they do, in order.

    Attributes:
        events: What was broadcast, sent to a peer and put in force.
    """

    def __init__(self, enabled=True):
        self.events = []
        self.evacuations = evacuations.Evacuations(
            enabled,
            lambda: {A, B},
            lambda message: self.events.append(("broadcast", message)),
            lambda domains: self.events.append(("in force", domains)),
        )
        self.stream = types.SimpleNamespace(
            send=lambda message: self.events.append(("sent", message))
        )

    def push(self, revision, *domains):
        """Has a peer push a set; returns what happens."""
        message = runs.EvacuationPush(revision, domains)
        self.evacuations.peer_pushed(self.stream, message)
        return self.take()

    def tell(self, answer):
        """Has the store answer; returns what happens."""
        self.evacuations.store_told(answer)
        return self.take()

    def take(self):
        taken, self.events = self.events, []
        return taken


class EvacuationsTest(unittest.TestCase):
    def test_runners_and_peers_are_told_before_anything_else(self):
        """A runner is the last that can refuse an order under way."""
        harness = Harness()
        with self.assertLogs("trefoilgw.evacuation") as logged:
            taken = harness.tell(state(7, A))
        self.assertEqual(
            [
                ("broadcast", runs.EvacuationPush(7, (A,))),
                ("in force", frozenset({A})),
            ],
            taken,
        )
        (line,) = logged.records
        self.assertEqual("domain evacuated", line.msg)
        self.assertEqual(
            (A, 7, "store", True),
            (line.domain, line.revision, line.origin, line.listed),
        )

    def test_each_change_has_one_line(self):
        """Operators look for when a process began to obey."""
        harness = Harness()
        harness.tell(state(7, A))
        with self.assertLogs("trefoilgw.evacuation") as logged:
            harness.tell(
                changes(
                    9,
                    evacuation.DomainChange("misspelled", True, 8),
                    evacuation.DomainChange(A, False, 9),
                )
            )
        lines = {x.msg: x for x in logged.records}
        self.assertEqual({"domain evacuated", "domain taken back"}, set(lines))
        self.assertFalse(lines["domain evacuated"].listed)
        self.assertEqual(
            {"evacuated": 2, "taken_back": 1}, harness.evacuations.changes
        )

    def test_stale_set_of_a_peer_is_answered_with_the_newer_one(self):
        """A scheduler that was cut off learns it as soon as it is back."""
        harness = Harness()
        harness.tell(state(7, A))
        newer = [("sent", runs.EvacuationPush(7, (A,)))]
        self.assertEqual(newer, harness.push(5, B))
        self.assertEqual(newer, harness.push(0))
        self.assertEqual([], harness.push(7, A))
        self.assertEqual({A}, harness.evacuations.state.domains)

    def test_newer_set_of_a_peer_applies_and_is_passed_on(self):
        """The store may be away for this scheduler and its other peers."""
        harness = Harness()
        harness.tell(state(7, A))
        self.assertEqual(
            [
                ("broadcast", runs.EvacuationPush(8, (B,))),
                ("in force", frozenset({B})),
            ],
            harness.push(8, B),
        )
        # The watch of this scheduler lags behind its peer.
        late = changes(8, evacuation.DomainChange(A, False, 8))
        self.assertEqual([], harness.tell(late))

    def test_same_set_of_a_higher_revision_is_passed_on(self):
        """A runner could otherwise take a set between the two from another."""
        harness = Harness()
        harness.tell(state(7, A))
        self.assertEqual(
            [("broadcast", runs.EvacuationPush(9, (A,)))],
            harness.tell(state(9, A)),
        )

    def test_greeting(self):
        """A peer that knows a set sends it to one that knows none."""
        harness = Harness()
        self.assertEqual(
            [runs.EvacuationPush(0, ())], harness.evacuations.greeting()
        )
        harness.tell(state(7, A))
        self.assertEqual(
            [runs.EvacuationPush(7, (A,))], harness.evacuations.greeting()
        )

    def test_without_evacuations_there_is_no_message(self):
        """Other deployments keep their messages as they are."""
        harness = Harness(enabled=False)
        self.assertEqual([], harness.evacuations.greeting())
        self.assertFalse(harness.evacuations.awaited)


class OperatorsSource:
    """Answers reads and watches in turn; fails once there are no more."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def _answer(self, call):
        self.calls.append(call)
        if self.answers:
            return self.answers.pop(0)
        return values.Unavailable("down", False)

    def read(self):
        return self._answer("read")

    def watch(self, revision, wait_s):
        return self._answer(revision)

    def decode(self, document):
        return types.SimpleNamespace(version=int(document))


class WatchTest(unittest.TestCase):
    def follow(self, *answers):
        """Follows a store; returns the source, and what came in force."""
        events = []
        harness = Harness()
        source = OperatorsSource(*answers)
        watcher = configuration.ConfigurationWatcher(
            source,
            lambda document, version: events.append(version),
            lambda answer: (
                harness.evacuations.store_told(answer),
                events.append(sorted(harness.evacuations.state.domains)),
            ),
        )
        with (
            mock.patch.object(configuration, "MIN_RETRY_S", 0.001),
            eventlet.Timeout(0.3, False),
        ):
            watcher.run()
        return source, events

    def test_evacuations_come_before_the_configuration(self):
        """Jobs are served from the first configuration on."""
        source, events = self.follow(
            state(7, A, document=b"1"),
            changes(9, evacuation.DomainChange(A, False, 8), document=b"2"),
            changes(12),
        )
        self.assertEqual([[A], 1, [], 2, []], events)
        self.assertEqual(["read", 7, 9, 12], source.calls[:4])

    def test_both_are_read_again_after_dropped_history(self):
        """A removal meanwhile is in no change that is still known."""
        source, events = self.follow(
            state(7, A, document=b"1"),
            platform_store.HistoryGone(),
            state(20, B, document=b"3"),
        )
        self.assertEqual([[A], 1, [B], 3], events)
        self.assertEqual(["read", 7, "read", 20], source.calls[:4])

    def test_store_that_is_down_keeps_the_set(self):
        """An evacuation must not end with a fault of the store."""
        down = values.Unavailable("down", False)
        _, events = self.follow(
            state(7, A, document=b"1"), down, down, changes(9)
        )
        self.assertEqual([[A], 1, [A]], events)


class ProgramTest(unittest.TestCase):
    def make_program(self, **settings):
        """Returns a scheduler program, not started, with a configuration."""
        document = {
            **test_decoding.SETTINGS,
            "serves": ["front"],
            "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
            **settings,
        }
        parts = program.Program(hosting.decode(json.dumps(document).encode()))
        parts.configuration_watcher.current = types.SimpleNamespace(version=1)
        fixtures.connect_runner(parts.scheduler, "r1")
        return parts

    def ready(self, parts):
        statuses = []
        parts._answer_readiness_probe(
            {}, lambda status, headers: statuses.append(status)
        )
        return statuses == ["200 OK"]

    def test_no_jobs_before_the_evacuations_are_known(self):
        """A peer may send the configuration while the store is away."""
        parts = self.make_program(contracts=["places"])
        self.assertIsNone(parts._configuration())
        self.assertFalse(self.ready(parts))
        self.assertFalse(parts._can_serve())
        parts.evacuations.store_told(state(7))
        self.assertIsNotNone(parts._configuration())
        self.assertTrue(self.ready(parts))
        self.assertTrue(parts._can_serve())

    def test_other_deployments_wait_for_nothing(self):
        """Their store holds no evacuations."""
        parts = self.make_program()
        self.assertTrue(parts._can_serve())
        self.assertIs(
            platform_store.ConfigurationSource,
            type(parts.configuration_watcher.source),
        )

    def test_set_reaches_a_runner_first(self):
        """An order that comes before it would be carried out."""
        parts = self.make_program(contracts=["places"])
        parts.evacuations.store_told(state(7, A))
        greeting = parts.clients.runner_greeting()
        self.assertEqual(runs.EvacuationPush(7, (A,)), greeting[0])
        peer_greeting = parts.clients.peer_greeting()
        self.assertEqual(runs.EvacuationPush(7, (A,)), peer_greeting[0])
        self.assertEqual({A}, parts.scheduler.evacuated)


if __name__ == "__main__":
    unittest.main()
