"""Tests of the log lines of a runner."""

import json
import unittest

from trefoilgw.platform import hosting
from trefoilgw.platform.tests import test_decoding
from trefoilgw.room.tests import fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.runner import program
from trefoilgw.work import core as work


class EndTest(unittest.TestCase):
    def test_end_that_is_sent_again_is_logged_once(self):
        """A second line would look like another run."""
        document = json.dumps(test_decoding.SETTINGS).encode()
        runner = program.Runner(hosting.decode(document))
        allocator = runner.allocator = fixtures.make_allocator(A)
        fixtures.start_confirmed(allocator, A, "j.0.0.0")
        allocator.run_ended("j.0.0.0", 1, work.Ending.FAILED, 0.5)
        with self.assertLogs(program.log, "INFO") as logged:
            runner.flush()
            allocator.owner_connected(A, 0.6)
            runner.flush()
        self.assertEqual(["run ended"], [x.msg for x in logged.records])
        self.assertEqual(1, sum(runner.counts.ended.values.values()))


if __name__ == "__main__":
    unittest.main()
