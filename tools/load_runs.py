"""Runs load scenarios against a fleet, in several processes if needed."""

import json
import secrets
import time

from tools import fleet as fleets
from tools import processes
from tools import sample
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios

# Loading Python and the libraries takes a load process about a second on a
# busy machine; all parts start the plan at the same instant after it.
START_DELAY_S = 2.0
# Beyond the scenario's own limits, for start and the final comparison.
MARGIN_S = 30.0


class LoadError(Exception):
    """A load process ended without results."""


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
        scenario_name: Shipped scenario or path of a TOML file.
        parts: Load processes that share the arrivals.
        policy: Baseline that bypasses the product, or empty.
        tokens: By customer; those of the sample configuration if None.

    Raises:
        LoadError: A process failed.
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
        start_at: Unix time of second 0 of the plan, soon if None.
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
    """Starts a baseline on given targets, without the product."""
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

    Raises:
        LoadError: A process failed or took too long.
    """
    scenario = scenarios.load(scenario_name)
    limit_s = scenario.duration_s + scenario.drain_s + MARGIN_S
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
