"""Tests of the launcher with target stand-ins as real processes."""

import json
import os
import pathlib
import signal
import tempfile
import unittest

from tools import fleet
from tools import load_runs
from tools import processes

TIMEOUT_S = 60.0
SCENARIO = """
name = "direct"
duration_s = 0.5
slots = 16
[[customer]]
name = "cobre-calco"
[[customer.flow]]
kind = "preview"
jobs_s = 60.0
tasks = [1, 4]
run_ms = [1, 5]
"""


class ProcessesTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.launcher = processes.Launcher(self.path)
        self.addCleanup(self.launcher.close)

    def start(self, name="target-0"):
        process = self.launcher.start(name, "tools.standins.target")
        process.wait_ready(TIMEOUT_S)
        return process

    def test_measures_of_a_running_process(self):
        process = self.start()
        self.assertGreater(process.rss_bytes(), 5_000_000)
        self.assertGreater(process.cpu_s(), 0.0)
        content = fleet.fetch(process.ready["http"], "/control/starts")
        self.assertEqual({}, json.loads(content)["starts"])

    def test_signals(self):
        """Fault tests rely on signals that really stop and kill a process."""
        process = self.start()
        process.freeze()
        self.assertTrue(process.running())
        process.thaw()
        process.kill()
        self.assertEqual(-signal.SIGKILL, process.wait(TIMEOUT_S))

    def test_close_ends_frozen_processes(self):
        """A frozen child process must not outlive the launcher."""
        process = self.start()
        process.freeze()
        self.launcher.close()
        self.assertFalse(process.running())
        with self.assertRaises(ProcessLookupError):
            os.kill(process.pid, 0)

    def test_failed_start_shows_the_log(self):
        process = self.launcher.start("bad", "tools.no_such_module")
        with self.assertRaisesRegex(processes.StartError, "no_such_module"):
            process.wait_ready(TIMEOUT_S)

    def test_parts_of_a_load_run_add_up(self):
        """Two load processes must together send each arrival exactly once."""
        run = fleet.Fleet()
        self.addCleanup(run.close)
        for number in range(2):
            run.start_target(number).wait_ready(TIMEOUT_S)
        path = self.path / "direct.toml"
        path.write_text(SCENARIO, encoding="utf-8")
        merged = load_runs.run(run, str(path), parts=2, policy="random")
        counts = merged.total().counts
        self.assertGreater(counts["planned"], 5)
        self.assertEqual(counts["planned"], counts["complete"])
        self.assertEqual({}, merged.faults())
        starts = sum(sum(tally["starts"].values()) for tally in run.starts())
        self.assertEqual(counts["task_starts"], starts)
        self.assertEqual(counts["tasks_complete"], starts)


class MetricsTest(unittest.TestCase):
    def test_parse(self):
        text = (
            "# HELP a_total text\n"
            'a_total{peer="x",kind="Ping"} 3.0\n'
            'a_total{peer="x",kind="RunBatch"} 4.0\n'
            "b 1e3\n"
        )
        values = fleet.parse_metrics(text)
        self.assertEqual(7.0, fleet.total(values, "a_total"))
        self.assertEqual(3.0, fleet.total(values, "a_total", 'kind="Ping"'))
        self.assertEqual(1000.0, fleet.total(values, "b"))


if __name__ == "__main__":
    unittest.main()
