import unittest

import eventlet

from trefoilgw.entry import admin
from trefoilgw.entry import core
from trefoilgw.entry import routing
from trefoilgw.entry.tests import cluster
from trefoilgw.entry.tests import fixtures
from trefoilgw.keys import core as keys
from trefoilgw.membership import changes
from trefoilgw.membership import windows
from trefoilgw.messages import core as messages


class OneEntryTest(unittest.TestCase):
    def setUp(self):
        (self.entry,) = cluster.start_entries(self, 1)
        self.agent = cluster.FakeAgent(self.entry).connect()
        self.caller = cluster.Caller(self.entry)

    def test_job_completes(self):
        """A job must pass from the caller to the agent and back."""
        status, found = self.caller.submit(tasks=310)
        self.assertEqual((200, "complete"), (status, found["state"]))
        self.assertEqual(list(range(310)), found["results"])

    def test_caller_waits_for_the_end(self):
        """A waiting request must get the final state, not the running one."""
        self.agent.answers = False
        key = self.caller.ticket()
        status, found = self.caller.submit(key, wait_s=0)
        self.assertEqual((202, "running"), (status, found["state"]))
        waiting = [
            eventlet.spawn(self.caller.submit, key),
            eventlet.spawn(
                self.caller.request, "GET", f"/v1/jobs/{key}?wait_s=20"
            ),
        ]
        cluster.wait_until(lambda: self.entry.host.open_requests == 2)
        self.agent.complete(self.agent.next(messages.RunBatch))
        for thread in waiting:
            status, found = thread.wait()[:2]
            self.assertEqual((200, "complete"), (status, found["state"]))
        self.assertEqual(1, len(self.agent.batches))

    def test_leave_under_load(self):
        """A planned stop must not interrupt jobs or requests."""
        self.agent.answers = False
        waiting = eventlet.spawn(self.caller.submit, tasks=20)
        batch = self.agent.next(messages.RunBatch)
        leaving = eventlet.spawn(self.entry.leave)
        cluster.wait_until(lambda: self.entry.host.leaving)
        status, found, _ = self.caller.request("GET", "/healthz")
        self.assertEqual((503, "leaving"), (status, found["status"]))
        status, found = self.caller.submit()
        self.assertEqual(
            (503, "leaving", True), (status, found["reason"], found["not_run"])
        )
        self.agent.answers = True
        self.agent.complete(batch)
        status, found = waiting.wait()
        self.assertEqual((200, list(range(20))), (status, found["results"]))
        self.agent.next(messages.Leaving)
        leaving.wait()
        self.assertTrue(self.entry.stopped)
        with self.assertRaises(OSError):
            self.caller.submit()

    def test_admin(self):
        """The admin port must show state, metrics and jobs."""
        self.caller.submit()
        port = cluster.Caller(self.entry)
        port.address = self.entry.addresses["admin"]
        _, status, _ = port.request("GET", "/admin/status")
        self.assertEqual(1, status["revision"])
        self.assertEqual(["target"], [row["agent"] for row in status["agents"]])
        key = self.caller.ticket()
        self.caller.submit(key)
        _, found, _ = port.request("GET", f"/admin/jobs/{key}")
        self.assertEqual("complete", found["jobs"][0]["state"])
        self.assertEqual(404, port.request("GET", "/admin/jobs/x")[0])
        text = self.entry.admin.registry.exposition().decode()
        for line in (
            'trefoilgw_messages_sent_total{type="RunBatch"} 2.0',
            'trefoilgw_messages_received_total{type="BatchDone"} 2.0',
            'trefoilgw_jobs_ended_total{state="complete"} 2.0',
            "trefoilgw_agents 1.0",
        ):
            self.assertIn(line, text)

    def test_admin_shows_why_an_agent_gets_no_work(self):
        """An operator must see whether the agent or the kind is at fault."""
        host = self.entry.host
        ((agent, session),) = host.agents.items()
        self.entry.agents._record_verdict(changes.Eject(agent, 10.0, 0.9, 0.25))
        session.blocked.add("ejected")
        until_s = host.now() + 1000.0
        host.outliers.agents[agent].ejected_until_s = until_s
        host.outliers.kinds["k"] = windows.KindRecord(stopped_until_s=until_s)
        self.entry.agents.stopped_kinds["k"] = changes.PoisonKind("k", 3, 2)
        status = admin.status_of(self.entry)
        (row,), (stopped,) = status["agents"], status["stopped_kinds"]
        verdict = "90% of its tasks failed, 25% at other agents"
        self.assertEqual(
            (["ejected"], verdict), (row["blocked"], row["verdict"])
        )
        self.assertTrue(0 < row["ejected_for_s"] <= 1000)
        self.assertTrue(0 < stopped.pop("probe_in_s") <= 1000)
        expected = {"kind": "k", "failing_agents": 2, "judged_agents": 3}
        self.assertEqual(expected, stopped)
        text = self.entry.admin.registry.exposition().decode()
        for line in (
            'trefoilgw_agents_blocked{reason="ejected"} 1.0',
            "trefoilgw_kinds_stopped 1.0",
            'trefoilgw_registry_events_total{event="failed_polls"}',
            "trefoilgw_platform_failures_total",
        ):
            self.assertIn(line, text)


