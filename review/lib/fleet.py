"""A small deployment on loopback addresses for the review's scripts.

Starts the project's schedulers and runners with the commands of the deploy
file, and the project's stand-ins for the store and the targets. Only processes
that were started here get signals.
"""

import http.client
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
HOST_NAME = "jobs.example"
SERVICE = "proof"
START_TIMEOUT_S = 15.0
TARGET_CORES = 64
# A case may run for 120 s, of which ending the processes takes a few.
TIME_LIMIT_S = 110
# Bounds of the smallest deployments.
RESEND_S = 1.3
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
CANCEL_S = 3.0
STOP_S = 0.05
GRACE_S = 6
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not be carried out."""


class Record:
    """What was sent, answered and run, with seconds since the start.

    Args:
        path: File that the lines are written to.
    """

    def __init__(self, path: pathlib.Path):
        self.started_s = time.monotonic()
        self._path = path
        self._lock = threading.Lock()
        path.write_text("", encoding="utf-8")

    def write(self, text: str, at_s: float | None = None) -> None:
        """Writes one line for a monotonic time, which is now by default."""
        at_s = time.monotonic() if at_s is None else at_s
        line = f"{at_s - self.started_s:9.3f} {text}\n"
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.write(line)


def route(name: str, **changes) -> dict:
    """Returns a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "service": SERVICE,
        "priority": 1,
        "maxAttempts": 3,
        "stretch": 3.0,
        "targetLatencyMs": 1000,
        **changes,
    }


def job_body(tasks: int, run_s: float, cpu: int = 500) -> dict:
    """Returns the body of a job that need not be stored."""
    spec = json.dumps({"run_s": run_s, "cpu": cpu})
    step = {"count": tasks, "cpu": cpu, "estimateMs": round(run_s * 1000)}
    return {"spec": spec, "steps": [step], "bestEffort": True}


def new_id() -> str:
    """Returns an id for a job."""
    return uuid.uuid4().hex[:16]


