"""Runs load scenarios against a fleet, in one or several load processes."""

import json
import secrets
import time

from tools import fleet as fleets
from tools import processes
from tools import sample
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios

# A load process needs about a second on a busy machine to start Python and to
# import its libraries. All processes start the plan after this delay, at the
# same instant.
START_DELAY_S = 2.0
# Time that a load process may take in addition to the limits of its scenario,
# for its start and for the final comparison with the targets' counters.
TIMEOUT_MARGIN_S = 30.0


class LoadError(Exception):
    """A load process failed, timed out or wrote no results."""


def run(
    fleet: fleets.Fleet,
    scenario_name: str,
    parts: int = 1,
    policy: str = "",
    tokens: dict[str, str] | None = None,
) -> results.Results:
    """Runs a scenario and merges the results of all load processes.

    Args:
        fleet: A running fleet.
        scenario_name: Name of a shipped scenario or path of a TOML file.
        parts: Number of load processes, which share the arrivals.
        policy: Baseline policy that sends the tasks straight to the targets;
            empty to use the product.
        tokens: Tokens by customer; those of the sample configuration if None.

    Raises:
        LoadError: A process failed or took too long.
    """
    started = start(fleet, scenario_name, parts, policy, tokens)
    return finish(started, scenario_name)


def start(
    fleet: fleets.Fleet,
    scenario_name: str,
    parts: int = 1,
    policy: str = "",
    tokens: dict[str, str] | None = None,
    start_at: float | None = None,
) -> list[processes.Process]:
    """Starts the load processes; `finish` waits for them.

    Args:
        fleet: A running fleet.
        scenario_name: As for `run`.
        parts: As for `run`.
        policy: As for `run`.
        tokens: As for `run`.
        start_at: Unix time at which the plan starts; `START_DELAY_S` from now
            if None.
    """
    if start_at is None:
        start_at = time.time() + START_DELAY_S
    arguments = [
        "--entries",
        ",".join(process.ready["http"] for process in fleet.entries()),
        "--targets",
        ",".join(process.ready["http"] for process in fleet.targets()),
        "--start-at",
        f"{start_at:.3f}",
        "--run-id",
        secrets.token_hex(6),
    ]
    if tokens is None:
        tokens = sample.tokens()
    for customer, token in tokens.items():
        arguments += ["--token", f"{customer}={token}"]
    if policy:
        arguments += ["--direct", policy]
    number = len(fleet.launcher.processes)
    return [
        fleet.launcher.start(
            f"load-{number}-{part}",
            "trefoilgw.load.main",
            scenario_name,
            *arguments,
            "--part",
            f"{part}/{parts}",
            "--json",
            str(fleet.launcher.directory / f"load-{number}-{part}.jsonl"),
        )
        for part in range(parts)
    ]


def start_direct(
    fleet: fleets.Fleet,
    scenario_name: str,
    policy: str,
    targets: list[str],
    start_at: float,
) -> list[processes.Process]:
    """Starts a load process that sends tasks straight to the targets.

    Args:
        fleet: A running fleet, whose launcher starts the process.
        scenario_name: As for `run`.
        policy: Baseline policy that selects a target for each task.
        targets: Addresses of the targets.
        start_at: Unix time at which the plan starts.

    Returns:
        The process, as the only one of a list that `finish` takes.
    """
    name = f"load-{policy}-{len(fleet.launcher.processes)}"
    return [
        fleet.launcher.start(
            name,
            "trefoilgw.load.main",
            scenario_name,
            "--targets",
            ",".join(targets),
            "--start-at",
            f"{start_at:.3f}",
            "--direct",
            policy,
            "--json",
            str(fleet.launcher.directory / f"{name}.jsonl"),
        )
    ]


def finish(
    started: list[processes.Process], scenario_name: str
) -> results.Results:
    """Waits for the load processes and merges their results.

    Args:
        started: The load processes of one run.
        scenario_name: Scenario of the run, whose duration bounds the wait for
            each process.

    Raises:
        LoadError: A process failed or took too long.
    """
    scenario = scenarios.load(scenario_name)
    limit_s = scenario.duration_s + scenario.drain_s + TIMEOUT_MARGIN_S
    merged = results.Results()
    for process in started:
        status = process.wait(limit_s)
        path = process.output.with_suffix(".jsonl")
        if status not in (0, 1) or not path.exists():
            text = process.output.read_text() + process.log.read_text()
            raise LoadError(f"{process.name} ended with {status}:\n{text}")
        lines = path.read_text(encoding="utf-8").splitlines()
        merged.merge(results.from_lines([json.loads(line) for line in lines]))
    return merged
