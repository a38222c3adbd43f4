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
        self.rig = fixtures.EntryHarness()
        self.host = self.rig.host

    def meet(self, free_credits):
        """Returns the stream of a peer with free credits."""
        entry = messages.RosterEntry(PEER, "127.0.0.1:1", "", "scl-2")
        hello = messages.PeerHello(1, entry, 1)
        stream = fixtures.FakeStream(hello)
        self.rig.entry.peers.stream_accepted(stream)
        ping = messages.PeerPing(0.0, 1, 0, free_credits, False)
        stream.on_message(stream, ping)
        stream.sent.clear()
        return stream


class LendingTest(CreditsTestCase):
    def test_work_that_waits_borrows(self):
        """Work must not wait here while another entry has free credits."""
        agent = self.rig.join(A, 1)
        peer = self.meet(8)
        self.rig.submit_job()
        agent.take(messages.RunBatch)
        key = self.rig.submit_job()
        (ask,) = peer.take(messages.CreditAsk)
        self.assertGreater(ask.credits, 0)
        lent = (messages.LentCredits(A, PEER, 2),)
        peer.on_message(peer, messages.CreditLend(lent))
        (batch,) = agent.take(messages.RunBatch)
        self.assertEqual(PEER, batch.lender)
        fixtures.answer(agent, batch)
        self.assertEqual("complete", self.rig.read(key)["state"])

    def test_credits_of_an_unknown_agent_go_back(self):
        """Credits that nobody can spend would be lost to both entries."""
        self.rig.join(A, 1)
        peer = self.meet(8)
        lent = (messages.LentCredits(B, PEER, 2),)
        peer.on_message(peer, messages.CreditLend(lent))
        self.assertEqual(
            [messages.CreditLend(lent)], peer.take(messages.CreditLend)
        )

    def test_keeps_credits_that_cannot_be_sent(self):
        """Credits put on a closed stream would be lost to both entries."""
        self.rig.join(A, 8)
        peer = self.meet(0)
        peer.closed = True
        peer.on_message(peer, messages.CreditAsk(4))
        self.assertEqual([], peer.take(messages.CreditLend))
        self.assertEqual(8, self.host.placement.free("proof"))

    def test_lends_what_is_free(self):
        """A credit that is lent must not be spent here as well."""
        self.rig.join(A, 8)
        peer = self.meet(0)
        peer.on_message(peer, messages.CreditAsk(4))
        (lend,) = peer.take(messages.CreditLend)
        count = sum(item.credits for item in lend.credits)
        self.assertGreater(count, 0)
        self.assertEqual(8 - count, self.host.placement.free("proof"))
        self.assertEqual(
            {self.host.incarnation}, {i.lender for i in lend.credits}
        )

    def test_terminated_lender(self):
        """Its agents lend the credits anew; spending them is refused."""
        self.rig.join(A, 1)
        peer = self.meet(8)
        lent = (messages.LentCredits(A, PEER, 2),)
        peer.on_message(peer, messages.CreditLend(lent))
        self.assertEqual(3, self.host.placement.free("proof"))
        peer.close("cut")
        self.assertEqual(1, self.host.placement.free("proof"))


class AccountTest(CreditsTestCase):
    def running(self):
        """Returns the credits that admission counts as in use."""
        return sum(
            item.running for item in self.host.admission.collect_demand(0.0)
        )

    def test_credits_in_use(self):
        """Credits counted as in use for ever would shut a customer out."""
        cases = (
            ("completed", lambda stream, batch: fixtures.answer(stream, batch)),
            (
                "failed",
                lambda stream, batch: fixtures.answer(
                    stream,
                    batch,
                    {0: outcomes.Failed(outcomes.Reason.TARGET_ERROR)},
                ),
            ),
            (
                "credits kept by the agent",
                lambda stream, batch: fixtures.answer(stream, batch, credits=0),
            ),
            ("agent removed", lambda stream, batch: self.remove(stream)),
        )
        for name, end in cases:
            with self.subTest(name):
                self.setUp()
                stream = self.rig.join(A, 1)
                self.rig.submit_job()
                self.assertEqual(1, self.running())
                end(stream, stream.take(messages.RunBatch)[0])
                self.assertEqual(0, self.running())
                self.assertEqual({}, self.host.in_flight)

    def remove(self, stream):
        """Lets an agent be silent until it is removed."""
        while not stream.closed:
            self.rig.clock_s += 0.25
            self.rig.entry.agents.check()

    def test_batch_that_ends_task_by_task(self):
        """Credits come free with the last tasks, not only with the end."""
        stream = self.rig.join(A, 4)
        self.rig.submit_job(4)
        (batch,) = stream.take(messages.RunBatch)
        for left in (3, 2, 1):
            index = batch.tasks[left].index
            fates = {index: fixtures.completed(index)}
            fixtures.answer(stream, batch, fates, final=False, credits=1)
            self.assertEqual(left, self.running())
        self.assertEqual(3, self.host.placement.free("proof"))


