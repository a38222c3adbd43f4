"""Measures the figures of section 16 of the design page in under a minute.

Prints one figure a line as ``name value unit``, in the order of that section,
then the baselines and other measurements. A figure that could not be measured
is printed as ``not-measured``, with the reason on standard error.
`docs/tools.md` describes how each figure is measured.
"""

import base64
import concurrent.futures
import json
import pathlib
import sys
import time

import attrs

from tools import central_queue
from tools import fleet as fleets
from tools import fleet_metrics
from tools import load_runs
from tools import processes
from tools import sample
from trefoilgw.load import arrivals
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios

SCENARIOS = pathlib.Path(__file__).resolve().parent / "scenarios"
UNITS = {
    "response_ratio_p50": "ratio",
    "response_ratio_p99": "ratio",
    "response_ratio_p99_85": "ratio",
    "added_latency_p50_ms": "ms",
    "added_latency_p99_ms": "ms",
    "messages_per_task_single": "messages",
    "messages_per_task_310": "messages",
    "wasted_messages_pct": "%",
    "flood_low_kept_pct": "%",
    "flood_urgent_kept_pct": "%",
    "config_in_force_s": "s",
    "agent_rss_mb": "MB",
    "entry_rss_mb": "MB",
    "agent_control_cpu_pct": "%",
    "agent_control_kb_s": "KB/s",
    "entry_starts_per_core_s": "starts/s",
}
LOAD_PARTS = 2
FLOOD_LOAD_PARTS = 3
MEGABYTE = 1024 * 1024
KILOBYTE = 1024
CONFIG_TIMEOUT_S = 15.0
CONFIG_KEY = "/trefoilgw/config"
POLL_INTERVAL_S = 0.01
# Time after the last arrival in which the longest tasks of the interactive
# stages, and those of the other stages, end.
LONG_TAIL_S = 5.3
SHORT_TAIL_S = 1.5
# Time between the end of the interactive stages and the first arrival of the
# next stage.
GAP_S = 0.5


@attrs.define(eq=False)
class Figures:
    """Measured values.

    Attributes:
        values: Values of the figures in `UNITS` by name; a figure without a
            value, or with None, was not measured.
        extra: Value and unit of the additional lines by name.
    """

    values: dict = attrs.field(factory=dict)
    extra: dict = attrs.field(factory=dict)

    def add(self, name: str, value: float, unit: str) -> None:
        """Adds a line after the figures of `UNITS`."""
        self.extra[name] = (value, unit)

    def lines(self) -> list[str]:
        """Returns the lines to print, in their order."""
        lines = []
        for name, unit in UNITS.items():
            value = self.values.get(name)
            text = "not-measured" if value is None else f"{value:.3f}"
            lines.append(f"{name} {text} {unit}")
        for name, (value, unit) in self.extra.items():
            lines.append(f"{name} {value:.3f} {unit}")
        return lines


@attrs.frozen
class Stage:
    """A load run on the fleet.

    Attributes:
        name: Name of its scenario.
        started: Its load processes.
        end_at: Unix time at which all its tasks should have ended.
    """

    name: str
    started: list[processes.Process]
    end_at: float

    def finish(self) -> results.Results:
        """Waits for the load processes and returns their merged results."""
        return load_runs.finish(self.started, scenario_path(self.name))


def scenario_path(name: str) -> str:
    """Returns the path of the scenario of a stage."""
    return str(SCENARIOS / f"figures-{name}.toml")


def start_stage(
    fleet: fleets.Fleet, name: str, parts: int, start_at: float, tail_s: float
) -> Stage:
    """Starts the load processes of a stage, which wait for its start.

    Args:
        fleet: A running fleet.
        name: Name of the scenario.
        parts: Number of load processes.
        start_at: Unix time at which the plan starts.
        tail_s: Time that tasks may need after the last arrival.
    """
    path = scenario_path(name)
    started = load_runs.start(fleet, path, parts, start_at=start_at)
    duration_s = scenarios.load(path).duration_s
    return Stage(name, started, start_at + duration_s + tail_s)


def wait_until(unix_s: float) -> None:
    """Sleeps until a Unix time."""
    time.sleep(max(0.0, unix_s - time.time()))


