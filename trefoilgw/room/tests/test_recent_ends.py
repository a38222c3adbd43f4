"""Tests of the ends that a runner keeps to send them again."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import recent_ends
from trefoilgw.room.tests import fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.room.tests.fixtures import B
from trefoilgw.scheduler import clients
from trefoilgw.scheduling import runners
from trefoilgw.work import core as work


def end(number):
    return messages.RunEnded(f"j.0.0.{number}", 1, "done", "", 0.1)


class RecentEndsTest(unittest.TestCase):
    def test_ends_are_kept_for_their_time(self):
        """The time counts from the tick that follows, whatever it was before.

        A runner may have been paused just before the end.
        """
        ends = recent_ends.RecentEnds()
        ends.expire(1.0)
        ends.add(A, end(0))
        ends.expire(9.0)
        ends.add(A, end(1))
        ends.expire(9.1)
        ends.expire(9.0 + messages.ENDS_KEPT_S)
        self.assertEqual([end(0), end(1)], ends.of(A))
        ends.expire(9.05 + messages.ENDS_KEPT_S)
        self.assertEqual([end(1)], ends.of(A))
        ends.expire(9.2 + messages.ENDS_KEPT_S)
        self.assertEqual({}, ends.ends)

    def test_ends_of_each_scheduler_are_bounded(self):
        """A flood of refusals must neither use up memory nor hide others."""
        ends = recent_ends.RecentEnds()
        ends.add(B, end(0))
        for number in range(recent_ends.MAX_KEPT_ENDS + 1):
            ends.add(A, end(number))
        self.assertEqual(recent_ends.MAX_KEPT_ENDS, len(ends.of(A)))
        self.assertEqual(end(1), ends.of(A)[0])
        self.assertEqual([end(0)], ends.of(B))

    def test_ends_outlast_the_time_to_give_a_runner_up(self):
        """A scheduler that waits for a lost runner must still get them.

        It notices late that the runner is silent.
        """
        self.assertGreater(
            messages.ENDS_KEPT_S, runners.RUN_EXPIRY_S + clients.MAX_SILENCE_S
        )


class ReconnectTest(unittest.TestCase):
    def test_ends_go_before_the_active_runs(self):
        """A run whose end comes later would count as never received."""
        allocator = fixtures.make_allocator(A, B)
        fixtures.start_confirmed(allocator, A, "j.0.0.0", "j.0.0.1")
        allocator.run_ended("j.0.0.0", 1, work.Ending.DONE, 0.2)
        (first,) = fixtures.sent_messages(
            allocator.take_actions(), messages.RunEnded
        )
        allocator.owner_disconnected(A, 0.3)
        allocator.owner_connected(A, 0.4)
        active = messages.ActiveRuns((messages.RunRef("j.0.0.1", 1),))
        self.assertEqual(
            [
                actions.SendMessage(A, first[1], again=True),
                actions.SendMessage(A, active),
            ],
            allocator.take_actions(),
        )
        allocator.owner_connected(B, 0.4)
        self.assertEqual(
            [actions.SendMessage(B, messages.ActiveRuns(()))],
            allocator.take_actions(),
        )


if __name__ == "__main__":
    unittest.main()
