import unittest

import attrs

from trefoilgw.admission import work
from trefoilgw.entry import peers
from trefoilgw.entry import reclaim
from trefoilgw.entry.tests import fixtures
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

A, B = "a" * 16, "b" * 16
PEER = "f" * 16


class CreditsTestCase(unittest.TestCase):
    def setUp(self):
        self.harness = fixtures.EntryHarness()
        self.host = self.harness.host

    def connect_peer(self, free_credits):
        """Connects a peer with free credits; returns its stream."""
        entry = messages.RosterEntry(PEER, "127.0.0.1:1", "", "scl-2")
        hello = messages.PeerHello(1, entry, 1)
        stream = fixtures.FakeStream(hello)
        self.harness.entry.peers.stream_accepted(stream)
        ping = messages.PeerPing(0.0, 1, 0, free_credits, False)
        stream.on_message(stream, ping)
        stream.sent.clear()
        return stream


class LendingTest(CreditsTestCase):
    def test_waiting_work_borrows_credits(self):
        """Work must not wait here while another entry has free credits."""
        agent = self.harness.join(A, 1)
        peer = self.connect_peer(8)
        self.harness.submit_job()
        agent.take(messages.RunBatch)
        key = self.harness.submit_job()
        (ask,) = peer.take(messages.CreditAsk)
        self.assertGreater(ask.credits, 0)
        lent = (messages.LentCredits(A, PEER, 2),)
        peer.on_message(peer, messages.CreditLend(lent))
        (batch,) = agent.take(messages.RunBatch)
        self.assertEqual(PEER, batch.lender)
        fixtures.report_outcomes(agent, batch)
        self.assertEqual("complete", self.harness.read(key)["state"])

    def test_credits_of_an_unknown_agent_are_returned(self):
        """Credits that this entry can't use would be lost to both entries."""
        self.harness.join(A, 1)
        peer = self.connect_peer(8)
        lent = (messages.LentCredits(B, PEER, 2),)
        peer.on_message(peer, messages.CreditLend(lent))
        self.assertEqual(
            [messages.CreditLend(lent)], peer.take(messages.CreditLend)
        )

    def test_keeps_credits_that_cannot_be_sent(self):
        """Credits sent on a closed stream would be lost to both entries."""
        self.harness.join(A, 8)
        peer = self.connect_peer(0)
        peer.closed = True
        peer.on_message(peer, messages.CreditAsk(4))
        self.assertEqual([], peer.take(messages.CreditLend))
        self.assertEqual(8, self.host.placement.free("proof"))

    def test_lends_free_credits(self):
        """A lent credit must not be used here as well."""
        self.harness.join(A, 8)
        peer = self.connect_peer(0)
        peer.on_message(peer, messages.CreditAsk(4))
        (lend,) = peer.take(messages.CreditLend)
        count = sum(item.credits for item in lend.credits)
        self.assertGreater(count, 0)
        self.assertEqual(8 - count, self.host.placement.free("proof"))
        self.assertEqual(
            {self.host.incarnation}, {i.lender for i in lend.credits}
        )

    def test_credits_of_a_terminated_lender_are_dropped(self):
        """Agents grant its credits anew and refuse work that uses old ones."""
        self.harness.join(A, 1)
        peer = self.connect_peer(8)
        lent = (messages.LentCredits(A, PEER, 2),)
        peer.on_message(peer, messages.CreditLend(lent))
        self.assertEqual(3, self.host.placement.free("proof"))
        peer.close("cut")
        self.assertEqual(1, self.host.placement.free("proof"))