def measure_load(figures: Figures, fleet: fleets.Fleet) -> None:
    """Runs all load stages, one after the other.

    The interactive jobs at 85% load start at the last arrival of those at 70%,
    while the longest tasks still run. The load processes of the later stages
    are started ahead of time and wait for their start.
    """
    before = fleet_metrics.read(fleet)
    begun_at = time.time()
    start_at = begun_at + load_runs.START_DELAY_S
    normal = start_stage(fleet, "70", LOAD_PARTS, start_at, 0.0)
    high = start_stage(fleet, "85", LOAD_PARTS, normal.end_at, LONG_TAIL_S)
    baselines = start_baselines(fleet, start_at)
    total = collect_interactive(figures, "70", normal).total()
    if total.counts["complete"]:
        figures.values["response_ratio_p50"] = total.ratio_at(50)
        figures.values["response_ratio_p99"] = total.ratio_at(99)
        figures.values["added_latency_p50_ms"] = total.added_s_at(50) * 1000
        figures.values["added_latency_p99_ms"] = total.added_s_at(99) * 1000
    starts = total.counts["task_starts"]
    later = start_later_stages(fleet, high.end_at + GAP_S)
    attempt(finish_baselines, figures, baselines)
    total = collect_interactive(figures, "85", high).total()
    if total.counts["complete"]:
        figures.values["response_ratio_p99_85"] = total.ratio_at(99)
    starts += total.counts["task_starts"]
    wait_until(high.end_at)
    middle = fleet_metrics.read(fleet)
    if starts:
        used = fleet_metrics.difference(before, middle)
        add_interactive_costs(figures, used, starts, time.time() - begun_at)
    finish_later_stages(figures, fleet, middle, later)


def collect_interactive(
    figures: Figures, name: str, stage: Stage
) -> results.Results:
    """Waits for a stage of interactive jobs and returns its results."""
    run = stage.finish()
    add_run_quality(figures, name, run)
    return run


def add_interactive_costs(
    figures: Figures, used: fleet_metrics.Reading, starts: int, took_s: float
) -> None:
    """Adds messages, bytes and CPU time of both interactive stages.

    Args:
        figures: Receives the values.
        used: Increase of the counters during both stages.
        starts: Number of task starts in both stages.
        took_s: Duration of both stages.
    """
    messages = fleet_metrics.task_messages(used)
    if messages is not None:
        figures.values["messages_per_task_single"] = messages / starts
        direct = messages - fleet_metrics.forwards(used)
        figures.add(
            "messages_per_task_single_without_forwards",
            direct / starts,
            "messages",
        )
    agents = used.agent_cpu_s
    figures.values["agent_control_cpu_pct"] = (
        100 * sum(agents) / len(agents) / took_s
    )
    transferred = fleet_metrics.stream_bytes(used, 'peer="agent"')
    if transferred is not None:
        per_agent = transferred / len(agents) / took_s
        figures.values["agent_control_kb_s"] = per_agent / KILOBYTE
    figures.values["entry_starts_per_core_s"] = starts / used.entry_cpu_s


def start_later_stages(fleet: fleets.Fleet, start_at: float) -> list[Stage]:
    """Starts the stages of large jobs, of background work and of floods."""
    stages = []
    for name, parts in (
        ("310", 1),
        ("base", 1),
        ("flood-low", FLOOD_LOAD_PARTS),
        ("flood-urgent", FLOOD_LOAD_PARTS),
    ):
        stage = start_stage(fleet, name, parts, start_at, SHORT_TAIL_S)
        stages.append(stage)
        start_at = stage.end_at
    return stages


def finish_later_stages(
    figures: Figures,
    fleet: fleets.Fleet,
    before: fleet_metrics.Reading,
    stages: list[Stage],
) -> None:
    """Waits for the later stages and adds their figures.

    Args:
        figures: Receives the values.
        fleet: A running fleet.
        before: Counters before the first of these stages.
        stages: Stages as `start_later_stages` returns them.
    """
    large, base, low, urgent = stages
    wait_until(large.end_at)
    used = fleet_metrics.difference(before, fleet_metrics.read(fleet))
    run = large.finish()
    add_run_quality(figures, "310", run)
    add_large_job_costs(figures, used, run.counts()["task_starts"])
    run = base.finish()
    add_run_quality(figures, "base", run)
    undisturbed = run.total(flood=False)
    for name, stage in (("low", low), ("urgent", urgent)):
        run = stage.finish()
        add_run_quality(figures, f"flood_{name}", run)
        add_flood(figures, name, undisturbed, run.total(flood=False))


def add_large_job_costs(
    figures: Figures, used: fleet_metrics.Reading, starts: int
) -> None:
    """Adds messages per task, and tasks per CPU time, of large jobs."""
    messages = fleet_metrics.task_messages(used)
    if messages is not None and starts:
        figures.values["messages_per_task_310"] = messages / starts
    if starts and used.entry_cpu_s:
        per_core = starts / used.entry_cpu_s
        figures.add("entry_starts_per_core_s_310", per_core, "starts/s")


def add_flood(
    figures: Figures,
    name: str,
    undisturbed: results.FlowResult,
    other: results.FlowResult,
) -> None:
    """Adds how a flood affected the background work.

    Args:
        figures: Receives the values.
        name: Name of the flood.
        undisturbed: Results of the background work without a flood.
        other: Results of the same work during the flood.
    """
    complete = undisturbed.counts["complete"]
    if not complete:
        return
    kept = other.counts["complete"] / complete
    figures.values[f"flood_{name}_kept_pct"] = 100 * kept
    factor = other.response_s_at(99) / undisturbed.response_s_at(99)
    figures.add(f"flood_{name}_p99_factor", factor, "ratio")