class Fleet:
    """The processes of a deployment.

    Args:
        record: Where it is written what happens.
        schedulers: Number of schedulers, each in a zone of its own.
        runners: Number of runners, each with a target.
    """

    def __init__(self, record: Record, schedulers: int = 3, runners: int = 4):
        self.record = record
        self.scheduler_count = schedulers
        self.runner_count = runners
        self.children: dict[str, subprocess.Popen] = {}
        self.store = ""
        # Another address to which the schedulers send their calls.
        self.store_seen_by_schedulers = ""
        self._directory = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._directory.name)
        # Networks of their own keep two deployments apart, as the metrics port
        # of the deploy file is fixed.
        self.network = f"127.{random.randint(10, 250)}"
        self._reserved = [
            socket.create_server(("127.0.0.1", 0)) for _ in range(5)
        ]
        self.ports = [x.getsockname()[1] for x in self._reserved]
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    # Processes.

    def _spawn(
        self, name: str, command: list[str], environment: dict
    ) -> subprocess.Popen:
        base = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "EVENTLET_NO_GREENDNS": "yes",
        }
        with open(self.directory / f"{name}.out", "ab") as output:
            child = subprocess.Popen(
                command,
                cwd=ROOT,
                env=base | environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.children[name] = child
        return child

    def _spawn_standin(self, name: str, module: str, *arguments: str) -> dict:
        """Starts a stand-in; returns what its first line says."""
        path = os.pathsep.join([str(DEPENDENCIES), str(ROOT)])
        command = [sys.executable, "-m", module, *arguments]
        output = self.directory / f"{name}.out"
        output.write_bytes(b"")
        self._spawn(name, command, {"PYTHONPATH": path})
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for line in output.read_text().splitlines():
                if line.startswith("{"):
                    return json.loads(line)
            time.sleep(0.02)
        raise NotRunError(f"{name} did not start: {output.read_text()}")

    def _spawn_program(self, name: str, role: str, settings: dict) -> None:
        """Starts a program with the command of the deploy file."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            "PYTHONPATH": str(DEPENDENCIES),
            "TREFOILGW_BOOT": str(path),
        }
        self._spawn(name, shlex.split(self.roles[role]["run"]), environment)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that was started here."""
        self.record.write(f"signal {number.name} to {name}")
        self.children[name].send_signal(number)

    def close(self) -> None:
        """Ends all processes."""
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        for reserved in self._reserved:
            reserved.close()
        self._directory.cleanup()

    # Deployment.

    def scheduler_ip(self, number: int) -> str:
        """Returns the address of a scheduler's host."""
        return f"{self.network}.1.{number + 1}"

    def runner_ip(self, number: int) -> str:
        """Returns the address of a runner's host."""
        return f"{self.network}.2.{number + 1}"

    def _settings(self, name: str, ip: str, serves: str, zone: int) -> dict:
        seeds = [
            f"{self.scheduler_ip(x)}:1" for x in range(self.scheduler_count)
        ]
        return {
            "node": name,
            "serves": [serves],
            "ip": ip,
            "zone": f"zone-{zone}",
            "portRange": [self.ports[2], self.ports[2]],
            "seeds": seeds[:3],
            "bounds": {
                "maxHoldMs": 1000,
                "stopTimeoutMs": 50,
                "graceS": GRACE_S,
            },
            "orders": "rpc",
            "platform": {
                "address": self.store_seen_by_schedulers or self.store
            },
        }

    def start_store(self, *routes: dict) -> None:
        """Starts the store and writes the first configuration."""
        ready = self._spawn_standin(
            "store",
            "tools.standins.platform_store",
            "--listen",
            f"{self.network}.3.1:0",
        )
        self.store = ready["http"]
        self.configure(1, *routes)

    def start_scheduler(self, number: int) -> None:
        """Starts a scheduler, or starts it again."""
        ip = self.scheduler_ip(number)
        name = f"scheduler-{number}"
        settings = self._settings(name, ip, "front", number)
        settings["listen"] = {
            "front": f"{ip}:{self.ports[0]}",
            "ready": f"{ip}:{self.ports[1]}",
        }
        self._spawn_program(name, "scheduler", settings)

    def start_target(self, number: int) -> None:
        """Starts a target."""
        ip = self.runner_ip(number)
        self._spawn_standin(
            f"target-{number}",
            "tools.standins.platform_target",
            "--listen",
            f"{ip}:{self.ports[4]}",
            "--reports",
            f"{ip}:{self.ports[3]}",
            "--cores",
            str(TARGET_CORES),
        )

    def start_runner(self, number: int) -> None:
        """Starts a runner, or starts it again."""
        ip = self.runner_ip(number)
        name = f"runner-{number}"
        zone = number % self.scheduler_count
        settings = self._settings(name, ip, "side", zone)
        settings["listen"] = {"control": f"{ip}:{self.ports[3]}"}
        settings["app"] = f"{ip}:{self.ports[4]}"
        self._spawn_program(name, "runner", settings)

    def start(self, *routes: dict) -> None:
        """Starts everything and waits until all schedulers serve."""
        if not DEPENDENCIES.is_dir():
            raise NotRunError("the build of the deploy file is missing")
        if not self.store:
            self.start_store(*routes)
        for number in range(self.scheduler_count):
            self.start_scheduler(number)
        for number in range(self.runner_count):
            self.start_runner(number)
        for number in range(self.runner_count):
            self.start_target(number)
        self.wait_serving(routes[0]["prefix"])

    def wait_serving(self, prefix: str) -> None:
        """Waits until every scheduler has completed a job."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        left = set(range(self.scheduler_count))
        while left:
            if time.monotonic() > deadline_s:
                raise NotRunError(f"schedulers {left} do not serve")
            for number in list(left):
                wide = job_body(self.runner_count * 4, 0.05)
                status, _ = self.call(
                    number, "POST", prefix + new_id(), wide, 5.0
                )
                if status == 200:
                    left.discard(number)
            time.sleep(0.05)
        self.record.write("all schedulers serve")

    # The operator.

    def control(self, address: str, action: str, body: dict | None = None):
        """Calls the control interface of a stand-in."""
        connection = http.client.HTTPConnection(address, timeout=5.0)
        try:
            method = "GET" if body is None else "POST"
            data = None if body is None else json.dumps(body)
            connection.request(method, f"/control/{action}", data)
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def configure(self, version: int, *routes: dict) -> float:
        """Writes a configuration; returns when it was confirmed."""
        document = {
            "version": version,
            "routes": list(routes),
            "services": [{"name": SERVICE}],
            "limits": {"maxBodyBytes": 262144},
        }
        body = {"key": "op/config", "value": document}
        self.control(self.store, "put", body)
        confirmed_s = time.monotonic()
        names = ", ".join(x["name"] for x in routes)
        self.record.write(f"configuration {version} confirmed: routes {names}")
        return confirmed_s

    def runs(self) -> list[dict]:
        """Returns all runs of all targets, by task and start."""
        found = []
        for number in range(self.runner_count):
            address = f"{self.runner_ip(number)}:{self.ports[4]}"
            for run in self.control(address, "runs")["runs"]:
                found.append({**run, "target": f"target-{number}"})
        return sorted(found, key=lambda x: (x["task"], x["started_s"]))

    # Clients.

    def call(
        self,
        number: int,
        method: str,
        path: str,
        body: dict | None = None,
        limit_s: float = 30.0,
    ) -> tuple[int, dict]:
        """Sends a request to a scheduler on a connection of its own.

        Returns:
            Status and body; status 0 if there was no answer in time.
        """
        address = f"{self.scheduler_ip(number)}:{self.ports[0]}"
        connection = http.client.HTTPConnection(address, timeout=limit_s)
        data = None if body is None else json.dumps(body)
        headers = {
            "Host": HOST_NAME,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(round(limit_s * 1000)),
        }
        try:
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException) as error:
            return 0, {"error": repr(error)}
        finally:
            connection.close()


def describe(run: dict, record: Record) -> str:
    """Returns a run as text, with times since the start of the record."""
    start_s = run["started_s"] - record.started_s
    ended_s = run["ended_s"]
    end = (
        "still runs" if ended_s is None else f"{ended_s - record.started_s:.3f}"
    )
    return (
        f"{run['task']} run {run['run']} at {run['target']}: "
        f"{start_s:.3f} to {end} {run['how']}"
    )


def overlaps(runs: list[dict]) -> list[tuple[dict, dict]]:
    """Returns the pairs of runs of one task that ran at the same time."""
    pairs = []
    for first, second in zip(runs, runs[1:], strict=False):
        if first["task"] != second["task"]:
            continue
        if first["ended_s"] is None or first["ended_s"] > second["started_s"]:
            pairs.append((first, second))
    return pairs


def main(folder: pathlib.Path, case) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case, in which `record.txt` is written.
        case: Takes the record and whether there is a disruption; returns what
            broke the rule, as lines.
    """
    # The children are ended also if this process is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    signal.signal(signal.SIGALRM, lambda *_: sys.exit(EXIT_NOT_RUN))
    signal.alarm(TIME_LIMIT_S)
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if trouble else 'no'}")
    try:
        broken = case(record, trouble)
    except (NotRunError, OSError) as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(EXIT_NOT_RUN)
    for line in broken:
        record.write(f"BROKEN {line}")
    print(f"broken {len(broken)} times; see {folder / 'record.txt'}")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
