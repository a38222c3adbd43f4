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
from tools import relays as host_relays
from tools.standins import platform_target
from trefoilgw.subsets import core as subsets

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
# Time after the acknowledgement of an evacuation from which nothing may start.
EVACUATION_LIMIT_MS = 5000
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
            `relays` can cut.
        linked: Whether all other connections between hosts, those to the store
            and the targets' reports lead through relays as well.
        moves: Number of moves to another address, by runner.
        instances: Instance of each target that does not have the usual one.
        evacuations: Whether the settings ask for evacuations.
        clock_rate: Seconds of the steady clocks of every third target in a
            second; the others' clocks are exact.
        relays: The relays, if any.
        limits: Limits of each host as they stand in the settings, none if
            empty.
        report_interval_s: Time between the reports of a target.
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
    linked: bool = False
    moves: dict[int, int] = attrs.field(factory=dict)
    instances: dict[int, str] = attrs.field(factory=dict)
    clock_rate: float = 1.0
    evacuations: bool = False
    limits: dict[str, float] = attrs.field(factory=dict)
    report_interval_s: float = platform_target.REPORT_INTERVAL_S
    relays: host_relays.Relays = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.relays = host_relays.Relays(
            self.launcher, self.schedulers, self.runners, self.ports
        )

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
        if self.relayed or self.linked:
            self.start_relays()
        for number in range(self.schedulers):
            self.start_scheduler(number)
        for number in range(self.runners):
            self.launch_target(number)
            self.start_runner(number)
        for number in range(self.runners):
            self.process(f"target-{number}").wait_ready()
        hosts = self.schedulers + self.runners
        timeout_s = READY_TIMEOUT_S * max(1.0, hosts / SMALL_HOSTS)
        self.wait_serving(timeout_s)
        if self.schedulers <= subsets.SCHEDULERS_PER_RUNNER:
            self.wait_for_runners(timeout_s)

    def wait_for_runners(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until each scheduler can use every runner.

        A job may be done before the last runner has joined.

        Raises:
            TimeoutError: A scheduler can't use them all in time.
        """
        line = f'trefoilgw_runners{{state="usable"}} {self.runners:.1f}\n'
        deadline_s = time.monotonic() + timeout_s
        for number in range(self.schedulers):
            while line not in self.metrics(self.scheduler_ip(number)):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"scheduler {number} lacks runners")
                time.sleep(POLL_INTERVAL_S)

    def scheduler_ip(self, number: int) -> str:
        """Returns the IP address of a scheduler's host."""
        return f"127.0.1.{number + 1}"

    def runner_ip(self, number: int) -> str:
        """Returns the IP address of a runner's host."""
        return f"127.{self.moves.get(number, 0)}.2.{number + 1}"

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
        address = self.relays.target_link(number)
        settings["app"] = self.relays.either(address, f"{ip}:{app}")
        return self._launch(name, "trefoilgw.runner.main", settings)

    def start_target(self, number: int) -> processes.Process:
        """Starts a target, or restarts one that ended, and waits for it."""
        process = self.launch_target(number)
        process.wait_ready()
        return process

    def launch_target(self, number: int) -> processes.Process:
        """Starts a target without waiting for it."""
        app = self.app_address(number)
        reports = self.relays.either(
            self.relays.report_link(number), self.reports_address(number)
        )
        clock_rate = self.clock_rate if number % 3 == 0 else 1.0
        return self.launcher.start(
            f"target-{number}",
            "tools.standins.platform_target",
            "--listen",
            app,
            "--reports",
            reports,
            "--instance",
            self.instance(number),
            "--cores",
            str(self.target_cores),
            "--clock-rate",
            str(clock_rate),
            "--report-interval",
            str(self.report_interval_s),
            "--record",
            str(self.record_path(number)),
        )

    def instance(self, number: int) -> str:
        """Returns the instance that a target names, also after a restart."""
        usual = f"i-{self.app_address(number)}"
        return self.instances.get(number, usual)

    def app_address(self, number: int) -> str:
        """Returns the address that a target listens on."""
        return f"{self.runner_ip(number)}:{self.ports[4]}"

    def reports_address(self, number: int) -> str:
        """Returns the address at which a runner accepts reports."""
        return f"{self.runner_ip(number)}:{self.ports[3]}"

    def record_path(self, number: int) -> pathlib.Path:
        """Returns the file with the runs of a target, over its restarts."""
        return self.launcher.directory / f"target-{number}.runs"

    # Relays.

    def stream_address(self, scheduler: int) -> str:
        """Returns the address at which a scheduler accepts streams."""
        return f"{self.scheduler_ip(scheduler)}:{self.ports[2]}"

    def _host_relays(self) -> list[dict[str, str]]:
        """Returns the destination of each relay, by the relay, of each host."""
        schedulers = range(self.schedulers)
        hosts = []
        for number in range(self.runners):
            address = self.relays.target_link(number)
            relays = {address: self.app_address(number)}
            if self.linked:
                address = self.relays.report_link(number)
                relays[address] = self.reports_address(number)
                for scheduler in schedulers:
                    address = self.relays.stream_link(
                        "runner", number, scheduler
                    )
                    relays[address] = self.stream_address(scheduler)
            hosts.append(relays)
        for number in schedulers if self.linked else ():
            relays = {self.relays.store_link(number): self.store}
            for other in schedulers:
                address = self.relays.stream_link("scheduler", number, other)
                relays[address] = self.stream_address(other)
            hosts.append(relays)
        return hosts

    def start_relays(self) -> None:
        """Starts the relays."""
        self.relays.start(self._host_relays())

    def move_runner(self, number: int) -> None:
        """Gives a runner's host another IP address, before it is restarted."""
        self.moves[number] = self.moves.get(number, 0) + 1
        self.relays.redirect(
            {
                self.relays.target_link(number): self.app_address(number),
                self.relays.report_link(number): self.reports_address(number),
            }
        )

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
        settings = {
            "node": name,
            "serves": serves,
            "ip": ip,
            "zone": self.domain(name),
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
            "limits": self.limits,
        }
        if self.evacuations:
            settings["contracts"] = ["base", "places"]
            settings["bounds"]["evacuateMs"] = EVACUATION_LIMIT_MS
            settings["zones"] = dict.fromkeys(self.domains(), "region")
        return settings

    def domain(self, name: str) -> str:
        """Returns the failure domain of a process."""
        return f"zone-{name[-1]}"

    def domains(self) -> list[str]:
        """Returns the failure domains of all runners."""
        runners = range(self.runners)
        return sorted({self.domain(f"runner-{x}") for x in runners})

    def _launch(
        self, name: str, module: str, settings: dict
    ) -> processes.Process:
        """Writes the settings of a program and starts it."""
        path = self.launcher.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = (module, "--metrics-port", str(self.ports[5]))
        if self.linked:
            relays = self.launcher.directory / f"{name}.relays"
            relays.write_text(json.dumps(self._redirections(name)))
            clock = str(self.clock_path(name))
            options = ("--relays", str(relays), "--clock", clock)
            command = ("tools.standins.relayed_program", *options, *command)
        return self.launcher.start(name, *command, TREFOILGW_BOOT=str(path))

    def clock_path(self, name: str) -> pathlib.Path:
        """Returns the file with the shift of a program's wall clock."""
        return self.launcher.directory / f"{name}.clock"

    def _redirections(self, name: str) -> dict[str, str]:
        """Returns the relays of a program by their destination."""
        kind, _, number = name.partition("-")
        found = {
            self.stream_address(x): self.relays.stream_link(
                kind, int(number), x
            )
            for x in range(self.schedulers)
        }
        if kind == "scheduler":
            found[self.store] = self.relays.store_link(int(number))
        return found

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

    def deregister(self, number: int) -> None:
        """Sends the deregistration of a target to its runner."""
        path = platform_target.LEAVE_PATH + self.instance(number)
        urllib3.request(
            "POST",
            f"http://{self.reports_address(number)}{path}",
            body=b"{}",
            timeout=1.0,
            retries=False,
        )

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
        processes.call_control(self.store, "put", body)

    def evacuate(self, domain: str, value: object = None) -> None:
        """Requests that nothing more starts in a failure domain."""
        body = {"key": f"op/evacuate/{domain}", "value": value or {}}
        processes.call_control(self.store, "put", body)

    def take_back(self, domain: str) -> None:
        """Ends the evacuation of a failure domain."""
        body = {"key": f"op/evacuate/{domain}"}
        processes.call_control(self.store, "remove", body)

    def set_target_faults(self, number: int, **faults) -> None:
        """Sets the faults of a target."""
        address = f"{self.runner_ip(number)}:{self.ports[4]}"
        processes.call_control(address, "faults", faults)

    def set_store_faults(self, **faults) -> None:
        """Sets the faults of the store."""
        processes.call_control(self.store, "faults", faults)

    def runs(self) -> list[dict]:
        """Returns the runs of all targets that respond."""
        found = []
        for number in range(self.runners):
            address = f"{self.runner_ip(number)}:{self.ports[4]}"
            try:
                found += processes.call_control(address, "runs")["runs"]
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
        on every target that is there.

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
