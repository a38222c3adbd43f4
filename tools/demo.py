"""Runs the workloads of both customers on a fleet for about ten seconds.

Prints the results as seen by the callers and the counters of the targets. The
exit status is 0 only if every job ended complete, no task started twice and
`find_problems` found nothing else.
"""

import argparse
import sys
import time

from tools import fleet as fleets
from tools import load_runs
from tools import processes
from trefoilgw.load import report
from trefoilgw.load import results

SCENARIO = "demo"
LOAD_PARTS = 2
MEGABYTE = 1024 * 1024


def find_problems(run: results.Results, tallies: list[dict]) -> list[str]:
    """Returns descriptions of what went wrong in a run.

    Args:
        run: Results as seen by the callers.
        tallies: Counters of the targets; see `fleet.Fleet.starts`.
    """
    counts = run.total().counts
    found = [f"{name}: {count}" for name, count in run.faults().items()]
    if not counts["planned"]:
        found.append("no job was sent")
    if counts["complete"] != counts["planned"]:
        missing = counts["planned"] - counts["complete"]
        found.append(f"{missing} of {counts['planned']} jobs not complete")
    double_starts = sum(len(tally["double"]) for tally in tallies)
    if double_starts:
        found.append(f"{double_starts} tasks started twice")
    starts = sum(sum(tally["starts"].values()) for tally in tallies)
    if starts != counts["tasks_complete"]:
        found.append(
            f"{starts} starts for {counts['tasks_complete']} complete tasks"
        )
    overcommitted = [t for t in tallies if t["max_at_once"] > t["slots"]]
    if overcommitted:
        found.append(f"{len(overcommitted)} targets held more tasks than slots")
    return found


def _process_table(fleet: fleets.Fleet) -> str:
    """Returns a table of CPU time and memory of the entries and agents."""
    lines = [f"{'process':<12}{'CPU s':>8}{'RSS MB':>8}"]
    for process in fleet.entries() + fleet.agents():
        rss_mb = process.rss_bytes() / MEGABYTE
        lines.append(f"{process.name:<12}{process.cpu_s():>8.2f}{rss_mb:>8.1f}")
    return "\n".join(lines)


def _target_line(tallies: list[dict]) -> str:
    """Returns lines with the starts and the concurrency of each target."""
    starts = [sum(tally["starts"].values()) for tally in tallies]
    at_once = [tally["max_at_once"] for tally in tallies]
    return (
        f"starts per target: {' '.join(map(str, starts))}\n"
        f"most tasks at once per target: {' '.join(map(str, at_once))}"
    )


def main() -> int:
    """Runs the demo.

    Returns:
        0 if no problem was found, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=11)
    parser.add_argument("--scenario", default=SCENARIO)
    arguments = parser.parse_args()
    processes.exit_on_sigterm()
    sizes = fleets.Sizes(arguments.entries, arguments.agents)
    print(
        f"starting {sizes.entries} entries, {sizes.agents} agents with their "
        "targets and the key-value stand-in",
        flush=True,
    )
    started_s = time.monotonic()
    with fleets.Fleet(sizes) as fleet:
        print(f"ready after {time.monotonic() - started_s:.1f} s", flush=True)
        run = load_runs.run(fleet, arguments.scenario, LOAD_PARTS)
        tallies = fleet.starts()
        print(report.text(run))
        print(_target_line(tallies))
        print(_process_table(fleet))
    found = find_problems(run, tallies)
    for text in found:
        print(f"problem: {text}")
    if not found:
        print("every job ended complete and no task started twice")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