class PeersTest(unittest.TestCase):
    def setUp(self):
        self.entries = cluster.start_entries(self, 2)
        self.first, self.second = self.entries
        cluster.wait_connected(self.entries)
        self.agents = [
            cluster.FakeAgent(entry, incarnation=digit * 16).connect()
            for entry, digit in zip(self.entries, "ab", strict=True)
        ]
        self.callers = [cluster.Caller(entry) for entry in self.entries]

    def caller_key_with_home(self, home):
        """Returns a caller's key of epoch 1 with a given home."""
        for number in range(1000):
            key = keys.CallerKey(1, f"n{number}")
            if keys.home_of(key, home.host.roster) == home.incarnation:
                return keys.format_key(key)
        raise AssertionError("no key has this home")

    def tasks_received(self):
        """Returns the number of tasks that the agents received."""
        return sum(
            len(batch.tasks) for agent in self.agents for batch in agent.batches
        )

    def test_one_stream_per_pair(self):
        """A second stream would double heartbeats and lose answers."""
        for entry in self.entries:
            (peer,) = entry.host.peers.values()
            self.assertEqual(self.first.incarnation, peer.dialed_by)

    def test_request_at_another_entry(self):
        """The balancer may connect a caller to any entry."""
        for key in (
            self.callers[1].ticket(),
            self.caller_key_with_home(self.second),
            self.caller_key_with_home(self.first),
        ):
            with self.subTest(key=key):
                before = self.tasks_received()
                status, found = self.callers[0].submit(key, tasks=3)
                self.assertEqual((200, [0, 1, 2]), (status, found["results"]))
                path = f"/v1/jobs/{key}"
                for caller in self.callers:
                    self.assertEqual(found, caller.request("GET", path)[1])
                self.assertEqual(before + 3, self.tasks_received())

    def test_same_key_at_both_entries_at_once(self):
        """A resubmission through another entry must not start tasks again."""
        for key in (
            self.callers[0].ticket(),
            self.caller_key_with_home(self.second),
        ):
            with self.subTest(key=key):
                before = self.tasks_received()
                threads = [
                    eventlet.spawn(caller.submit, key, 5)
                    for caller in self.callers * 3
                ]
                answers = [thread.wait() for thread in threads]
                self.assertEqual([answers[0]] * 6, answers)
                self.assertEqual(list(range(5)), answers[0][1]["results"])
                self.assertEqual(before + 5, self.tasks_received())

    def test_refusals_of_the_home(self):
        """Only the home knows what ran under a key."""
        key = self.callers[1].ticket()
        self.callers[0].submit(key)
        status, found = self.callers[0].submit(key, tasks=2)
        self.assertEqual(
            (409, "key_reused", False),
            (status, found["reason"], found["not_run"]),
        )
        other = cluster.Caller(self.first, fixtures.OTHER_TOKEN)
        status, found, _ = other.request("GET", f"/v1/jobs/{key}")
        self.assertEqual((404, "not_found"), (status, found["reason"]))
        status, found, _ = self.callers[0].request(
            "POST", "/v1/jobs", b"{", self.callers[1].ticket()
        )
        self.assertEqual((400, True), (status, found["not_run"]))

    def test_cancel_at_another_entry(self):
        """A cancellation must reach the home."""
        self.agents[1].answers = False
        key = self.callers[1].ticket()
        self.callers[0].submit(key, wait_s=0)
        batch = self.agents[1].next(messages.RunBatch)
        self.callers[0].request("DELETE", f"/v1/jobs/{key}")
        strike = self.agents[1].next(messages.Strike)
        self.assertEqual((batch.batch,), strike.batches)

    def test_unreachable_and_lost_home(self):
        """An unreachable home may return; a lost one never does."""
        path = "/v1/jobs?wait_s=1"
        ticket, caller_key = (
            self.callers[1].ticket(),
            self.caller_key_with_home(self.second),
        )
        self.second.close()
        cluster.wait_until(lambda: not self.first.host.peers)
        for key in (ticket, caller_key):
            status, found = self.callers[0].submit(key, 2, wait_s=1)
            self.assertEqual(
                (503, "home_unreachable", False, False),
                (
                    status,
                    found["reason"],
                    found["not_run"],
                    found["attempt_forwarded"],
                ),
            )
        history = dict(self.first.host.roster.history)
        cluster.set_roster([self.first], 2, [self.first], history)
        for key in (ticket, caller_key):
            status, found = self.callers[0].submit(key, 2, wait_s=1)
            self.assertEqual(
                (200, "failed", "home_lost"),
                (status, found["state"], found["reason"]),
            )
            self.assertEqual(
                ["unknown"] * 2, [row["fate"] for row in found["fates"]]
            )
        stale_s = self.first.host.now() - 11.0
        self.first.config.roster_read_s = stale_s
        status, found = self.callers[0].submit(ticket, 2, wait_s=1)
        self.assertEqual("home_unreachable", found["reason"])
        unseen = f"t1.{'0' * 16}.0.{'0' * 16}"
        self.first.config.roster_read_s = self.first.host.now()
        status, found, _ = self.callers[0].request(
            "POST", path, fixtures.submission(), unseen
        )
        self.assertEqual("home_unreachable", found["reason"])

    def test_home_closes_while_a_request_waits(self):
        """The answer must say that the home may have started the work."""
        self.agents[1].answers = False
        key = self.callers[1].ticket()
        waiting = eventlet.spawn(self.callers[0].submit, key)
        self.agents[1].next(messages.RunBatch)
        self.second.close()
        status, found = waiting.wait()
        self.assertEqual(
            (503, "home_unreachable", False, True),
            (
                status,
                found["reason"],
                found["not_run"],
                found["attempt_forwarded"],
            ),
        )

    def test_unknown_epoch(self):
        """Only the unknown home knows what ran under a key of the epoch."""
        for epoch in (0, 2):
            status, found = self.callers[0].submit(f"k1.{epoch}.a")
            self.assertEqual(
                (503, "home_unreachable", False),
                (status, found["reason"], found["not_run"]),
            )

    def test_configuration_spreads_without_the_platform(self):
        """Peers must push a newer configuration to entries and their agents."""
        self.second.config.offer(2, fixtures.document(2))
        cluster.wait_until(lambda: self.first.config.revision == 2)
        pushed = self.agents[0].next(messages.ConfigPush)
        while pushed.revision != 2:
            pushed = self.agents[0].next(messages.ConfigPush)
        self.assertEqual(fixtures.document(2), pushed.document)


