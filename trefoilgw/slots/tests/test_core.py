"""Contract of the slots: starts, answers, strikes, deadlines, sessions."""

import unittest

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import batches
from trefoilgw.slots import core as slots_core
from trefoilgw.slots.tests import scenes
from trefoilgw.slots.tests.scenes import A
from trefoilgw.slots.tests.scenes import B
from trefoilgw.slots.tests.scenes import batch
from trefoilgw.slots.tests.scenes import connected
from trefoilgw.slots.tests.scenes import finish
from trefoilgw.slots.tests.scenes import run
from trefoilgw.slots.tests.scenes import started
from trefoilgw.slots.tests.scenes import told

CANCELLED = outcomes.Reason.CANCELLED


def reconcile(slots, *refs, entry=A, session=2, now_s=0.0):
    asked = tuple(messages.BatchRef(*ref) for ref in refs)
    return slots.reconcile(entry, session, asked, now_s)


class BatchTest(unittest.TestCase):
    def test_batch_runs_at_its_concurrency_and_answers_once(self):
        """More tasks than credits at once would overcommit the target."""
        slots = connected(A)
        self.assertEqual([0, 1], started(run(slots, batch())))
        self.assertEqual([2], started(finish(slots, 1)))
        self.assertEqual([], told(finish(slots, 0)))
        fates = {1: "completed", 0: "completed", 2: "completed"}
        self.assertEqual([(1, fates, 2, True)], told(finish(slots, 2)))
        self.assertEqual(8, slots.held(A))

    def test_duplicate_batch_starts_nothing(self):
        """A batch that arrives twice must not run or spend twice."""
        slots = connected(A)
        run(slots, batch())
        self.assertEqual((), run(slots, batch()))
        self.assertEqual(6, slots.held(A))
        for index in (0, 1, 2):
            finish(slots, index)
        self.assertEqual((), run(slots, batch()))
        self.assertEqual(2, slots.counters.duplicate_batches)

    def test_repeated_index_runs_once(self):
        """A task that stands in a batch twice must not start twice."""
        slots = connected(A)
        specs = scenes.tasks(1) + scenes.tasks(1)
        self.assertEqual([0], started(run(slots, batch(specs=specs))))
        fates = {0: "completed"}
        self.assertEqual([(1, fates, 2, True)], told(finish(slots, 0)))

    def test_same_task_in_another_batch_is_unknown(self):
        """A second batch for a task must neither start nor deny it."""
        slots = connected(A)
        run(slots, batch(specs=scenes.tasks(1), concurrency=1))
        again = batch(2, specs=scenes.tasks(1), job="t1.1")
        fates = {0: "unknown internal"}
        self.assertEqual([(2, fates, 2, True)], told(run(slots, again)))

    def test_refusals_on_arrival_are_answered(self):
        """A batch that is not taken must give its credits back."""

        def fill(slots):
            slots.ledger.records.limit_records = 0

        def queue(slots):
            slots.execution.queued_bytes = slots_core.LIMIT_QUEUED_BYTES

        cases = {
            "leaving": (lambda slots: slots.leave(0.0), "leaving"),
            "ledger full": (fill, "capacity"),
            "payloads": (queue, "capacity"),
        }
        for name, (event, reason) in cases.items():
            with self.subTest(name):
                slots = connected(A)
                event(slots)
                found = run(slots, batch(specs=scenes.tasks(1)))
                fates = {0: f"not_run {reason}"}
                self.assertEqual([(1, fates, 2, True)], told(found))
                self.assertEqual(8, slots.held(A))

    def test_large_outcomes_leave_in_several_frames(self):
        """A frame above the limit would cut the stream."""
        slots = connected(A)
        run(slots, batch(specs=scenes.tasks(8), concurrency=8))
        size = batches.FLUSH_BYTES // batches.FLUSH_SHARES_MIN // 4
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
            self.assertLessEqual(total, batches.DONE_FRAME_BYTES)
        counts = [len(frame.message.outcomes) for frame in frames]
        self.assertEqual(40, sum(counts))


