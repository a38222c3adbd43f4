"""A small deployment on loopback addresses for the scripts of the review.

The programs are started with the commands of the deploy file. The platform's
store, the minions and the clients are stand-ins that follow the users' pages.
Only the standard library is used.
"""

import base64
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http import server

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the small sites.
HEARTBEAT_S = 1.5
MAX_HOLD_S = 1.0
STOP_S = 0.01
CANCEL_S = 3.0
STOP_TIMEOUT_S = 0.05
RESEND_S = 1.3
GRACE_S = 6.0
# Time after which the platform starts a process that has ended.
RESTART_S = 0.5
PROBE_S = 1.0
HOST = "jobs.example"


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path):
        self.began_s = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def now_s(self) -> float:
        """Returns the time since the start."""
        return time.monotonic() - self.began_s

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


class _Handler(server.BaseHTTPRequestHandler):
    """Passes each request to `handle_call` of the server's owner."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length) if length else b""
        path, _, query = self.path.partition("?")
        body = json.loads(data) if data else {}
        params = dict(urllib.parse.parse_qsl(query))
        answer = self.server.owner.handle_call(
            self.command, path, params, body, self.headers
        )
        if answer is None:  # No answer at all.
            self.close_connection = True
            return
        status, content = answer
        encoded = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815

    def log_message(self, *args):
        """Logs nothing."""


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A peer that was killed is no error."""


def serve(address: str, owner) -> _Server:
    """Serves HTTP on an address in a thread."""
    ip, _, port = address.rpartition(":")
    made = _Server((ip, int(port)), _Handler)
    made.owner = owner
    threading.Thread(target=made.serve_forever, daemon=True).start()
    return made


