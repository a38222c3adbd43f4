"""A whole fleet of real processes on free ports of this machine.

Starts the key-value stand-in, targets, entries and agents, applies the sample
configuration, and reads metrics, memory and CPU of each process. Used by
tests, the demo and the figures; not part of the product, whose processes
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
POLL_S = 0.05
SLOTS = 8

_METRIC = re.compile(r"^([a-zA-Z_:][\w:]*)(\{.*\})?\s+(\S+)")


class FleetError(Exception):
    """The fleet did not reach the wanted state."""


@attrs.frozen
class Sizes:
    """How many processes a fleet has.

    Attributes:
        entries: Entries.
        agents: Agents, each with a target of its own.
        slots: Slots of each target.
    """

    entries: int = 3
    agents: int = 11
    slots: int = SLOTS

    @property
    def all_slots(self) -> int:
        """Slots of the whole fleet."""
        return self.agents * self.slots


def fetch(address: str, path: str, body: dict | None = None) -> bytes:
    """Returns the body of an HTTP answer.

    Args:
        address: ``ip:port``.
        path: Path of the request.
        body: Sent as JSON by POST; None for GET.

    Raises:
        OSError: No answer, or a status of 400 and more.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
        return answer.read()


def parse_metrics(text: str) -> dict[str, float]:
    """Returns Prometheus samples by name with labels as written."""
    values = {}
    for line in text.splitlines():
        match = _METRIC.match(line)
        if match and not line.startswith("#"):
            values[match[1] + (match[2] or "")] = float(match[3])
    return values


def parse_families(text: str) -> frozenset[str]:
    """Returns the names of all families, those without a sample included."""
    return frozenset(
        line.split()[2]
        for line in text.splitlines()
        if line.startswith("# TYPE ")
    )


def total(values: dict[str, float], name: str, part: str = "") -> float:
    """Returns the sum over the labels of a metric.

    Args:
        values: From `parse_metrics`.
        name: Name without labels.
        part: Only samples whose labels contain this text.
    """
    return sum(
        value
        for key, value in values.items()
        if key.partition("{")[0] == name and part in key
    )


def _toml(values: dict) -> str:
    """Returns flat settings as TOML."""
    return "".join(
        f"{key} = {json.dumps(value)}\n" for key, value in values.items()
    )


@attrs.define(eq=False)
class Fleet:
    """A running fleet; use it as a context manager.

    Attributes:
        sizes: How many processes.
        directory: Holds settings and logs; removed at the end.
        launcher: Starts and ends the processes.
        kv_address: Address of the key-value stand-in.
        applied_revision: Revision of the configuration applied last; only the
            launcher writes.
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
        """Starts everything and waits until work can be submitted."""
        kv = self.launcher.start("kv", "tools.standins.kv")
        targets = [self.start_target(i) for i in range(self.sizes.agents)]
        self.kv_address = _http(kv.wait_ready())
        # The first entry is the seed address of the others.
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
        """Ends all processes and removes the files."""
        self.launcher.close()
        self.directory.cleanup()

    def start_target(self, number: int) -> processes.Process:
        """Starts the stand-in of a target."""
        return self.launcher.start(
            f"target-{number}",
            "tools.standins.target",
            "--slots",
            str(self.sizes.slots),
            "--seed",
            str(number),
        )

    def start_entry(self, number: int, name: str = "") -> processes.Process:
        """Starts an entry.

        Args:
            number: Decides its failure domain.
            name: Name of the process, ``entry-NUMBER`` by default.
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
        """Starts the agent beside a target; see `start_entry`."""
        target = self.launcher.processes[f"target-{number}"]
        settings = {
            "name": f"target-{number}",
            "domain": DOMAINS[number % len(DOMAINS)],
            "target_address": _http(target.ready),
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
        """Starts a program with a settings file."""
        path = pathlib.Path(self.directory.name) / f"{name}.toml"
        path.write_text(_toml(settings), encoding="utf-8")
        return self.launcher.start(name, module, "--settings", str(path))

    def of_role(self, role: str) -> list[processes.Process]:
        """Returns the processes of a role that still run."""
        return [
            process
            for name, process in self.launcher.processes.items()
            if name.startswith(f"{role}-") and process.running()
        ]

    def entries(self) -> list[processes.Process]:
        """Returns the entries that run."""
        return self.of_role("entry")

    def agents(self) -> list[processes.Process]:
        """Returns the agents that run."""
        return self.of_role("agent")

    def targets(self) -> list[processes.Process]:
        """Returns the targets that run."""
        return self.of_role("target")

    def process(self, name: str) -> processes.Process:
        """Returns a process by its name."""
        return self.launcher.processes[name]

    def apply(self, document: dict, reason: str) -> None:
        """Writes a configuration with the operator's command.

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
        """Returns the metrics of an entry or agent."""
        return parse_metrics(self.metrics_text(process))

    def metrics_text(self, process: processes.Process) -> str:
        """Returns the metrics of an entry or agent in Prometheus' text form."""
        return fetch(process.ready["admin"], "/metrics").decode()

    def starts(self) -> list[dict]:
        """Returns the tally of every target."""
        return [
            json.loads(fetch(_http(process.ready), "/control/starts"))
            for process in self.targets()
        ]

    def set_target_faults(self, number: int, **faults) -> None:
        """Switches the faults of a target; see `target.Faults`."""
        target = self.process(f"target-{number}")
        fetch(_http(target.ready), "/control/faults", faults)

    def wait_settled(self, timeout_s: float = SETTLE_TIMEOUT_S) -> None:
        """Waits until every entry accepts work and knows every agent.

        Raises:
            FleetError: That did not happen in time.
        """
        deadline_s = time.monotonic() + timeout_s
        missing = "no entry"
        while time.monotonic() < deadline_s:
            missing = self._missing()
            if not missing:
                return
            time.sleep(POLL_S)
        raise FleetError(f"the fleet is not ready: {missing}")

    def _missing(self) -> str:
        """Returns what keeps the fleet from being ready, or nothing."""
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


def _http(ready: dict) -> str:
    """Returns the HTTP address of a stand-in's ready line."""
    return ready.get("http") or ready["address"]


def main() -> int:
    """Keeps a fleet up until it is interrupted."""
    processes.exit_on_terminate()
    with Fleet() as fleet:
        for process in fleet.entries():
            print(f"{process.name} {process.ready['http']}")
        for customer, token in sample.tokens().items():
            print(f"token of {customer}: {token}", flush=True)
        try:
            while all(process.running() for process in fleet.entries()):
                time.sleep(POLL_S)
        except KeyboardInterrupt:
            return 0
    return 1


if __name__ == "__main__":
    sys.exit(main())