class StrikeTest(unittest.TestCase):
    def test_strike_races_a_start(self):
        """A running task must go on, a queued one must never start."""
        slots = connected(A)
        run(slots, batch())
        found = slots.strike(A, (1,), CANCELLED, 0.0)
        self.assertEqual([], told(found))
        self.assertEqual([], started(finish(slots, 0)))
        fates = {2: "not_run cancelled", 0: "completed", 1: "completed"}
        self.assertEqual([(1, fates, 2, True)], told(finish(slots, 1)))

    def test_strike_returns_credits_above_the_running_tasks(self):
        """Credits of struck tasks must not wait for the running ones."""
        slots = connected(A)
        run(slots, batch(specs=scenes.tasks(9), concurrency=8))
        finish(slots, 0)
        for index in (1, 2, 3):
            finish(slots, index)
        slots.strike(A, (1,), CANCELLED, 0.0)
        self.assertEqual(3, slots.held(A))

    def test_strike_before_the_batch_arrives(self):
        """A batch struck on a newer session must not start later."""
        slots = connected(A)
        self.assertEqual((), slots.strike(A, (1,), CANCELLED, 0.0))
        self.assertEqual((), run(slots, batch()))

    def test_many_strikes_end_many_batches(self):
        """A burst of cancellations must free every credit."""
        slots = connected(A)
        for number in range(1, 9):
            run(slots, batch(number, concurrency=1))
        slots.strike(A, tuple(range(1, 9)), CANCELLED, 0.0)
        for number in range(1, 9):
            finish(slots, 0, number)
        self.assertEqual(8, slots.held(A))
        self.assertTrue(slots.idle)


class ResizeTest(unittest.TestCase):
    def test_resize(self):
        """Credits must come back as tasks end, never while they run."""
        # name: (first concurrency, new one, told at once, told after a task)
        cases = {
            "below running": (4, 1, [], [("a", 1)]),
            "to zero": (2, 0, [], [("a", 1)]),
            "same": (2, 2, [], []),
            "larger": (2, 4, [], []),
        }
        for name, (first, new, at_once, after) in cases.items():
            with self.subTest(name):
                slots = connected(A)
                specs = scenes.tasks(9)
                run(slots, batch(specs=specs, concurrency=first))
                found = slots.resize(A, 1, new, 0.0)
                self.assertEqual(at_once, told(found))
                running = max(first, new)
                self.assertEqual(running, slots.running)
                self.assertEqual(after, told(finish(slots, 0)))
                self.assertEqual(8 - slots.book.used[A], slots.held(A))

    def test_resized_to_zero_waits_and_goes_on(self):
        """A batch without credits must neither run nor end."""
        slots = connected(A)
        run(slots, batch(concurrency=1))
        slots.resize(A, 1, 0, 0.0)
        self.assertEqual([], started(finish(slots, 0)))
        self.assertEqual(8, slots.held(A))
        self.assertEqual([1, 2], started(slots.resize(A, 1, 2, 0.0)))

    def test_larger_than_the_credits_held(self):
        """A resize must not take credits that others hold."""
        slots = connected(A, B)
        run(slots, batch(specs=scenes.tasks(9), concurrency=2))
        self.assertEqual([2, 3], started(slots.resize(A, 1, 8, 0.0)))
        self.assertEqual(4, slots.held(B))


class DeadlineTest(unittest.TestCase):
    def test_straggler_keeps_its_slot(self):
        """A slot lent anew while the target is busy overcommits it."""
        slots = connected(A)
        run(slots, batch())
        self.assertEqual((), slots.check(2.9))
        slots.ledger.lease_renewed(A, 1, 9.0)
        finish(slots, 0)
        found = slots.check(10.0)
        fates = {0: "completed", 1: "unknown deadline", 2: "unknown deadline"}
        expected = [("stop", 1), ("stop", 2), (1, fates, 0, True)]
        self.assertEqual(expected, told(found))
        self.assertEqual(6, slots.held(A))
        self.assertEqual(2, slots.running)
        self.assertEqual([("a", 1)], told(finish(slots, 1)))
        self.assertEqual([], told(finish(slots, 1)))
        self.assertEqual([("a", 1)], told(finish(slots, 2)))
        self.assertEqual(8, slots.held(A))

    def test_queued_tasks_at_the_deadline_have_not_run(self):
        """Work that can't be in time must be told as not run."""
        slots = connected(A)
        run(slots, batch(concurrency=1))
        slots.ledger.lease_renewed(A, 1, 9.0)
        _, answer = told(slots.check(10.0))
        late = "not_run deadline"
        fates = {1: late, 2: late, 0: "unknown deadline"}
        self.assertEqual((1, fates, 0, True), answer)

    def test_late_result_does_not_change_the_fate(self):
        """A home must never be told two fates of one task."""
        slots = connected(A)
        run(slots, batch(specs=scenes.tasks(1)))
        slots.check(10.0)
        finish(slots, 0)
        slots.ledger.session_opened(A, 2, 10.0)
        (answer,) = told(reconcile(slots, (1, "t1.1", (0,)), now_s=10.0))
        self.assertEqual((1, {0: "unknown deadline"}, 0, True), answer)


