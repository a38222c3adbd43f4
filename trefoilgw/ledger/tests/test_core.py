"""Tests of the start ledger: which tasks may start, and reports to homes."""

import unittest

from trefoilgw.ledger import core as ledger_core
from trefoilgw.ledger import marks
from trefoilgw.ledger import records
from trefoilgw.ledger import sessions
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

ENTRY = "e" * 16
JOB = ledger_core.job_id("customer", "t1.key")
DONE = outcomes.Completed(b"{}", 0.1)
STARTED = ledger_core.Started()
NEVER = records.NEVER_RECEIVED
EARLIER = ledger_core.EARLIER_PROCESS
DEADLINE_S = 100.0


def make_ledger(session=1, **limits):
    """Returns a ledger on which `ENTRY` has opened this many sessions."""
    ledger = ledger_core.Ledger(records=records.RecordTable(**limits))
    for number in range(1, session + 1):
        ledger.session_opened(ENTRY, number, 0.0)
    return ledger


def receive(ledger, batch=1, indices=(0, 1, 2), session=1, now_s=0.0):
    return ledger.received(ENTRY, session, batch, JOB, indices, now_s)


def start(ledger, index=0, batch=1, session=1, now_s=0.0, job=JOB):
    return ledger.try_start(
        ENTRY, session, batch, job, index, DEADLINE_S, now_s
    )


def finish(ledger, index=0, fate=DONE, batch=1, now_s=0.0):
    return ledger.finished(ENTRY, batch, JOB, index, fate, now_s)


def reconcile(ledger, *refs, now_s=0.0):
    asked = tuple(messages.BatchRef(*ref) for ref in refs)
    return ledger.reconcile(ENTRY, asked, now_s)


class StartTest(unittest.TestCase):
    def test_authority_and_deadline_are_checked_at_the_start(self):
        """A task must not start without authority or past its deadline."""
        lost = ledger_core.NO_AUTHORITY
        late = ledger_core.PAST_DEADLINE
        cases = {
            "within the lease": (2.9, lambda ledger: None, STARTED),
            "lease expired": (3.0, lambda ledger: None, lost),
            "renewed": (
                5.9,
                lambda ledger: ledger.lease_renewed(ENTRY, 1, 3.0),
                STARTED,
            ),
            "renewed by an old pong": (
                5.0,
                lambda ledger: ledger.lease_renewed(ENTRY, 1, 1.9),
                lost,
            ),
            "pong of another session": (
                5.0,
                lambda ledger: ledger.lease_renewed(ENTRY, 2, 4.0),
                lost,
            ),
            "past the deadline": (
                DEADLINE_S,
                lambda ledger: ledger.lease_renewed(ENTRY, 1, DEADLINE_S),
                late,
            ),
            "stream closed, within the lease": (
                2.0,
                lambda ledger: ledger.session_closed(ENTRY, 1),
                STARTED,
            ),
            "newer session": (
                2.0,
                lambda ledger: ledger.session_opened(ENTRY, 2, 1.0),
                lost,
            ),
            "struck": (
                1.0,
                lambda ledger: ledger.strike(ENTRY, 1, NEVER, 0.5),
                NEVER,
            ),
        }
        for name, (now_s, event, expected) in cases.items():
            with self.subTest(name):
                ledger = make_ledger()
                receive(ledger)
                event(ledger)
                self.assertEqual(expected, start(ledger, now_s=now_s))

    def test_task_starts_only_once(self):
        """A repeated dispatch of a task, in any batch, must not start it."""
        ledger = make_ledger()
        receive(ledger)
        receive(ledger, batch=2)
        again = ledger_core.AlreadyStarted()
        self.assertEqual(STARTED, start(ledger))
        self.assertEqual(again, start(ledger))
        self.assertEqual(again, start(ledger, batch=2))
        finish(ledger)
        self.assertEqual(again, start(ledger))
        ledger.acknowledged(ENTRY, (1,))
        self.assertEqual(again, start(ledger, batch=2))

    def test_same_key_of_two_customers_is_two_jobs(self):
        """Keys are unique per customer only, so both tasks must start."""
        ledger = make_ledger()
        receive(ledger)
        other = ledger_core.job_id("other", "t1.key")
        ledger.received(ENTRY, 1, 2, other, (0,), 0.0)
        self.assertEqual(STARTED, start(ledger))
        self.assertEqual(STARTED, start(ledger, batch=2, job=other))

    def test_task_that_was_never_sent_may_start_in_a_later_batch(self):
        """A failed connection to the target must not block all retries."""
        ledger = make_ledger()
        receive(ledger)
        self.assertEqual(STARTED, start(ledger))
        finish(ledger, fate=NEVER)
        self.assertEqual(NEVER, start(ledger))
        receive(ledger, batch=2)
        self.assertEqual(STARTED, start(ledger, batch=2))

    def test_start_is_refused_when_marks_are_full(self):
        """At the limit a start must be refused instead of dropping a mark."""
        ledger = make_ledger()
        ledger.marks.limit_marks = 1
        receive(ledger)
        self.assertEqual(STARTED, start(ledger))
        self.assertEqual(ledger_core.LEDGER_FULL, start(ledger, index=1))
        self.assertEqual(ledger_core.AlreadyStarted(), start(ledger))


