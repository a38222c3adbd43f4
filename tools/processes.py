"""Starts, signals, measures and ends processes of the project.

Only processes that were started here are signalled. Each process writes its
standard output and standard error to files; the first line of the output is
the ready line, a JSON object that the process prints once it is ready.
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
import urllib3

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
KILL_TIMEOUT_S = 5.0
PR_SET_PDEATHSIG = 1  # From <linux/prctl.h>.
ROOT = pathlib.Path(__file__).resolve().parent.parent
_LIBC = ctypes.CDLL(None, use_errno=True)


class StartError(Exception):
    """A process ended or timed out before it printed its ready line."""


def _set_parent_death_signal() -> None:
    """Has the kernel kill this child process when its parent dies."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@attrs.define(eq=False)
class Process:
    """A started process.

    Attributes:
        name: Name of the process and stem of its file names, unique within
            the launcher.
        module: Python module that it runs.
        child: Handle of the process.
        output: Path of its standard output.
        log: Path of its standard error.
        ready: Content of the ready line; empty until `wait_ready` returned.
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

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            The content of the ready line.

        Raises:
            StartError: The process ended or did not become ready in time;
                the message holds the end of its log.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            line, newline, _ = self.output.read_text().partition("\n")
            if newline:
                self.ready = json.loads(line)
                return self.ready
            if not self.running():
                break
            time.sleep(POLL_INTERVAL_S)
        tail = "\n".join(self.log.read_text().splitlines()[-15:])
        raise StartError(f"{self.name} is not ready:\n{tail}")

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.running():
            self.child.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.send(signal.SIGKILL)

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP until `thaw`."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a process that `freeze` suspended."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to finish its work and exit, with SIGTERM."""
        self.send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the process to end.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            The exit status, None if the process still runs.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.running() and time.monotonic() < deadline_s:
            time.sleep(POLL_INTERVAL_S)
        return self.child.poll()

    def cpu_s(self) -> float:
        """Returns the CPU time of the process's live threads in seconds."""
        total_ns = 0
        for path in pathlib.Path(f"/proc/{self.pid}/task").glob("*/schedstat"):
            total_ns += int(path.read_text().split()[0])
        return total_ns / 1e9

    def rss_bytes(self) -> int:
        """Returns the resident set size in bytes."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


@attrs.define(eq=False)
class Launcher:
    """Starts processes and kills them all on `close`.

    Attributes:
        directory: Directory of the settings, outputs and logs.
        processes: Started processes by name.
    """

    directory: pathlib.Path
    processes: dict[str, Process] = attrs.field(factory=dict)

    def start(
        self, name: str, module: str, *arguments: str, **variables: str
    ) -> Process:
        """Starts ``python -m module arguments`` without waiting for it.

        Args:
            name: Name of the process. A process of the same name is dropped
                from `processes`, but not ended.
            module: Python module to run.
            *arguments: Command-line arguments of the module.
            **variables: Additional environment variables.
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
                preexec_fn=_set_parent_death_signal,
            )
        process = Process(name, module, child, output, log)
        self.processes[name] = process
        return process

    def close(self) -> None:
        """Kills every process that still runs and waits until it ended."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(KILL_TIMEOUT_S)


def exit_on_sigterm() -> None:
    """Makes SIGTERM raise SystemExit, so that clean-up code runs."""

    def handle_sigterm(signal_number, frame):
        raise SystemExit(128 + signal_number)

    signal.signal(signal.SIGTERM, handle_sigterm)


def call_control(address: str, action: str, body: dict | None = None):
    """Calls the control interface of a stand-in.

    Args:
        address: Address of the stand-in.
        action: Last part of the path.
        body: Sent as JSON with POST; the request is a GET if None.

    Returns:
        The decoded response.
    """
    method = "GET" if body is None else "POST"
    data = None if body is None else json.dumps(body)
    url = f"http://{address}/control/{action}"
    return json.loads(urllib3.request(method, url, body=data).data)
