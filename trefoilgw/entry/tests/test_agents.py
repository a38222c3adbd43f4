import unittest
from unittest import mock

from trefoilgw.entry import configuring
from trefoilgw.entry.tests import fixtures
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

A, B = "a" * 16, "b" * 16
Reason = outcomes.Reason


class EntryTestCase(unittest.TestCase):
    def setUp(self):
        self.harness = fixtures.EntryHarness()
        self.agents = self.harness.entry.agents

    def pass_time(self, seconds, *alive):
        """Advances the clock while only the given agents send pings."""
        for _ in range(round(seconds / 0.1)):
            self.harness.clock_s += 0.1
            for stream in alive:
                self.ping(stream)
            self.agents.check_heartbeats()

    def ping(self, stream, revision=1):
        stream.on_message(
            stream, messages.Ping(self.harness.clock_s, revision, 0, 0)
        )


class HeartbeatTest(EntryTestCase):
    def test_pong_renews_the_lease(self):
        """The agent counts its lease from its own clock value in the pong."""
        stream = self.harness.join()
        stream.on_message(stream, messages.Ping(12.5, 1, 0, 0))
        self.assertEqual(
            [messages.Pong(12.5, 1, ())], stream.take(messages.Pong)
        )

    def test_ended_batches_are_acknowledged(self):
        """An agent keeps results in memory until they are acknowledged."""
        stream = self.harness.join()
        self.harness.submit_job()
        (batch,) = stream.take(messages.RunBatch)
        fixtures.report_outcomes(stream, batch)
        self.ping(stream)
        self.ping(stream)
        acked = [pong.acked for pong in stream.take(messages.Pong)]
        self.assertEqual([(batch.batch,), ()], acked)

    def test_silent_agent_is_suspected_and_removed(self):
        """Work must not be sent to an agent that may have failed."""
        silent, alive = self.harness.join(A, 1), self.harness.join(B, 1)
        key = self.harness.submit_job(2)
        self.pass_time(2.1, alive)
        self.assertEqual(0, self.harness.host.placement.free("proof"))
        (batch,) = alive.take(messages.RunBatch)
        fixtures.report_outcomes(alive, batch)
        self.harness.submit_job(2)
        self.assertEqual(1, len(alive.take(messages.RunBatch)))
        self.assertEqual(1, len(silent.take(messages.RunBatch)))
        self.assertEqual("running", self.harness.read(key)["state"])
        self.pass_time(1.4, alive)
        self.assertTrue(silent.closed)
        found = self.harness.read(key)
        self.assertEqual("failed", found["state"])
        self.assertEqual(
            ["completed", "unknown"],
            sorted(row["fate"] for row in found["fates"]),
        )

    def test_agent_recovers(self):
        """An agent that was only slow must get work again."""
        stream = self.harness.join(A, 1)
        self.pass_time(2.5)
        self.assertEqual(0, self.harness.host.placement.free("proof"))
        self.ping(stream)
        self.agents.check_heartbeats()
        self.harness.submit_job()
        self.assertEqual(1, len(stream.take(messages.RunBatch)))

    def test_recovery_does_not_undo_other_blocks(self):
        """A heartbeat must not unblock an agent that is leaving."""
        stream = self.harness.join(A, 1)
        stream.on_message(stream, messages.Leaving())
        self.pass_time(2.5)
        self.ping(stream)
        self.agents.check_heartbeats()
        self.assertEqual(0, self.harness.host.placement.free("proof"))


