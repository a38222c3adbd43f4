"""Runs a deployment on the users' platform on one machine.

Schedulers, runners and the stand-ins of the store and of the targets run as
separate processes. Each host has a loopback address of its own, since all
hosts of a deployment use the same ports.
"""

import json
import pathlib
import socket
import time
import uuid

import attrs
import urllib3

from tools import processes
from tools.standins import platform_target

# Name, priority, most attempts and stretch of each route.
QUEUES = (
    ("preview", 0, 3, 1.6),
    ("proof", 2, 3, 3.0),
    ("check", 1, 3, 2.0),
    # Its run times tell nothing of those of the other queues' jobs.
    ("warmup", 3, 3, 3.0),
)
HOST_NAME = "jobs.example"
READY_TIMEOUT_S = 15.0
# Hosts of a deployment that is ready within that time.
SMALL_HOSTS = 20
MAX_WARMUP_TASKS = 60
LEASE_LIMIT_MS = 1000
POLL_INTERVAL_S = 0.02


def reserve_ports(count: int) -> list[socket.socket]:
    """Returns listening sockets whose ports no other deployment chooses.

    No host of a deployment has the address that they are bound to, so the
    programs can listen on the same ports while the sockets stay open.
    """
    return [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]


def new_key() -> str:
    """Returns a random key for a new job."""
    return uuid.uuid4().hex[:16]


def job_body(tasks: int, run_s: float, cpu: int = 1000) -> dict:
    """Returns the request body of a job.

    Args:
        tasks: Number of tasks.
        run_s: Run time of each task in seconds.
        cpu: CPU that each task needs, in millicores.
    """
    payload = json.dumps({"run_s": run_s, "cpu": cpu})
    step = {"count": tasks, "cpu": cpu, "estimateMs": round(run_s * 1000)}
    return {"spec": payload, "steps": [step], "bestEffort": True}


