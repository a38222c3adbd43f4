"""Plays a loss of all processes under load and prints a series of the return.

``python -m tools.recovery_series`` starts a deployment of real processes and
kills schedulers, runners and, with ``--loss power``, targets at once while
callers submit jobs. It starts them again and prints by half seconds since then
how the jobs that were submitted ended, and the steps of the start as the
programs log them. Callers submit each job once. A job is in time if it is
answered within its queue's objective.
"""

import argparse
import collections
import concurrent.futures
import json
import math
import pathlib
import random
import tempfile
import time

import attrs
import urllib3

from tools import deployments
from tools import processes

STEP_S = 0.5
LOAD_BEFORE_S = 2.0
LATE_SCHEDULER_S = 2.0
# Long enough that the programs have started without the store.
STORE_AWAY_S = 6.0
SECOND_LOSS_S = 1.5
CALLER_LIMIT_S = 6.0
MAX_CALLERS = 600
FAULTS = ("none", "store", "half", "late", "second")
# Queue, number of tasks, run time and stretch of the queue.
KINDS = (
    ("preview", 2, 0.1, 1.6),
    ("check", 2, 0.3, 2.0),
    ("proof", 4, 0.6, 3.0),
)
LATENCY_S = 0.2


@attrs.define(eq=False)
class Series:
    """One play.

    Attributes:
        deployment: The processes.
        options: Options of the command line.
        rng: Source of the load.
        returned_s: Time at which the processes were started again.
        results: Time of the submission, duration and outcome of each job.
    """

    deployment: deployments.Deployment
    options: argparse.Namespace
    rng: random.Random
    returned_s: float = math.inf
    results: list[tuple[float, float, str]] = attrs.field(factory=list)

    def play(self) -> None:
        """Plays load, loss and return."""
        self.deployment.start()
        with concurrent.futures.ThreadPoolExecutor(MAX_CALLERS) as callers:
            load = callers.submit(self._feed, callers)
            time.sleep(LOAD_BEFORE_S)
            self._lose_all()
            if self.options.fault == "store":
                self.deployment.set_store_faults(down=True)
            self.returned_s = time.monotonic()
            self._return()
            if self.options.fault == "second":
                time.sleep(SECOND_LOSS_S)
                self._lose_all()
                self._return()
            if self.options.fault == "store":
                time.sleep(STORE_AWAY_S)
                self.deployment.set_store_faults()
            load.result()

    def _lose_all(self) -> None:
        """Kills all programs, and targets on hosts that lose power."""
        kept = ("store",)
        if self.options.loss == "processes":
            kept = ("store", "target")
        lost = [
            x
            for name, x in self.deployment.launcher.processes.items()
            if not name.startswith(kept)
        ]
        for process in lost:
            process.kill()
        for process in lost:
            process.wait(processes.KILL_TIMEOUT_S)

    def _return(self) -> None:
        """Starts the processes again."""
        deployment, fault = self.deployment, self.options.fault
        for number in range(deployment.runners // (1 + (fault == "half"))):
            if self.options.loss == "power":
                deployment.launch_target(number)
            deployment.start_runner(number)
        for number in range(fault == "late", deployment.schedulers):
            deployment.start_scheduler(number)
        if fault == "late":
            time.sleep(LATE_SCHEDULER_S)
            deployment.start_scheduler(0)

    def _feed(self, callers: concurrent.futures.Executor) -> None:
        """Submits jobs until the end of the series."""
        at_s = time.monotonic()
        while at_s < self.returned_s + self.options.seconds:
            at_s += self.rng.expovariate(self.options.jobs_s)
            time.sleep(max(0.0, at_s - time.monotonic()))
            kind = self.rng.choice(KINDS)
            number = self.rng.randrange(self.deployment.schedulers)
            callers.submit(self._call, kind, number)

    def _call(self, kind: tuple, number: int) -> None:
        """Submits a job once and notes its end."""
        queue, tasks, run_s, stretch = kind
        body = deployments.job_body(tasks, run_s)
        started_s = time.monotonic()
        try:
            status, answer = self.deployment.call(
                number,
                "POST",
                f"/{queue}/{deployments.new_key()}",
                body,
                CALLER_LIMIT_S,
            )
        except urllib3.exceptions.NewConnectionError:
            outcome = "refused"
        except urllib3.exceptions.HTTPError:
            outcome = "no answer"
        else:
            took_s = time.monotonic() - started_s
            reason = answer.get("reason", "").partition(":")[0]
            outcome = f"{status} {reason}".strip()
            if status == 200:
                late = took_s > stretch * run_s + LATENCY_S
                outcome = "late" if late else "in time"
        took_s = time.monotonic() - started_s
        self.results.append((started_s, took_s, outcome))

    # Figures.

    def rows(self) -> list[str]:
        """Returns the table of the outcomes by time of submission."""
        steps: dict[int, collections.Counter] = {}
        for started_s, _, outcome in self.results:
            step = math.floor((started_s - self.returned_s) / STEP_S)
            if 0 <= step < self.options.seconds / STEP_S:
                steps.setdefault(step, collections.Counter())[outcome] += 1
        totals = sum(steps.values(), collections.Counter())
        outcomes = sorted(totals, key=lambda x: (x != "in time", x != "late"))
        lines = [
            "| s | " + " | ".join(outcomes) + " |",
            "| --- |" + " --- |" * len(outcomes),
        ]
        for label, counts in [
            *((f"{x * STEP_S:.1f}", steps[x]) for x in sorted(steps)),
            ("all", totals),
        ]:
            cells = " | ".join(str(counts[x]) for x in outcomes)
            lines.append(f"| {label} | {cells} |")
        return lines

    def summary(self) -> list[str]:
        """Returns the first service, the longest rejection and the steps."""
        after = [x for x in self.results if x[0] >= self.returned_s]
        served = [x + y for x, y, z in after if z in ("in time", "late")]
        first_s = min(served, default=math.inf) - self.returned_s
        held = [y for _, y, z in after if z[:1] in "45"]
        lines = [
            f"first job served after {first_s:.2f} s",
            f"longest time to a rejection {max(held, default=0.0):.2f} s",
        ]
        steps: dict[tuple[str, str], list[float]] = {}
        for name in self.deployment.launcher.processes:
            for line in self.deployment.log_lines(name):
                record = json.loads(line) if line[:1] == "{" else {}
                if record.get("message") == "serving":
                    for field in (x for x in record if x.endswith("_s")):
                        key = (record["program"], field)
                        steps.setdefault(key, []).append(record[field])
        for (program, field), values in sorted(steps.items()):
            text = f"{min(values):.2f} to {max(values):.2f}"
            lines.append(f"{program} {field} {text}")
        return lines


def main() -> None:
    """Plays a series and prints it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--schedulers", type=int, default=3)
    parser.add_argument("--runners", type=int, default=6)
    parser.add_argument("--jobs-s", type=float, default=16.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--report-interval", type=float, default=1.5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--loss", choices=("power", "processes"), default="power"
    )
    parser.add_argument("--fault", choices=FAULTS, default="none")
    options = parser.parse_args()
    processes.exit_on_sigterm()
    with tempfile.TemporaryDirectory() as temporary:
        deployment = deployments.make_deployment(
            pathlib.Path(temporary),
            schedulers=options.schedulers,
            runners=options.runners,
            report_interval_s=options.report_interval,
        )
        series = Series(deployment, options, random.Random(options.seed))
        try:
            series.play()
            lines = series.rows() + series.summary()
        finally:
            deployment.close()
    print("\n".join(lines))


if __name__ == "__main__":
    main()
