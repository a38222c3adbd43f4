"""Tests of the job table."""

import unittest

import attrs

from trefoilgw.jobs import core as jobs
from trefoilgw.jobs import model
from trefoilgw.jobs import retention
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

HOME = "e" * 16
AGENT, OTHER = "a" * 16, "b" * 16
STRUCK = outcomes.NotRun(outcomes.Reason.LEAVING)
FAILED = outcomes.Failed(outcomes.Reason.TARGET_ERROR)
UNKNOWN = outcomes.Unknown(outcomes.Reason.AGENT_LOST)
Reason = outcomes.Reason
State = model.State


@attrs.frozen
class Kind:
    name: str = "preview"


def ticket(number=0, window=0):
    return keys.Ticket(HOME, window, f"{number:016x}")


def wire(fates):
    """Returns the message fields for a dict from task index to fate."""
    return tuple(messages.fate_to_wire(i, fate) for i, fate in fates.items())


def ok(index):
    return outcomes.Completed(b"%d" % index)


class TableTestCase(unittest.TestCase):
    def setUp(self):
        self.epochs = keys.AcceptedEpochs()
        self.key_retention = retention.Retention(
            keys.TicketWindows(0.0), self.epochs
        )
        self.table = jobs.JobTable(self.key_retention, records_limit=100)

    def submit(self, key=None, tasks=1, now_s=0.0, customer="cobre", **fields):
        fields = {
            "kind": Kind(),
            "payloads": tuple(b"%d" % i for i in range(tasks)),
            "deadline_s": 10.0,
            "idempotent": True,
        } | fields
        return self.table.submit(
            key or ticket(), customer, now_s=now_s, **fields
        )

    def running(self, *batches, **fields):
        """Returns a job with all tasks sent, in batches of the given sizes."""
        job = self.submit(tasks=sum(batches), **fields).job
        first = 0
        for number, size in enumerate(batches, 1):
            indices = tuple(range(first, first + size))
            self.table.assign_tasks(job, number, AGENT, 1, indices)
            first += size
        return job

    def report(
        self, batch, fates, final=True, job=None, agent=AGENT, session=1
    ):
        open_batch = self.table.batches.by_number.get(batch)
        job_id = job or (open_batch.job.id if open_batch else "cobre:gone")
        origin = model.Origin(job_id, agent, session)
        return self.table.apply_outcomes(batch, wire(fates), final, 1.0, origin)


class SubmitTest(TableTestCase):
    def test_same_submission_is_one_job(self):
        """A resubmitted job must not start a second time."""
        first = self.submit()
        for _ in range(2):
            again = self.submit(now_s=1.0)
            self.assertIsInstance(again, model.Existing)
            self.assertIs(first.job, again.job)

    def test_other_body_under_a_known_key(self):
        """The refusal must not state "not run": the first body may have run."""
        cases = (
            {"payloads": (b"9",)},
            {"payloads": (b"0", b"0")},
            {"payloads": (b"",)},
            {"kind": Kind("proof")},
            {"deadline_s": 11.0},
            {"idempotent": False},
        )
        self.submit()
        for fields in cases:
            with self.subTest(fields):
                refused = self.submit(**fields)
                self.assertEqual(Reason.KEY_REUSED, refused.reason)
                self.assertFalse(refused.not_run)

    def test_keys_are_separate_per_customer(self):
        """Customers that choose the same key must not share a job."""
        first = self.submit()
        other = self.submit(customer="bluebonnet")
        self.assertIsInstance(other, model.Accepted)
        self.assertNotEqual(first.job.id, other.job.id)
        found = self.table.find(ticket(5), "cobre", 0.0)
        self.assertEqual(Reason.NOT_FOUND, found.reason)

    def test_default_may_change_between_submissions(self):
        """A changed default of the kind must not count as another body."""
        first = self.submit(digest=b"same")
        again = self.submit(digest=b"same", deadline_s=20.0)
        self.assertIs(first.job, again.job)

    def test_full_table_refuses_new_keys(self):
        """Dropping a tombstone early would allow a second start."""
        self.table.records_limit = 2
        for number in (1, 2):
            self.submit(ticket(number))
            self.table.cancel(ticket(number), "cobre", 0.0)
        refused = self.submit(ticket(3))
        self.assertEqual(Reason.OVERLOAD, refused.reason)
        self.assertTrue(refused.not_run)
        self.assertIsInstance(self.submit(ticket(2)), model.Existing)

    def test_keys_outside_the_accepted_periods(self):
        """The record of an expired key may have been dropped."""
        newest = 3 + keys.EPOCHS_ACCEPTED
        self.epochs.record_epoch(newest)
        now_s = 3 * keys.TICKET_WINDOW_S
        cases = (
            (ticket(window=0), Reason.EXPIRED_KEY, False),
            (ticket(window=4), Reason.BAD_REQUEST, False),
            (keys.CallerKey(3, "a"), Reason.EXPIRED_KEY, False),
            (keys.CallerKey(newest + 1, "a"), Reason.HOME_UNREACHABLE, False),
        )
        for key, reason, not_run in cases:
            with self.subTest(key=key):
                refused = self.submit(key, now_s=now_s)
                self.assertEqual(reason, refused.reason)
                self.assertEqual(not_run, refused.not_run)
        for key in (ticket(1, 1), ticket(1, 3), keys.CallerKey(4, "a")):
            accepted = self.submit(key, now_s=now_s)
            self.assertIsInstance(accepted, model.Accepted)