class SeedsTest(unittest.TestCase):
    def test_entry_that_starts_without_the_platform(self):
        """It must get peers and configuration through its seed addresses."""
        (old,) = cluster.start_entries(self, 1)
        address = old.addresses["stream"]
        new = core.Entry(fixtures.settings(peers=(address,)))
        new.start()
        self.addCleanup(new.close)
        caller = cluster.Caller(new)
        cluster.wait_until(lambda: new.config.revision == 1)
        cluster.wait_connected([old, new])
        cluster.FakeAgent(new).connect()
        self.assertEqual(200, caller.submit()[0])
        ticket = caller.ticket()
        status, _ = cluster.Caller(old).submit(ticket)
        self.assertEqual(200, status)

    def test_no_configuration(self):
        """Work must be refused as not run until a configuration is known."""
        (entry,) = cluster.start_entries(self, 1, configured=False)
        status, found = cluster.Caller(entry).submit()
        self.assertEqual(
            (503, "no_configuration", True),
            (status, found["reason"], found["not_run"]),
        )

    def test_health_of_a_new_entry(self):
        """The balancer must not send work to an entry without targets."""
        (entry,) = cluster.start_entries(self, 1)
        caller = cluster.Caller(entry)
        self.assertEqual(503, caller.request("GET", "/healthz")[0])
        cluster.FakeAgent(entry).connect()
        self.assertEqual(200, caller.request("GET", "/healthz")[0])
        entry.host.agents.clear()
        entry.router.warm_up_end_s = entry.host.now()
        self.assertEqual(200, caller.request("GET", "/healthz")[0])

    def test_own_address_among_the_seeds(self):
        """The address of a balancer may lead to the entry itself."""
        entry = core.Entry(fixtures.settings())
        entry.start()
        self.addCleanup(entry.close)
        entry.peers.seeds = (entry.addresses["stream"],)
        cluster.wait_until(
            lambda: any(
                dial_backoff.incarnation == entry.incarnation
                for dial_backoff in entry.peers.dial_backoffs.values()
            )
        )
        self.assertEqual({}, entry.host.peers)


class ForwardTest(unittest.TestCase):
    def test_answer_too_large_for_a_frame(self):
        """A frame above the limit must not close the stream of the peers."""
        entries = cluster.start_entries(self, 2)
        cluster.wait_connected(entries)
        peer = entries[0].host.peers[entries[1].incarnation]
        big = routing.values.Reply(200, b"x" * (9 * 1024 * 1024))
        entries[1].router.run_filters = lambda exchange: setattr(
            exchange, "reply", big
        )
        key = cluster.Caller(entries[1]).ticket()
        status, found = cluster.Caller(entries[0]).submit(key)
        self.assertEqual((500, False), (status, found["not_run"]))
        self.assertFalse(peer.stream.closed)
