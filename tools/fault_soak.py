"""Plays seeded faults against a deployment of real processes, and checks it.

``python -m tools.fault_soak --seed 3 --seconds 60`` starts schedulers, runners
and the stand-ins of the platform, submits jobs as callers do, and meanwhile
kills, pauses, stops and restarts processes and cuts targets off. It prints the
tasks that had two runs at a time, and exits with 1 if there are any. Faults and
load follow from the seed; times on the real clock don't, so that a seed that
failed once may hold the next time.
"""

import argparse
import concurrent.futures
import enum
import json
import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time

import attrs
import urllib3

from tools import deployments
from tools import processes

# Delay after which a caller without an answer submits its job again.
RESEND_DELAY_S = 1.3
CALLER_LIMIT_S = 12.0
MAX_SUBMISSIONS = 4
MAX_CALLERS = 1200
# The load balancer's checks of readiness.
CHECK_INTERVAL_S = 1.0
MISSED_CHECKS = 2
DRAIN_S = 4.0
# Fields of reports that come from another writer.
ODD_REPORTS = (
    {"service": "unnamed"},
    {"seq": 10**30},
    {"capacity": {"cpu": 2**53, "memMb": 2**53}},
    {"state": "odd"},
    {"service": 7},
)
UNREADABLE_REPORTS = (
    b"[" * 100_000,
    b'{"seq": 1e999}',
    b"\xed\xa0\x80",
    b"",
)
# Time at the start without faults.
CALM_S = 1.0


@attrs.frozen
class Kind:
    """A kind of job.

    Attributes:
        queue: Queue of its jobs.
        jobs_s: Mean number of submissions a second.
        tasks: Tasks of each job.
        run_s: Run time of a task in seconds.
    """

    queue: str
    jobs_s: float
    tasks: int
    run_s: float


KINDS = (
    Kind("preview", 17.2, 8, 0.12),
    Kind("proof", 3.13, 4, 1.8),
    Kind("check", 50.0, 2, 0.4),
)


class Fault(enum.StrEnum):
    """A fault of one process, or of one target's connections."""

    RUNNER_KILL = "runner-kill"
    RUNNER_FREEZE = "runner-freeze"
    RUNNER_STOP = "runner-stop"
    TARGET_KILL = "target-kill"
    TARGET_SILENT = "target-silent"
    TARGET_RESET = "target-reset"
    TARGET_REFUSE = "target-refuse"
    TARGET_LATE = "target-late"
    TARGET_FAIL = "target-fail"
    ODD_REPORT = "odd-report"
    SCHEDULER_KILL = "scheduler-kill"
    SCHEDULER_FREEZE = "scheduler-freeze"
    SCHEDULER_STOP = "scheduler-stop"


CUTS = frozenset({Fault.TARGET_SILENT, Fault.TARGET_RESET, Fault.TARGET_REFUSE})


@attrs.frozen
class Step:
    """A fault at a time.

    Attributes:
        at_s: Seconds from the start of the load.
        fault: What happens.
        number: Number of the runner, target or scheduler.
        duration_s: How long it lasts.
    """

    at_s: float
    fault: Fault
    number: int
    duration_s: float


@attrs.frozen
class Plan:
    """What a soak plays.

    Attributes:
        seed: Seed of faults and load.
        seconds: Length of the load.
        schedulers: Number of schedulers.
        runners: Number of runners.
        cores: Cores of each target.
        millicores: Room that each task needs.
        load: Factor on the rates of `KINDS`.
        leaving: Share of the callers that leave early, once.
        faults: Faults to choose from.
        interval_s: Mean time between two faults.
        max_s: Longest time that a fault lasts.
    """

    seed: int = 1
    seconds: float = 30.0
    schedulers: int = 3
    runners: int = 11
    cores: int = 64
    millicores: int = 6200
    load: float = 1.0
    leaving: float = 0.1
    faults: tuple[Fault, ...] = tuple(Fault)
    interval_s: float = 0.5
    max_s: float = 3.5

    def steps(self) -> list[Step]:
        """Returns the faults in order."""
        rng = random.Random(self.seed)
        found = []
        at_s = CALM_S
        while at_s < self.seconds:
            fault = rng.choice(self.faults)
            many = self.runners
            if fault.startswith("scheduler"):
                many = self.schedulers
            duration_s = rng.uniform(0.1, self.max_s)
            found.append(Step(at_s, fault, rng.randrange(many), duration_s))
            at_s += rng.expovariate(1.0 / self.interval_s)
        return found


