"""Tests of the detection of silent runners."""

import types
import unittest

from trefoilgw.messages import runs
from trefoilgw.scheduler import clients

NAME = "side-1"


class FakeStream:
    """A stream from which nothing has been received for some time."""

    def __init__(self, silence_s):
        self.silence = silence_s
        self.closed = None

    def silence_s(self):
        return self.silence

    def send(self, message):
        pass

    def close(self, reason):
        self.closed = reason


class SilenceTest(unittest.TestCase):
    def is_closed(self, silence_s, has_tasks=False, ordered_s=None):
        """Returns whether the stream of a silent runner is closed.

        Args:
            silence_s: Time for which it has been silent.
            has_tasks: Whether tasks are at the runner.
            ordered_s: Time since the first of several orders in that time.
        """
        now_s = [100.0]
        parts = clients.Clients(
            "a" * 16,
            types.SimpleNamespace(has_tasks_at=lambda name: has_tasks),
            lambda: now_s[0],
            *[lambda *args: None] * 5,
        )
        stream = parts.runners[NAME] = FakeStream(silence_s)
        if ordered_s is not None:
            for at_s in (100.0 - ordered_s, 99.9):
                now_s[0] = at_s
                parts.send(NAME, runs.StartRuns(0, ()))
        now_s[0] = 100.0
        parts.close_silent()
        return stream.closed == "silent"

    def test_runner_without_tasks_may_be_silent_between_its_pings(self):
        """It pings once a second."""
        self.assertFalse(self.is_closed(2.0))
        self.assertTrue(self.is_closed(clients.MAX_IDLE_SILENCE_S + 0.1))

    def test_silent_runner_with_tasks_is_lost_soon(self):
        """Its tasks must be repeated, and it must get no further ones."""
        self.assertTrue(self.is_closed(1.3, has_tasks=True))
        self.assertFalse(self.is_closed(1.1, has_tasks=True))

    def test_limit_counts_from_the_first_order(self):
        """The first order ends a silence that was allowed until then.

        Later orders must not extend the time.
        """
        self.assertFalse(self.is_closed(2.0, has_tasks=True, ordered_s=1.0))
        self.assertTrue(self.is_closed(2.0, has_tasks=True, ordered_s=1.3))
