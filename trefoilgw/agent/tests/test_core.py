"""Contract of the agent with entries and a target on loopback."""

import sys
import time
import unittest
import unittest.mock

import eventlet
from prometheus_client import parser

from trefoilgw.agent import core as agent_core
from trefoilgw.agent.tests import fixtures
from trefoilgw.agent.tests.fixtures import make_batch
from trefoilgw.messages import core as messages

TIMEOUT_S = fixtures.TIMEOUT_S


class AgentTest(unittest.TestCase):
    def setUp(self):
        limit = eventlet.Timeout(4 * TIMEOUT_S)
        self.addCleanup(limit.cancel)
        self.clock = fixtures.OffsetClock(time.monotonic)

    def target(self, **fields):
        made = fixtures.FakeTarget(**fields)
        self.addCleanup(made.stop)
        self.addCleanup(made.release)
        return made

    def entry(self, letter="e"):
        made = fixtures.FakeEntry(letter)
        self.addCleanup(made.stop)
        return made

    def start(self, target, *entries, **fields):
        agent = fixtures.make_agent(target, *entries, now=self.clock, **fields)
        self.addCleanup(agent.stop)
        agent.start()
        return agent

    def pair(self, held=False, **fields):
        """Returns a started agent with its entry and target."""
        target, entry = self.target(held=held), self.entry()
        agent = self.start(target, entry, **fields)
        self.assertEqual(8, entry.next(messages.CreditGrant).credits)
        return agent, entry, target

    def wait_for(self, condition):
        """Waits until a condition on the agent's state holds."""
        while not condition():
            eventlet.sleep(0.001)

    def test_batch_from_entry_to_target_and_back(self):
        """The whole path must work, from the hello to the credits."""
        agent, entry, target = self.pair()
        hello = entry.hellos.get(timeout=TIMEOUT_S)
        self.assertEqual(agent.incarnation, hello.incarnation)
        self.assertEqual(("preview",), hello.services)
        entry.send(make_batch())
        done = entry.next(messages.BatchDone)
        self.assertEqual({0, 1, 2}, {item.index for item in done.outcomes})
        self.assertEqual({"completed"}, {o.fate for o in done.outcomes})
        self.assertEqual((2, True), (done.credits, done.final))
        self.assertEqual(3, target.starts.qsize())

    def test_unreachable_target_is_not_run(self):
        """A target that is down must not cost the job its tasks."""
        _, entry, target = self.pair()
        target.stop()
        entry.send(make_batch(tasks=1))
        (outcome,) = entry.next(messages.BatchDone).outcomes
        self.assertEqual(
            ("not_run", "target_unreachable"), (outcome.fate, outcome.reason)
        )

    def test_cut_stream_is_reconciled(self):
        """A cut must neither repeat a task nor lose its result."""
        agent, entry, target = self.pair(held=True)
        entry.send(make_batch(tasks=3, concurrency=1))
        target.starts.get(timeout=TIMEOUT_S)
        entry.streams[-1].close("cut")
        entry.next(messages.CreditGrant)
        refs = (
            messages.BatchRef(1, "cust:k1", (0, 1, 2)),
            messages.BatchRef(2, "cust:k2", (0,)),
        )
        entry.send(messages.Reconcile(refs))
        target.release()
        answers = {1: {}, 2: {}}
        for _ in range(3):
            done = entry.next(messages.BatchDone)
            answers[done.batch] |= {o.index: o.fate for o in done.outcomes}
        self.assertEqual(dict.fromkeys((0, 1, 2), "completed"), answers[1])
        self.assertEqual({0: "not_run"}, answers[2])
        self.assertEqual(2, target.starts.qsize())

    def test_paused_agent_starts_nothing_old(self):
        """An agent that was frozen must not run what its home gave up."""
        agent, entry, target = self.pair(held=True)
        entry.answers_pings = False
        entry.send(make_batch(tasks=2, concurrency=1))
        target.starts.get(timeout=TIMEOUT_S)
        self.clock.offset_s += 10.0
        agent.resumed(10.0)
        target.release()
        fates = entry.outcomes(1)
        self.assertEqual("completed", fates[0].fate)
        self.assertEqual(
            ("not_run", "authority_lost"), (fates[1].fate, fates[1].reason)
        )
        self.assertEqual(0, target.starts.qsize())

    def test_lease_is_renewed_by_pongs(self):
        """A live entry's tasks must start after the first lease."""
        agent, entry, target = self.pair()
        self.clock.offset_s += 10.0
        agent.resumed(10.0)
        link = agent.connections.link_to(entry.incarnation)
        self.wait_for(
            lambda: (
                agent.ledger.refusal(
                    entry.incarnation, link.session, 1e12, self.clock()
                )
                is None
            )
        )
        entry.send(make_batch(tasks=1))
        self.assertEqual("completed", entry.outcomes(1)[0].fate)

    def test_straggler(self):
        """A task past its deadline must be stopped and keep its slot."""
        agent, entry, target = self.pair(held=True)
        entry.send(make_batch(tasks=1, concurrency=1))
        target.starts.get(timeout=TIMEOUT_S)
        self.clock.offset_s += 60.0
        agent.check()
        done = entry.next(messages.BatchDone)
        self.assertEqual("unknown", done.outcomes[0].fate)
        self.assertEqual((0, True), (done.credits, done.final))
        stop = target.stops.get(timeout=TIMEOUT_S)
        self.assertEqual("/run/cust:k1/0", stop)
        self.assertEqual(1, agent.slots.running)
        target.release()
        self.assertEqual(1, entry.next(messages.CreditGrant).credits)

    def test_silent_entry_loses_its_credits(self):
        """Credits of a frozen entry must reach the others."""
        target, frozen, live = self.target(), self.entry("a"), self.entry("b")
        agent = self.start(target, frozen, live)
        self.wait_for(lambda: len(agent.connections.open_links()) == 2)
        frozen.answers_pings = False
        stream = frozen.streams[-1]
        self.clock.offset_s += agent_core.MAX_SILENCE_S + 1.0
        link = agent.connections.link_to(live.incarnation)
        link.stream.last_received_s = self.clock()
        agent.tick()
        self.assertEqual("closed by the peer", frozen.closed.get(TIMEOUT_S))
        self.assertTrue(stream.closed)
        self.assertFalse(live.streams[-1].closed)

    def test_leaving_finishes_what_runs(self):
        """A planned stop must interrupt no request and start none."""
        agent, entry, target = self.pair(held=True)
        entry.send(make_batch(tasks=2, concurrency=1))
        target.starts.get(timeout=TIMEOUT_S)
        agent.leave()
        entry.next(messages.Leaving)
        entry.send(make_batch(2, tasks=1))
        refused = entry.outcomes(2)
        self.assertEqual("leaving", refused[0].reason)
        entry.acked = (1, 2)
        target.release()
        fates = entry.outcomes(1)
        self.assertEqual("completed", fates[0].fate)
        self.assertEqual("leaving", fates[1].reason)
        agent.wait()
        self.assertEqual(0, target.starts.qsize())

    def test_configuration_travels_both_ways(self):
        """Entries that start without the platform learn from agents."""
        target, first, second = self.target(), self.entry("a"), self.entry("b")
        first.revision = 7
        agent = self.start(target, first, second)
        first.next(messages.ConfigWant)
        first.send(messages.ConfigPush(7, b"document"))
        self.wait_for(lambda: agent.configuration.revision == 7)
        first.send(messages.ConfigPush(6, b"older"))
        second.next(messages.CreditGrant)
        second.send(messages.ConfigWant())
        push = second.next(messages.ConfigPush)
        self.assertEqual((7, b"document"), (push.revision, push.document))
        self.wait_for(lambda: second.pings.get(timeout=TIMEOUT_S).revision == 7)

    def test_lent_credits_are_booked_to_the_borrower(self):
        """Both entries must keep counting as the agent does."""
        target, lender, other = self.target(), self.entry("a"), self.entry("b")
        agent = self.start(target, lender, other)
        lender.next(messages.CreditGrant)
        before = other.next(messages.CreditGrant).credits
        self.assertEqual(4, before)
        other.send(make_batch(tasks=2, lender=lender.incarnation))
        self.assertEqual(2, other.next(messages.BatchDone).credits)
        self.assertEqual(before + 2, agent.slots.held(other.incarnation))

    def test_admin_endpoint(self):
        """Operators must see counters and the entries served."""
        agent, entry, _ = self.pair(admin_address="127.0.0.1:0")
        hello = entry.hellos.get(timeout=TIMEOUT_S)
        self.assertEqual(agent.admin_address, hello.admin_address)
        cases = {
            "GET /metrics HTTP/1.1": ("200", "trefoilgw_running 0.0"),
            "GET /admin/status HTTP/1.1": ("200", '"role": "agent"'),
            "GET /other HTTP/1.1": ("404", "nothing"),
            "POST /metrics HTTP/1.1": ("405", "only GET"),
        }
        for request, (status, text) in cases.items():
            with self.subTest(request):
                reply = self.ask(agent, request)
                self.assertIn(status, reply.split("\r\n")[0])
                self.assertIn(text, reply)

    def test_metrics_are_in_the_prometheus_form(self):
        """A scraper must be able to read every line."""
        agent, _, _ = self.pair(admin_address="127.0.0.1:0")
        unused = dict.fromkeys(("prometheus_client", "ssl"))
        with unittest.mock.patch.dict(sys.modules, unused):
            reply = self.ask(agent, "GET /metrics HTTP/1.1")
        text = reply.partition("\r\n\r\n")[2]
        families = parser.text_string_to_metric_families(text)
        found = {family.name: family for family in families}
        self.assertEqual("counter", found["trefoilgw_agent_events"].type)
        labels = [s.labels for s in found["trefoilgw_agent_events"].samples]
        self.assertIn({"event": "late_answers"}, labels)
        self.assertEqual(8.0, found["trefoilgw_slots"].samples[0].value)
        rss = found["process_resident_memory_bytes"].samples[0].value
        self.assertGreater(rss, 0)

    def ask(self, agent, request):
        host, _, port = agent.admin_address.partition(":")
        sock = eventlet.connect((host, int(port)))
        sock.sendall(request.encode() + b"\r\n\r\n")
        return sock.makefile("rb").read().decode()


if __name__ == "__main__":
    unittest.main()