@attrs.define(eq=False)
class Balancer:
    """Chooses schedulers for callers by their readiness.

    Attributes:
        deployment: The deployment.
        missed: Checks missed in a row, by scheduler.
        ended: Set to end the checks.
    """

    deployment: deployments.Deployment
    missed: list[int]
    ended: threading.Event = attrs.field(factory=threading.Event)

    def check(self) -> None:
        """Checks all schedulers until ended."""
        with concurrent.futures.ThreadPoolExecutor(len(self.missed)) as pool:
            while not self.ended.wait(CHECK_INTERVAL_S):
                pool.map(self._check_one, range(len(self.missed)))

    def _check_one(self, number: int) -> None:
        """Checks one scheduler."""
        deployment = self.deployment
        address = f"{deployment.scheduler_ip(number)}:{deployment.ports[1]}"
        try:
            answer = urllib3.request(
                "GET", f"http://{address}/ready", timeout=1.0, retries=False
            )
            ready = answer.status == 200
        except urllib3.exceptions.HTTPError:
            ready = False
        self.missed[number] = 0 if ready else self.missed[number] + 1

    def choose(self, preferred: int) -> int:
        """Returns the preferred scheduler, or the next one in rotation."""
        count = len(self.missed)
        for step in range(count):
            number = (preferred + step) % count
            if self.missed[number] < MISSED_CHECKS:
                return number
        return preferred


@attrs.define(eq=False)
class Soak:
    """One play of a plan.

    Attributes:
        plan: The plan.
        deployment: The processes.
        balancer: Chooses schedulers.
        rng: Source of the load.
        answers: Number of final answers by status; 0 stands for none.
        killed_s: Times at which targets were killed, by number.
        busy: Processes that a fault holds at the moment.
        started_s: Start of the load.
    """

    plan: Plan
    deployment: deployments.Deployment
    balancer: Balancer
    rng: random.Random
    answers: dict[int, int] = attrs.field(factory=dict)
    killed_s: dict[int, list[float]] = attrs.field(factory=dict)
    busy: set[str] = attrs.field(factory=set)
    started_s: float = 0.0
    _restarts: int = 0

    def play(self) -> None:
        """Starts the deployment and plays load and faults to their end."""
        self.deployment.start()
        checks = threading.Thread(target=self.balancer.check)
        checks.start()
        callers = concurrent.futures.ThreadPoolExecutor(MAX_CALLERS)
        faults = concurrent.futures.ThreadPoolExecutor(64)
        self.started_s = time.monotonic()
        feeder = threading.Thread(target=self._feed, args=(callers,))
        feeder.start()
        pending = []
        try:
            for step in self.plan.steps():
                self._wait_until(step.at_s)
                pending.append(faults.submit(self._carry_out, step))
            feeder.join()
            for future in pending:
                future.result()
            time.sleep(DRAIN_S)
        finally:
            self.balancer.ended.set()
            feeder.join()
            callers.shutdown()
            faults.shutdown()
            checks.join()

    def _wait_until(self, at_s: float) -> None:
        """Waits until a time since the start of the load."""
        time.sleep(max(0.0, self.started_s + at_s - time.monotonic()))

    # Callers.

    def _feed(self, callers: concurrent.futures.Executor) -> None:
        """Submits jobs until the end of the load."""
        rates = [x.jobs_s for x in KINDS]
        at_s = 0.0
        while at_s < self.plan.seconds:
            at_s += self.rng.expovariate(sum(rates) * self.plan.load)
            self._wait_until(at_s)
            kind = self.rng.choices(KINDS, rates)[0]
            leaves = self.rng.random() < self.plan.leaving
            limit_s = self.rng.uniform(0.3, 0.9) if leaves else CALLER_LIMIT_S
            first = self.rng.randrange(self.plan.schedulers)
            callers.submit(self._call, kind, first, limit_s)

    def _call(self, kind: Kind, number: int, limit_s: float) -> None:
        """Submits a job until it has a final answer."""
        key = deployments.new_key()
        body = deployments.job_body(
            kind.tasks, kind.run_s, self.plan.millicores
        )
        status = 0
        for _ in range(MAX_SUBMISSIONS):
            number = self.balancer.choose(number)
            try:
                status, _ = self.deployment.call(
                    number, "POST", f"/{kind.queue}/{key}", body, limit_s
                )
            except urllib3.exceptions.HTTPError:
                status = 0
            if status not in (0, 502, 504):
                break
            time.sleep(RESEND_DELAY_S)
            number = (number + 1) % self.plan.schedulers
            limit_s = CALLER_LIMIT_S
        self.answers[status] = self.answers.get(status, 0) + 1

    # Faults.

    def _carry_out(self, step: Step) -> None:
        """Carries out one fault, unless its process has one already."""
        part = step.fault.partition("-")[0]
        name = f"{'target' if part == 'odd' else part}-{step.number}"
        if name in self.busy:
            return
        self.busy.add(name)
        print(
            f"{time.monotonic() - self.started_s:8.3f} {step.fault} "
            f"{step.number} for {step.duration_s:.2f} s",
            flush=True,
        )
        try:
            self._carry_out_at(name, step)
        except urllib3.exceptions.HTTPError as error:
            # Another fault has just ended the process.
            print(f"{step.fault} {step.number} left out: {error}", flush=True)
        finally:
            self.busy.discard(name)

    def _carry_out_at(self, name: str, step: Step) -> None:
        """Carries out one fault at a process."""
        deployment, number = self.deployment, step.number
        process = deployment.process(name)
        match step.fault:
            case Fault.RUNNER_FREEZE | Fault.SCHEDULER_FREEZE:
                process.freeze()
                time.sleep(step.duration_s)
                process.thaw()
            case Fault.RUNNER_KILL | Fault.SCHEDULER_KILL:
                process.kill()
                time.sleep(step.duration_s)
                self._restart(name, number)
            case Fault.RUNNER_STOP | Fault.SCHEDULER_STOP:
                process.terminate()
                process.wait(10.0)
                self._restart(name, number)
            case Fault.TARGET_KILL:
                self.killed_s.setdefault(number, []).append(time.monotonic())
                process.kill()
                time.sleep(step.duration_s)
                self._restart(name, number)
            case fault if fault in CUTS:
                deployment.cut_target(number, step.fault.partition("-")[2])
                time.sleep(step.duration_s)
                deployment.cut_target(number, "open")
            case Fault.TARGET_LATE:
                deployment.set_target_faults(
                    number, lose_starts=3, late_s=step.duration_s
                )
            case Fault.TARGET_FAIL:
                deployment.set_target_faults(number, fail=True)
                time.sleep(step.duration_s)
                deployment.set_target_faults(number)
            case Fault.ODD_REPORT:
                self._report_oddly(number)

    def _restart(self, name: str, number: int) -> None:
        """Starts a process again, and keeps what it has logged."""
        process = self.deployment.process(name)
        process.wait(5.0)
        self._restarts += 1
        kept = process.output.with_suffix(f".{self._restarts}.out")
        shutil.copy(process.output, kept)
        start = {
            "runner": self.deployment.start_runner,
            "scheduler": self.deployment.start_scheduler,
            "target": self.deployment.start_target,
        }
        start[name.partition("-")[0]](number)

    def _report_oddly(self, number: int) -> None:
        """Sends reports of another writer to a runner."""
        now_ms = int(time.time() * 1000)
        for changes in ODD_REPORTS:
            known = {"seq": 1, "born": now_ms}
            self.deployment.report(number, "i-odd", known | changes)
        for body in UNREADABLE_REPORTS:
            self.deployment.post_report(number, "i-odd", body)

    # Findings.

    def runs(self) -> list[dict]:
        """Returns the runs of all targets, also of those that were killed."""
        found = {}
        for number in range(self.plan.runners):
            path = self.deployment.record_path(number)
            for line in path.read_text().splitlines():
                run = json.loads(line) | {"target": number}
                key = (number, run["task"], run["run"], run["started_s"])
                found[key] = run
        for run in found.values():
            if run["ended_s"] is None:
                ends = self.killed_s.get(run["target"], ())
                later = [x for x in ends if x >= run["started_s"]]
                run["ended_s"] = min(later, default=None)
                run["how"] = "killed"
        return list(found.values())

    def describe(self, run: dict) -> str:
        """Returns a run as text, with times since the start of the load."""
        end = run["ended_s"]
        text = "-" if end is None else f"{end - self.started_s:.3f}"
        return (
            f"run {run['run']} at target-{run['target']} "
            f"{run['started_s'] - self.started_s:.3f} to {text} {run['how']}"
        )