class OutcomesTest(TableTestCase):
    def test_results_are_in_the_order_of_the_tasks(self):
        """Outcomes that arrive out of order must not reorder the results."""
        job = self.running(2, 1, 2)
        self.assertIsNone(self.report(3, {4: ok(4), 3: ok(3)}))
        self.assertIsNone(self.report(1, {1: ok(1)}, final=False))
        self.assertIsNone(self.report(2, {2: ok(2)}))
        ended = self.report(1, {0: ok(0)})
        self.assertEqual(model.JobEnded(job), ended)
        self.assertEqual(State.COMPLETE, job.state)
        self.assertEqual(
            [b"0", b"1", b"2", b"3", b"4"], [fate.result for fate in job.fates]
        )

    def test_outcomes_of_another_origin_are_ignored(self):
        """An outcome must not be applied to another job, nor twice."""
        cases = (
            ("wrong agent", {"agent": OTHER}),
            ("older session", {"session": 0}),
            ("newer session", {"session": 2}),
            ("wrong job", {"job": "cobre:other"}),
            ("wrong customer", {"job": "bluebonnet:" + "x"}),
        )
        job = self.running(1)
        for name, fields in cases:
            with self.subTest(name):
                self.assertIsNone(self.report(1, {0: ok(9)}, **fields))
                self.assertEqual([None], job.fates)
        self.assertIsNone(self.report(7, {0: ok(9)}, job=job.id))
        self.assertIsNone(self.report(1, {5: ok(9)}))
        self.assertEqual([None], job.fates)
        self.assertEqual(len(cases) + 2, self.table.ignored_outcomes)

    def test_duplicate_and_reordered_messages(self):
        """A repeated or late outcome must not change a fate or the count."""
        job = self.running(3)
        self.assertIsNone(self.report(1, {2: ok(2)}, final=True))
        self.assertIsNone(self.report(1, {2: FAILED}, final=True))
        self.assertIsNone(self.report(1, {0: ok(0)}, final=False))
        self.assertIsNone(self.report(1, {0: STRUCK}, final=False))
        self.assertIsInstance(self.report(1, {1: ok(1)}), model.JobEnded)
        self.assertIsNone(self.report(1, {1: FAILED}, job=job.id))
        self.assertEqual([ok(0), ok(1), ok(2)], job.fates)

    def test_duplicate_task_in_one_message(self):
        """A task reported twice in a message must be retried only once."""
        job = self.running(2)
        outcomes_ = wire({0: STRUCK}) * 2 + wire({0: ok(0)})
        result = self.table.apply_outcomes(
            1, outcomes_, False, 1.0, model.Origin(job.id, AGENT, 1)
        )
        self.assertEqual(model.RetryTasks(job, (0,)), result)
        self.assertEqual([0], job.waiting)

    def test_one_failed_task_fails_the_job(self):
        """Callers must never get a partial answer."""
        for failure, reason in (
            (FAILED, Reason.TARGET_ERROR),
            (UNKNOWN, Reason.AGENT_LOST),
        ):
            with self.subTest(reason):
                self.setUp()
                job = self.running(1, 2)
                strike = self.report(1, {0: failure})
                location = model.BatchLocation(2, AGENT)
                expected = model.StrikeBatches(
                    job, (location,), Reason.SIBLING_FAILED
                )
                self.assertEqual(expected, strike)
                struck = outcomes.NotRun(Reason.SIBLING_FAILED)
                ended = self.report(2, {1: ok(1), 2: struck})
                self.assertEqual(model.JobEnded(job), ended)
                self.assertEqual(State.FAILED, job.state)
                self.assertEqual(reason, job.abort_reason)
                self.assertEqual([failure, ok(1), struck], job.fates)

    def test_failed_task_ends_waiting_tasks(self):
        """Waiting tasks of a failed job must not be sent later."""
        job = self.submit(tasks=3).job
        self.table.assign_tasks(job, 1, AGENT, 1, (0,))
        ended = self.report(1, {0: FAILED})
        self.assertEqual(model.JobEnded(job), ended)
        struck = outcomes.NotRun(Reason.SIBLING_FAILED)
        self.assertEqual([FAILED, struck, struck], job.fates)

    def test_only_not_run_is_retried(self):
        """A task that may have started must never start again."""
        job = self.running(2, 1)
        retry = self.report(1, {0: ok(0), 1: STRUCK})
        self.assertEqual(model.RetryTasks(job, (1,)), retry)
        self.assertEqual([1], job.waiting)
        self.assertEqual({AGENT}, job.refusing_agents)
        self.table.assign_tasks(job, 9, OTHER, 4, (1,))
        self.assertIsNone(self.report(2, {2: ok(2)}))
        ended = self.report(9, {1: ok(1)}, agent=OTHER, session=4)
        self.assertEqual(State.COMPLETE, ended.job.state)

    def test_late_message_of_the_first_attempt(self):
        """A late outcome of the first agent must not end the retry."""
        job = self.running(1)
        self.report(1, {0: STRUCK})
        self.table.assign_tasks(job, 2, OTHER, 4, (0,))
        self.assertIsNone(self.report(1, {0: FAILED}, job=job.id))
        self.assertIsNone(self.report(2, {0: FAILED}, agent=AGENT))
        self.assertEqual([None], job.fates)

    def test_reasons_that_are_not_retried(self):
        """Tasks of a canceled, expired or failed job must not be retried."""
        for reason in (
            Reason.CANCELLED,
            Reason.DEADLINE,
            Reason.SIBLING_FAILED,
        ):
            with self.subTest(reason):
                self.setUp()
                job = self.running(1)
                self.report(1, {0: outcomes.NotRun(reason)})
                self.assertEqual(State.FAILED, job.state)

    def test_abandoned_retry(self):
        """An exhausted retry budget must end the job, not leave it open."""
        job = self.running(1, 1)
        self.report(1, {0: STRUCK})
        result = self.table.abandon_tasks(job, (0,), Reason.CAPACITY, 1.0)
        self.assertIsInstance(result, model.StrikeBatches)
        self.report(2, {1: ok(1)})
        self.assertEqual(State.FAILED, job.state)
        self.assertEqual(outcomes.NotRun(Reason.CAPACITY), job.fates[0])

    def test_task_already_assigned(self):
        """A second dispatch of a task could start it twice."""
        job = self.running(2)
        for indices in ((0,), (1, 0), (7,)):
            with self.assertRaises(ValueError):
                self.table.assign_tasks(job, 2, OTHER, 1, indices)

    def test_batch_that_was_not_sent(self):
        """A batch that never reached a stream must be retried."""
        job = self.running(2)
        retry = self.table.batch_not_sent(1, 0.0)
        self.assertEqual(model.RetryTasks(job, (0, 1)), retry)
        self.assertEqual((), self.table.open_batches(AGENT))