class SessionTest(unittest.TestCase):
    def test_bytes_of_an_older_session(self):
        """An old connection's buffer must not start reported tasks."""
        slots = connected(A)
        scenes.connect(slots, A, session=2)
        ref = (1, "t1.1", (0, 1, 2))
        lost = "not_run authority_lost"
        ((_, fates, _, final),) = told(reconcile(slots, ref))
        self.assertEqual(({0: lost, 1: lost, 2: lost}, True), (fates, final))
        self.assertEqual((), run(slots, batch(), session=1))
        self.assertEqual(1, slots.counters.fenced_batches)
        self.assertEqual((), reconcile(slots, ref, session=1))

    def test_paused_agent_strikes_its_queue(self):
        """A resumed agent must not start what its home gave up."""
        cases = {
            "checked first": lambda slots: slots.check(4.0),
            "task ends first": lambda slots: finish(slots, 0, now_s=4.0),
        }
        for name, event in cases.items():
            with self.subTest(name):
                slots = connected(A)
                run(slots, batch(concurrency=1))
                found = event(slots)
                slots.ledger.lease_renewed(A, 1, 4.0)
                found += slots.check(4.0) + finish(slots, 0, now_s=4.0)
                self.assertEqual([], started(found))
                lost = "not_run authority_lost"
                fates = {0: "completed", 1: lost, 2: lost}
                self.assertIn((1, fates, 1, True), told(found))

    def test_running_batch_is_resumed_by_reconcile(self):
        """A cut stream must not cost the tasks that can still run."""
        slots = connected(A)
        run(slots, batch(concurrency=1))
        slots.disconnect(A, 1.0)
        self.assertEqual([1], started(finish(slots, 0, now_s=1.5)))
        scenes.connect(slots, A, session=2, now_s=2.0)
        self.assertEqual([], started(finish(slots, 1, now_s=2.0)))
        found = reconcile(slots, (1, "t1.1", (0, 1, 2)), now_s=2.1)
        done = {0: "completed", 1: "completed"}
        self.assertEqual([(1, done, 0, False)], told(found))
        self.assertEqual([2], started(found))
        answer = told(finish(slots, 2, now_s=2.2))
        self.assertEqual([(1, {2: "completed"}, 1, True)], answer)

    def test_batch_that_the_home_does_not_name_is_struck(self):
        """A home that ended a job must not see its tasks start."""
        slots = connected(A)
        run(slots, batch(concurrency=1))
        scenes.connect(slots, A, session=2, now_s=2.0)
        slots.ledger.lease_renewed(A, 2, 5.0)
        self.assertEqual((), slots.check(4.9))
        finish(slots, 0, now_s=4.9)
        lost = "not_run authority_lost"
        fates = {0: "completed", 1: lost, 2: lost}
        self.assertEqual([(1, fates, 1, True)], told(slots.check(5.0)))

    def test_finished_without_a_stream(self):
        """Results that found no stream must be told after a reconnect."""
        slots = connected(A)
        run(slots, batch(specs=scenes.tasks(1), concurrency=1))
        slots.disconnect(A, 1.0)
        finish(slots, 0, now_s=1.5)
        scenes.connect(slots, A, session=2, now_s=2.0)
        found = reconcile(slots, (1, "t1.1", (0,)), now_s=2.0)
        self.assertEqual([(1, {0: "completed"}, 0, True)], told(found))

    def test_restarted_agent_answers_unknown(self):
        """A new incarnation must not deny the starts of the former one."""
        slots = connected(A)
        found = reconcile(slots, (1, "t1.1", (0,)), session=1)
        fates = {0: "unknown agent_lost"}
        self.assertEqual([(1, fates, 0, True)], told(found))


class LeaveTest(unittest.TestCase):
    def test_leaving(self):
        """A planned stop must interrupt nothing and start nothing."""
        slots = connected(A, B)
        run(slots, batch())
        found = slots.leave(1.0)
        self.assertEqual([("leaving", "a"), ("leaving", "b")], told(found))
        self.assertEqual((), slots.leave(1.0))
        self.assertEqual([], told(finish(slots, 0, now_s=1.1)))
        (answer,) = told(finish(slots, 1, now_s=1.2))
        fates = {2: "not_run leaving", 0: "completed", 1: "completed"}
        self.assertEqual((1, fates), answer[:2])
        self.assertTrue(slots.idle)

    def test_nothing_is_granted_while_leaving(self):
        """Credits granted while leaving would bring new work."""
        slots = connected(A, B)
        slots.leave(1.0)
        self.assertEqual((), slots.disconnect(A, 1.0))
        self.assertEqual((), slots.tick(9.0))
        found = scenes.connect(slots, A, session=2, now_s=9.0)
        self.assertEqual([("leaving", "a")], told(found))


if __name__ == "__main__":
    unittest.main()