def make_soak(plan: Plan, directory: pathlib.Path) -> Soak:
    """Returns a soak whose deployment is not started yet."""
    deployment = deployments.make_deployment(
        directory,
        schedulers=plan.schedulers,
        runners=plan.runners,
        target_cores=plan.cores,
        relayed=not CUTS.isdisjoint(plan.faults),
    )
    return Soak(
        plan,
        deployment,
        Balancer(deployment, [0] * plan.schedulers),
        random.Random(plan.seed),
    )


def _parse() -> argparse.Namespace:
    """Returns the command line's options."""
    parser = argparse.ArgumentParser()
    for field in attrs.fields(Plan):
        if field.name == "faults":
            continue
        parser.add_argument(
            f"--{field.name.replace('_', '-')}",
            type=field.type,
            default=field.default,
        )
    parser.add_argument("--faults", nargs="+", type=Fault, default=list(Fault))
    parser.add_argument("--logs", type=pathlib.Path)
    return parser.parse_args()


def main() -> int:
    """Plays a soak; returns 1 if a task had two runs at a time."""
    options = vars(_parse())
    logs = options.pop("logs")
    plan = Plan(**options | {"faults": tuple(options["faults"])})
    processes.exit_on_sigterm()
    with tempfile.TemporaryDirectory() as temporary:
        directory = logs or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = make_soak(plan, directory)
        try:
            soak.play()
        finally:
            soak.deployment.close()
        runs = soak.runs()
    pairs = deployments.overlapping_runs(runs)
    for first, second in pairs:
        print(
            f"TWICE {first['task']}: {soak.describe(first)}; "
            f"{soak.describe(second)}"
        )
    answers = dict(sorted(soak.answers.items()))
    print(f"{len(runs)} runs, answers {answers}, {len(pairs)} broken")
    return 1 if pairs else 0


if __name__ == "__main__":
    sys.exit(main())