class AgentTest(TableTestCase):
    def test_lost_agent(self):
        """Open tasks at a lost agent may have run, so they become unknown."""
        job = self.running(1, 2)
        self.report(2, {1: ok(1)}, final=False)
        results = self.table.agent_lost(AGENT, 1.0)
        self.assertEqual(model.JobEnded(job), results[-1])
        self.assertEqual([UNKNOWN, ok(1), UNKNOWN], job.fates)
        self.assertEqual((), self.table.agent_lost(AGENT, 1.0))

    def test_reconnect(self):
        """After a reconnect, outcomes of the older session are ignored."""
        job = self.running(1, 2)
        self.report(2, {1: ok(1)}, final=False)
        self.assertEqual(
            (
                messages.BatchRef(1, job.id, (0,)),
                messages.BatchRef(2, job.id, (2,)),
            ),
            self.table.open_batches(AGENT),
        )
        self.table.agent_reconnected(AGENT, 2)
        self.assertIsNone(self.report(1, {0: FAILED}, session=1))
        self.report(1, {0: ok(0)}, session=2)
        self.report(2, {2: ok(2)}, session=2)
        self.assertEqual(State.COMPLETE, job.state)


class CancelTest(TableTestCase):
    def test_cancel_and_outcomes_race(self):
        """The answer must match the outcomes, whichever message came first."""
        struck = outcomes.NotRun(Reason.CANCELLED)
        cases = (
            ("all completed", {0: ok(0), 1: ok(1)}, State.COMPLETE),
            ("one not run", {0: ok(0), 1: struck}, State.FAILED),
            ("one failed", {0: FAILED, 1: struck}, State.FAILED),
        )
        for name, fates, state in cases:
            with self.subTest(name):
                self.setUp()
                job = self.running(2)
                canceled = self.table.cancel(ticket(), "cobre", 1.0)
                locations = (model.BatchLocation(1, AGENT),)
                self.assertEqual(model.Canceled(job, locations), canceled)
                self.assertFalse(job.ended)
                self.report(1, fates)
                self.assertEqual(state, job.state)

    def test_cancel_before_anything_was_sent(self):
        """The record must stay, so that a resubmission starts nothing."""
        job = self.submit(tasks=2).job
        self.table.cancel(ticket(), "cobre", 1.0)
        self.assertEqual(State.FAILED, job.state)
        self.assertIsInstance(self.submit(tasks=2), model.Existing)

    def test_cancel_of_an_ended_job(self):
        """A late cancellation must not change the answer."""
        job = self.running(1)
        self.report(1, {0: ok(0)})
        canceled = self.table.cancel(ticket(), "cobre", 1.0)
        self.assertEqual(model.Canceled(job, ()), canceled)
        self.assertEqual(State.COMPLETE, job.state)

    def test_cancel_of_another_customers_job(self):
        """A customer must not reach another customer's job."""
        self.running(1)
        refused = self.table.cancel(ticket(), "bluebonnet", 1.0)
        self.assertEqual(Reason.NOT_FOUND, refused.reason)