class AccountTest(CreditsTestCase):
    def running_credits(self):
        """Returns the number of credits that admission counts as in use."""
        return sum(
            item.running for item in self.host.admission.collect_demand(0.0)
        )

    def test_credits_are_released_at_the_end_of_a_batch(self):
        """Credits that stay in use would block a customer permanently."""
        cases = (
            (
                "completed",
                lambda stream, batch: fixtures.report_outcomes(stream, batch),
            ),
            (
                "failed",
                lambda stream, batch: fixtures.report_outcomes(
                    stream,
                    batch,
                    {0: outcomes.Failed(outcomes.Reason.TARGET_ERROR)},
                ),
            ),
            (
                "credits kept by the agent",
                lambda stream, batch: fixtures.report_outcomes(
                    stream, batch, credits=0
                ),
            ),
            (
                "agent removed",
                lambda stream, batch: self.wait_until_removed(stream),
            ),
        )
        for name, end in cases:
            with self.subTest(name):
                self.setUp()
                stream = self.harness.join(A, 1)
                self.harness.submit_job()
                self.assertEqual(1, self.running_credits())
                end(stream, stream.take(messages.RunBatch)[0])
                self.assertEqual(0, self.running_credits())
                self.assertEqual({}, self.host.in_flight)

    def wait_until_removed(self, stream):
        """Advances the clock until a silent agent is removed."""
        while not stream.closed:
            self.harness.clock_s += 0.25
            self.harness.entry.agents.check_heartbeats()

    def test_batch_that_ends_task_by_task(self):
        """Credits are released with the last tasks, before the batch ends."""
        stream = self.harness.join(A, 4)
        self.harness.submit_job(4)
        (batch,) = stream.take(messages.RunBatch)
        for left in (3, 2, 1):
            index = batch.tasks[left].index
            fates = {index: fixtures.completed(index)}
            fixtures.report_outcomes(
                stream, batch, fates, final=False, credits=1
            )
            self.assertEqual(left, self.running_credits())
        self.assertEqual(3, self.host.placement.free("proof"))


class ReclaimTest(CreditsTestCase):
    def test_large_batches_shrink(self):
        """A flow below its share must not wait until a large job ends."""
        streams = {A: self.harness.join(A, 8), B: self.harness.join(B, 4)}
        self.harness.submit_job(60)
        (job,) = self.host.table.running.values()
        reclaimed = work.Reclaim(job.id, 9)
        host = attrs.evolve(self.host)
        host.admission = FakeAdmission((reclaimed,))
        reclaim.apply(host)
        resized = {
            name: stream.take(messages.Resize)
            for name, stream in streams.items()
        }
        self.assertEqual([1], [m.concurrency for m in resized[A]])
        self.assertEqual([2], [m.concurrency for m in resized[B]])
        self.assertEqual(9, host.admission.credits)

    def test_job_that_ended_meanwhile(self):
        """A reclaim for a job that has ended must be ignored."""
        self.harness.join(A, 8)
        host = attrs.evolve(self.host)
        host.admission = FakeAdmission((work.Reclaim("cobre:gone", 1),))
        reclaim.apply(host)
        self.assertEqual(0, host.admission.credits)


class FakeAdmission:
    """Returns given reclaims and counts the released credits."""

    def __init__(self, reclaims):
        self.reclaims = reclaims
        self.credits = 0

    def reclaim(self, now_s):
        return self.reclaims

    def finished(self, customer, kind, credits, run_s, now_s, job=""):
        self.credits += credits


class UsageTest(CreditsTestCase):
    def test_demand_goes_to_every_peer(self):
        """Entries that don't know each other's demand would exceed quotas."""
        self.harness.join(A, 8)
        peer = self.connect_peer(0)
        self.harness.submit_job(3)
        self.harness.entry.peers.send_usage()
        (usage,) = peer.take(messages.Usage)
        rows = {item.customer: item for item in usage.demands}
        self.assertEqual(3, rows["cobre"].running)

    def test_disconnected_peer_is_removed_from_quotas(self):
        """The other entries must get its part of the quotas."""
        peer = self.connect_peer(0)
        demand = messages.CustomerDemand("cobre", 9.0, 9)
        peer.on_message(peer, messages.Usage((demand,)))
        self.assertEqual({PEER}, self.host.admission.peers)
        peer.close("cut")
        self.assertEqual(set(), self.host.admission.peers)


class SilentPeerTest(CreditsTestCase):
    def test_silent_peer_is_closed(self):
        """Only an entry that all others miss may be removed from the roster."""
        streams = self.harness.entry.peers
        self.host.roster = keys.RosterView(1, (PEER,))
        peer = self.connect_peer(0)
        start_s = self.harness.clock_s
        cases = ((9.9, False), (10.0, True))
        for after_s, silent in cases:
            self.harness.clock_s = start_s + after_s
            self.assertEqual(silent, streams.is_silent(PEER))
        self.assertIsNone(streams.find_reachable(PEER))
        streams.maintain_streams()
        self.assertFalse(peer.closed)
        self.harness.clock_s = start_s + peers.MAX_SILENCE_S + 0.1
        streams.maintain_streams()
        self.assertTrue(peer.closed)
        self.assertTrue(streams.is_silent(PEER))

    def test_silence_of_an_entry_without_a_stream(self):
        """It may be new, so its silence counts from the first call."""
        streams = self.harness.entry.peers
        self.assertFalse(streams.is_silent(PEER))
        self.harness.clock_s += 10.0
        self.assertTrue(streams.is_silent(PEER))
