"""Tests of callers that leave while the scheduler is paused."""

import json
import types
import unittest

import eventlet

from trefoilgw.platform import callers
from trefoilgw.platform import hosting
from trefoilgw.platform.tests import test_decoding
from trefoilgw.scheduler import program
from trefoilgw.scheduling.tests import fixtures


class FakeCaller:
    """A caller whose disconnection the event loop has not reported yet.

    Attributes:
        gone: Whether it has closed its connection.
    """

    def __init__(self, gone=False):
        self.gone = gone
        self.connection = callers.Connection(
            lambda callback: None, lambda: self.gone
        )


def make_program():
    """Returns a scheduler program, not started, with one usable runner."""
    document = {
        **test_decoding.SETTINGS,
        "serves": ["front"],
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    }
    parts = program.Program(hosting.decode(json.dumps(document).encode()))
    parts.configuration_watcher.current = types.SimpleNamespace(version=1)
    fixtures.connect_runner(parts.scheduler, "r1")
    return parts


class PauseTest(unittest.TestCase):
    def test_job_of_a_caller_that_has_left_is_not_admitted(self):
        """Such a caller has sent its job to another scheduler.

        After a pause, requests are read that waited to be accepted. Their
        tasks ran beside those of the second submission.
        """
        parts = make_program()
        caller = FakeCaller(gone=True)
        self.assertIsNone(parts.submit(fixtures.job("j"), caller.connection))
        self.assertEqual({}, parts.scheduler.admitted)

    def test_jobs_of_callers_that_left_in_a_pause_are_cancelled_at_once(self):
        """The next tick could place their tasks again before.

        It ran before the event loop had reported the closed connections if
        handling the requests that had arrived took longer than a tick.
        """
        parts = make_program()
        leaving, staying = FakeCaller(), FakeCaller()
        for key, caller in (("left", leaving), ("stays", staying)):
            eventlet.spawn(parts.submit, fixtures.job(key), caller.connection)
        eventlet.sleep(0.0)
        self.assertEqual({"left", "stays"}, parts.scheduler.admitted.keys())
        leaving.gone = True
        parts.drop_closed_callers(2.4)
        self.assertEqual({"stays"}, parts.scheduler.admitted.keys())


if __name__ == "__main__":
    unittest.main()
