import unittest
from unittest import mock

from trefoilgw.entry import configuring
from trefoilgw.entry.tests import fixtures
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

A, B = "a" * 16, "b" * 16
Reason = outcomes.Reason


class RigTestCase(unittest.TestCase):
    def setUp(self):
        self.rig = fixtures.EntryHarness()
        self.agents = self.rig.entry.agents

    def silence(self, seconds, *talking):
        """Lets time pass in which only some agents are heard."""
        for _ in range(round(seconds / 0.1)):
            self.rig.clock_s += 0.1
            for stream in talking:
                self.ping(stream)
            self.agents.check()

    def ping(self, stream, revision=1):
        stream.on_message(
            stream, messages.Ping(self.rig.clock_s, revision, 0, 0)
        )


class HeartbeatTest(RigTestCase):
    def test_pong_renews_the_lease(self):
        """The lease counts from the agent's own clock."""
        stream = self.rig.join()
        stream.on_message(stream, messages.Ping(12.5, 1, 0, 0))
        self.assertEqual(
            [messages.Pong(12.5, 1, ())], stream.take(messages.Pong)
        )

    def test_ended_batches_are_acknowledged(self):
        """An agent that is not told keeps results in its memory."""
        stream = self.rig.join()
        self.rig.submit_job()
        (batch,) = stream.take(messages.RunBatch)
        fixtures.answer(stream, batch)
        self.ping(stream)
        self.ping(stream)
        acked = [pong.acked for pong in stream.take(messages.Pong)]
        self.assertEqual([(batch.batch,), ()], acked)

    def test_silent_agent_is_suspected_and_removed(self):
        """Work must not go to an agent that may be gone."""
        silent, talking = self.rig.join(A, 1), self.rig.join(B, 1)
        key = self.rig.submit_job(2)
        self.silence(2.1, talking)
        self.assertEqual(0, self.rig.host.placement.free("proof"))
        (batch,) = talking.take(messages.RunBatch)
        fixtures.answer(talking, batch)
        self.rig.submit_job(2)
        self.assertEqual(1, len(talking.take(messages.RunBatch)))
        self.assertEqual(1, len(silent.take(messages.RunBatch)))
        self.assertEqual("running", self.rig.read(key)["state"])
        self.silence(1.4, talking)
        self.assertTrue(silent.closed)
        found = self.rig.read(key)
        self.assertEqual("failed", found["state"])
        self.assertEqual(
            ["completed", "unknown"],
            sorted(row["fate"] for row in found["fates"]),
        )

    def test_agent_recovers(self):
        """An agent that was only slow must get work again."""
        stream = self.rig.join(A, 1)
        self.silence(2.5)
        self.assertEqual(0, self.rig.host.placement.free("proof"))
        self.ping(stream)
        self.agents.check()
        self.rig.submit_job()
        self.assertEqual(1, len(stream.take(messages.RunBatch)))

    def test_recovery_does_not_undo_other_blocks(self):
        """A heartbeat must not bring back an agent that is leaving."""
        stream = self.rig.join(A, 1)
        stream.on_message(stream, messages.Leaving())
        self.silence(2.5)
        self.ping(stream)
        self.agents.check()
        self.assertEqual(0, self.rig.host.placement.free("proof"))


