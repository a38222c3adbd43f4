"""Runs a fleet of real processes on free ports of this machine.

`Fleet` starts the key-value stand-in, targets, entries and agents, applies the
sample configuration, and reads the status and metrics of each process. Tests,
the demo and the figures use it. It is not part of the product, whose processes
start no others.
"""

import json
import pathlib
import re
import sys
import tempfile
import time
import urllib.error
import urllib.request

import attrs

from tools import processes
from tools import sample

STREAM_KEY = "5a" * 16
DOMAINS = ("d1", "d2", "d3")
HTTP_TIMEOUT_S = 5.0
SETTLE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
SLOTS_PER_TARGET = 8

_METRIC = re.compile(r"^([a-zA-Z_:][\w:]*)(\{.*\})?\s+(\S+)")


class FleetError(Exception):
    """The fleet did not reach the requested state."""


@attrs.frozen
class Sizes:
    """Number of processes and slots of a fleet.

    Attributes:
        entries: Number of entries.
        agents: Number of agents, each with a target of its own.
        slots: Number of slots of each target.
    """

    entries: int = 3
    agents: int = 11
    slots: int = SLOTS_PER_TARGET

    @property
    def total_slots(self) -> int:
        """Number of slots of all targets together."""
        return self.agents * self.slots


def fetch(address: str, path: str, body: dict | None = None) -> bytes:
    """Sends an HTTP request and returns the body of the response.

    Args:
        address: Address of the server as ``ip:port``.
        path: Path of the request.
        body: Sent as JSON with POST; the request is a GET if None.

    Raises:
        OSError: There was no response, or its status was 400 or above.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
        return answer.read()


def parse_metrics(text: str) -> dict[str, float]:
    """Parses the Prometheus text format.

    Args:
        text: Exposition of a process.

    Returns:
        Values of the samples, by metric name followed by the labels as
        written.
    """
    values = {}
    for line in text.splitlines():
        match = _METRIC.match(line)
        if match and not line.startswith("#"):
            values[match[1] + (match[2] or "")] = float(match[3])
    return values


def parse_families(text: str) -> frozenset[str]:
    """Returns the names of all metric families, also of those without samples.

    Args:
        text: Exposition of a process in the Prometheus text format.
    """
    return frozenset(
        line.split()[2]
        for line in text.splitlines()
        if line.startswith("# TYPE ")
    )


def total(values: dict[str, float], name: str, label: str = "") -> float:
    """Returns the sum of all samples of a metric.

    Args:
        values: Samples as `parse_metrics` returns them.
        name: Name of the metric without labels.
        label: Text that the labels of a sample must contain to be counted.
    """
    return sum(
        value
        for key, value in values.items()
        if key.partition("{")[0] == name and label in key
    )


def _toml(values: dict) -> str:
    """Returns settings without nested tables as a TOML document."""
    return "".join(
        f"{key} = {json.dumps(value)}\n" for key, value in values.items()
    )


@attrs.define(eq=False)
class Fleet:
    """A running fleet, to be used as a context manager.

    Attributes:
        sizes: Number of processes and slots.
        directory: Directory of the settings and logs, removed on `close`.
        launcher: Starts and ends the processes.
        kv_address: Address of the key-value stand-in.
        applied_revision: Revision of the configuration that was applied last.
            It is counted here, so nothing else may write the configuration.
    """

    sizes: Sizes = attrs.field(factory=Sizes)
    directory: tempfile.TemporaryDirectory = attrs.field(
        factory=lambda: tempfile.TemporaryDirectory(prefix="fleet-")
    )
    launcher: processes.Launcher = attrs.field(init=False)
    kv_address: str = ""
    applied_revision: int = 0

    def __attrs_post_init__(self):
        self.launcher = processes.Launcher(pathlib.Path(self.directory.name))

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_) -> None:
        self.close()

    def start(self) -> None:
        """Starts all processes and waits until work can be submitted."""
        kv = self.launcher.start("kv", "tools.standins.kv")
        targets = [self.start_target(i) for i in range(self.sizes.agents)]
        self.kv_address = _http_address(kv.wait_ready())
        # The other entries join through the address of the first one.
        self.start_entry(0).wait_ready()
        entries = [self.start_entry(i) for i in range(1, self.sizes.entries)]
        for process in targets + entries:
            process.wait_ready()
        agents = [self.start_agent(i) for i in range(self.sizes.agents)]
        self.apply(sample.document(), "sample configuration")
        for process in agents:
            process.wait_ready()
        self.wait_settled()

    def close(self) -> None:
        """Kills all processes and removes their files."""
        self.launcher.close()
        self.directory.cleanup()

    def start_target(self, number: int) -> processes.Process:
        """Starts the target stand-in ``target-NUMBER``."""
        return self.launcher.start(
            f"target-{number}",
            "tools.standins.target",
            "--slots",
            str(self.sizes.slots),
            "--seed",
            str(number),
        )

    def start_entry(self, number: int, name: str = "") -> processes.Process:
        """Starts an entry without waiting until it is ready.

        Args:
            number: Number of the entry, which selects its failure domain.
            name: Name of the process, ``entry-NUMBER`` if empty.
        """
        peers = [
            process.ready["stream"]
            for process in self.entries()
            if process.ready and process.running()
        ]
        settings = {
            "http_address": "127.0.0.1:0",
            "stream_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "domain": DOMAINS[number % len(DOMAINS)],
            "platform_address": self.kv_address,
            "stream_key": STREAM_KEY,
            "peers": peers,
        }
        name = name or f"entry-{number}"
        return self._start(name, "trefoilgw.entry.main", settings)

    def start_agent(self, number: int, name: str = "") -> processes.Process:
        """Starts the agent of a target without waiting until it is ready.

        Args:
            number: Number of the target.
            name: Name of the process, ``agent-NUMBER`` if empty.
        """
        target = self.launcher.processes[f"target-{number}"]
        settings = {
            "name": f"target-{number}",
            "domain": DOMAINS[number % len(DOMAINS)],
            "target_address": _http_address(target.ready),
            "services": list(sample.services()),
            "slots": self.sizes.slots,
            "connections": 64,
            "entries": [
                process.ready["stream"]
                for process in self.entries()
                if process.running()
            ],
            "stream_key": STREAM_KEY,
            "admin_address": "127.0.0.1:0",
        }
        name = name or f"agent-{number}"
        return self._start(name, "trefoilgw.agent.main", settings)

    def _start(
        self, name: str, module: str, settings: dict
    ) -> processes.Process:
        """Writes a settings file and starts a program with it."""
        path = pathlib.Path(self.directory.name) / f"{name}.toml"
        path.write_text(_toml(settings), encoding="utf-8")
        return self.launcher.start(name, module, "--settings", str(path))

    def processes_of_role(self, role: str) -> list[processes.Process]:
        """Returns the running processes of a role.

        Args:
            role: Prefix of the names: ``entry``, ``agent`` or ``target``.
        """
        return [
            process
            for name, process in self.launcher.processes.items()
            if name.startswith(f"{role}-") and process.running()
        ]

    def entries(self) -> list[processes.Process]:
        """Returns the running entries."""
        return self.processes_of_role("entry")

    def agents(self) -> list[processes.Process]:
        """Returns the running agents."""
        return self.processes_of_role("agent")

    def targets(self) -> list[processes.Process]:
        """Returns the running targets."""
        return self.processes_of_role("target")

    def process(self, name: str) -> processes.Process:
        """Returns a process by its name."""
        return self.launcher.processes[name]

    def apply(self, document: dict, reason: str) -> None:
        """Applies a configuration with the operator's command.

        Args:
            document: The configuration.
            reason: Reason that is recorded with the change.

        Raises:
            FleetError: The command failed.
        """
        directory = pathlib.Path(self.directory.name)
        settings = directory / "operator.toml"
        values = {"platform_address": self.kv_address, "author": "launcher"}
        settings.write_text(_toml(values), encoding="utf-8")
        path = directory / "configuration.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        number = len(self.launcher.processes)
        command = self.launcher.start(
            f"operator-{number}",
            "trefoilgw.cli.main",
            "apply",
            str(path),
            "--settings",
            str(settings),
            "--reason",
            reason,
        )
        if command.wait(SETTLE_TIMEOUT_S) != 0:
            text = command.output.read_text() + command.log.read_text()
            raise FleetError(f"the configuration was not applied:\n{text}")
        self.applied_revision += 1

    def status(self, process: processes.Process) -> dict:
        """Returns ``/admin/status`` of an entry or agent."""
        return json.loads(fetch(process.ready["admin"], "/admin/status"))

    def metrics(self, process: processes.Process) -> dict[str, float]:
        """Returns the samples of an entry or agent; see `parse_metrics`."""
        return parse_metrics(self.metrics_text(process))

    def metrics_text(self, process: processes.Process) -> str:
        """Returns the Prometheus exposition of an entry or agent."""
        return fetch(process.ready["admin"], "/metrics").decode()

    def starts(self) -> list[dict]:
        """Returns the start counters of every running target."""
        return [
            json.loads(fetch(_http_address(process.ready), "/control/starts"))
            for process in self.targets()
        ]

    def set_target_faults(self, number: int, **faults) -> None:
        """Sets the faults of a target; see `target.Faults`."""
        target = self.process(f"target-{number}")
        fetch(_http_address(target.ready), "/control/faults", faults)

    def wait_settled(self, timeout_s: float = SETTLE_TIMEOUT_S) -> None:
        """Waits until every entry is healthy and has joined the fleet.

        An entry has joined once it has the configuration that was applied last
        and is connected to all agents and to all other entries.

        Raises:
            FleetError: An entry was not ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        missing = "no entry"
        while time.monotonic() < deadline_s:
            missing = self._find_missing()
            if not missing:
                return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"the fleet is not ready: {missing}")

    def _find_missing(self) -> str:
        """Returns why the fleet is not ready, an empty text if it is."""
        agents = len(self.agents())
        entries = self.entries()
        for process in entries:
            try:
                fetch(process.ready["http"], "/healthz")
                status = self.status(process)
            except (urllib.error.URLError, OSError, ValueError) as error:
                return f"{process.name}: {error}"
            if status.get("revision", 0) < self.applied_revision:
                return f"{process.name} lacks the configuration"
            if len(status.get("agents", ())) < agents:
                return f"{process.name} lacks agents"
            if len(status.get("peers", ())) < len(entries) - 1:
                return f"{process.name} lacks peers"
        return ""


def _http_address(ready: dict) -> str:
    """Returns the HTTP address from a stand-in's ready line."""
    return ready.get("http") or ready["address"]


def main() -> int:
    """Runs a fleet until an interrupt.

    Returns:
        0 after an interrupt, 1 if an entry ended.
    """
    processes.exit_on_sigterm()
    with Fleet() as fleet:
        for process in fleet.entries():
            print(f"{process.name} {process.ready['http']}")
        for customer, token in sample.tokens().items():
            print(f"token of {customer}: {token}", flush=True)
        try:
            while all(process.running() for process in fleet.entries()):
                time.sleep(POLL_INTERVAL_S)
        except KeyboardInterrupt:
            return 0
    return 1


if __name__ == "__main__":
    sys.exit(main())