class SessionTest(EntryTestCase):
    def test_reconnect_reconciles_open_batches(self):
        """The next session delivers the outcomes of a broken stream."""
        old = self.harness.join(A, 8)
        key = self.harness.submit_job(2)
        batches = old.take(messages.RunBatch)
        old.close("cut")
        self.assertEqual(
            202, self.harness.submit(key, fixtures.submission(2)).status
        )
        new = self.harness.join(A, 0)
        (reconcile,) = new.take(messages.Reconcile)
        self.assertEqual(
            [batch.batch for batch in batches],
            [reference.batch for reference in reconcile.batches],
        )
        self.assertEqual(f"cobre:{key}", reconcile.batches[0].job)
        for batch in batches:
            fixtures.report_outcomes(new, batch)
        self.assertEqual("complete", self.harness.read(key)["state"])

    def test_message_of_an_older_session_is_ignored(self):
        """Bytes buffered in an old connection must have no effect."""
        old = self.harness.join(A)
        key = self.harness.submit_job()
        (batch,) = old.take(messages.RunBatch)
        self.harness.join(A, 0)
        self.assertTrue(old.closed)
        fixtures.report_outcomes(old, batch)
        self.assertEqual("running", self.harness.read(key)["state"])
        self.assertEqual(1, self.harness.host.counts.foreign_messages)

    def test_handshakes_out_of_order(self):
        """The session with the higher number must replace the other one."""
        hello = self.harness.join(A, 0).hello
        first, second = (
            fixtures.FakeStream(hello, self.agents.welcome(hello))
            for _ in range(2)
        )
        first.on_closed = second.on_closed = lambda stream, reason: None
        self.agents.open_session(second)
        self.agents.open_session(first)
        self.assertEqual((True, False), (first.closed, second.closed))

    def test_new_incarnation_does_not_run_old_tasks(self):
        """Tasks of a terminated agent may have run, so they are not resent."""
        old = self.harness.join(A, 1)
        key = self.harness.submit_job()
        old.close("cut")
        new = self.harness.join(B, 1)
        self.assertEqual([], new.take(messages.Reconcile))
        self.pass_time(3.5, new)
        self.assertEqual("failed", self.harness.read(key)["state"])
        self.assertEqual([], new.take(messages.RunBatch))

    def test_strike_is_repeated_after_a_reconnect(self):
        """A strike that was lost with its stream must be sent again."""
        old = self.harness.join(A, 8)
        key = self.harness.submit_job()
        (batch,) = old.take(messages.RunBatch)
        old.close("cut")
        self.harness.cancel(key)
        new = self.harness.join(A, 0)
        (strike,) = new.take(messages.Strike)
        self.assertEqual((batch.batch,), strike.batches)

    def test_stream_closed_before_sending(self):
        """A batch for a closed stream did not run, so another agent gets it."""
        closed = self.harness.join(A, 1)
        closed.closed = True
        key = self.harness.submit_job()
        self.harness.run_delayed()
        open_ = self.harness.join(B, 1)
        self.harness.host.dispatch_waiting()
        self.harness.run_delayed()
        self.harness.host.dispatch_waiting()
        (batch,) = open_.take(messages.RunBatch)
        fixtures.report_outcomes(open_, batch)
        self.assertEqual("complete", self.harness.read(key)["state"])


class DrainTest(EntryTestCase):
    def test_draining_agent_gets_no_work(self):
        """A target that operators drain must get no new work."""
        stream = self.harness.join(A, 1)
        self.harness.entry.config.offer(2, fixtures.document(2, ["target-aa"]))
        self.assertEqual(0, self.harness.host.placement.free("proof"))
        self.harness.entry.config.offer(3, fixtures.document(3))
        self.assertEqual(1, self.harness.host.placement.free("proof"))
        self.assertEqual(2, len(stream.take(messages.ConfigPush)))


class ConfigurationTest(EntryTestCase):
    def test_older_revision_requests_the_newer_one(self):
        """Without the platform, a configuration spreads over the streams."""
        stream = self.harness.join()
        self.ping(stream, revision=2)
        self.assertEqual(
            [messages.ConfigWant()], stream.take(messages.ConfigWant)
        )
        stream.on_message(stream, messages.ConfigPush(2, fixtures.document(2)))
        self.assertEqual(2, self.harness.entry.config.revision)
        stream.on_message(stream, messages.ConfigWant())
        (push,) = stream.take(messages.ConfigPush)
        self.assertEqual(2, push.revision)

    def test_large_documents_go_out_in_groups(self):
        """Copies for all agents at once would exhaust the memory."""
        streams = [self.harness.join(f"{i:016x}", 0) for i in range(5)]
        document = fixtures.document(2)
        with mock.patch.object(
            configuring, "PUSH_GROUP_BYTES", 2 * len(document)
        ):
            self.harness.entry.config.offer(2, document)
            pushed = []
            for _ in range(3):
                taken = [s.take(messages.ConfigPush) for s in streams]
                pushed.append(sum(map(len, taken)))
                self.harness.run_delayed()
        self.assertEqual([2, 2, 1], pushed)

    def test_known_incarnations_are_limited(self):
        """Incarnations of old rosters must not accumulate without bound.

        The oldest ones are dropped first.
        """
        config = self.harness.entry.config
        names = [f"{number:016x}" for number in range(5)]
        history = {epoch: (name,) for epoch, name in enumerate(names, 1)}
        with mock.patch.object(configuring, "MAX_KNOWN_INCARNATIONS", 3):
            config.update_roster(5, (), history, self.harness.clock_s)
        self.assertEqual(names[2:], list(config.known_incarnations))

    def test_invalid_or_older_configuration_is_rejected(self):
        """An invalid or older document must not replace the one in force."""
        config = self.harness.entry.config
        cases = (
            (1, fixtures.document(1)),
            (0, fixtures.document(0)),
            (3, fixtures.document(2)),
            (2, b"{}"),
            (2, fixtures.document(2)[:-5]),
        )
        for revision, document in cases:
            with self.subTest(revision=revision):
                self.assertFalse(config.offer(revision, document))
                self.assertEqual(1, config.revision)
