import json
import unittest

from trefoilgw.callers import values
from trefoilgw.entry import core
from trefoilgw.entry import decode
from trefoilgw.entry.tests import fixtures
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

Reason = outcomes.Reason
A, B = "a" * 16, "b" * 16
REFUSED = outcomes.NotRun(Reason.LEAVING)


class EntryTestCase(unittest.TestCase):
    def setUp(self):
        self.harness = fixtures.EntryHarness()

    def assert_refused(self, reply, reason, not_run):
        problem = json.loads(reply.body)
        self.assertEqual(
            (str(reason), not_run), (problem["reason"], problem["not_run"])
        )


class FiltersTest(unittest.TestCase):
    def test_order(self):
        """Admission before deduplication would refuse a running job."""
        names = [apply.__module__.rpartition(".")[2] for apply in core.FILTERS]
        self.assertEqual(
            [
                "decode",
                "identify",
                "deduplicate",
                "admit",
                "place",
                "dispatch",
                "gather",
                "answer",
            ],
            names,
        )


class DecodeTest(EntryTestCase):
    INVALID_BODIES = (
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff",
        b'{"kind": "preview"}',
        b'{"tasks": [1]}',
        fixtures.submission(0),
        fixtures.submission(311),
        fixtures.submission(kind=1),
        b'{"kind": "preview", "tasks": {}}',
        fixtures.submission(deadline_s=0),
        fixtures.submission(deadline_s=-1.0),
        fixtures.submission(deadline_s=decode.MAX_DEADLINE_S + 1),
        fixtures.submission(deadline_s="1"),
        fixtures.submission(deadline_s=True),
        fixtures.submission(idempotent=1),
        fixtures.submission(deadline=1),
        b'{"kind": "preview", "tasks": [NaN]}',
        b'{"kind": "preview", "tasks": [1], "deadline_s": Infinity}',
        b"[" * 100_000,
        b'{"kind": "preview", "tasks": [' + b"9" * 5000 + b"]}",
    )

    def test_invalid_bodies_are_refused(self):
        """No task of a body that can't be decoded may start."""
        stream = self.harness.join()
        for body in self.INVALID_BODIES:
            with self.subTest(body=body[:60]):
                reply = self.harness.submit(body=body)
                self.assertEqual(400, reply.status)
                self.assert_refused(reply, Reason.BAD_REQUEST, True)
                self.assertEqual([], stream.take(messages.RunBatch))

    def test_invalid_body_under_a_key_that_ran(self):
        """The refusal must not say "not run", since the key has a job."""
        self.harness.join()
        key = self.harness.submit_job()
        self.assert_refused(
            self.harness.submit(key, b"{"), Reason.BAD_REQUEST, False
        )

    def test_payloads_pass_unchanged(self):
        """The target must get the payloads that the caller sent."""
        stream = self.harness.join()
        tasks = ['"\\ud800"', '"\u00e9"', "1.5", "null", '{"a":[true]}']
        text = ",".join(tasks)
        body = f'{{"kind": "preview", "tasks": [{text}]}}'
        self.harness.submit(body=body.encode())
        (batch,) = stream.take(messages.RunBatch)
        self.assertEqual(
            [json.loads(task) for task in tasks],
            [json.loads(task.payload) for task in batch.tasks],
        )


class IdentifyTest(EntryTestCase):
    def test_unknown_tokens_and_kinds(self):
        """Work of one customer must not be charged to another."""
        self.harness.join()
        ticket = self.harness.ticket()
        edge = fixtures.submission(kind="edge-check")
        nothing = fixtures.submission(kind="nothing")
        other = fixtures.OTHER_TOKEN
        cases = (
            (("", None, ""), Reason.UNAUTHORIZED, True),
            (("", None, "x"), Reason.UNAUTHORIZED, True),
            ((ticket, None, "x"), Reason.UNAUTHORIZED, False),
            (("", nothing, fixtures.TOKEN), Reason.UNKNOWN_KIND, True),
            ((ticket, nothing, fixtures.TOKEN), Reason.UNKNOWN_KIND, True),
            (("", edge, other), Reason.UNKNOWN_KIND, True),
        )
        for (key, body, token), reason, not_run in cases:
            with self.subTest(reason=reason, token=token):
                reply = self.harness.submit(key, body, token=token)
                self.assert_refused(reply, reason, not_run)

    def test_no_configuration(self):
        """An entry without a configuration has not started any work."""
        self.harness.host.configuration = None
        self.assert_refused(
            self.harness.submit(), Reason.NO_CONFIGURATION, True
        )
        reply = self.harness.request(values.Action.HEALTH)
        self.assertEqual(503, reply.status)

    def test_another_customers_job(self):
        """A customer must learn nothing about another customer's job."""
        self.harness.join()
        key = self.harness.submit_job()
        for action in (values.Action.READ, values.Action.CANCEL):
            reply = self.harness.request(
                action, key, token=fixtures.OTHER_TOKEN
            )
            self.assertEqual(404, reply.status)
        self.assertEqual("running", self.harness.read(key)["state"])

    def test_kind_removed_after_submission(self):
        """A resubmission must get its job although the kind was removed."""
        self.harness.join()
        key = self.harness.submit_job()
        self.harness.host.configuration._by_kind.clear()
        self.assertEqual(202, self.harness.submit(key).status)
        other = self.harness.submit(key, fixtures.submission(2))
        self.assert_refused(other, Reason.KEY_REUSED, False)


