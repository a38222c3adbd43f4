"""Tests of `Slots`: starts, answers, strikes, deadlines and sessions."""

import unittest

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import batches
from trefoilgw.slots import core as slots_core
from trefoilgw.slots.tests import fixtures
from trefoilgw.slots.tests.fixtures import A
from trefoilgw.slots.tests.fixtures import B
from trefoilgw.slots.tests.fixtures import batch
from trefoilgw.slots.tests.fixtures import finish
from trefoilgw.slots.tests.fixtures import make_connected_slots
from trefoilgw.slots.tests.fixtures import run
from trefoilgw.slots.tests.fixtures import started
from trefoilgw.slots.tests.fixtures import summarize

CANCELLED = outcomes.Reason.CANCELLED


def reconcile(slots, *refs, entry=A, session=2, now_s=0.0):
    asked = tuple(messages.BatchRef(*ref) for ref in refs)
    return slots.reconcile(entry, session, asked, now_s)


class BatchTest(unittest.TestCase):
    def test_batch_runs_at_its_concurrency_and_answers_once(self):
        """More running tasks than credits would overcommit the target."""
        slots = make_connected_slots(A)
        self.assertEqual([0, 1], started(run(slots, batch())))
        self.assertEqual([2], started(finish(slots, 1)))
        self.assertEqual([], summarize(finish(slots, 0)))
        fates = {1: "completed", 0: "completed", 2: "completed"}
        self.assertEqual([(1, fates, 2, True)], summarize(finish(slots, 2)))
        self.assertEqual(8, slots.held(A))

    def test_duplicate_batch_starts_nothing(self):
        """A batch that arrives twice must not run or spend credits twice."""
        slots = make_connected_slots(A)
        run(slots, batch())
        self.assertEqual((), run(slots, batch()))
        self.assertEqual(6, slots.held(A))
        for index in (0, 1, 2):
            finish(slots, index)
        self.assertEqual((), run(slots, batch()))
        self.assertEqual(2, slots.counters.duplicate_batches)

    def test_repeated_index_runs_once(self):
        """A task that a batch contains twice must not start twice."""
        slots = make_connected_slots(A)
        specs = fixtures.tasks(1) + fixtures.tasks(1)
        self.assertEqual([0], started(run(slots, batch(specs=specs))))
        fates = {0: "completed"}
        self.assertEqual([(1, fates, 2, True)], summarize(finish(slots, 0)))

    def test_same_task_in_another_batch_is_unknown(self):
        """A second batch must neither start a task again nor deny its start."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(1), concurrency=1))
        again = batch(2, specs=fixtures.tasks(1), job="t1.1")
        fates = {0: "unknown internal"}
        self.assertEqual([(2, fates, 2, True)], summarize(run(slots, again)))

    def test_refusals_on_arrival_are_answered(self):
        """A batch that is refused must return its credits."""

        def fill(slots):
            slots.ledger.records.limit_records = 0

        def queue(slots):
            slots.execution.queued_bytes = slots_core.MAX_QUEUED_BYTES

        cases = {
            "leaving": (lambda slots: slots.leave(0.0), "leaving"),
            "ledger full": (fill, "capacity"),
            "payloads": (queue, "capacity"),
        }
        for name, (event, reason) in cases.items():
            with self.subTest(name):
                slots = make_connected_slots(A)
                event(slots)
                emitted = run(slots, batch(specs=fixtures.tasks(1)))
                fates = {0: f"not_run {reason}"}
                self.assertEqual([(1, fates, 2, True)], summarize(emitted))
                self.assertEqual(8, slots.held(A))

    def test_large_outcomes_are_sent_in_several_frames(self):
        """A frame above the size limit would close the stream."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(8), concurrency=8))
        size = batches.FLUSH_BYTES // batches.MIN_FLUSH_SHARES // 4
        sent = []
        for index in range(8):
            fate = outcomes.Completed(b"x" * size)
            sent += finish(slots, index, fate=fate)
        answers = [action.message for action in sent]
        self.assertEqual([4, 4], [len(item.outcomes) for item in answers])
        self.assertEqual([0, 8], [item.credits for item in answers])
        self.assertEqual([False, True], [item.final for item in answers])
        many = {index: fate for index in range(40)}
        frames = batches.done_actions(A, 1, "t1", many, 3, True)
        for frame in frames:
            total = sum(len(item.result) for item in frame.message.outcomes)
            self.assertLessEqual(total, batches.MAX_DONE_FRAME_BYTES)
        counts = [len(frame.message.outcomes) for frame in frames]
        self.assertEqual(40, sum(counts))


