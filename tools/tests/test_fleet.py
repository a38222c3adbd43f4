"""End-to-end run with real processes, far below their capacity."""

import pathlib
import tempfile
import unittest

from tools import fleet as fleets
from tools import fleet_metrics
from tools import load_runs

SCENARIO = """
name = "whole-path"
duration_s = 1.5
drain_s = 60.0
slots = 16
[[customer]]
name = "cobre-calco"
[[customer.flow]]
kind = "preview"
jobs_s = 8.0
run_ms = [1, 20]
deadline_s = 60.0
ticket_share = 0.5
own_key_share = 0.5
resubmit_share = 1.0
[[customer]]
name = "bluebonnet"
[[customer.flow]]
kind = "streak-sync"
jobs_s = 4.0
tasks = [1, 8]
run_ms = [1, 20]
deadline_s = 60.0
ticket_share = 0.5
idempotent = false
"""


class WholePathTest(unittest.TestCase):
    def test_answers_match_the_targets_tally(self):
        """Answers must agree with the targets' own counts.

        On an overloaded machine a job may be refused. Every submission with a
        key is sent again through the other entry, so a second home or a second
        start of a task shows in the counts.
        """
        with (
            fleets.Fleet(fleets.Sizes(entries=2, agents=2)) as fleet,
            tempfile.TemporaryDirectory() as directory,
        ):
            path = pathlib.Path(directory) / "whole-path.toml"
            path.write_text(SCENARIO, encoding="utf-8")
            before = fleet_metrics.read(fleet)
            run = load_runs.run(fleet, str(path), parts=2)
            used = fleet_metrics.difference(before, fleet_metrics.read(fleet))
            tallies = fleet.starts()
        counts = run.counts()
        self.assertGreater(counts["planned"], 5)
        self.assertGreater(counts["resubmitted"], 0)
        self.assertGreater(counts["complete"], 0)
        self.assertEqual({}, run.faults(), run.total().reasons)
        self.assertEqual(0, counts["unanswered"])
        self.assertEqual([], [t for t in tallies if t["double"]])
        self.assertLessEqual(max(t["max_at_once"] for t in tallies), 8)
        messages = fleet_metrics.task_messages(used)
        self.assertGreaterEqual(messages, 2)
        self.assertGreater(fleet_metrics.forwards(used), 0)
        self.assertGreater(fleet_metrics.stream_bytes(used, 'peer="agent"'), 0)


if __name__ == "__main__":
    unittest.main()
