"""Finds runs whose predecessor could still have been at work, as far as logged.

``python -m tools.repeats --logs FILE... --records FILE...`` reads the logs of
the schedulers of a deployment and the targets' records of runs, and prints each
repeated run without a line `task repeated` that gives evidence against the run
before it. It exits with 1 if there are more of them than lines left out, or if
a line says that a run has not started which has.

A process that is killed loses its last lines, up to 0.2 s, so that the repeats
of that time show up here as well.
"""

import argparse
import collections
import json
import pathlib
import sys
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.logs import bounded
from trefoilgw.logs import job_timeline
from trefoilgw.scheduling import core as scheduling
from trefoilgw.work import core as work

ADMITTED_EVENT = "job admitted"
REPEATED_EVENT = "task repeated"

# Task and number of a run.
RunKey = tuple[str, int]


@attrs.frozen
class Findings:
    """What the logs tell of the repeats among some runs.

    Attributes:
        unexplained: Runs that are not the first ones of their task, and whose
            predecessor has no line with evidence.
        after_started: Those of them whose predecessor had started, so that the
            line would be a failure.
        contradicted: Runs that have started although a line says that they have
            not.
        repeated_lines: Attempts with more than one line `task repeated`.
        not_shown: Number of lines left out that could have explained a run.
        failures_not_shown: The same for those in `after_started`.
    """

    unexplained: tuple[RunKey, ...]
    after_started: tuple[RunKey, ...]
    contradicted: tuple[RunKey, ...]
    repeated_lines: tuple[RunKey, ...]
    not_shown: int
    failures_not_shown: int

    @property
    def certain(self) -> int:
        """Least number of unexplained runs that no left out line explains."""
        return max(
            0,
            len(self.unexplained) - self.not_shown,
            len(self.after_started) - self.failures_not_shown,
        )

    @property
    def faulty(self) -> bool:
        """Whether the logs are certainly incomplete or wrong."""
        return bool(self.certain or self.contradicted or self.repeated_lines)


def find_unexplained(lines: Iterable[str], runs: Iterable[Mapping]) -> Findings:
    """Returns the runs that were repeated without evidence.

    A run is the first one of its task if a scheduler has admitted the job with
    that number. If no admission of the job is shown, it is the recorded run
    with the lowest number.

    Args:
        lines: Log lines of all schedulers, in any order; others are ignored.
        runs: Recorded runs of all targets with their `task` and `run`.
    """
    firsts: dict[str, set[int]] = collections.defaultdict(set)
    explained: set[RunKey] = set()
    repeats: collections.Counter[RunKey] = collections.Counter()
    not_started: set[RunKey] = set()
    not_shown = failures_not_shown = 0
    for line in lines:
        row = job_timeline.parse_fields(line) or {}
        event = row.get("message")
        if event == bounded.LINES_DROPPED_EVENT:
            admissions = row["lines"].get(ADMITTED_EVENT, 0)
            not_shown += admissions + row["lines"].get(REPEATED_EVENT, 0)
            failures = row["failures"].get(REPEATED_EVENT, 0)
            failures_not_shown += admissions + failures
        elif event == ADMITTED_EVENT:
            firsts[row["job"]].add(row["first_run"])
        elif event == REPEATED_EVENT:
            repeats[row["task"], row["run"]] += 1
            if row["evidence"] != work.Evidence.NONE:
                explained.add((row["task"], _next_run(row)))
            if row["evidence"] == work.Evidence.NOT_RUN:
                not_started.add((row["task"], row["run"]))
    numbers: dict[str, set[int]] = collections.defaultdict(set)
    for run in runs:
        numbers[run["task"]].add(run["run"])
    unexplained = [
        (task, number)
        for task, recorded in numbers.items()
        for number in recorded
        - (firsts.get(task.partition(".")[0]) or {min(recorded)})
        if (task, number) not in explained
    ]
    started = {
        (task, number)
        for task, recorded in numbers.items()
        for number in recorded
    }
    return Findings(
        tuple(sorted(unexplained)),
        tuple(sorted(x for x in unexplained if (x[0], x[1] - 1) in started)),
        tuple(sorted(not_started & started)),
        tuple(sorted(key for key, count in repeats.items() if count > 1)),
        not_shown,
        failures_not_shown,
    )


def _next_run(row: Mapping) -> int:
    """Returns the number of the attempt that follows a repeat."""
    skipped = scheduling.RUN_NUMBER_SKIP if row["reason"] == "old" else 0
    return row["run"] + 1 + skipped


def main() -> int:
    """Prints the findings; returns 1 if the logs are incomplete or wrong."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--logs", type=pathlib.Path, nargs="+", required=True)
    parser.add_argument(
        "--records", type=pathlib.Path, nargs="+", required=True
    )
    options = parser.parse_args()
    found = find_unexplained(
        _read_lines(options.logs),
        map(json.loads, _read_lines(options.records)),
    )
    for task, run in found.unexplained:
        print(f"no evidence: {task} run {run}")
    for task, run in found.contradicted:
        print(f"started, but logged as not run: {task} run {run}")
    for task, run in found.repeated_lines:
        print(f"more than one line: {task} run {run}")
    print(f"{found.not_shown} lines not shown")
    return int(found.faulty)


def _read_lines(paths: Iterable[pathlib.Path]) -> list[str]:
    """Returns the lines of some files."""
    return [x for path in paths for x in path.read_text().splitlines()]


if __name__ == "__main__":
    sys.exit(main())