class StrikeTest(unittest.TestCase):
    def test_strike_spares_running_tasks(self):
        """A running task must continue, a queued one must never start."""
        slots = make_connected_slots(A)
        run(slots, batch())
        emitted = slots.strike(A, (1,), CANCELLED, 0.0)
        self.assertEqual([], summarize(emitted))
        self.assertEqual([], started(finish(slots, 0)))
        fates = {2: "not_run cancelled", 0: "completed", 1: "completed"}
        self.assertEqual([(1, fates, 2, True)], summarize(finish(slots, 1)))

    def test_strike_returns_credits_above_the_running_tasks(self):
        """Credits of struck tasks must not wait for running tasks."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(9), concurrency=8))
        finish(slots, 0)
        for index in (1, 2, 3):
            finish(slots, index)
        slots.strike(A, (1,), CANCELLED, 0.0)
        self.assertEqual(3, slots.held(A))

    def test_strike_before_the_batch_arrives(self):
        """A batch struck on a newer session must not start later."""
        slots = make_connected_slots(A)
        self.assertEqual((), slots.strike(A, (1,), CANCELLED, 0.0))
        self.assertEqual((), run(slots, batch()))

    def test_many_strikes_end_many_batches(self):
        """A burst of cancellations must free every credit."""
        slots = make_connected_slots(A)
        for number in range(1, 9):
            run(slots, batch(number, concurrency=1))
        slots.strike(A, tuple(range(1, 9)), CANCELLED, 0.0)
        for number in range(1, 9):
            finish(slots, 0, number)
        self.assertEqual(8, slots.held(A))
        self.assertTrue(slots.idle)


class ResizeTest(unittest.TestCase):
    def test_resize_returns_credits_as_tasks_end(self):
        """Credits must not be returned while their tasks run."""
        # name: (first concurrency, new concurrency, messages at once, messages
        #        after a task)
        cases = {
            "below running": (4, 1, [], [("a", 1)]),
            "to zero": (2, 0, [], [("a", 1)]),
            "same": (2, 2, [], []),
            "larger": (2, 4, [], []),
        }
        for name, (first, new, at_once, after) in cases.items():
            with self.subTest(name):
                slots = make_connected_slots(A)
                specs = fixtures.tasks(9)
                run(slots, batch(specs=specs, concurrency=first))
                emitted = slots.resize(A, 1, new, 0.0)
                self.assertEqual(at_once, summarize(emitted))
                running = max(first, new)
                self.assertEqual(running, slots.running)
                self.assertEqual(after, summarize(finish(slots, 0)))
                self.assertEqual(8 - slots.book.used[A], slots.held(A))

    def test_batch_resized_to_zero_waits_and_resumes(self):
        """A batch without credits must neither start tasks nor end."""
        slots = make_connected_slots(A)
        run(slots, batch(concurrency=1))
        slots.resize(A, 1, 0, 0.0)
        self.assertEqual([], started(finish(slots, 0)))
        self.assertEqual(8, slots.held(A))
        self.assertEqual([1, 2], started(slots.resize(A, 1, 2, 0.0)))

    def test_resize_is_limited_to_the_credits_held(self):
        """A resize must not take credits that other entries hold."""
        slots = make_connected_slots(A, B)
        run(slots, batch(specs=fixtures.tasks(9), concurrency=2))
        self.assertEqual([2, 3], started(slots.resize(A, 1, 8, 0.0)))
        self.assertEqual(4, slots.held(B))


class DeadlineTest(unittest.TestCase):
    def test_straggler_keeps_its_slot(self):
        """A slot granted anew while its task runs overcommits the target."""
        slots = make_connected_slots(A)
        run(slots, batch())
        self.assertEqual((), slots.check(2.9))
        slots.ledger.lease_renewed(A, 1, 9.0)
        finish(slots, 0)
        emitted = slots.check(10.0)
        fates = {0: "completed", 1: "unknown deadline", 2: "unknown deadline"}
        expected = [("stop", 1), ("stop", 2), (1, fates, 0, True)]
        self.assertEqual(expected, summarize(emitted))
        self.assertEqual(6, slots.held(A))
        self.assertEqual(2, slots.running)
        self.assertEqual([("a", 1)], summarize(finish(slots, 1)))
        self.assertEqual([], summarize(finish(slots, 1)))
        self.assertEqual([("a", 1)], summarize(finish(slots, 2)))
        self.assertEqual(8, slots.held(A))

    def test_queued_tasks_at_the_deadline_have_not_run(self):
        """Tasks that did not start in time must be reported as not run."""
        slots = make_connected_slots(A)
        run(slots, batch(concurrency=1))
        slots.ledger.lease_renewed(A, 1, 9.0)
        _, answer = summarize(slots.check(10.0))
        late = "not_run deadline"
        fates = {1: late, 2: late, 0: "unknown deadline"}
        self.assertEqual((1, fates, 0, True), answer)

    def test_late_result_does_not_change_the_fate(self):
        """A home must never receive two different fates of one task."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(1)))
        slots.check(10.0)
        finish(slots, 0)
        slots.ledger.session_opened(A, 2, 10.0)
        (answer,) = summarize(reconcile(slots, (1, "t1.1", (0,)), now_s=10.0))
        self.assertEqual((1, {0: "unknown deadline"}, 0, True), answer)