class ReceiptTest(unittest.TestCase):
    def test_only_new_batches_of_the_newest_session_are_accepted(self):
        """Data of old sessions and repeated batches must not open a record."""
        receipt = ledger_core.Receipt
        struck = ((1, "t1.key", (0,)),)
        cases = {
            "new": (lambda ledger: None, 2, receipt.ACCEPTED),
            "older session": (lambda ledger: None, 1, receipt.FENCED),
            "received twice": (
                lambda ledger: receive(ledger, session=2),
                2,
                receipt.DUPLICATE,
            ),
            "struck by reconcile": (
                lambda ledger: reconcile(ledger, *struck),
                2,
                receipt.DUPLICATE,
            ),
            "struck by the home": (
                lambda ledger: ledger.strike(ENTRY, 1, NEVER, 0.0),
                2,
                receipt.DUPLICATE,
            ),
        }
        for name, (event, session, expected) in cases.items():
            with self.subTest(name):
                ledger = make_ledger(session=2)
                event(ledger)
                self.assertEqual(expected, receive(ledger, session=session))

    def test_repeated_dispatch_after_the_record_was_dropped(self):
        """A struck task has no mark, so only the dropped number rejects it."""
        ledger = make_ledger()
        self.assertEqual(ledger_core.Receipt.ACCEPTED, receive(ledger))
        struck = outcomes.NotRun(outcomes.Reason.NO_SLOT)
        ledger.strike(ENTRY, 1, struck, 0.0)
        ledger.acknowledged(ENTRY, (1,))
        self.assertEqual(ledger_core.Receipt.DUPLICATE, receive(ledger))
        self.assertEqual(ledger_core.Receipt.ACCEPTED, receive(ledger, batch=2))

    def test_full_table_drops_only_ended_records(self):
        """A full table must keep open records and reject new batches."""
        ledger = make_ledger(session=2, limit_records=2)
        receive(ledger, batch=1, indices=(0,), session=2)
        receive(ledger, batch=2, indices=(1,), session=2)
        full = receive(ledger, batch=3, session=2)
        self.assertEqual(ledger_core.Receipt.FULL, full)
        finish(ledger, index=1, batch=2)
        again = receive(ledger, batch=3, session=2)
        self.assertEqual(ledger_core.Receipt.DUPLICATE, again)
        made = receive(ledger, batch=4, session=2)
        self.assertEqual(ledger_core.Receipt.ACCEPTED, made)
        self.assertIsNotNone(ledger.records.get(ENTRY, 1))
        self.assertIsNone(ledger.records.get(ENTRY, 2))
        (answer,) = reconcile(ledger, (2, "t1.key", (1,)))
        self.assertEqual({1: EARLIER}, answer.fates)