def add_run_quality(figures: Figures, name: str, run: results.Results) -> None:
    """Adds faults, incomplete and refused jobs, and the generator's lateness.

    These tell whether the results of a stage can be trusted.
    """
    counts = run.total(flood=False).counts
    faults = sum(run.faults().values())
    figures.add(f"faults_{name}", faults, "count")
    lost = counts["lost"] + counts["unanswered"] + counts["failed"]
    figures.add(f"not_complete_not_refused_{name}", lost, "jobs")
    figures.add(f"refused_{name}", counts["refused"], "jobs")
    lag_us = run.lag_us.get_value_at_percentile(99)
    figures.add(f"generator_late_p99_ms_{name}", lag_us / 1000, "ms")


def measure_configuration(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures how long an accepted change takes to be in force everywhere.

    The time starts when the key-value service first returns the change. All
    processes are then polled through their admin ports until they have it.
    """
    document = sample.document()
    document["customers"][0]["weight"] = 2.0
    stored = stored_revision(fleet)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(_watch_change, fleet, stored)
        fleet.apply(document, "figures: change of a weight")
        figures.values["config_in_force_s"] = waiting.result()


def stored_revision(fleet: fleets.Fleet) -> int:
    """Returns the store's revision of the last write of the configuration."""
    key = base64.b64encode(CONFIG_KEY.encode()).decode()
    text = fleets.fetch(fleet.kv_address, "/v3/kv/range", {"key": key})
    return int(json.loads(text)["kvs"][0]["mod_revision"])


def _watch_change(fleet: fleets.Fleet, stored: int) -> float | None:
    """Returns how long a change took in seconds, None after the timeout.

    Args:
        fleet: A running fleet.
        stored: Store revision before the change.
    """
    deadline_s = time.monotonic() + CONFIG_TIMEOUT_S
    wanted = fleet.applied_revision + 1
    while stored_revision(fleet) == stored:
        if time.monotonic() > deadline_s:
            return None
        time.sleep(POLL_INTERVAL_S)
    seen_s = time.monotonic()
    left = fleet.entries() + fleet.agents()
    while left:
        left = [p for p in left if fleet.status(p)["revision"] < wanted]
        if time.monotonic() > deadline_s:
            return None
    return time.monotonic() - seen_s


def measure_memory(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures the resident memory of the largest process of each role."""
    for role in ("agent", "entry"):
        sizes = [
            process.rss_bytes() for process in fleet.processes_of_role(role)
        ]
        figures.values[f"{role}_rss_mb"] = max(sizes) / MEGABYTE


def start_baselines(fleet: fleets.Fleet, start_at: float) -> dict:
    """Starts the baselines, each on separate targets.

    Returns:
        The load processes by baseline policy.
    """
    target_processes = {
        policy: fleet.launcher.start(
            f"baseline-targets-{policy}",
            "tools.standins.target",
            "--count",
            str(fleet.sizes.agents),
        )
        for policy in ("random", "in-turn", "reports")
    }
    return {
        policy: load_runs.start_direct(
            fleet,
            scenario_path("70"),
            policy,
            process.wait_ready()["all"],
            start_at,
        )
        for policy, process in target_processes.items()
    }


def finish_baselines(figures: Figures, started: dict) -> None:
    """Adds the baselines at 70% load and the model of a central queue.

    Args:
        figures: Receives the values.
        started: Load processes by baseline policy.
    """
    for policy, running in started.items():
        total = load_runs.finish(running, scenario_path("70")).total()
        name = f"baseline_{policy.replace('-', '_')}"
        figures.add(f"{name}_ratio_p50", total.ratio_at(50), "ratio")
        figures.add(f"{name}_ratio_p99", total.ratio_at(99), "ratio")
    for load in ("70", "85"):
        scenario = scenarios.load(scenario_path(load))
        plan = arrivals.plan(scenario)
        model = central_queue.simulate(plan, scenario.slots)
        name = f"baseline_central_queue_model_ratio_p99_{load}"
        figures.add(name, model.ratio_at(99), "ratio")


def attempt(stage, *arguments) -> None:
    """Calls a function and prints its error, if any.

    The figures of a function that failed are reported as not measured.
    """
    try:
        stage(*arguments)
    except Exception as error:
        print(f"{stage.__name__} failed: {error!r}", file=sys.stderr)


def measure(figures: Figures) -> None:
    """Runs all measurements on one fleet."""
    with fleets.Fleet() as fleet:
        before = fleet_metrics.read(fleet)
        attempt(measure_load, figures, fleet)
        attempt(measure_memory, figures, fleet)
        used = fleet_metrics.difference(before, fleet_metrics.read(fleet))
        messages = fleet_metrics.task_messages(used)
        wasted = fleet_metrics.wasted_messages(used)
        if messages and wasted is not None:
            figures.values["wasted_messages_pct"] = 100 * wasted / messages
        attempt(measure_configuration, figures, fleet)


def main() -> int:
    """Prints the figures."""
    processes.exit_on_sigterm()
    figures = Figures()
    attempt(measure, figures)
    print("\n".join(figures.lines()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