class ExpiryTest(TableTestCase):
    def test_deadline_of_a_sent_job(self):
        """A job ends at its deadline + 2 s at the latest."""
        job = self.running(1, 1)
        self.report(1, {0: ok(0)})
        self.assertEqual((), self.table.expire(9.9))
        (strike,) = self.table.expire(10.2)
        self.assertEqual(Reason.DEADLINE, strike.reason)
        self.assertEqual((), self.table.expire(11.3))
        (ended,) = self.table.expire(11.8)
        self.assertEqual((model.BatchLocation(2, AGENT),), ended.strike)
        self.assertEqual(State.FAILED, job.state)
        self.assertEqual([ok(0), outcomes.Unknown(Reason.DEADLINE)], job.fates)
        self.assertIsNone(self.report(2, {1: ok(1)}, job=job.id))
        self.assertIsInstance(job.fates[1], outcomes.Unknown)

    def test_deadline_of_a_waiting_job(self):
        """A job that was never sent must be refused as not run."""
        job = self.submit().job
        (ended,) = self.table.expire(10.2)
        self.assertIs(job, ended.job)
        self.assertEqual(State.REFUSED, job.state)
        self.assertTrue(job.refused.not_run)

    def test_refused_key_stays_refused(self):
        """A delayed copy of a submission refused as not run must not start."""
        quota = outcomes.Refused(Reason.QUOTA, not_run=False)
        self.table.withdraw(self.submit().job, quota, 1.0)
        again = self.submit(now_s=5.0)
        self.assertEqual((Reason.QUOTA, True), (again.reason, again.not_run))
        other = self.submit(tasks=2, now_s=5.0)
        self.assertEqual(
            (Reason.KEY_REUSED, True), (other.reason, other.not_run)
        )
        self.assertEqual(again, self.table.find(ticket(), "cobre", 5.0))
        self.assertEqual((), self.table.expire(20.0))

    def test_refusals_do_not_fill_the_table(self):
        """A flood of refused submissions must leave room for other keys."""
        overload = outcomes.Refused(Reason.OVERLOAD, not_run=True)
        for number in range(200):
            job = self.submit(ticket(number), announced=False).job
            self.table.withdraw(job, overload, 0.0)
            self.assertTrue(job.refused.not_run)
        self.assertEqual(0, self.table.records.size)
        claims = []
        for number in range(200):
            job = self.submit(ticket(number)).job
            self.table.withdraw(job, overload, 0.0)
            claims.append(job.refused.not_run)
        self.assertLess(self.table.records.size, 60)
        recorded = sum(claims)
        self.assertEqual(self.table.records.size, recorded)

    def test_late_call_returns_all_due_jobs(self):
        """A delayed timer call must not skip deadlines."""
        for number in range(5):
            self.submit(ticket(number), deadline_s=1.0 + number)
        self.table.expire(0.0)
        self.assertEqual(5, len(self.table.expire(1e6)))

    def test_records_outlive_the_acceptance_of_their_keys(self):
        """A job whose record is dropped too early could start again."""
        self.epochs.record_epoch(1)
        key = keys.CallerKey(1, "a")
        for used in (ticket(), key):
            self.table.cancel(used, "cobre", 0.0)
            job = self.submit(used).job
            self.table.cancel(used, "cobre", 0.0)
            self.assertTrue(job.ended)
        just_before_s = 3 * keys.TICKET_WINDOW_S - 0.1
        self.epochs.record_epoch(keys.EPOCHS_ACCEPTED)
        self.table.expire(just_before_s)
        self.assertEqual(2, self.table.records.size)
        self.epochs.record_epoch(1 + keys.EPOCHS_ACCEPTED)
        self.table.expire(3 * keys.TICKET_WINDOW_S)
        self.assertEqual(0, self.table.records.size)
        for used in (ticket(), key):
            refused = self.submit(used, now_s=3 * keys.TICKET_WINDOW_S)
            self.assertEqual(Reason.EXPIRED_KEY, refused.reason)
            self.assertFalse(refused.not_run)

    def test_running_job_keeps_its_record(self):
        """A job that outlives its ticket window must keep its record."""
        job = self.running(1, deadline_s=2000.0)
        self.table.expire(1000.0)
        self.assertIs(job, self.table.find(ticket(), "cobre", 1000.0))
        self.report(1, {0: ok(0)})
        self.table.expire(1000.1)
        self.assertEqual(0, self.table.records.size)

    def test_dropped_answer_leaves_a_tombstone(self):
        """A dropped answer must not allow a resubmission to start again."""
        self.table.answers.limit_bytes = 10
        job = self.running(1)
        self.report(1, {0: ok(0)})
        self.table.expire(2.0)
        self.assertIs(job, self.table.find(ticket(), "cobre", 2.0))
        self.table.expire(1.0 + retention.MIN_ANSWER_RETENTION_S)
        for answer in (
            self.table.find(ticket(), "cobre", 20.0),
            self.submit(now_s=20.0),
        ):
            self.assertEqual(Reason.EXPIRED_KEY, answer.reason)
            self.assertFalse(answer.not_run)
        self.assertEqual(
            Reason.KEY_REUSED, self.submit(tasks=2, now_s=20.0).reason
        )
        self.assertEqual("complete", self.table.explain(job.id, 20.0).state)