class JobTest(EntryTestCase):
    def test_results_are_in_task_order(self):
        """Results must be in the order of the tasks."""
        streams = [self.harness.join(A, 4), self.harness.join(B, 4)]
        key = self.harness.submit_job(20)
        while self.harness.read(key)["state"] == "running":
            for stream in streams:
                for batch in stream.take(messages.RunBatch):
                    fixtures.report_outcomes(stream, batch)
        found = self.harness.read(key)
        self.assertEqual("complete", found["state"])
        self.assertEqual(list(range(20)), found["results"])
        self.assertEqual(8, self.harness.host.placement.free("proof"))
        self.assertEqual({}, self.harness.host.in_flight)

    def test_one_unknown_task(self):
        """A job with one unknown task must fail and show no results."""
        streams = [self.harness.join(A, 2), self.harness.join(B, 2)]
        key = self.harness.submit_job(4)
        batches = [s.take(messages.RunBatch)[0] for s in streams]
        lost = batches[0].tasks[0].index
        fates = {t.index: fixtures.completed(t.index) for t in batches[0].tasks}
        fates[lost] = outcomes.Unknown(Reason.DEADLINE)
        fixtures.report_outcomes(streams[0], batches[0], fates)
        (strike,) = streams[1].take(messages.Strike)
        self.assertEqual((batches[1].batch,), strike.batches)
        not_run = outcomes.NotRun(Reason.SIBLING_FAILED)
        fixtures.report_outcomes(
            streams[1], batches[1], {t.index: not_run for t in batches[1].tasks}
        )
        found = self.harness.read(key)
        self.assertEqual("failed", found["state"])
        self.assertNotIn("results", found)
        self.assertEqual(
            ["completed", "not_run", "not_run", "unknown"],
            sorted(row["fate"] for row in found["fates"]),
        )
        self.assertEqual("unknown", found["fates"][lost]["fate"])

    def test_refused_dispatch_goes_to_another_agent(self):
        """A refused task must complete at another agent.

        The dispatch and its refusal are counted as wasted messages.
        """
        streams = {A: self.harness.join(A, 1), B: self.harness.join(B, 1)}
        key = self.harness.submit_job(1)
        (first,) = [
            name
            for name, stream in streams.items()
            if any(isinstance(m, messages.RunBatch) for m in stream.sent)
        ]
        second = B if first == A else A
        (batch,) = streams[first].take(messages.RunBatch)
        fixtures.report_outcomes(streams[first], batch, {0: REFUSED})
        self.harness.run_delayed()
        self.assertEqual([], streams[first].take(messages.RunBatch))
        (batch,) = streams[second].take(messages.RunBatch)
        fixtures.report_outcomes(streams[second], batch)
        self.assertEqual("complete", self.harness.read(key)["state"])
        counts = self.harness.host.counts
        self.assertEqual({"refused_dispatch": 1, "refusal": 1}, counts.wasted)

    def test_task_that_every_agent_refused(self):
        """A job must end although no agent can start its task."""
        stream = self.harness.join(A, 1)
        key = self.harness.submit_job(1)
        (batch,) = stream.take(messages.RunBatch)
        fixtures.report_outcomes(stream, batch, {0: REFUSED})
        self.harness.run_delayed()
        found = self.harness.read(key)
        self.assertEqual("failed", found["state"])
        self.assertEqual("not_run", found["fates"][0]["fate"])

    def test_retry_budget(self):
        """Agents that refuse everything must not get endless retries."""
        streams = [self.harness.join(f"{i:016x}", 1) for i in range(8)]
        sent = 0
        for _ in range(10):
            self.harness.submit_job(1)
            for _ in range(20):
                for stream in streams:
                    for batch in stream.take(messages.RunBatch):
                        sent += 1
                        fixtures.report_outcomes(stream, batch, {0: REFUSED})
                self.harness.run_delayed()
        self.assertLessEqual(sent, 10 + 10 * 0.1 + 3)
        self.assertEqual({}, self.harness.host.table.running)

    def test_no_target(self):
        """Without an agent nothing ran, and the refusal must say so."""
        reply = self.harness.submit()
        self.assert_refused(reply, Reason.NO_TARGET, True)
        self.assertEqual(503, reply.status)

    def test_agent_without_credits_for_this_entry(self):
        """An entry that joins late must accept work and borrow credits."""
        self.harness.join(credits=0)
        self.assertEqual(202, self.harness.submit().status)

    def test_refused_key_stays_refused(self):
        """A caller told "not run" may submit the work under another key."""
        key = self.harness.ticket()
        first = self.harness.submit(key)
        self.harness.join()
        self.assertEqual(first, self.harness.submit(key))
        self.assertEqual(202, self.harness.submit(self.harness.ticket()).status)

    def test_poison_kind_is_refused(self):
        """Tasks of a stopped kind must not reach any agent."""
        stream = self.harness.join()
        failed = outcomes.Failed(Reason.TARGET_ERROR)
        for _ in range(20):
            self.harness.submit_job()
            (batch,) = stream.take(messages.RunBatch)
            fixtures.report_outcomes(stream, batch, {0: failed})
        self.harness.entry.agents.check_outliers()
        reply = self.harness.submit()
        self.assert_refused(reply, Reason.POISON_KIND, True)
        self.assertEqual([], stream.take(messages.RunBatch))

    def test_cancel_strikes_the_batches(self):
        """Tasks must not start after a cancellation."""
        stream = self.harness.join(A, 2)
        key = self.harness.submit_job(8)
        batches = stream.take(messages.RunBatch)
        self.assertEqual("running", self.harness.cancel(key)["state"])
        (strike,) = stream.take(messages.Strike)
        self.assertEqual(tuple(b.batch for b in batches), strike.batches)
        not_run = outcomes.NotRun(Reason.CANCELLED)
        for batch in batches:
            fates = {task.index: not_run for task in batch.tasks}
            fixtures.report_outcomes(stream, batch, fates)
        self.assertEqual("failed", self.harness.read(key)["state"])
        self.harness.host.dispatch_waiting()
        self.assertEqual([], stream.take(messages.RunBatch))

    def test_leaving(self):
        """New work must be refused as not run; running work must complete."""
        stream = self.harness.join()
        key = self.harness.submit_job()
        self.harness.host.leaving = True
        self.assert_refused(self.harness.submit(), Reason.LEAVING, True)
        ticket = self.harness.ticket()
        self.assert_refused(self.harness.submit(ticket), Reason.LEAVING, True)
        self.assertEqual(202, self.harness.submit(key).status)
        (batch,) = stream.take(messages.RunBatch)
        fixtures.report_outcomes(stream, batch)
        self.assertEqual("complete", self.harness.read(key)["state"])


class PauseTest(EntryTestCase):
    def test_pause_ends_jobs_before_any_answer(self):
        """After a pause, agents and peers may have removed this entry."""
        cases = ("read", "outcome")
        for case in cases:
            with self.subTest(case):
                self.setUp()
                stream = self.harness.join()
                key = self.harness.submit_job()
                (batch,) = stream.take(messages.RunBatch)
                self.harness.clock_s += 5.5
                if case == "outcome":
                    fixtures.report_outcomes(stream, batch)
                found = self.harness.read(key)
                self.assertEqual("failed", found["state"])
                self.assertEqual("home_paused", found["reason"])
                self.assertEqual("unknown", found["fates"][0]["fate"])
                self.assertEqual(1, self.harness.host.counts.pauses)

    def test_short_pause_is_ignored(self):
        """A short delay on a busy machine must not fail jobs."""
        stream = self.harness.join()
        key = self.harness.submit_job()
        (batch,) = stream.take(messages.RunBatch)
        self.harness.clock_s += 4.9
        fixtures.report_outcomes(stream, batch)
        self.assertEqual("complete", self.harness.read(key)["state"])