class SessionTest(RigTestCase):
    def test_reconnect_reconciles(self):
        """Outcomes of a broken stream come through the next session."""
        old = self.rig.join(A, 8)
        key = self.rig.submit_job(2)
        batches = old.take(messages.RunBatch)
        old.close("cut")
        self.assertEqual(
            202, self.rig.submit(key, fixtures.submission(2)).status
        )
        new = self.rig.join(A, 0)
        (reconcile,) = new.take(messages.Reconcile)
        self.assertEqual(
            [batch.batch for batch in batches],
            [reference.batch for reference in reconcile.batches],
        )
        self.assertEqual(f"cobre:{key}", reconcile.batches[0].job)
        for batch in batches:
            fixtures.answer(new, batch)
        self.assertEqual("complete", self.rig.read(key)["state"])

    def test_message_of_an_older_session(self):
        """Bytes left in an old connection must change nothing."""
        old = self.rig.join(A)
        key = self.rig.submit_job()
        (batch,) = old.take(messages.RunBatch)
        self.rig.join(A, 0)
        self.assertTrue(old.closed)
        fixtures.answer(old, batch)
        self.assertEqual("running", self.rig.read(key)["state"])
        self.assertEqual(1, self.rig.host.counts.foreign_messages)

    def test_handshakes_that_overtake_each_other(self):
        """The session with the higher number is the newer one."""
        hello = self.rig.join(A, 0).hello
        first, second = (
            fixtures.FakeStream(hello, self.agents.welcome(hello))
            for _ in range(2)
        )
        first.on_closed = second.on_closed = lambda stream, reason: None
        self.agents.opened(second)
        self.agents.opened(first)
        self.assertEqual((True, False), (first.closed, second.closed))

    def test_new_incarnation_of_an_agent(self):
        """What a terminated agent had started is unknown."""
        old = self.rig.join(A, 1)
        key = self.rig.submit_job()
        old.close("cut")
        new = self.rig.join(B, 1)
        self.assertEqual([], new.take(messages.Reconcile))
        self.silence(3.5, new)
        self.assertEqual("failed", self.rig.read(key)["state"])
        self.assertEqual([], new.take(messages.RunBatch))

    def test_strike_is_repeated_after_a_reconnect(self):
        """A strike that was lost with its stream must not be forgotten."""
        old = self.rig.join(A, 8)
        key = self.rig.submit_job()
        (batch,) = old.take(messages.RunBatch)
        old.close("cut")
        self.rig.cancel(key)
        new = self.rig.join(A, 0)
        (strike,) = new.take(messages.Strike)
        self.assertEqual((batch.batch,), strike.batches)

    def test_stream_closed_before_sending(self):
        """A batch that found its stream closed certainly did not run."""
        closed = self.rig.join(A, 1)
        closed.closed = True
        key = self.rig.submit_job()
        self.rig.run_delayed()
        open_ = self.rig.join(B, 1)
        self.rig.host.dispatch_waiting()
        self.rig.run_delayed()
        self.rig.host.dispatch_waiting()
        (batch,) = open_.take(messages.RunBatch)
        fixtures.answer(open_, batch)
        self.assertEqual("complete", self.rig.read(key)["state"])


class DrainTest(RigTestCase):
    def test_draining_agent(self):
        """A target that operators drain must get no new work."""
        stream = self.rig.join(A, 1)
        self.rig.entry.config.offer(2, fixtures.document(2, ["target-aa"]))
        self.assertEqual(0, self.rig.host.placement.free("proof"))
        self.rig.entry.config.offer(3, fixtures.document(3))
        self.assertEqual(1, self.rig.host.placement.free("proof"))
        self.assertEqual(2, len(stream.take(messages.ConfigPush)))


class ConfigurationTest(RigTestCase):
    def test_whoever_is_behind_asks(self):
        """Without the platform a configuration spreads on the streams."""
        stream = self.rig.join()
        self.ping(stream, revision=2)
        self.assertEqual(
            [messages.ConfigWant()], stream.take(messages.ConfigWant)
        )
        stream.on_message(stream, messages.ConfigPush(2, fixtures.document(2)))
        self.assertEqual(2, self.rig.entry.config.revision)
        stream.on_message(stream, messages.ConfigWant())
        (push,) = stream.take(messages.ConfigPush)
        self.assertEqual(2, push.revision)

    def test_large_documents_go_out_in_groups(self):
        """Copies for all agents at once would use up the memory."""
        streams = [self.rig.join(f"{i:016x}", 0) for i in range(5)]
        document = fixtures.document(2)
        with mock.patch.object(configuring, "PUSHED_BYTES", 2 * len(document)):
            self.rig.entry.config.offer(2, document)
            pushed = []
            for _ in range(3):
                taken = [s.take(messages.ConfigPush) for s in streams]
                pushed.append(sum(map(len, taken)))
                self.rig.run_delayed()
        self.assertEqual([2, 2, 1], pushed)

    def test_never_goes_back(self):
        """An old configuration must not come back into force."""
        config = self.rig.entry.config
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