class ReclaimTest(CreditsTestCase):
    def test_large_batches_shrink(self):
        """Work below its share must not wait for a whole large job."""
        streams = {A: self.rig.join(A, 8), B: self.rig.join(B, 4)}
        self.rig.submit_job(60)
        (job,) = self.host.table.running.values()
        wish = work.Reclaim(job.id, 9)
        host = attrs.evolve(self.host)
        host.admission = FakeAdmission((wish,))
        reclaim.apply(host)
        resized = {
            name: stream.take(messages.Resize)
            for name, stream in streams.items()
        }
        self.assertEqual([1], [m.concurrency for m in resized[A]])
        self.assertEqual([2], [m.concurrency for m in resized[B]])
        self.assertEqual(9, host.admission.credits)

    def test_job_that_ended_meanwhile(self):
        """A wish for a job that is gone must be passed over."""
        self.rig.join(A, 8)
        host = attrs.evolve(self.host)
        host.admission = FakeAdmission((work.Reclaim("cobre:gone", 1),))
        reclaim.apply(host)
        self.assertEqual(0, host.admission.credits)


class FakeAdmission:
    """Wishes to reclaim credits and counts those that came back."""

    def __init__(self, wishes):
        self.wishes = wishes
        self.credits = 0

    def reclaim(self, now_s):
        return self.wishes

    def finished(self, customer, kind, credits, run_s, now_s, job=""):
        self.credits += credits


class UsageTest(CreditsTestCase):
    def test_demand_goes_to_every_peer(self):
        """Entries that don't know each other's demand overrun quotas."""
        self.rig.join(A, 8)
        peer = self.meet(0)
        self.rig.submit_job(3)
        self.rig.entry.peers.tell_usage()
        (usage,) = peer.take(messages.Usage)
        rows = {item.customer: item for item in usage.demands}
        self.assertEqual(3, rows["cobre"].running)

    def test_peer_that_left_is_forgotten(self):
        """Its part of the quotas must go to the others."""
        peer = self.meet(0)
        demand = messages.CustomerDemand("cobre", 9.0, 9)
        peer.on_message(peer, messages.Usage((demand,)))
        self.assertEqual({PEER}, self.host.admission.entries)
        peer.close("cut")
        self.assertEqual(set(), self.host.admission.entries)


class SilentPeerTest(CreditsTestCase):
    def test_silence(self):
        """Only an entry that nobody hears may be taken out of the roster."""
        streams = self.rig.entry.peers
        self.host.roster = keys.RosterView(1, (PEER,))
        peer = self.meet(0)
        start_s = self.rig.clock_s
        cases = ((9.9, False), (10.0, True))
        for after_s, silent in cases:
            self.rig.clock_s = start_s + after_s
            self.assertEqual(silent, streams.is_silent(PEER))
        self.assertIsNone(streams.reachable(PEER))
        streams.maintain()
        self.assertFalse(peer.closed)
        self.rig.clock_s = start_s + peers.SILENCE_LIMIT_S + 0.1
        streams.maintain()
        self.assertTrue(peer.closed)
        self.assertTrue(streams.is_silent(PEER))

    def test_entry_that_was_never_heard(self):
        """It may be new; its silence counts from the first question."""
        streams = self.rig.entry.peers
        self.assertFalse(streams.is_silent(PEER))
        self.rig.clock_s += 10.0
        self.assertTrue(streams.is_silent(PEER))