class Store:
    """The platform's store."""

    def __init__(self, address: str):
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.changed = threading.Condition()
        self.server = serve(address, self)
        threading.Thread(target=self._expire, daemon=True).start()

    def _write(self, key: str, value: str, lease: int) -> None:
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def put(self, key: str, value: object) -> None:
        """Writes a key as the operator does."""
        with self.changed:
            self.revision += 1
            data = base64.b64encode(json.dumps(value).encode()).decode()
            self._write(key, data, 0)
            self.changed.notify_all()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        self.revision += 1
        for key in [k for k, x in self.items.items() if x["lease"] == lease]:
            self._remove(key)
        self.changed.notify_all()

    def _expire(self) -> None:
        while True:
            time.sleep(0.1)
            with self.changed:
                now_s = time.monotonic()
                for lease, (_, until_s) in list(self.leases.items()):
                    if now_s > until_s:
                        self._end_lease(lease)

    def handle_call(self, method, path, params, body, headers):
        """Answers one call."""
        with self.changed:
            return self._answer(method, path, params, body)

    def _answer(self, method, path, params, body):
        match path:
            case "/kv-key":
                item = self.items.get(params["key"])
                found = item or {}
                status = 200 if item else 404
                return status, {**found, "storeRevision": self.revision}
            case "/kv-range":
                prefix, after = params["prefix"], params.get("after", "")
                keys = sorted(
                    k for k in self.items if k.startswith(prefix) and k > after
                )
                return 200, {
                    "items": [self.items[k] for k in keys[:500]],
                    "hasMore": len(keys) > 500,
                    "storeRevision": self.revision,
                }
            case "/kv-watch":
                return self._watch(params)
            case "/kv-txn":
                return self._transact(body)
            case "/kv-lease":
                self.revision += 1
                ttl_s = body["ttlMs"] / 1000
                self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _watch(self, params):
        prefix, after = params["prefix"], int(params["after"])
        until_s = time.monotonic() + int(params["waitMs"]) / 1000

        def found():
            return [
                x
                for x in self.events
                if x["revision"] > after and x["key"].startswith(prefix)
            ]

        while not found() and time.monotonic() < until_s:
            self.changed.wait(max(0.0, until_s - time.monotonic()))
        return 200, {"events": found(), "storeRevision": self.revision}

    def _transact(self, body):
        rows = body.get("expectedRev") or []
        for row in rows:
            now = self.items.get(row["key"], {}).get("revision", 0)
            if now != row["revision"]:
                found = [
                    self.items[x["key"]] for x in rows if x["key"] in self.items
                ]
                return 412, {"items": found}
        writes = body.get("writes") or []
        if any(x["lease"] and x["lease"] not in self.leases for x in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._write(write["key"], write["value"], write["lease"])
        for key in body.get("remove") or []:
            self._remove(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}


class Minion:
    """A worker: runs tasks under leases and reports to its side machine.

    The `spec` of a task is JSON with its work in `ms` and its room in `cpu`.
    """

    def __init__(self, record, name, address, control, service, zone, cpu):
        self.record = record
        self.instance = name
        self.address = address
        self.control = control
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.born_ms = int(time.time() * 1000)
        self.clock_began_s = time.monotonic()
        self.lock = threading.Condition()
        self.lease_until_s = 0.0
        self.fence = 0
        self.running: dict[str, dict] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list] = []
        self.end_count = 0
        self.history: list[dict] = []
        # Whether each task fails soon after its start.
        self.failing = False
        # Share of the orders that get no answer and are carried out late.
        self.late_share = 0.0
        self.server = serve(address, self)
        threading.Thread(target=self._advance, daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()

    def clock_s(self) -> float:
        """Returns the minion's own steady clock."""
        return time.monotonic() - self.clock_began_s

    def _end(self, run: dict, how: str) -> None:
        del self.running[run["task"]]
        run["ended_s"], run["how"] = self.record.now_s(), how
        self.end_count += 1
        self.ends.append([self.end_count, run["task"], run["run"], how, ""])
        self.record.write(
            f"{self.instance} end {run['task']} run {run['run']} {how}"
        )
        self.lock.notify_all()

    def _advance(self) -> None:
        while True:
            time.sleep(0.01)
            with self.lock:
                self._step()

    def _step(self) -> None:
        now_s = time.monotonic()
        if self.running and self.clock_s() > self.lease_until_s:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
        for run in list(self.running.values()):
            if run["stop_s"] is not None and now_s >= run["stop_s"]:
                self._end(run, "stopped")
            elif (
                self.failing and now_s >= run["until_s"] - run["work_s"] + 0.01
            ):
                self._end(run, "failed")
            elif now_s >= run["until_s"]:
                self._end(run, "done")

    def _extend(self, body: dict) -> None:
        if "deadlineMs" in body:
            limit_s = self.clock_s() + MAX_HOLD_S
            wanted_s = min(body["deadlineMs"] / 1000, limit_s)
            self.lease_until_s = max(self.lease_until_s, wanted_s)

    def handle_call(self, method, path, params, body, headers):
        """Answers one call."""
        is_order = path in ("/run-start", "/run-stop")
        if is_order and random.random() < self.late_share:
            late_s = random.uniform(2.0, 12.0)
            timer = threading.Timer(
                late_s, self._carry_out, (path, body, headers)
            )
            timer.daemon = True
            timer.start()
            time.sleep(1.0)
            return None
        return self._carry_out(path, body, headers)

    def _carry_out(self, path, body, headers):
        """Carries a call out and returns the answer."""
        with self.lock:
            if path == "/health":
                return 200, {}
            if headers.get("X-Expect-Instance", self.instance) != self.instance:
                return 421, {}
            self._step()
            if body.get("fence", 0) < self.fence:
                return self._refuse("fence")
            self.fence = body.get("fence", 0)
            match path:
                case "/run-start":
                    return self._start(body)
                case "/run-stop":
                    return self._stop(body)
                case "/hold":
                    return self._hold(body)
        return 400, {}

    def _clock_ms(self) -> int:
        return int(self.clock_s() * 1000)

    def _refuse(self, reason: str):
        return 409, {"clockMs": self._clock_ms(), "reason": reason}

    def _start(self, body: dict):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] < self._clock_ms():
            return self._refuse("late")
        self._extend(body)
        known = self.running.get(task)
        if known is not None and known["run"] == number:
            return 200, {"clockMs": self._clock_ms()}
        if number <= self.highest.get(task, 0):
            return self._refuse("old")
        spec = json.loads(body["spec"])
        index = int(task.split(".")[2])
        cpu = spec["cpu"][index]
        used = sum(x["cpu"] for x in self.running.values())
        if used + cpu > self.cpu:
            return self._refuse("room")
        self.highest[task] = number
        run = {
            "minion": self.instance,
            "task": task,
            "run": number,
            "cpu": cpu,
            "began_s": self.record.now_s(),
            "work_s": spec["ms"] / 1000,
            "until_s": time.monotonic() + spec["ms"] / 1000,
            "stop_s": None,
            "ended_s": None,
            "how": "",
        }
        self.running[task] = run
        self.history.append(run)
        self.record.write(f"{self.instance} start {task} run {number}")
        return 200, {"clockMs": self._clock_ms()}

    def _stop(self, body: dict):
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        known = self.running.get(task)
        if known is not None and known["run"] <= number:
            known["stop_s"] = time.monotonic() + STOP_S
        return 200, {"clockMs": self._clock_ms()}

    def _hold(self, body: dict):
        self._extend(body)
        seen = body["lastSeen"]
        self.ends = [x for x in self.ends if x[0] > seen]
        until_s = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until_s:
            self.lock.wait(max(0.0, until_s - time.monotonic()))
        return 200, {
            "clockMs": self._clock_ms(),
            "born": self.born_ms,
            "running": [
                [x["task"], x["run"], "", self._percent(x), float(x["cpu"])]
                for x in self.running.values()
            ],
            "finished": self.ends[:500],
        }

    def _percent(self, run: dict) -> int:
        left_s = run["until_s"] - time.monotonic()
        return max(0, min(99, int(100 - 100 * left_s / run["work_s"])))

    def _report(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
                "labels": ["a", "r1-1"],
                "clockMs": self._clock_ms(),
                "seq": sequence,
                "born": self.born_ms,
            }
            self._tell(f"/Instances.Heartbeat/{self.instance}", body)
            until_s = time.monotonic() + HEARTBEAT_S
            time.sleep(max(0.0, until_s - time.monotonic()))

    def _tell(self, path: str, body: dict) -> int:
        try:
            status, _ = call(self.control, "POST", path, body, 1.0)
        except (OSError, http.client.HTTPException):
            return 0
        return status