class ReconcileTest(unittest.TestCase):
    def answer(self, ledger, batch=1, indices=(0, 1, 2), now_s=0.0):
        ref = (batch, "t1.key", indices)
        (answer,) = reconcile(ledger, ref, now_s=now_s)
        return answer.fates, answer.final

    def test_fates_after_a_lost_stream(self):
        """The home must get all recorded fates and no others."""
        cases = {
            "all open": ((), {}, False),
            "one done": ((0,), {0: DONE}, False),
            "all done": ((0, 1, 2), {0: DONE, 1: DONE, 2: DONE}, True),
        }
        for name, (done, fates, final) in cases.items():
            with self.subTest(name):
                ledger = make_ledger()
                receive(ledger)
                for index in done:
                    start(ledger, index)
                    finish(ledger, index)
                ledger.session_opened(ENTRY, 2, 1.0)
                self.assertEqual((fates, final), self.answer(ledger))

    def test_batch_reported_as_never_received_is_struck(self):
        """The answer 'not run' must stay true if the batch arrives late."""
        ledger = make_ledger(session=2)
        self.assertEqual(({0: NEVER}, True), self.answer(ledger, 1, (0,)))
        late = receive(ledger, indices=(0,), session=2)
        self.assertEqual(ledger_core.Receipt.DUPLICATE, late)
        receive(ledger, batch=2, indices=(0,), session=2)
        self.assertEqual(STARTED, start(ledger, batch=2, session=2))

    def test_index_missing_from_the_received_batch(self):
        """A task that was lost on the way to the agent has not run."""
        ledger = make_ledger()
        receive(ledger, indices=(0,))
        ledger.session_opened(ENTRY, 2, 1.0)
        self.assertEqual(({7: NEVER}, False), self.answer(ledger, 1, (0, 7)))

    def test_restarted_agent_reports_unknown(self):
        """A new process must not report an earlier one's tasks as not run."""
        for name, event in {
            "asked": lambda ledger: None,
            "struck": lambda ledger: ledger.strike(ENTRY, 1, NEVER, 0.0),
        }.items():
            with self.subTest(name):
                ledger = make_ledger()
                event(ledger)
                self.assertEqual(
                    ({0: EARLIER}, True), self.answer(ledger, 1, (0,))
                )

    def test_dropped_record_is_reported_as_unknown(self):
        """A batch whose record was dropped must not be reported as not run."""
        ledger = make_ledger(session=2)
        receive(ledger, batch=5, indices=(0,), session=2)
        start(ledger, batch=5, session=2)
        finish(ledger, batch=5)
        ledger.acknowledged(ENTRY, (5,))
        self.assertEqual(({0: EARLIER}, True), self.answer(ledger, 5, (0,)))
        self.assertEqual(({0: EARLIER}, True), self.answer(ledger, 4, (0,)))
        self.assertEqual(({0: NEVER}, True), self.answer(ledger, 6, (0,)))

    def test_evicted_entry_counts_as_new(self):
        """Batches of an evicted entry must not be reported as not run."""
        ledger = make_ledger(session=2)
        ledger.session_closed(ENTRY, 2)
        for number in range(sessions.MAX_ENTRIES):
            ledger.session_opened(f"{number:016x}", 1, 0.0)
        self.assertNotIn(ENTRY, ledger.sessions.entries)
        ledger.session_opened(ENTRY, 3, 0.0)
        self.assertEqual(({0: EARLIER}, True), self.answer(ledger, 9, (0,)))


