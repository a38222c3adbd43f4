"""Starts, signals, measures and ends processes of the project.

Used by the launcher of the demo and the figures. Only processes that were
started here are signalled. Each writes its standard output and error into
files; the first line of the output is the JSON ready line.
"""

import ctypes
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs

READY_TIMEOUT_S = 30.0
POLL_S = 0.02
KILL_WAIT_S = 5.0
PR_SET_PDEATHSIG = 1
ROOT = pathlib.Path(__file__).resolve().parent.parent
_LIBC = ctypes.CDLL(None, use_errno=True)


class StartError(Exception):
    """A process ended or stayed silent instead of becoming ready."""


def _die_with_parent() -> None:
    """Ends the child if its launcher is killed."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@attrs.define(eq=False)
class Process:
    """One started process.

    Attributes:
        name: Unique in the launcher, names the files.
        module: Python module that it runs.
        child: Handle of the process.
        output: File of its standard output.
        log: File of its standard error.
        ready: Content of the ready line once `wait_ready` returned.
    """

    name: str
    module: str
    child: subprocess.Popen
    output: pathlib.Path
    log: pathlib.Path
    ready: dict = attrs.field(factory=dict)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.child.pid

    def running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.child.poll() is None

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> dict:
        """Waits for the ready line.

        Returns:
            Its content.

        Raises:
            StartError: The process ended or did not become ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            line, end, _ = self.output.read_text().partition("\n")
            if end:
                self.ready = json.loads(line)
                return self.ready
            if not self.running():
                break
            time.sleep(POLL_S)
        tail = "\n".join(self.log.read_text().splitlines()[-15:])
        raise StartError(f"{self.name} is not ready:\n{tail}")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.running():
            self.child.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)

    def freeze(self) -> None:
        """Stops the process until `thaw`."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continues a stopped process."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to finish its work and exit."""
        self.send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Returns the exit status, None if it still runs."""
        deadline_s = time.monotonic() + timeout_s
        while self.running() and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
        return self.child.poll()

    def cpu_s(self) -> float:
        """Returns the CPU time of all threads in seconds."""
        total_ns = 0
        for path in pathlib.Path(f"/proc/{self.pid}/task").glob("*/schedstat"):
            total_ns += int(path.read_text().split()[0])
        return total_ns / 1e9

    def rss_bytes(self) -> int:
        """Returns the resident memory."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


@attrs.define(eq=False)
class Launcher:
    """Starts processes and ends them all on `close`.

    Attributes:
        directory: Holds settings, outputs and logs.
        processes: By name.
    """

    directory: pathlib.Path
    processes: dict[str, Process] = attrs.field(factory=dict)

    def start(
        self, name: str, module: str, *arguments: str, **variables: str
    ) -> Process:
        """Starts ``python -m module arguments`` without waiting for it.

        Args:
            name: Name of the process; a second one replaces the first.
            module: Python module to run.
            *arguments: Its arguments.
            **variables: Further environment variables.
        """
        output = self.directory / f"{name}.out"
        log = self.directory / f"{name}.log"
        environment = os.environ | {"EVENTLET_NO_GREENDNS": "yes"} | variables
        with open(output, "wb") as out, open(log, "wb") as error:
            child = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=error,
                preexec_fn=_die_with_parent,
            )
        process = Process(name, module, child, output, log)
        self.processes[name] = process
        return process

    def close(self) -> None:
        """Kills every process that still runs and waits for its end."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(KILL_WAIT_S)


def exit_on_terminate() -> None:
    """Turns SIGTERM into SystemExit, so that clean-up code runs."""

    def leave(number, frame):
        raise SystemExit(128 + number)

    signal.signal(signal.SIGTERM, leave)
