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
STRUCK = outcomes.NotRun(Reason.LEAVING)


class RigTestCase(unittest.TestCase):
    def setUp(self):
        self.rig = fixtures.EntryHarness()

    def assert_refused(self, reply, reason, not_run):
        problem = json.loads(reply.body)
        self.assertEqual(
            (str(reason), not_run), (problem["reason"], problem["not_run"])
        )


class FiltersTest(unittest.TestCase):
    def test_order(self):
        """Admission before deduplication would refuse a job that runs."""
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


class DecodeTest(RigTestCase):
    FAULTY = (
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
        fixtures.submission(deadline_s=decode.DEADLINE_LIMIT_S + 1),
        fixtures.submission(deadline_s="1"),
        fixtures.submission(deadline_s=True),
        fixtures.submission(idempotent=1),
        fixtures.submission(deadline=1),
        b'{"kind": "preview", "tasks": [NaN]}',
        b'{"kind": "preview", "tasks": [1], "deadline_s": Infinity}',
        b"[" * 100_000,
        b'{"kind": "preview", "tasks": [' + b"9" * 5000 + b"]}",
    )

    def test_faulty_bodies(self):
        """What can't be read in full must not start in part."""
        stream = self.rig.join()
        for body in self.FAULTY:
            with self.subTest(body=body[:60]):
                reply = self.rig.submit(body=body)
                self.assertEqual(400, reply.status)
                self.assert_refused(reply, Reason.BAD_REQUEST, True)
                self.assertEqual([], stream.take(messages.RunBatch))

    def test_faulty_body_under_a_key_that_ran(self):
        """Nothing is known about a body that can't be read; the key ran."""
        self.rig.join()
        key = self.rig.submit_job()
        self.assert_refused(
            self.rig.submit(key, b"{"), Reason.BAD_REQUEST, False
        )

    def test_payloads_pass_unchanged(self):
        """The target must get what the caller sent."""
        stream = self.rig.join()
        tasks = ['"\\ud800"', '"\u00e9"', "1.5", "null", '{"a":[true]}']
        text = ",".join(tasks)
        body = f'{{"kind": "preview", "tasks": [{text}]}}'
        self.rig.submit(body=body.encode())
        (batch,) = stream.take(messages.RunBatch)
        self.assertEqual(
            [json.loads(task) for task in tasks],
            [json.loads(task.payload) for task in batch.tasks],
        )


class IdentifyTest(RigTestCase):
    def test_unknown_tokens_and_kinds(self):
        """Work of one customer must not be charged to another."""
        self.rig.join()
        ticket = self.rig.ticket()
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
                reply = self.rig.submit(key, body, token=token)
                self.assert_refused(reply, reason, not_run)

    def test_no_configuration(self):
        """An entry that knows no customer can't have started anything."""
        self.rig.host.configuration = None
        self.assert_refused(self.rig.submit(), Reason.NO_CONFIGURATION, True)
        reply = self.rig.ask(values.Action.HEALTH)
        self.assertEqual(503, reply.status)

    def test_another_customers_job(self):
        """A customer must learn nothing about another customer's job."""
        self.rig.join()
        key = self.rig.submit_job()
        for action in (values.Action.READ, values.Action.CANCEL):
            reply = self.rig.ask(action, key, token=fixtures.OTHER_TOKEN)
            self.assertEqual(404, reply.status)
        self.assertEqual("running", self.rig.read(key)["state"])

    def test_kind_removed_after_submission(self):
        """A resubmission must find its job although the kind is gone."""
        self.rig.join()
        key = self.rig.submit_job()
        self.rig.host.configuration._by_kind.clear()
        self.assertEqual(202, self.rig.submit(key).status)
        other = self.rig.submit(key, fixtures.submission(2))
        self.assert_refused(other, Reason.KEY_REUSED, False)