class RetentionTest(unittest.TestCase):
    def finished_ledger(self):
        ledger = make_ledger(session=2)
        receive(ledger, indices=(0,), session=2)
        start(ledger, session=2)
        finish(ledger)
        return ledger

    def test_results_are_dropped_after_their_retention(self):
        """Results for a disconnected home must not accumulate."""
        ledger = self.finished_ledger()
        ledger.session_closed(ENTRY, 2)
        ref = (1, "t1.key", (0,))
        ledger.expire(records.RESULT_RETENTION_S - 1)
        self.assertEqual({0: DONE}, reconcile(ledger, ref)[0].fates)
        ledger.expire(records.RESULT_RETENTION_S)
        expected = {0: records.RESULT_DROPPED}
        self.assertEqual(expected, reconcile(ledger, ref)[0].fates)
        self.assertEqual(0, ledger.records.result_bytes)
        ledger.expire(ledger_core.RECORD_RETENTION_S)
        self.assertEqual(0, len(ledger.records))

    def test_record_is_kept_until_a_connected_home_acknowledges(self):
        """A connected home that has not acknowledged may still ask for it."""
        ledger = self.finished_ledger()
        ledger.expire(ledger_core.RECORD_RETENTION_S)
        self.assertEqual(1, len(ledger.records))
        ledger.acknowledged(ENTRY, (1,))
        self.assertEqual(0, len(ledger.records))

    def test_acknowledgement_keeps_open_batches(self):
        """An early acknowledgement must not drop a record with open tasks."""
        ledger = make_ledger()
        receive(ledger)
        ledger.acknowledged(ENTRY, (1, 99))
        self.assertEqual(1, len(ledger.records))

    def test_oldest_results_are_dropped_above_the_byte_limit(self):
        """Large results must not exhaust the agent's memory."""
        ledger = make_ledger(session=2, limit_result_bytes=10)
        big = outcomes.Completed(b"123456")
        for batch in (1, 2):
            receive(ledger, batch, indices=(batch,), session=2)
            start(ledger, batch, batch, session=2)
            finish(ledger, batch, big, batch)
        self.assertEqual(6, ledger.records.result_bytes)
        asked = [(batch, "t1.key", (batch,)) for batch in (1, 2)]
        older, newer = reconcile(ledger, *asked)
        self.assertEqual({1: records.RESULT_DROPPED}, older.fates)
        self.assertEqual({2: big}, newer.fates)

    def test_marks_of_open_batches_outlive_their_generation(self):
        """A long-running task must not start again after the retention."""
        ledger = make_ledger()
        receive(ledger)
        start(ledger)
        now_s = marks.GENERATION_S
        ledger.expire(now_s)
        now_s += marks.RETENTION_S
        ledger.expire(now_s)
        ledger.lease_renewed(ENTRY, 1, now_s)
        receive(ledger, batch=2, now_s=now_s)
        again = ledger.try_start(ENTRY, 1, 2, JOB, 0, 2 * now_s, now_s)
        self.assertEqual(ledger_core.AlreadyStarted(), again)


class SessionsTest(unittest.TestCase):
    def test_only_newer_sessions_are_accepted(self):
        """A delayed connection must not fence a newer session."""
        ledger = make_ledger(session=5)
        for number, expected in ((4, False), (5, False), (6, True)):
            with self.subTest(number):
                accepted = ledger.session_opened(ENTRY, number, 0.0)
                self.assertEqual(expected, accepted)

    def test_connected_entries_are_not_evicted(self):
        """Evicting a connected entry would lose its newest session number."""
        table = sessions.Sessions()
        for number in range(sessions.MAX_ENTRIES):
            self.assertTrue(table.opened(f"{number:016x}", 1, 0.0, 3.0))
        self.assertFalse(table.opened(ENTRY, 1, 0.0, 3.0))
        table.closed(f"{0:016x}", 1)
        self.assertTrue(table.opened(ENTRY, 1, 0.0, 3.0))


if __name__ == "__main__":
    unittest.main()
