"""Tests of ends of runs that are lost with a broken stream."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions as room_actions
from trefoilgw.room.tests import fixtures as room_fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work


class ReconnectTest(unittest.TestCase):
    """A scheduler and a runner whose stream breaks and is opened again."""

    def setUp(self):
        self.scheduler = fixtures.make_scheduler("r1")
        self.allocator = room_fixtures.make_allocator(A)
        self.scheduler.submit(fixtures.job("j", tasks=2), 1, 0.0)
        taken = self.scheduler.take_actions()
        for task in (x[1] for x in fixtures.sent(taken)):
            room_fixtures.start_confirmed(self.allocator, A, task)
        self.allocator.take_actions()

    def break_stream(self, now_s):
        """Breaks the stream; what was sent over it is lost."""
        self.allocator.take_actions()
        self.scheduler.runner_disconnected("r1")
        self.allocator.owner_disconnected(A, now_s)

    def open_stream(self, now_s):
        """Opens it again; returns the actions of the scheduler."""
        self.allocator.take_actions()
        self.scheduler.runner_connected("r1", "i1", "d1", now_s)
        self.allocator.owner_connected(A, now_s)
        for action in self.allocator.take_actions():
            match action:
                case room_actions.SendMessage(
                    message=messages.RunEnded() as message
                ):
                    self.scheduler.run_ended("r1", message, now_s)
                case room_actions.SendMessage(
                    message=messages.ActiveRuns() as message
                ):
                    self.scheduler.reconcile_runs("r1", message, now_s)
        return self.scheduler.take_actions()

    def end(self, task, ending, now_s):
        self.allocator.run_ended(task, 1, ending, now_s)

    def test_run_whose_end_was_lost_is_not_repeated(self):
        """The task was repeated although it had been done."""
        self.end("j.0.0.0", work.Ending.DONE, 0.5)
        self.end("j.0.0.1", work.Ending.DONE, 0.5)
        self.break_stream(0.5)
        taken = self.open_stream(0.7)
        self.assertEqual([], fixtures.repeats(taken))
        self.assertEqual([("j", actions.Completed())], fixtures.answers(taken))

    def test_end_during_the_break_is_reported(self):
        """Its first message is dropped, as there is no stream."""
        self.break_stream(0.5)
        self.end("j.0.0.0", work.Ending.FAILED, 0.6)
        (repeated,) = fixtures.repeats(self.open_stream(0.7))
        self.assertEqual("j.0.0.0", repeated.task)
        self.assertIs(work.Evidence.ENDED, repeated.end.evidence)
        self.assertIs(work.Ending.FAILED, repeated.end.ending)

    def test_end_that_has_arrived_counts_once(self):
        """A failure that is reported twice would use up two attempts."""
        self.end("j.0.0.0", work.Ending.FAILED, 0.5)
        (ended,) = room_fixtures.sent_messages(
            self.allocator.take_actions(), messages.RunEnded
        )
        self.scheduler.run_ended("r1", ended[1], 0.5)
        self.break_stream(0.5)
        found = fixtures.repeats(self.open_stream(0.7))
        self.assertEqual(1, len([x for x in found if x.run == 1]))
        self.assertEqual(1, self.scheduler.admitted["j"].tasks[0].failures)

    def test_order_that_was_never_received(self):
        """Neither its end nor the run itself is known to the runner."""
        self.allocator.runs.clear()
        self.break_stream(0.5)
        found = fixtures.repeats(self.open_stream(0.7))
        self.assertEqual(
            2 * [("not_received", work.Evidence.NOT_RUN)],
            [(x.end.reason, x.end.evidence) for x in found],
        )

    def test_order_whose_end_may_be_forgotten(self):
        """The runner no longer tells whether such a run has worked."""
        self.end("j.0.0.0", work.Ending.DONE, 0.5)
        self.end("j.0.0.1", work.Ending.DONE, 0.5)
        self.allocator.tick(0.5)
        self.allocator.tick(0.6 + messages.ENDS_KEPT_S)
        self.break_stream(0.6 + messages.ENDS_KEPT_S)
        found = fixtures.repeats(self.open_stream(0.7 + messages.ENDS_KEPT_S))
        lost = jobs.RunEnd(
            work.Ending.LOST, "not_held", work.Evidence.LEASE_EXPIRED
        )
        self.assertEqual(2 * [lost], [x.end for x in found])


if __name__ == "__main__":
    unittest.main()
