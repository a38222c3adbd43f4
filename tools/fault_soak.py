"""Plays seeded faults against a deployment of real processes, and checks it.

``python -m tools.fault_soak --seed 3 --seconds 60`` starts schedulers, runners
and the stand-ins of the platform, submits jobs as callers do, and meanwhile
plays the faults of `tools.soak.plan.Fault`, of which ``--faults`` chooses some.
It prints what the checks find, and exits with 1 if a task had two runs at a
time, a job answered as completed has a task that was not done, a job that was
rejected has started, a run has started in an evacuated domain later than all
processes must know of it, or a scheduler's log gives a run as not run that has
started. Faults and load follow from the seed; times on the
real clock don't, so that a seed that failed once may hold the next time.
``--size grown`` plays the size of the larger sites, at a lower load for each
target.
"""

import argparse
import collections
import concurrent.futures
import pathlib
import random
import sys
import tempfile
import threading
import time

import attrs
import urllib3

from tools import deployments
from tools import processes
from tools import repeats
from tools.soak import checks
from tools.soak import faults
from tools.soak import plan as soak_plan

# Delay after which a caller without an answer submits its job again.
RESEND_DELAY_S = 1.3
CALLER_LIMIT_S = 12.0
MAX_SUBMISSIONS = 4
MAX_CALLERS = 1200
# The load balancer's checks of readiness.
CHECK_INTERVAL_S = 1.0
MISSED_CHECKS = 2
DRAIN_S = 4.0
# Time without faults after which a job without an answer counts as stuck. Lost
# runs are repeated after 2 s, and the longest run takes as long.
STUCK_S = 8.0
# The steady clock of a target may be 2% slow.
SLOW_CLOCK_RATE = 0.98
TWICE = "TWICE"
# Findings that are a fault of the product in any case.
EVACUATED = "EVACUATED"
BROKEN = (TWICE, "UNFINISHED", "STARTED", EVACUATED, "CONTRADICTED")


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
        injector: Carries out faults.
        rng: Source of the load.
        calls: Calls that have ended.
        started_s: Start of the load.
        calm_s: End of the last fault.
    """

    plan: soak_plan.Plan
    deployment: deployments.Deployment
    balancer: Balancer
    injector: faults.Injector
    rng: random.Random
    calls: list[checks.Call] = attrs.field(factory=list)
    started_s: float = 0.0
    calm_s: float = 0.0

    @property
    def answers(self) -> dict[int, int]:
        """Number of final answers by status; 0 stands for none."""
        statuses = collections.Counter(x.last.status for x in self.calls)
        return dict(sorted(statuses.items()))

    def play(self) -> None:
        """Starts the deployment and plays load and faults to their end."""
        self.deployment.start()
        probes = threading.Thread(target=self.balancer.check)
        probes.start()
        callers = concurrent.futures.ThreadPoolExecutor(MAX_CALLERS)
        pool = concurrent.futures.ThreadPoolExecutor(64)
        self.started_s = self.injector.started_s = time.monotonic()
        feeder = threading.Thread(target=self._feed, args=(callers,))
        feeder.start()
        pending = []
        try:
            for step in self.plan.steps():
                self._wait_until(step.at_s)
                pending.append(pool.submit(self.injector.carry_out, step))
            feeder.join()
            for future in pending:
                future.result()
            self.calm_s = time.monotonic()
            time.sleep(DRAIN_S)
        finally:
            feeder.join()
            callers.shutdown()
            pool.shutdown()
            self.balancer.ended.set()
            probes.join()

    def _wait_until(self, at_s: float) -> None:
        """Waits until a time since the start of the load."""
        time.sleep(max(0.0, self.started_s + at_s - time.monotonic()))

    # Callers.

    def _feed(self, callers: concurrent.futures.Executor) -> None:
        """Submits jobs until the end of the load."""
        rates = [x.jobs_s for x in soak_plan.KINDS]
        at_s = 0.0
        while at_s < self.plan.seconds:
            at_s += self.rng.expovariate(sum(rates) * self.plan.load)
            self._wait_until(at_s)
            kind = self.rng.choices(soak_plan.KINDS, rates)[0]
            leaves = self.rng.random() < self.plan.leaving
            limit_s = self.rng.uniform(0.3, 0.9) if leaves else CALLER_LIMIT_S
            first = self.rng.randrange(self.plan.schedulers)
            callers.submit(self._call, kind, first, limit_s)

    def _call(self, kind: soak_plan.Kind, number: int, limit_s: float) -> None:
        """Submits a job until it has a final answer."""
        call = checks.Call(deployments.new_key(), kind)
        body = deployments.job_body(
            kind.tasks, kind.run_s, self.plan.millicores
        )
        while len(call.submissions) < MAX_SUBMISSIONS:
            if call.submissions:
                time.sleep(RESEND_DELAY_S)
                number, limit_s = number + 1, CALLER_LIMIT_S
            number = self.balancer.choose(number % self.plan.schedulers)
            self._submit(call, number, body, limit_s)
            if call.last.status not in checks.UNKNOWN_OUTCOME:
                break
        self.calls.append(call)

    def _submit(
        self, call: checks.Call, number: int, body: dict, limit_s: float
    ) -> None:
        """Submits a job once, and notes the answer."""
        submission = checks.Submission(
            number, time.monotonic(), limit_s, limit_s < CALLER_LIMIT_S
        )
        path = f"/{call.kind.queue}/{call.key}"
        try:
            submission.status, answer = self.deployment.call(
                number, "POST", path, body, limit_s
            )
            submission.state = answer.get("state", "")
        except urllib3.exceptions.HTTPError as error:
            submission.error = type(error).__name__
        submission.ended_s = time.monotonic()
        call.submissions.append(submission)

    # Findings.

    def runs(self) -> list[dict]:
        """Returns the runs of all targets, also of those that were killed."""
        paths = {
            x: self.deployment.record_path(x) for x in range(self.plan.runners)
        }
        return checks.read_runs(paths, self.injector.killed_s)

    def findings(self) -> dict[str, list[str]]:
        """Returns what the checks have found, by kind."""
        runs, calls = self.runs(), self.calls
        return {
            TWICE: checks.overlaps(runs, self.started_s),
            "UNFINISHED": checks.unfinished_jobs(calls, runs),
            "STARTED": checks.started_rejects(calls, runs),
            EVACUATED: self._evacuated_starts(runs),
            **self._repeats(runs),
            "STUCK": checks.stuck_calls(calls, self.calm_s, STUCK_S),
            "UNANSWERED": checks.unanswered_calls(calls),
        }

    def _evacuated_starts(self, runs: list[dict]) -> list[str]:
        """Returns the runs that started in an evacuated domain."""
        domain = self.deployment.domain
        return checks.evacuated_starts(
            runs,
            self.injector.evacuations,
            {x: domain(f"runner-{x}") for x in range(self.plan.runners)},
            deployments.EVACUATION_LIMIT_MS / 1000,
            self.injector.store_faults,
        )

    def _repeats(self, runs: list[dict]) -> dict[str, list[str]]:
        """Returns what the schedulers' logs lack or say wrongly of repeats.

        A scheduler that is killed loses the last lines of its log, so that some
        repeats have no evidence then.
        """
        logs = self.deployment.launcher.directory.glob("scheduler-*.out")
        lines = [
            line
            for path in logs
            for line in path.read_text(errors="replace").splitlines()
        ]
        found = repeats.find_unexplained(lines, runs)
        return {
            "CONTRADICTED": [
                f"{task} run {run}"
                for task, run in found.contradicted + found.repeated_lines
            ],
            "UNEXPLAINED": [
                f"{task} run {run}"
                for task, run in found.unexplained
                if found.certain
            ],
        }


def make_soak(plan: soak_plan.Plan, directory: pathlib.Path) -> Soak:
    """Returns a soak whose deployment is not started yet."""
    deployment = deployments.make_deployment(
        directory,
        schedulers=plan.schedulers,
        runners=plan.runners,
        target_cores=plan.cores,
        relayed=not soak_plan.CUTS.isdisjoint(plan.faults),
        linked=not soak_plan.LINKED.isdisjoint(plan.faults),
        clock_rate=SLOW_CLOCK_RATE,
        evacuations=soak_plan.Fault.DOMAIN_EVACUATE in plan.faults,
    )
    return Soak(
        plan,
        deployment,
        Balancer(deployment, [0] * plan.schedulers),
        faults.Injector(deployment),
        random.Random(plan.seed),
    )


def _parse() -> argparse.Namespace:
    """Returns the command line's options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--size", choices=soak_plan.SIZES, default="small")
    size = parser.parse_known_args()[0].size
    for field in attrs.fields(soak_plan.Plan):
        if field.name == "faults":
            continue
        parser.add_argument(
            f"--{field.name.replace('_', '-')}",
            type=field.type,
            default=soak_plan.SIZES[size].get(field.name, field.default),
        )
    parser.add_argument(
        "--faults",
        nargs="+",
        type=soak_plan.Fault,
        default=list(soak_plan.Fault),
    )
    parser.add_argument("--logs", type=pathlib.Path)
    return parser.parse_args()


def main() -> int:
    """Plays a soak; returns 1 if a check has found a fault of the product.

    Calls without an answer are printed and counted, but may be due to faults.
    """
    options = vars(_parse())
    logs = options.pop("logs")
    del options["size"]
    plan = soak_plan.Plan(**options | {"faults": tuple(options["faults"])})
    processes.exit_on_sigterm()
    with tempfile.TemporaryDirectory() as temporary:
        directory = logs or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = make_soak(plan, directory)
        try:
            soak.play()
        finally:
            soak.deployment.close()
        found = soak.findings()
        runs = soak.runs()
    for kind, texts in found.items():
        for text in texts:
            print(f"{kind} {text}")
    counts = {kind.lower(): len(texts) for kind, texts in found.items()}
    print(
        f"seed {plan.seed}: {len(runs)} runs, answers {soak.answers}, "
        f"started at {soak.started_s:.3f}, {counts}"
    )
    return 1 if any(found[x] for x in BROKEN) else 0


if __name__ == "__main__":
    sys.exit(main())
