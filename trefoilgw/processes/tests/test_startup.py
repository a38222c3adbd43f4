"""Tests of what the programs on the users' platform load at their start."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
SCRIPT = """
import sys
from trefoilgw.processes import startup
startup.prepare()
import importlib
importlib.import_module("trefoilgw.{program}.program")
unused = "{unused}"
print(*sorted(set(unused.split()) & set(sys.modules)))
import socket, time
print(socket.socket.__module__, time.sleep.__module__)
"""


class StartupTest(unittest.TestCase):
    def load(self, program, unused):
        """Returns which unused modules a program loads, and what is patched."""
        script = SCRIPT.format(program=program, unused=unused)
        child = [sys.executable, "-W", "ignore", "-c", script]
        done = subprocess.run(child, capture_output=True, text=True, cwd=ROOT)
        self.assertEqual("", done.stderr)
        return done.stdout.splitlines()

    def test_runner_loads_nothing_that_it_does_not_need(self):
        """Hundreds of runners start at once, each on half a core."""
        loaded, _ = self.load(
            "runner",
            "_ssl dns prometheus_client urllib3 trefoilgw.scheduling"
            " trefoilgw.keyvalue trefoilgw.platform.store",
        )
        self.assertEqual("", loaded)

    def test_scheduler_loads_nothing_that_it_does_not_need(self):
        loaded, _ = self.load("scheduler", "_ssl dns prometheus_client")
        self.assertEqual("", loaded)

    def test_standard_library_yields(self):
        """A blocking call would stop the whole process."""
        _, patched = self.load("runner", "")
        self.assertEqual("eventlet.greenio.base eventlet.greenthread", patched)


# Sends SIGHUP to a program while its modules are being imported, and once more
# while its settings are read.
SIGNALLED = """
import os, signal, sys
class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "eventlet":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Signaller())
sys.argv[1:] = []
from trefoilgw.{program} import main
from trefoilgw.platform import hosting
def load():
    os.kill(os.getpid(), signal.SIGHUP)
    raise SystemExit("read")
hosting.load = load
main.main()
"""


class SignalTest(unittest.TestCase):
    def test_reload_signal_ends_no_program_that_starts(self):
        """The settings of hosts that are added change while they start.

        The default action of SIGHUP ends the process.
        """
        for program in ("scheduler", "runner"):
            with self.subTest(program=program):
                script = SIGNALLED.format(program=program)
                child = [sys.executable, "-W", "ignore", "-c", script]
                done = subprocess.run(
                    child, capture_output=True, text=True, cwd=ROOT
                )
                self.assertEqual("read\n", done.stderr)
