"""Tests of the agent's process: ready line, settings, SIGTERM, imports."""

import contextlib
import io
import json
import logging
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

import eventlet

from trefoilgw.agent import program
from trefoilgw.agent.tests import fixtures
from trefoilgw.messages import core as messages

ROOT = pathlib.Path(__file__).resolve().parents[3]
SETTINGS = """
name = "agent-1"
domain = "d1"
target_address = "{target}"
services = ["preview"]
entries = ["{entry}"]
stream_key = "{key}"
admin_address = "{admin}"
"""


class ProgramTest(unittest.TestCase):
    def setUp(self):
        limit = eventlet.Timeout(4 * fixtures.TIMEOUT_S)
        self.addCleanup(limit.cancel)
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", root.handlers[:])
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, sys, "excepthook", sys.excepthook)
        self.addCleanup(logging.captureWarnings, False)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.output = io.StringIO()
        self.errors = io.StringIO()

    def run_program(self, **fields):
        """Returns the exit code of an agent with the given settings."""
        values = {
            "target": "127.0.0.1:1",
            "entry": "127.0.0.1:1",
            "key": fixtures.KEY,
            "admin": "",
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "agent.toml")
            path.write_text(SETTINGS.format(**(values | fields)))
            with (
                contextlib.redirect_stdout(self.output),
                contextlib.redirect_stderr(self.errors),
            ):
                return program.run(["--settings", str(path)])

    def test_ready_line_and_graceful_shutdown(self):
        """After SIGTERM, running tasks must finish and the exit code be 0."""
        target, entry = (
            fixtures.FakeTarget(hold_answers=True),
            fixtures.FakeEntry("e"),
        )
        self.addCleanup(target.stop)
        self.addCleanup(entry.stop)
        running = eventlet.spawn(
            self.run_program,
            target=target.address,
            entry=entry.address,
            admin="127.0.0.1:0",
        )
        entry.next(messages.CreditGrant)
        ready = json.loads(self.output.getvalue())
        hello = entry.hellos.get(timeout=fixtures.TIMEOUT_S)
        self.assertTrue(ready["ready"])
        self.assertEqual(hello.incarnation, ready["incarnation"])
        self.assertEqual(hello.admin_address, ready["admin"])
        entry.send(fixtures.make_batch(tasks=2, concurrency=1))
        target.starts.get(timeout=fixtures.TIMEOUT_S)
        os.kill(os.getpid(), signal.SIGTERM)
        entry.next(messages.Leaving)
        entry.acked = (1,)
        target.release()
        fates = entry.outcomes(1)
        self.assertEqual(
            ["completed", "not_run"], [fates[0].fate, fates[1].fate]
        )
        self.assertEqual(0, running.wait())

    def test_invalid_settings(self):
        """Every finding must be printed, and the agent not start."""
        code = self.run_program(key="short", entry="nowhere")
        self.assertEqual(program.EXIT_CANNOT_START, code)
        self.assertIn("agent.toml:6", self.errors.getvalue())
        self.assertIn("agent.toml:7", self.errors.getvalue())
        self.assertEqual("", self.output.getvalue())

    def test_admin_address_in_use(self):
        """An agent that can't bind its admin address must report it."""
        occupied = eventlet.listen(("127.0.0.1", 0), reuse_port=False)
        self.addCleanup(occupied.close)
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        code = self.run_program(admin=address)
        self.assertEqual(program.EXIT_CANNOT_START, code)
        self.assertIn("can't listen", self.errors.getvalue())

    def test_unused_modules_are_not_loaded(self):
        """Unused libraries would take memory that tasks need."""
        script = (
            "import sys\n"
            "from trefoilgw.processes import unused_modules\n"
            "unused_modules.block()\n"
            "import eventlet\n"
            "eventlet.monkey_patch()\n"
            "from trefoilgw.agent import program\n"
            "unused = 'cattrs cleo eventlet.wsgi prometheus_client _ssl'\n"
            "print(*set(unused.split()) & set(sys.modules))\n"
        )
        child = [sys.executable, "-W", "ignore", "-c", script]
        done = subprocess.run(child, capture_output=True, text=True, cwd=ROOT)
        self.assertEqual(("", "\n"), (done.stderr, done.stdout))

    def test_command_runs_without_blocked_modules(self):
        """The command must not import any module that the agent blocks."""
        child = [sys.executable, "-m", "trefoilgw.agent.main"]
        child += ["--settings", "missing.toml"]
        done = subprocess.run(child, capture_output=True, text=True, cwd=ROOT)
        self.assertEqual(program.EXIT_CANNOT_START, done.returncode)
        self.assertIn("missing.toml:1: can't read", done.stderr)


if __name__ == "__main__":
    unittest.main()