class PauseTest(TableTestCase):
    def test_pause_ends_all_running_jobs(self):
        """After a long pause, peers may have removed this home."""
        job = self.submit(tasks=3).job
        self.table.assign_tasks(job, 1, AGENT, 1, (0, 1))
        self.report(1, {0: ok(0)}, final=False)
        (ended,) = self.table.process_paused(20.0)
        self.assertEqual((model.BatchLocation(1, AGENT),), ended.strike)
        paused = Reason.HOME_PAUSED
        self.assertEqual(
            [ok(0), outcomes.Unknown(paused), outcomes.NotRun(paused)],
            job.fates,
        )
        self.assertEqual(State.FAILED, job.state)
        self.assertEqual((), self.table.process_paused(20.0))
        self.assertIsNone(self.report(1, {1: ok(1)}, job=job.id))


class ExplainTest(TableTestCase):
    def test_open_job(self):
        """An operator must see which agents have tasks of a job."""
        job = self.submit(tasks=2).job
        self.table.assign_tasks(job, 1, AGENT, 1, (0,))
        found = self.table.explain(job.id, 4.0)
        self.assertEqual(("open", "open"), found.fates)
        self.assertEqual((model.BatchLocation(1, AGENT),), found.open_batches)
        self.assertEqual(
            (1, 4.0, 6.0), (found.waiting, found.age_s, found.deadline_in_s)
        )
        self.assertIsNone(self.table.explain("cobre:none", 4.0))

    def test_fates_include_their_reason(self):
        """An operator must see why a task did not complete."""
        job = self.submit(tasks=4).job
        job.fates[:3] = [
            outcomes.Completed(b"1"),
            outcomes.NotRun(Reason.SIBLING_FAILED),
            outcomes.Unknown(Reason.DEADLINE),
        ]
        expected = ("completed", "not run: sibling_failed", "unknown: deadline")
        found = self.table.explain(job.id, 4.0)
        self.assertEqual((*expected, "open"), found.fates)
