"""Tests of the agent with entries and a target on loopback."""

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

    def make_target(self, **fields):
        target = fixtures.FakeTarget(**fields)
        self.addCleanup(target.stop)
        self.addCleanup(target.release)
        return target

    def make_entry(self, letter="e"):
        entry = fixtures.FakeEntry(letter)
        self.addCleanup(entry.stop)
        return entry

    def start_agent(self, target, *entries, **fields):
        agent = fixtures.make_agent(target, *entries, now=self.clock, **fields)
        self.addCleanup(agent.stop)
        agent.start()
        return agent

    def start_pair(self, hold_answers=False, **fields):
        """Returns a started agent, its entry and its target."""
        target, entry = (
            self.make_target(hold_answers=hold_answers),
            self.make_entry(),
        )
        agent = self.start_agent(target, entry, **fields)
        self.assertEqual(8, entry.next(messages.CreditGrant).credits)
        return agent, entry, target

    def wait_for(self, condition):
        """Waits until a condition on the agent's state holds."""
        while not condition():
            eventlet.sleep(0.001)

    def test_batch_runs_and_returns_credits(self):
        """A batch must run on the target and report outcomes and credits."""
        agent, entry, target = self.start_pair()
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
        """Tasks for a target that is down must be reported as not run."""
        _, entry, target = self.start_pair()
        target.stop()
        entry.send(make_batch(tasks=1))
        (outcome,) = entry.next(messages.BatchDone).outcomes
        self.assertEqual(
            ("not_run", "target_unreachable"), (outcome.fate, outcome.reason)
        )

    def test_interrupted_stream_is_reconciled(self):
        """A reconnect must neither repeat a task nor lose its result."""
        agent, entry, target = self.start_pair(hold_answers=True)
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

    def test_resumed_agent_starts_no_task_without_authority(self):
        """After a pause, tasks that the home has given up must not start."""
        agent, entry, target = self.start_pair(hold_answers=True)
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
        """Tasks of a live entry must start after the first lease has ended."""
        agent, entry, target = self.start_pair()
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

    def test_straggler_keeps_its_slot(self):
        """A task past its deadline must be stopped and occupy its slot.

        The credit returns only after the target has answered.
        """
        agent, entry, target = self.start_pair(hold_answers=True)
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
        """A silent entry's stream must close, so that its credits return."""
        target, frozen, live = (
            self.make_target(),
            self.make_entry("a"),
            self.make_entry("b"),
        )
        agent = self.start_agent(target, frozen, live)
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

    def test_leaving_agent_finishes_running_tasks(self):
        """A graceful shutdown must interrupt no request and start none."""
        agent, entry, target = self.start_pair(hold_answers=True)
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

    def test_configuration_is_passed_between_entries(self):
        """Entries that start without the platform must get it from agents."""
        target, first, second = (
            self.make_target(),
            self.make_entry("a"),
            self.make_entry("b"),
        )
        first.revision = 7
        agent = self.start_agent(target, first, second)
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
        """The credit counts of entries and agent must not diverge.

        The credits that a batch borrowed go to the borrower when it ends.
        """
        target, lender, other = (
            self.make_target(),
            self.make_entry("a"),
            self.make_entry("b"),
        )
        agent = self.start_agent(target, lender, other)
        lender.next(messages.CreditGrant)
        before = other.next(messages.CreditGrant).credits
        self.assertEqual(4, before)
        other.send(make_batch(tasks=2, lender=lender.incarnation))
        self.assertEqual(2, other.next(messages.BatchDone).credits)
        self.assertEqual(before + 2, agent.slots.held(other.incarnation))

    def test_admin_endpoint(self):
        """Metrics and status must be served, other requests refused."""
        agent, entry, _ = self.start_pair(admin_address="127.0.0.1:0")
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
                reply = self.send_request(agent, request)
                self.assertIn(status, reply.split("\r\n")[0])
                self.assertIn(text, reply)

    def test_metrics_are_in_the_prometheus_format(self):
        """A scraper must be able to parse every line."""
        agent, _, _ = self.start_pair(admin_address="127.0.0.1:0")
        unused = dict.fromkeys(("prometheus_client", "ssl"))
        with unittest.mock.patch.dict(sys.modules, unused):
            reply = self.send_request(agent, "GET /metrics HTTP/1.1")
        text = reply.partition("\r\n\r\n")[2]
        families = parser.text_string_to_metric_families(text)
        found = {family.name: family for family in families}
        self.assertEqual("counter", found["trefoilgw_agent_events"].type)
        labels = [s.labels for s in found["trefoilgw_agent_events"].samples]
        self.assertIn({"event": "late_answers"}, labels)
        self.assertEqual(8.0, found["trefoilgw_slots"].samples[0].value)
        rss = found["process_resident_memory_bytes"].samples[0].value
        self.assertGreater(rss, 0)

    def send_request(self, agent, request):
        """Returns the response of the admin endpoint to a request line."""
        host, _, port = agent.admin_address.partition(":")
        sock = eventlet.connect((host, int(port)))
        sock.sendall(request.encode() + b"\r\n\r\n")
        return sock.makefile("rb").read().decode()


if __name__ == "__main__":
    unittest.main()
