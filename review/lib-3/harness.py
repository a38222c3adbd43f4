"""Runs the programs of the deploy file with the project's stand-ins.

The scheduler and the runner are started with the commands of
`deploy/system.toml`; only the port of their metrics is replaced by a free one.
Everything is on loopback addresses and the real clock.
"""

import hashlib
import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from tools import deployments
from tools import processes

ROOT = pathlib.Path.cwd()
DEPS = ROOT / "target" / "deps"
COMMANDS = {
    "trefoilgw.scheduler.main": "scheduler",
    "trefoilgw.runner.main": "runner",
}
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Launcher(processes.Launcher):
    """Starts the programs with the commands of the deploy file."""

    def start(self, name, module, *arguments, **variables):
        """Starts a program or a stand-in."""
        role = COMMANDS.get(module)
        if role is None:
            return super().start(name, module, *arguments, **variables)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"][role]["run"].split()
        port = dict(zip(arguments, arguments[1:], strict=False))
        words[words.index("--metrics-port") + 1] = port["--metrics-port"]
        output = self.directory / f"{name}.out"
        log = self.directory / f"{name}.log"
        kept = {x: os.environ[x] for x in ("PATH", "HOME") if x in os.environ}
        environment = kept | {"PYTHONPATH": str(DEPS)} | variables
        with open(output, "ab") as out, open(log, "ab") as error:
            child = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=error,
                preexec_fn=processes._set_parent_death_signal,
            )
        process = processes.Process(name, module, child, output, log)
        self.processes[name] = process
        return process


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w")
        self.lock = threading.Lock()
        self.began_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Writes a line with the seconds since the start."""
        at_s = time.monotonic() if at_s is None else at_s
        with self.lock:
            self.file.write(f"{at_s - self.began_s:9.3f} {text}\n")
            self.file.flush()


class Ingress:
    """The platform's ingress, for the schedulers of one zone.

    Once per second it asks each node whether it is ready. After two misses a
    node gets no new connections until it answers with 200 again. The node of a
    client follows from a hash of the client.
    """

    def __init__(self, deployment, record: Record, nodes=()):
        self.deployment = deployment
        self.record = record
        self.nodes = list(nodes)
        self.misses = dict.fromkeys(self.nodes, 0)
        self.ended = False

    def start(self) -> None:
        """Starts to ask the nodes."""
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, number: int) -> None:
        """Adds a node, which gets connections once it is ready."""
        self.misses[number] = 2
        self.nodes.append(number)

    def rotation(self) -> list[int]:
        """Returns the nodes that get new connections."""
        found = [x for x in self.nodes if self.misses[x] < 2]
        return found if 2 * len(found) >= len(self.nodes) else self.nodes

    def node(self, client: str) -> int:
        """Returns the node of a client's next connection."""
        return max(
            self.rotation(),
            key=lambda x: hash_of(client, x),
        )

    def _run(self) -> None:
        """Asks all nodes once a second."""
        while not self.ended:
            for number in list(self.nodes):
                self._ask(number)
            time.sleep(1.0)

    def _ask(self, number: int) -> None:
        """Asks one node."""
        status = 0
        try:
            ip, port = (
                self.deployment.scheduler_ip(number),
                self.deployment.ports[1],
            )
            with socket.create_connection((ip, port), 0.5) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                sock.settimeout(0.5)
                status = int(sock.recv(4096).split()[1])
        except (OSError, IndexError, ValueError):
            pass
        before = self.misses[number] < 2
        self.misses[number] = 0 if status == 200 else self.misses[number] + 1
        if (self.misses[number] < 2) != before:
            state = "leaves" if before else "joins"
            self.record.write(f"ingress: node {number} {state} the rotation")


def hash_of(client: str, node: int) -> bytes:
    """Returns the rank of a node for a client; the highest one is chosen."""
    return hashlib.sha256(f"{client} {node}".encode()).digest()


def connect(deployment, number: int, timeout_s: float = 30.0) -> socket.socket:
    """Returns a client's connection to a scheduler."""
    address = (deployment.scheduler_ip(number), deployment.ports[0])
    sock = socket.create_connection(address, timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request(method: str, path: str, body: bytes, wait_ms: int) -> bytes:
    """Returns the bytes of a client's request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {deployments.HOST_NAME}\r\n"
        f"Content-Type: application/json\r\nX-Deadline-Ms: {wait_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def read_answer(sock: socket.socket) -> tuple[int, bytes]:
    """Returns status and body of an answer; status 0 if it isn't complete."""
    data = b""
    try:
        while True:
            head, found, body = data.partition(b"\r\n\r\n")
            if found:
                length = 0
                for line in head.split(b"\r\n")[1:]:
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                if len(body) >= length:
                    return int(head.split()[1]), body[:length]
            piece = sock.recv(65536)
            if not piece:
                return 0, data
            data += piece
    except OSError as error:
        return 0, repr(error).encode()


def job_body(tasks: int, run_s: float, cpu: int, padding: int = 0) -> bytes:
    """Returns the body of a job that need not be stored."""
    spec = json.dumps({"run_s": run_s, "cpu": cpu, "text": "x" * padding})
    step = {
        "count": tasks,
        "cpu": cpu,
        "memMb": 64,
        "estimateMs": round(run_s * 1000),
    }
    return json.dumps(
        {"spec": spec, "steps": [step], "bestEffort": True}
    ).encode()


def recorded_runs(deployment) -> list[dict]:
    """Returns all runs of all targets, from their records."""
    found = {}
    for number in range(deployment.runners):
        path = deployment.record_path(number)
        lines = path.read_text().splitlines() if path.exists() else ()
        for line in lines:
            run = json.loads(line) | {"target": number}
            found[number, run["task"], run["run"], run["started_s"]] = run
    return list(found.values())


def write_runs(record: Record, runs: list[dict], keys) -> None:
    """Writes the runs of some jobs to the record."""
    for run in sorted(runs, key=lambda x: x["started_s"]):
        if run["task"].partition(".")[0] in keys:
            record.write(
                f"minion {run['target']}: {run['task']} run {run['run']} "
                "started",
                run["started_s"],
            )
            if run["ended_s"] is not None:
                record.write(
                    f"minion {run['target']}: {run['task']} run {run['run']} "
                    f"{run['how']}",
                    run["ended_s"],
                )


def main(
    play,
    folder: pathlib.Path,
    trouble: bool,
    schedulers: int,
    runners: int,
) -> None:
    """Plays a case and exits with its result.

    Args:
        play: Called with the deployment, the record and whether there is
            trouble; returns `HELD` or `BROKEN`.
        folder: Folder of the case.
        trouble: Whether the disruption is carried out.
        schedulers: Number of schedulers that are started.
        runners: Number of runners and targets.
    """
    record = Record(folder / "record.txt")
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as directory:
        deployment = deployments.Deployment(
            Launcher(pathlib.Path(directory)),
            schedulers=schedulers,
            runners=runners,
            target_cores=64,
            limits={"cpuShare": 1.0, "memoryMb": 300, "maxFds": 4100},
        )
        timer = threading.Timer(110.0, lambda: os._exit(NOT_RUN))
        timer.daemon = True
        timer.start()
        try:
            deployment.start()
            record.write(f"serving; trouble: {trouble}")
            result = play(deployment, record, trouble)
        except Exception as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
        finally:
            if os.environ.get("KEEP_LOGS"):
                logs = os.environ["KEEP_LOGS"]
                shutil.copytree(directory, logs, dirs_exist_ok=True)
            deployment.close()
    record.write({HELD: "held", BROKEN: "BROKEN"}.get(result, "not run"))
    sys.exit(result)