@attrs.define(eq=False)
class Deployment:
    """The processes of a deployment, its operator and its callers.

    Attributes:
        launcher: Starts and ends the processes.
        schedulers: Number of schedulers.
        runners: Number of runners, each with a target.
        reservations: Sockets that keep the ports from other deployments.
        store: Address of the store; empty until `start` was called.
        target_cores: Cores of each target.
        relayed: Whether runners call their targets through relays, which
            `cut_target` can cut.
        relay: Control address of the relays; empty without any.
    """

    launcher: processes.Launcher
    schedulers: int = 2
    runners: int = 3
    reservations: list[socket.socket] = attrs.field(
        factory=lambda: reserve_ports(6)
    )
    store: str = ""
    target_cores: int = 4
    relayed: bool = False
    relay: str = ""

    @property
    def ports(self) -> list[int]:
        """Ports of every host.

        Those for callers, readiness, streams, reports, targets and metrics, in
        this order.
        """
        return [x.getsockname()[1] for x in self.reservations]

    def close(self) -> None:
        """Ends all processes and gives the ports up."""
        self.launcher.close()
        for reservation in self.reservations:
            reservation.close()

    def start(self) -> None:
        """Starts all processes and waits until jobs are served."""
        store = self.launcher.start("store", "tools.standins.platform_store")
        self.store = store.wait_ready()["http"]
        self.configure(1)
        if self.relayed:
            self.relay = self.start_relays()
        for number in range(self.schedulers):
            self.start_scheduler(number)
        for number in range(self.runners):
            self.launch_target(number)
            self.start_runner(number)
        for number in range(self.runners):
            self.process(f"target-{number}").wait_ready()
        hosts = self.schedulers + self.runners
        self.wait_serving(READY_TIMEOUT_S * max(1.0, hosts / SMALL_HOSTS))

    def scheduler_ip(self, number: int) -> str:
        """Returns the IP address of a scheduler's host."""
        return f"127.0.1.{number + 1}"

    def runner_ip(self, number: int) -> str:
        """Returns the IP address of a runner's host."""
        return f"127.0.2.{number + 1}"

    def start_scheduler(self, number: int) -> processes.Process:
        """Starts a scheduler, or restarts one that ended."""
        ip = self.scheduler_ip(number)
        callers, ready, *_ = self.ports
        listen = {"front": f"{ip}:{callers}", "ready": f"{ip}:{ready}"}
        name = f"scheduler-{number}"
        settings = self._make_settings(name, ip, ["front"], listen)
        return self._launch(name, "trefoilgw.scheduler.main", settings)

    def start_runner(self, number: int) -> processes.Process:
        """Starts a runner, or restarts one that ended."""
        ip = self.runner_ip(number)
        reports, app = self.ports[3:5]
        listen = {"control": f"{ip}:{reports}"}
        name = f"runner-{number}"
        settings = self._make_settings(name, ip, ["side"], listen)
        settings["app"] = (
            self.relay_address(number) if self.relay else f"{ip}:{app}"
        )
        return self._launch(name, "trefoilgw.runner.main", settings)

    def start_target(self, number: int) -> processes.Process:
        """Starts a target, or restarts one that ended, and waits for it."""
        process = self.launch_target(number)
        process.wait_ready()
        return process

    def launch_target(self, number: int) -> processes.Process:
        """Starts a target without waiting for it."""
        ip = self.runner_ip(number)
        reports, app = self.ports[3:5]
        return self.launcher.start(
            f"target-{number}",
            "tools.standins.platform_target",
            "--listen",
            f"{ip}:{app}",
            "--reports",
            f"{ip}:{reports}",
            "--cores",
            str(self.target_cores),
            "--record",
            str(self.record_path(number)),
        )

    def record_path(self, number: int) -> pathlib.Path:
        """Returns the file with the runs of a target, over its restarts."""
        return self.launcher.directory / f"target-{number}.runs"

    def relay_address(self, number: int) -> str:
        """Returns the address at which a runner reaches its target."""
        return f"127.0.3.{number + 1}:{self.ports[4]}"

    def start_relays(self) -> str:
        """Starts the relays to the targets; returns their control address."""
        pairs = [
            f"{self.relay_address(x)}={self.runner_ip(x)}:{self.ports[4]}"
            for x in range(self.runners)
        ]
        process = self.launcher.start(
            "relay",
            "tools.standins.relay",
            "--listen",
            f"127.0.3.254:{self.ports[5]}",
            *pairs,
        )
        return process.wait_ready()["http"]

    def cut_target(self, number: int, how: str) -> None:
        """Cuts a relayed target from its runner; `open` ends the cut."""
        body = {"listen": self.relay_address(number), "how": how}
        self.call_control(self.relay, "cut", body)

    def _make_settings(
        self, name: str, ip: str, serves: list[str], listen: dict
    ) -> dict:
        """Returns the settings that the platform writes for a process.

        Args:
            name: Name of the process.
            ip: IP address of its host.
            serves: Roles of the process.
            listen: Addresses to listen on, by purpose.
        """
        stream_port = self.ports[2]
        seeds = [f"{self.scheduler_ip(x)}:1" for x in range(self.schedulers)]
        return {
            "node": name,
            "serves": serves,
            "ip": ip,
            "zone": f"zone-{name[-1]}",
            "listen": listen,
            "portRange": [stream_port, stream_port],
            "seeds": seeds,
            "bounds": {
                "maxHoldMs": LEASE_LIMIT_MS,
                "stopTimeoutMs": 50,
                "graceS": 6,
            },
            "orders": "rpc",
            "platform": {"address": self.store},
        }

    def _launch(
        self, name: str, module: str, settings: dict
    ) -> processes.Process:
        """Writes the settings of a program and starts it."""
        path = self.launcher.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self.launcher.start(
            name,
            module,
            "--metrics-port",
            str(self.ports[5]),
            TREFOILGW_BOOT=str(path),
        )

    def metrics(self, ip: str) -> str:
        """Returns the Prometheus exposition of the program on a host."""
        url = f"http://{ip}:{self.ports[5]}/metrics"
        return urllib3.request("GET", url, timeout=5.0).data.decode()

    def log_lines(self, name: str) -> list[str]:
        """Returns the lines that a program has logged so far."""
        return self.process(name).output.read_text().splitlines()

    def process(self, name: str) -> processes.Process:
        """Returns a process by its name."""
        return self.launcher.processes[name]

    def report(self, number: int, instance: str, changes: dict) -> None:
        """Sends a report to a runner in the place of its target.

        Args:
            number: Number of the runner.
            instance: Instance that the report names.
            changes: Fields that the report has beside the usual ones.
        """
        report = {
            "service": "proof",
            "address": f"{self.runner_ip(number)}:{self.ports[4]}",
            "state": "ready",
            "capacity": {"cpu": 8000, "memMb": 8192},
            **changes,
        }
        self.post_report(number, instance, json.dumps(report).encode())

    def post_report(self, number: int, instance: str, body: bytes) -> int:
        """Sends a report with any body; returns the status of the answer."""
        address = f"{self.runner_ip(number)}:{self.ports[3]}"
        url = f"http://{address}{platform_target.REPORT_PATH}{instance}"
        return urllib3.request(
            "POST", url, body=body, timeout=1.0, retries=False
        ).status

    # Actions of the operator.

    def configure(self, version: int, **changes) -> None:
        """Writes a configuration to the store.

        Args:
            version: Version of the configuration.
            **changes: Top-level fields that replace the default ones.
        """
        routes = [
            {
                "name": name,
                "host": HOST_NAME,
                "prefix": f"/{name}/",
                "service": "proof",
                "priority": priority,
                "maxAttempts": attempts,
                "stretch": stretch,
                "targetLatencyMs": 200,
            }
            for name, priority, attempts, stretch in QUEUES
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": "proof"}],
            "limits": {"maxBodyBytes": 262144},
            **changes,
        }
        body = {"key": "op/config", "value": document}
        self.call_control(self.store, "put", body)

    def call_control(self, address: str, action: str, body: dict | None = None):
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

    def set_target_faults(self, number: int, **faults) -> None:
        """Sets the faults of a target."""
        address = f"{self.runner_ip(number)}:{self.ports[4]}"
        self.call_control(address, "faults", faults)

    def set_store_faults(self, **faults) -> None:
        """Sets the faults of the store."""
        self.call_control(self.store, "faults", faults)

    def runs(self) -> list[dict]:
        """Returns the runs of all targets that respond."""
        found = []
        for number in range(self.runners):
            address = f"{self.runner_ip(number)}:{self.ports[4]}"
            try:
                found += self.call_control(address, "runs")["runs"]
            except urllib3.exceptions.HTTPError:
                continue
        return found

    # Actions of callers.

    def call(
        self,
        number: int,
        method: str,
        path: str,
        body: dict | bytes | None = None,
        timeout_s: float = 10.0,
    ) -> tuple[int, dict]:
        """Sends a caller's request to a scheduler.

        Args:
            number: Number of the scheduler.
            method: HTTP method.
            path: Path of the request.
            body: A dict is sent as JSON, bytes as they are.
            timeout_s: Longest time to wait for the response, in seconds.

        Returns:
            Status and decoded body of the response.

        Raises:
            urllib3.exceptions.HTTPError: There was no response.
        """
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        response = urllib3.request(
            method,
            f"http://{self.scheduler_ip(number)}:{self.ports[0]}{path}",
            body=body,
            headers={"Host": HOST_NAME},
            timeout=timeout_s,
            retries=False,
        )
        return response.status, json.loads(response.data or b"{}")

    def submit(
        self, number: int, key: str, body: dict, queue: str = "proof"
    ) -> tuple[int, dict]:
        """Submits a job and returns status and body of the response."""
        return self.call(number, "POST", f"/{queue}/{key}", body)

    def wait_serving(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every scheduler has completed a job.

        The job of a small deployment has four tasks per runner, so that it runs
        on every target.

        Raises:
            TimeoutError: A scheduler did not serve the job in time.
        """
        deadline_s = time.monotonic() + timeout_s
        not_serving = set(range(self.schedulers))
        while not_serving:
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"schedulers {not_serving} do not serve")
            for number in list(not_serving):
                tasks = min(4 * self.runners, MAX_WARMUP_TASKS)
                wide_job = job_body(tasks, 0.05)
                try:
                    status, _ = self.submit(
                        number, new_key(), wide_job, "warmup"
                    )
                except urllib3.exceptions.HTTPError:
                    status = 0
                if status == 200:
                    not_serving.discard(number)
            time.sleep(POLL_INTERVAL_S)


def overlapping_runs(runs: list[dict]) -> list[tuple[dict, dict]]:
    """Returns the pairs of runs of one task that overlapped in time."""
    found = []
    ordered = sorted(runs, key=lambda x: (x["task"], x["started_s"]))
    for run, next_run in zip(ordered, ordered[1:], strict=False):
        if run["task"] != next_run["task"]:
            continue
        if run["ended_s"] is None or run["ended_s"] > next_run["started_s"]:
            found.append((run, next_run))
    return found


def overlapping_tasks(runs: list[dict]) -> list[str]:
    """Returns the tasks with two runs that overlapped in time."""
    return [run["task"] for run, _ in overlapping_runs(runs)]


def make_deployment(directory: pathlib.Path, **sizes) -> Deployment:
    """Returns a deployment that is not started yet.

    Args:
        directory: Directory of its settings, outputs and logs.
        **sizes: Number of `schedulers` and `runners`.
    """
    return Deployment(processes.Launcher(directory), **sizes)