class JobTest(RigTestCase):
    def test_whole_answer(self):
        """Results must stand in the order of the tasks."""
        streams = [self.rig.join(A, 4), self.rig.join(B, 4)]
        key = self.rig.submit_job(20)
        while self.rig.read(key)["state"] == "running":
            for stream in streams:
                for batch in stream.take(messages.RunBatch):
                    fixtures.answer(stream, batch)
        found = self.rig.read(key)
        self.assertEqual("complete", found["state"])
        self.assertEqual(list(range(20)), found["results"])
        self.assertEqual(8, self.rig.host.placement.free("proof"))
        self.assertEqual({}, self.rig.host.in_flight)

    def test_one_unknown_task(self):
        """A job with one unknown task is failed and shows no results."""
        streams = [self.rig.join(A, 2), self.rig.join(B, 2)]
        key = self.rig.submit_job(4)
        batches = [s.take(messages.RunBatch)[0] for s in streams]
        lost = batches[0].tasks[0].index
        fates = {t.index: fixtures.completed(t.index) for t in batches[0].tasks}
        fates[lost] = outcomes.Unknown(Reason.DEADLINE)
        fixtures.answer(streams[0], batches[0], fates)
        (strike,) = streams[1].take(messages.Strike)
        self.assertEqual((batches[1].batch,), strike.batches)
        struck = outcomes.NotRun(Reason.SIBLING_FAILED)
        fixtures.answer(
            streams[1], batches[1], {t.index: struck for t in batches[1].tasks}
        )
        found = self.rig.read(key)
        self.assertEqual("failed", found["state"])
        self.assertNotIn("results", found)
        self.assertEqual(
            ["completed", "not_run", "not_run", "unknown"],
            sorted(row["fate"] for row in found["fates"]),
        )
        self.assertEqual("unknown", found["fates"][lost]["fate"])

    def test_refused_dispatch_goes_to_another_agent(self):
        """A struck task must complete elsewhere, and cost two messages."""
        streams = {A: self.rig.join(A, 1), B: self.rig.join(B, 1)}
        key = self.rig.submit_job(1)
        (first,) = [
            name
            for name, stream in streams.items()
            if any(isinstance(m, messages.RunBatch) for m in stream.sent)
        ]
        second = B if first == A else A
        (batch,) = streams[first].take(messages.RunBatch)
        fixtures.answer(streams[first], batch, {0: STRUCK})
        self.rig.run_delayed()
        self.assertEqual([], streams[first].take(messages.RunBatch))
        (batch,) = streams[second].take(messages.RunBatch)
        fixtures.answer(streams[second], batch)
        self.assertEqual("complete", self.rig.read(key)["state"])
        counts = self.rig.host.counts
        self.assertEqual({"refused_dispatch": 1, "refusal": 1}, counts.wasted)

    def test_task_that_every_agent_struck(self):
        """A job must end although a struck task can start nowhere."""
        stream = self.rig.join(A, 1)
        key = self.rig.submit_job(1)
        (batch,) = stream.take(messages.RunBatch)
        fixtures.answer(stream, batch, {0: STRUCK})
        self.rig.run_delayed()
        found = self.rig.read(key)
        self.assertEqual("failed", found["state"])
        self.assertEqual("not_run", found["fates"][0]["fate"])

    def test_retry_budget(self):
        """A fleet that refuses everything must not get endless retries."""
        streams = [self.rig.join(f"{i:016x}", 1) for i in range(8)]
        sent = 0
        for _ in range(10):
            self.rig.submit_job(1)
            for _ in range(20):
                for stream in streams:
                    for batch in stream.take(messages.RunBatch):
                        sent += 1
                        fixtures.answer(stream, batch, {0: STRUCK})
                self.rig.run_delayed()
        self.assertLessEqual(sent, 10 + 10 * 0.1 + 3)
        self.assertEqual({}, self.rig.host.table.running)

    def test_no_target(self):
        """Without an agent the refusal is a true not run."""
        reply = self.rig.submit()
        self.assert_refused(reply, Reason.NO_TARGET, True)
        self.assertEqual(503, reply.status)

    def test_agent_without_credits_for_this_entry(self):
        """An entry that joins late borrows; it must not deny the targets."""
        self.rig.join(credits=0)
        self.assertEqual(202, self.rig.submit().status)

    def test_refused_key_stays_refused(self):
        """A caller told "not run" may submit the work under another key."""
        key = self.rig.ticket()
        first = self.rig.submit(key)
        self.rig.join()
        self.assertEqual(first, self.rig.submit(key))
        self.assertEqual(202, self.rig.submit(self.rig.ticket()).status)

    def test_poison_kind_is_refused(self):
        """A stopped kind must not reach any agent."""
        stream = self.rig.join()
        failed = outcomes.Failed(Reason.TARGET_ERROR)
        for _ in range(20):
            self.rig.submit_job()
            (batch,) = stream.take(messages.RunBatch)
            fixtures.answer(stream, batch, {0: failed})
        self.rig.entry.agents.check_outliers()
        reply = self.rig.submit()
        self.assert_refused(reply, Reason.POISON_KIND, True)
        self.assertEqual([], stream.take(messages.RunBatch))

    def test_cancel_strikes_the_batches(self):
        """What has not started must not start after a cancellation."""
        stream = self.rig.join(A, 2)
        key = self.rig.submit_job(8)
        batches = stream.take(messages.RunBatch)
        self.assertEqual("running", self.rig.cancel(key)["state"])
        (strike,) = stream.take(messages.Strike)
        self.assertEqual(tuple(b.batch for b in batches), strike.batches)
        struck = outcomes.NotRun(Reason.CANCELLED)
        for batch in batches:
            fates = {task.index: struck for task in batch.tasks}
            fixtures.answer(stream, batch, fates)
        self.assertEqual("failed", self.rig.read(key)["state"])
        self.rig.host.dispatch_waiting()
        self.assertEqual([], stream.take(messages.RunBatch))

    def test_leaving(self):
        """New work is refused truly; work that runs gets its answer."""
        stream = self.rig.join()
        key = self.rig.submit_job()
        self.rig.host.leaving = True
        self.assert_refused(self.rig.submit(), Reason.LEAVING, True)
        ticket = self.rig.ticket()
        self.assert_refused(self.rig.submit(ticket), Reason.LEAVING, True)
        self.assertEqual(202, self.rig.submit(key).status)
        (batch,) = stream.take(messages.RunBatch)
        fixtures.answer(stream, batch)
        self.assertEqual("complete", self.rig.read(key)["state"])


class PauseTest(RigTestCase):
    def test_pause_ends_jobs_before_any_answer(self):
        """After a pause agents and peers may have given this entry up."""
        cases = ("read", "outcome")
        for case in cases:
            with self.subTest(case):
                self.setUp()
                stream = self.rig.join()
                key = self.rig.submit_job()
                (batch,) = stream.take(messages.RunBatch)
                self.rig.clock_s += 5.5
                if case == "outcome":
                    fixtures.answer(stream, batch)
                found = self.rig.read(key)
                self.assertEqual("failed", found["state"])
                self.assertEqual("home_paused", found["reason"])
                self.assertEqual("unknown", found["fates"][0]["fate"])
                self.assertEqual(1, self.rig.host.counts.pauses)

    def test_short_pauses_are_no_pause(self):
        """A busy machine must not fail jobs."""
        stream = self.rig.join()
        key = self.rig.submit_job()
        (batch,) = stream.take(messages.RunBatch)
        self.rig.clock_s += 4.9
        fixtures.answer(stream, batch)
        self.assertEqual("complete", self.rig.read(key)["state"])