def call(address, method, path, body=None, timeout_s=5.0, headers=None):
    """Makes one call on a new connection; returns status and decoded body."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, data, sent)
        response = connection.getresponse()
        text = response.read()
        try:
            decoded = json.loads(text or b"{}")
        except ValueError:
            decoded = {"text": text.decode(errors="replace")}
        return response.status, decoded
    finally:
        connection.close()


class Machine:
    """A machine of the system with one process of a role."""

    def __init__(self, fleet, role, number, ip, zone):
        self.fleet = fleet
        self.role = role
        self.ip = ip
        self.zone = zone
        self.name = (
            f"{'front' if role == 'scheduler' else 'side'}-{zone}-{number}"
        )
        self.process = None
        self.exits: list[int] = []
        self.ready = False
        self.starts = 0

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self.fleet.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.fleet.settings(self)))
        command = self.fleet.commands[self.role]
        output = (self.fleet.directory / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.fleet.directory),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "TREFOILGW_BOOT": str(path),
            },
            stdout=output,
            stderr=output,
        )
        self.starts += 1
        self.fleet.record.write(f"{self.name} starts ({self.ip})")

    def kill(self) -> None:
        """Kills the process; the platform does not start it by itself."""
        self.fleet.record.write(f"{self.name} is killed")
        self.process.kill()
        self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.fleet.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """Returns what the process has written."""
        return (self.fleet.directory / f"{self.name}.log").read_text()


class Fleet:
    """A deployment: schedulers, runners with minions, and the store."""

    def __init__(self, folder, fronts=2, sides=2, cpu=4000, routes=None):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {k: x["run"].split() for k, x in roles.items()}
        self.cpu = cpu
        self.service = "proofer"
        self.net = random.randint(20, 200)
        self.ports = dict(
            zip(
                ("front", "ready", "control", "app", "stream", "store"),
                free_ports(6),
                strict=True,
            )
        )
        self.store = Store(f"127.{self.net}.9.1:{self.ports['store']}")
        self.fronts = [
            Machine(
                self,
                "scheduler",
                1,
                f"127.{self.net}.1.{x + 1}",
                f"zone-{'abcd'[x]}",
            )
            for x in range(fronts)
        ]
        self.sides = [
            Machine(
                self,
                "runner",
                x // 3 + 1,
                f"127.{self.net}.2.{x + 1}",
                f"zone-{'abc'[x % 3]}",
            )
            for x in range(sides)
        ]
        self.minions: list[Minion] = []
        self.closing = False
        self.routes = routes or [("quick", 0, 1.6, 60), ("tonal", 2, 1.6, 60)]

    def settings(self, machine: Machine) -> dict:
        """Returns the settings file of a process, as in the users' pages."""
        ip, ports = machine.ip, self.ports
        front = machine.role == "scheduler"
        listen = {"control": f"{ip}:{ports['control']}"}
        if front:
            listen["front"] = f"{ip}:{ports['front']}"
            listen["ready"] = f"{ip}:{ports['ready']}"
        settings = {
            "node": machine.name,
            "role": machine.role,
            "machineClass": "front" if front else "side",
            "serves": ["front", "control"] if front else ["side"],
            "ip": ip,
            "zone": machine.zone,
            "region": "r",
            "zones": {f"zone-{x}": "r" for x in "abcd"},
            "listen": listen,
            "portRange": [ports["stream"], ports["stream"] + 15],
            "seeds": [f"{x.ip}:{ports['control']}" for x in self.fronts[:3]],
            "bootstrap": machine.starts == 0,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537 if front else 0.645,
                "cores": 2 if front else 1,
                "memoryMb": 300 if front else 168,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "local",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3,
                "reuseAfterS": 2,
                "contactMs": 3000,
                "ackMs": 4000,
                "catchUpS": 4,
                "drainMs": 2000,
                "graceS": 6,
                "lossSlackMs": 200,
                "configApplyMs": 2000,
                "rollbackSlackMs": 250,
                "maxStretchMs": 5000,
                "recoverS": 12,
                "maxHoldMs": 1000,
                "stopTimeoutMs": 50,
                "gangTimeoutMs": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "farFactor": 1.5,
                "checkpointS": 0.5,
                "restoreMs": 100,
                "noticeMs": 4500,
                "moveS": 1.5,
                "maintenanceS": 2,
                "requireFencing": True,
                "leaseMs": 3000,
                "thawMs": 300,
                "paceMs": 100,
                "harmMs": 4000,
                "resendMs": 1300,
            },
            "orders": "rpc",
            "platform": {
                "address": f"127.{self.net}.9.1:{ports['store']}",
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }
        if not front:
            settings["app"] = f"{ip}:{ports['app']}"
            settings["service"] = self.service
        return settings

    def start(self, warm_up: bool = True) -> None:
        """Starts all processes and waits until the fronts are ready.

        Args:
            warm_up: Whether each front must have served a small job.
        """
        self.store.put("op/config", self.configuration(1))
        for machine in self.fronts + self.sides:
            machine.start()
        threading.Thread(target=self._probe, daemon=True).start()
        for number in range(len(self.sides)):
            # Their reports are spread over the interval.
            time.sleep(HEARTBEAT_S / len(self.sides))
            self.minions.append(self.start_minion(number))
        until_s = time.monotonic() + 20.0
        while not all(x.ready for x in self.fronts):
            if time.monotonic() > until_s:
                raise RuntimeError("the fronts are not ready")
            time.sleep(0.05)
        for front in self.fronts if warm_up else ():
            self.wait_serving(front)
        # All minions have reported twice then.
        time.sleep(2 * HEARTBEAT_S)

    def start_minion(self, number: int, boot: int = 1) -> Minion:
        """Starts a minion on a side machine."""
        side = self.sides[number]
        return Minion(
            self.record,
            f"i-{number + 1}-{boot}",
            f"{side.ip}:{self.ports['app']}",
            f"{side.ip}:{self.ports['control']}",
            self.service,
            side.zone,
            self.cpu,
        )

    def wait_serving(self, front: Machine, timeout_s: float = 20.0) -> None:
        """Waits until a front serves a small job."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            job = make_job([(1, 100)], 20)
            try:
                status, _ = self.submit(front, new_id(), job, 2.0)
            except (OSError, http.client.HTTPException):
                status = 0
            if status == 200:
                return
            time.sleep(0.1)
        raise RuntimeError(f"{front.name} does not serve")

    def configuration(self, version: int) -> dict:
        """Returns the operator's configuration."""
        return {
            "version": version,
            "routes": [
                {
                    "name": f"r-{name}",
                    "host": HOST,
                    "prefix": f"/{name}/",
                    "kind": "unsafe",
                    "timeoutMs": 1500,
                    "targetLatencyMs": latency,
                    "priority": priority,
                    "service": self.service,
                    "maxAttempts": 3,
                    "stretch": stretch,
                }
                for name, priority, stretch, latency in self.routes
            ],
            "services": [
                {
                    "name": self.service,
                    "healthPath": "/health",
                    "maxConns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admissionCheck": True,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }

    def _probe(self) -> None:
        """Probes the readiness of the fronts as the platform does."""
        misses = dict.fromkeys(self.fronts, 2)
        while not self.closing:
            for front in self.fronts:
                try:
                    address = f"{front.ip}:{self.ports['ready']}"
                    status, _ = call(address, "GET", "/ready", None, 0.5)
                except (OSError, http.client.HTTPException):
                    status = 0
                misses[front] = 0 if status == 200 else misses[front] + 1
                front.ready = misses[front] < 2
            time.sleep(PROBE_S if all(x.ready for x in self.fronts) else 0.2)

    def front_of(self, client: int) -> Machine:
        """Returns the front to which the platform forwards a new connection."""
        usable = [x for x in self.fronts if x.ready] or self.fronts
        first = self.fronts[client % len(self.fronts)]
        return first if first in usable else usable[client % len(usable)]

    def submit(self, front, job_id, job, wait_s=10.0, queue="quick"):
        """Submits a job to a front; returns status and body."""
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(wait_s * 1000))}
        address = f"{front.ip}:{self.ports['front']}"
        return call(address, "POST", f"/{queue}/{job_id}", job, wait_s, headers)

    def request(self, front, method, job_id, queue="quick", wait_s=3.0):
        """Makes another request about a job."""
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(wait_s * 1000))}
        address = f"{front.ip}:{self.ports['front']}"
        return call(
            address, method, f"/{queue}/{job_id}", None, wait_s, headers
        )

    def overlaps(self) -> list[tuple[dict, dict]]:
        """Returns the pairs of runs of one task that were at work at once."""
        by_task: dict[str, list[dict]] = {}
        for minion in self.minions:
            for run in list(minion.history):
                by_task.setdefault(run["task"], []).append(run)
        found = []
        now_s = self.record.now_s()
        for runs in by_task.values():
            runs.sort(key=lambda x: x["began_s"])
            for index, run in enumerate(runs):
                ended_s = now_s if run["ended_s"] is None else run["ended_s"]
                found += [
                    (run, x)
                    for x in runs[index + 1 :]
                    if x["began_s"] < ended_s
                ]
        return found

    def runs_of(self, job_id: str) -> list[dict]:
        """Returns the runs of a job, by their start."""
        found = [
            x
            for m in self.minions
            for x in list(m.history)
            if x["task"].startswith(job_id)
        ]
        return sorted(found, key=lambda x: x["began_s"])

    def close(self) -> None:
        """Ends all processes."""
        self.closing = True
        for machine in self.fronts + self.sides:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                self.directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        shutil.rmtree(self.directory, ignore_errors=True)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free; the first processes bind them soon."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [x.getsockname()[1] for x in sockets]
    for made in sockets:
        made.close()
    return ports


def new_id() -> str:
    """Returns the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def make_job(steps, work_ms: int, estimate_ms: int | None = None) -> dict:
    """Returns the body of a job.

    Args:
        steps: Number of tasks and millicores of each step.
        work_ms: Work of each task.
        estimate_ms: Estimate, the work itself if not given.
    """
    rows = []
    for count, cpu in steps:
        row = {
            "count": count,
            "cpu": cpu,
            "memMb": 16,
            "estimateMs": work_ms if estimate_ms is None else estimate_ms,
        }
        rows.append({k: x for k, x in row.items() if x})
    spec = {"ms": work_ms, "cpu": [cpu for _, cpu in steps]}
    return {"spec": json.dumps(spec), "steps": rows, "bestEffort": True}