class SessionTest(unittest.TestCase):
    def test_batch_of_an_older_session_is_fenced(self):
        """Buffered bytes of an old connection must not start reported tasks."""
        slots = make_connected_slots(A)
        fixtures.connect(slots, A, session=2)
        ref = (1, "t1.1", (0, 1, 2))
        lost = "not_run authority_lost"
        ((_, fates, _, final),) = summarize(reconcile(slots, ref))
        self.assertEqual(({0: lost, 1: lost, 2: lost}, True), (fates, final))
        self.assertEqual((), run(slots, batch(), session=1))
        self.assertEqual(1, slots.counters.fenced_batches)
        self.assertEqual((), reconcile(slots, ref, session=1))

    def test_paused_agent_strikes_its_queue(self):
        """A resumed agent must not start tasks that its home has given up."""
        cases = {
            "checked first": lambda slots: slots.check(4.0),
            "task ends first": lambda slots: finish(slots, 0, now_s=4.0),
        }
        for name, event in cases.items():
            with self.subTest(name):
                slots = make_connected_slots(A)
                run(slots, batch(concurrency=1))
                emitted = event(slots)
                slots.ledger.lease_renewed(A, 1, 4.0)
                emitted += slots.check(4.0) + finish(slots, 0, now_s=4.0)
                self.assertEqual([], started(emitted))
                lost = "not_run authority_lost"
                fates = {0: "completed", 1: lost, 2: lost}
                self.assertIn((1, fates, 1, True), summarize(emitted))

    def test_running_batch_is_resumed_by_reconcile(self):
        """A closed stream must not fail tasks that can still run."""
        slots = make_connected_slots(A)
        run(slots, batch(concurrency=1))
        slots.disconnect(A, 1.0)
        self.assertEqual([1], started(finish(slots, 0, now_s=1.5)))
        fixtures.connect(slots, A, session=2, now_s=2.0)
        self.assertEqual([], started(finish(slots, 1, now_s=2.0)))
        emitted = reconcile(slots, (1, "t1.1", (0, 1, 2)), now_s=2.1)
        done = {0: "completed", 1: "completed"}
        self.assertEqual([(1, done, 0, False)], summarize(emitted))
        self.assertEqual([2], started(emitted))
        answer = summarize(finish(slots, 2, now_s=2.2))
        self.assertEqual([(1, {2: "completed"}, 1, True)], answer)

    def test_batch_that_reconcile_does_not_name_is_struck(self):
        """Tasks of a job that the home has ended must not start."""
        slots = make_connected_slots(A)
        run(slots, batch(concurrency=1))
        fixtures.connect(slots, A, session=2, now_s=2.0)
        slots.ledger.lease_renewed(A, 2, 5.0)
        self.assertEqual((), slots.check(4.9))
        finish(slots, 0, now_s=4.9)
        lost = "not_run authority_lost"
        fates = {0: "completed", 1: lost, 2: lost}
        self.assertEqual([(1, fates, 1, True)], summarize(slots.check(5.0)))

    def test_outcomes_without_a_stream_are_sent_after_reconnect(self):
        """Outcomes of tasks that end while disconnected must not be lost."""
        slots = make_connected_slots(A)
        run(slots, batch(specs=fixtures.tasks(1), concurrency=1))
        slots.disconnect(A, 1.0)
        finish(slots, 0, now_s=1.5)
        fixtures.connect(slots, A, session=2, now_s=2.0)
        emitted = reconcile(slots, (1, "t1.1", (0,)), now_s=2.0)
        self.assertEqual([(1, {0: "completed"}, 0, True)], summarize(emitted))

    def test_restarted_agent_answers_unknown(self):
        """A new incarnation must not deny starts of the previous one."""
        slots = make_connected_slots(A)
        emitted = reconcile(slots, (1, "t1.1", (0,)), session=1)
        fates = {0: "unknown agent_lost"}
        self.assertEqual([(1, fates, 0, True)], summarize(emitted))


class LeaveTest(unittest.TestCase):
    def test_leave_strikes_queued_and_finishes_running_tasks(self):
        """A planned shutdown must neither interrupt nor start tasks."""
        slots = make_connected_slots(A, B)
        run(slots, batch())
        emitted = slots.leave(1.0)
        self.assertEqual(
            [("leaving", "a"), ("leaving", "b")], summarize(emitted)
        )
        self.assertEqual((), slots.leave(1.0))
        self.assertEqual([], summarize(finish(slots, 0, now_s=1.1)))
        (answer,) = summarize(finish(slots, 1, now_s=1.2))
        fates = {2: "not_run leaving", 0: "completed", 1: "completed"}
        self.assertEqual((1, fates), answer[:2])
        self.assertTrue(slots.idle)

    def test_nothing_is_granted_while_leaving(self):
        """Credits granted while leaving would attract new batches."""
        slots = make_connected_slots(A, B)
        slots.leave(1.0)
        self.assertEqual((), slots.disconnect(A, 1.0))
        self.assertEqual((), slots.tick(9.0))
        emitted = fixtures.connect(slots, A, session=2, now_s=9.0)
        self.assertEqual([("leaving", "a")], summarize(emitted))


if __name__ == "__main__":
    unittest.main()
