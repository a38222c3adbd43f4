"""Measures the figures of section 16 of the design page in under a minute.

Prints one ``name value unit`` a line in the order of that section, then
baselines and further readings. What could not be measured is printed as
``not-measured``; the reason goes to standard error. `docs/tools.md` says how
each figure is measured.
"""

import concurrent.futures
import pathlib
import sys
import time

import attrs

from tools import central_queue
from tools import fleet as fleets
from tools import load_runs
from tools import measures
from tools import processes
from tools import sample
from trefoilgw.load import arrivals
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios

SCENARIOS = pathlib.Path(__file__).resolve().parent / "scenarios"
NAMES = {
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
POLL_S = 0.02


@attrs.define(eq=False)
class Figures:
    """Collected values.

    Attributes:
        values: By name; None if it could not be measured.
        more: Further lines as (value, unit) by name.
    """

    values: dict = attrs.field(factory=dict)
    more: dict = attrs.field(factory=dict)

    def add(self, name: str, value: float, unit: str) -> None:
        """Adds a further line."""
        self.more[name] = (value, unit)

    def lines(self) -> list[str]:
        """Returns all lines in their order."""
        lines = []
        for name, unit in NAMES.items():
            value = self.values.get(name)
            text = "not-measured" if value is None else f"{value:.3f}"
            lines.append(f"{name} {text} {unit}")
        for name, (value, unit) in self.more.items():
            lines.append(f"{name} {value:.3f} {unit}")
        return lines


@attrs.frozen
class Stage:
    """One load run with the readings around it.

    Attributes:
        run: What the callers saw.
        used: What the fleet used meanwhile.
        took_s: Length of the stage.
    """

    run: results.Results
    used: measures.Reading
    took_s: float

    @property
    def starts(self) -> int:
        """Tasks that the targets started."""
        return self.run.total().counts["task_starts"]


def path_of(name: str) -> str:
    """Returns the path of a scenario of the figures."""
    return str(SCENARIOS / f"figures-{name}.toml")


def run_stage(fleet: fleets.Fleet, name: str, parts: int) -> Stage:
    """Runs one scenario on the fleet."""
    before = measures.read(fleet)
    started_s = time.monotonic()
    run = load_runs.run(fleet, path_of(name), parts)
    took_s = time.monotonic() - started_s
    used = measures.difference(before, measures.read(fleet))
    return Stage(run, used, took_s)


def measure_clicks(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures the mix of clicks at 70% load."""
    stage = run_stage(fleet, "70", LOAD_PARTS)
    total = stage.run.total()
    if not total.counts["complete"] or not stage.starts:
        return
    figures.values["response_ratio_p50"] = total.ratio_at(50)
    figures.values["response_ratio_p99"] = total.ratio_at(99)
    figures.values["added_latency_p50_ms"] = total.added_s_at(50) * 1000
    figures.values["added_latency_p99_ms"] = total.added_s_at(99) * 1000
    messages = measures.task_messages(stage.used)
    if messages is not None:
        figures.values["messages_per_task_single"] = messages / stage.starts
        direct = messages - measures.forwards(stage.used)
        figures.add(
            "messages_per_task_single_without_forwards",
            direct / stage.starts,
            "messages",
        )
    agents = stage.used.agent_cpu_s
    figures.values["agent_control_cpu_pct"] = (
        100 * sum(agents) / len(agents) / stage.took_s
    )
    moved = measures.stream_bytes(stage.used, "agent")
    if moved is not None:
        per_agent = moved / len(agents) / stage.took_s
        figures.values["agent_control_kb_s"] = per_agent / KILOBYTE
    figures.values["entry_starts_per_core_s"] = (
        stage.starts / stage.used.entry_cpu_s
    )
    add_run_quality(figures, "70", stage)


def measure_high_load(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures the mix of clicks at 85% load."""
    stage = run_stage(fleet, "85", LOAD_PARTS)
    total = stage.run.total()
    if total.counts["complete"]:
        figures.values["response_ratio_p99_85"] = total.ratio_at(99)
    add_run_quality(figures, "85", stage)


def measure_big_jobs(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures jobs of 310 tasks."""
    stage = run_stage(fleet, "310", 1)
    messages = measures.task_messages(stage.used)
    if messages is not None and stage.starts:
        figures.values["messages_per_task_310"] = messages / stage.starts
    if stage.starts and stage.used.entry_cpu_s:
        figures.add(
            "entry_starts_per_core_s_310",
            stage.starts / stage.used.entry_cpu_s,
            "starts/s",
        )
    add_run_quality(figures, "310", stage)


def measure_floods(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures what other work keeps during both floods."""
    base = run_stage(fleet, "base", 1).run.total(flood=False)
    for name in ("low", "urgent"):
        stage = run_stage(fleet, f"flood-{name}", FLOOD_LOAD_PARTS)
        other = stage.run.total(flood=False)
        if base.counts["complete"] and base.response_s_at(99):
            kept = other.counts["complete"] / base.counts["complete"]
            figures.values[f"flood_{name}_kept_pct"] = 100 * kept
            factor = other.response_s_at(99) / base.response_s_at(99)
            figures.add(f"flood_{name}_p99_factor", factor, "ratio")
        add_run_quality(figures, f"flood_{name}", stage)


def add_run_quality(figures: Figures, name: str, stage: Stage) -> None:
    """Adds faults and how late the generator was."""
    counts = stage.run.total().counts
    faults = sum(stage.run.faults().values())
    figures.add(f"faults_{name}", faults, "count")
    lost = counts["lost"] + counts["unanswered"] + counts["failed"]
    figures.add(f"not_complete_not_refused_{name}", lost, "jobs")
    lag_us = stage.run.lag_us.get_value_at_percentile(99)
    figures.add(f"generator_late_p99_ms_{name}", lag_us / 1000, "ms")


def measure_configuration(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures how long an accepted change takes to be in force everywhere.

    The time counts from the end of the operator's command, which is told of
    the acceptance; every process is asked over its admin port.
    """
    document = sample.document()
    document["customers"][0]["weight"] = 2.0
    revision = fleet.applied_revision
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(_in_force_s, fleet, revision + 1)
        fleet.apply(document, "figures: change of a weight")
        accepted_s = time.monotonic()
        in_force_s = waiting.result()
    if in_force_s is not None:
        figures.values["config_in_force_s"] = max(0.0, in_force_s - accepted_s)


def _in_force_s(fleet: fleets.Fleet, revision: int) -> float | None:
    """Returns when every process had a revision, None if not in time."""
    deadline_s = time.monotonic() + CONFIG_TIMEOUT_S
    left = fleet.entries() + fleet.agents()
    while left and time.monotonic() < deadline_s:
        left = [
            process
            for process in left
            if fleet.status(process)["revision"] < revision
        ]
        time.sleep(POLL_S)
    return None if left else time.monotonic()


def measure_memory(figures: Figures, fleet: fleets.Fleet) -> None:
    """Measures resident memory, of the largest process of a role."""
    for role in ("agent", "entry"):
        sizes = [process.rss_bytes() for process in fleet.of_role(role)]
        figures.values[f"{role}_rss_mb"] = max(sizes) / MEGABYTE


def start_baselines(fleet: fleets.Fleet) -> dict:
    """Starts the baselines on targets of their own.

    Returns:
        Load processes by policy.
    """
    started = {}
    for policy in ("random", "in-turn", "reports"):
        targets = fleet.launcher.start(
            f"baseline-targets-{policy}",
            "tools.standins.target",
            "--count",
            str(fleet.sizes.agents),
        )
        addresses = targets.wait_ready()["all"]
        started[policy] = load_runs.start_direct(
            fleet, path_of("70"), policy, addresses
        )
    return started


def finish_baselines(figures: Figures, started: dict) -> None:
    """Adds the baselines at 70% load, and the model of a central queue."""
    for policy, running in started.items():
        total = load_runs.finish(running, path_of("70")).total()
        name = f"baseline_{policy.replace('-', '_')}"
        figures.add(f"{name}_ratio_p50", total.ratio_at(50), "ratio")
        figures.add(f"{name}_ratio_p99", total.ratio_at(99), "ratio")
    for load in ("70", "85"):
        scenario = scenarios.load(path_of(load))
        plan = arrivals.plan(scenario)
        model = central_queue.simulate(plan, scenario.slots)
        name = f"baseline_central_queue_model_ratio_p99_{load}"
        figures.add(name, model.ratio_at(99), "ratio")


def attempt(stage, *arguments) -> None:
    """Runs a stage; a failure leaves its figures not measured."""
    try:
        stage(*arguments)
    except Exception as error:
        print(f"{stage.__name__} failed: {error!r}", file=sys.stderr)


def measure(figures: Figures) -> None:
    """Runs all stages on one fleet."""
    with fleets.Fleet() as fleet:
        before = measures.read(fleet)
        baselines = start_baselines(fleet)
        attempt(measure_clicks, figures, fleet)
        attempt(finish_baselines, figures, baselines)
        attempt(measure_high_load, figures, fleet)
        attempt(measure_big_jobs, figures, fleet)
        attempt(measure_floods, figures, fleet)
        attempt(measure_memory, figures, fleet)
        used = measures.difference(before, measures.read(fleet))
        messages = measures.task_messages(used)
        if messages:
            wasted = measures.wasted_messages(used)
            figures.values["wasted_messages_pct"] = 100 * wasted / messages
        attempt(measure_configuration, figures, fleet)


def main() -> int:
    """Prints the figures."""
    processes.exit_on_terminate()
    figures = Figures()
    attempt(measure, figures)
    print("\n".join(figures.lines()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
