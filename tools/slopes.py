"""Measures how costs grow with size, for the capacity page.

Prints one point a line as ``slope x value unit``. Most sections run on a small
fleet of their own. `docs/tools.md` describes how each point is measured.
"""

import json
import pathlib
import sys
import time
import tracemalloc
from collections.abc import Iterator

import attrs

from tools import fleet as fleets
from tools import load_runs
from tools import processes
from tools import sample
from trefoilgw.ledger import core as ledger
from trefoilgw.load import results
from trefoilgw.outcomes import core as outcomes

STREAM_COUNTS = (10, 50, 100, 200)
# Tasks of a job, and jobs per second that keep a small fleet below half load.
JOB_SIZES = ((1, 40.0), (10, 20.0), (50, 8.0), (100, 5.0), (310, 2.0))
CUSTOMER_COUNTS = (1, 8, 64)
LEDGER_COUNTS = (10_000, 50_000, 100_000)
BATCH_COUNTS = (100, 1000, 4000)
IDLE_S = 6.0
LOAD_S = 5.0
CONFIG_CHANGES = 5


@attrs.frozen
class Point:
    """A measured point.

    Attributes:
        slope: Name of the series that the point belongs to.
        x: Size at which the value was measured.
        value: Measured value.
        unit: Unit of the value.
    """

    slope: str
    x: float
    value: float
    unit: str

    def line(self) -> str:
        """Returns the line to print for the point."""
        return f"{self.slope} {self.x:g} {self.value:.3f} {self.unit}"


def cpu_share(watched: list[processes.Process], seconds: float) -> float:
    """Measures the CPU time per second that processes use together.

    Args:
        watched: The processes.
        seconds: Duration of the measurement.
    """
    before_s = sum(process.cpu_s() for process in watched)
    started_s = time.monotonic()
    time.sleep(seconds)
    used_s = sum(process.cpu_s() for process in watched) - before_s
    return used_s / (time.monotonic() - started_s)


def streams() -> Iterator[Point]:
    """Yields memory and CPU time of an entry by the number of idle agents."""
    with fleets.Fleet(fleets.Sizes(entries=1, agents=0)) as fleet:
        (entry,) = fleet.entries()
        yield from _stream_points(entry, 0)
        started = 0
        for count in STREAM_COUNTS:
            agents = fleet.launcher.start(
                f"light-{count}",
                "tools.standins.agents",
                "--entry",
                entry.ready["stream"],
                "--key",
                fleets.STREAM_KEY,
                "--count",
                str(count - started),
            )
            agents.wait_ready()
            started = count
            yield from _stream_points(entry, count)


def _stream_points(entry: processes.Process, count: int) -> Iterator[Point]:
    """Yields the points for one number of streams."""
    share = cpu_share([entry], IDLE_S)
    yield Point("streams_entry_cpu", count, 100 * share, "% of a core")
    rss_kb = entry.rss_bytes() / 1024
    yield Point("streams_entry_rss", count, rss_kb, "KB")


def _write_scenario(fleet: fleets.Fleet, name: str, flows: list[dict]) -> str:
    """Writes a scenario with one flow per customer.

    Args:
        fleet: A running fleet, in whose directory the file is written.
        name: Name of the scenario and of its file.
        flows: Settings of the flows and their ``customer``, which is removed
            from the dict.

    Returns:
        The path of the file.
    """
    lines = [
        f'name = "{name}"',
        f"duration_s = {LOAD_S}",
        "drain_s = 10.0",
        f"slots = {fleet.sizes.total_slots}",
    ]
    for flow in flows:
        lines += ["[[customer]]", f'name = "{flow.pop("customer")}"']
        lines.append("[[customer.flow]]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in flow.items()]
    path = pathlib.Path(fleet.directory.name) / f"{name}.toml"
    path.write_text("\n".join(lines), encoding="utf-8")
    return str(path)


@attrs.frozen
class Cost:
    """CPU time of a load run, without that of the idle fleet.

    Attributes:
        jobs: Number of complete jobs.
        tasks: Number of started tasks.
        entry_us: CPU time of all entries per job.
        agent_us: CPU time of all agents per job.
    """

    jobs: int
    tasks: int
    entry_us: float
    agent_us: float


def _measure_cost(
    fleet: fleets.Fleet, path: str, tokens: dict[str, str] | None = None
) -> Cost:
    """Runs a scenario and returns its cost per job.

    Args:
        fleet: A running fleet, idle at the call.
        path: Path of the scenario.
        tokens: Tokens by customer; those of the sample configuration if None.

    Raises:
        RuntimeError: A job was not complete, or a fault was seen.
    """
    idle_entry = cpu_share(fleet.entries(), IDLE_S / 2)
    idle_agent = cpu_share(fleet.agents(), IDLE_S / 2)
    before = _cpu_of_roles(fleet)
    started_s = time.monotonic()
    run: results.Results = load_runs.run(fleet, path, tokens=tokens)
    took_s = time.monotonic() - started_s
    after = _cpu_of_roles(fleet)
    counts = run.counts()
    jobs = counts["complete"]
    if not jobs or run.faults() or jobs != counts["planned"]:
        raise RuntimeError(f"{path}: {dict(counts)} {run.total().reasons}")
    entry_s = after[0] - before[0] - idle_entry * took_s
    agent_s = after[1] - before[1] - idle_agent * took_s
    return Cost(
        jobs, counts["task_starts"], entry_s / jobs * 1e6, agent_s / jobs * 1e6
    )


def _cpu_of_roles(fleet: fleets.Fleet) -> tuple[float, float]:
    """Returns the CPU time of all entries and of all agents in seconds."""
    return (
        sum(process.cpu_s() for process in fleet.entries()),
        sum(process.cpu_s() for process in fleet.agents()),
    )


def job_sizes() -> Iterator[Point]:
    """Yields the CPU time per job by its tasks, on 1 entry and 4 agents."""
    with fleets.Fleet(fleets.Sizes(entries=1, agents=4)) as fleet:
        for tasks, jobs_s in JOB_SIZES:
            flow = {
                "customer": "bluebonnet",
                "kind": "reminder-refresh",
                "jobs_s": jobs_s,
                "tasks": [tasks, tasks],
                "run_ms": [1.0, 2.0],
            }
            path = _write_scenario(fleet, f"tasks-{tasks}", [flow])
            cost = _measure_cost(fleet, path)
            for role, cost_us in (
                ("entry", cost.entry_us),
                ("agent", cost.agent_us),
            ):
                yield Point(f"job_{role}_cpu", tasks, cost_us, "us/job")
                per_task = cost_us / tasks
                yield Point(f"task_{role}_cpu", tasks, per_task, "us/task")


def customers() -> Iterator[Point]:
    """Yields the CPU time per single-task job by the number of customers."""
    with fleets.Fleet(fleets.Sizes(entries=1, agents=4)) as fleet:
        for count in CUSTOMER_COUNTS:
            document = sample.many_customers(count)
            fleet.apply(document, f"{count} customers")
            names = [customer["name"] for customer in document["customers"]]
            wait_for_revision(fleet)
            flows = [
                {
                    "customer": name,
                    "kind": document["kinds"][0]["name"],
                    "jobs_s": 64.0 / count,
                    "run_ms": [1.0, 2.0],
                }
                for name in names
            ]
            path = _write_scenario(fleet, f"customers-{count}", flows)
            tokens = {name: sample.token_of(name) for name in names}
            cost = _measure_cost(fleet, path, tokens)
            yield Point("customers_entry_cpu", count, cost.entry_us, "us/job")


def wait_for_revision(fleet: fleets.Fleet) -> None:
    """Waits until all entries have the revision that was applied last.

    Raises:
        FleetError: An entry did not have it in time.
    """
    deadline_s = time.monotonic() + fleets.SETTLE_TIMEOUT_S
    wanted = fleet.applied_revision
    while time.monotonic() < deadline_s:
        revisions = [
            fleet.status(process)["revision"] for process in fleet.entries()
        ]
        if min(revisions) >= wanted:
            return
        time.sleep(fleets.POLL_INTERVAL_S)
    raise fleets.FleetError(f"revision {wanted} is not in force")


def ledger_size() -> Iterator[Point]:
    """Yields the memory of an agent's ledger per start mark and per record."""
    for count in LEDGER_COUNTS:
        size = _traced_bytes(lambda count=count: _make_ledger(count, 1))
        yield Point("ledger_marks", count, size / count, "bytes/start")
    for count in BATCH_COUNTS:
        size = _traced_bytes(lambda count=count: _make_ledger(0, 1, count))
        yield Point("ledger_records", count, size / count, "bytes/batch")


def _make_ledger(starts: int, batch_tasks: int, open_batches: int = 0):
    """Returns a ledger with acknowledged starts and open batches.

    Args:
        starts: Number of batches whose start was acknowledged.
        batch_tasks: Not used; every batch has one task.
        open_batches: Number of further batches, started but not finished.
    """
    entry = "e" * 16
    filled = ledger.Ledger()
    filled.session_opened(entry, 1, 0.0)
    filled.lease_renewed(entry, 1, 1e9)
    batches = [(number, True) for number in range(starts)]
    batches += [(starts + number, False) for number in range(open_batches)]
    for number, acknowledged in batches:
        job = f"c/t1.{entry}.0.{number:016x}"
        filled.received(entry, 1, number, job, (0,), 1.0)
        started = filled.try_start(entry, 1, number, job, 0, 1e9, 1.0)
        if not isinstance(started, ledger.Started):
            raise RuntimeError(f"the ledger refused a start: {started}")
        if acknowledged:
            fate = outcomes.Completed(b"{}", 0.1)
            filled.finished(entry, number, job, 0, fate, 1.0)
            filled.acknowledged(entry, (number,))
    return filled


def _traced_bytes(make) -> int:
    """Returns the size in bytes of the object that a function returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return size


def platform_calls() -> Iterator[Point]:
    """Yields the calls to the platform per entry and second when idle."""
    for count in (1, 3):
        with fleets.Fleet(fleets.Sizes(entries=count, agents=3)) as fleet:
            fleets.fetch(fleet.kv_address, "/control/reset", {})
            started_s = time.monotonic()
            time.sleep(2 * IDLE_S)
            took_s = time.monotonic() - started_s
            text = fleets.fetch(fleet.kv_address, "/control/status")
            calls = json.loads(text)["calls"]
            for kind, number in sorted(calls.items()):
                yield Point(
                    f"platform_calls_{kind.strip('/').replace('/', '_')}",
                    count,
                    number / count / took_s,
                    "calls/entry/s",
                )
            yield Point(
                "platform_calls_all",
                count,
                sum(calls.values()) / count / took_s,
                "calls/entry/s",
            )


def configuration_changes() -> Iterator[Point]:
    """Yields the CPU time per process of a configuration change.

    The fleet has 3 entries and 6 agents.
    """
    with fleets.Fleet(fleets.Sizes(entries=3, agents=6)) as fleet:
        idle_entry = cpu_share(fleet.entries(), IDLE_S)
        idle_agent = cpu_share(fleet.agents(), IDLE_S)
        before = _cpu_of_roles(fleet)
        started_s = time.monotonic()
        document = sample.document()
        for number in range(CONFIG_CHANGES):
            document["customers"][0]["weight"] = 2.0 + number
            fleet.apply(document, f"change {number}")
            wait_for_revision(fleet)
        took_s = time.monotonic() - started_s
        after = _cpu_of_roles(fleet)
        rows = (
            ("entry", 3, after[0] - before[0] - idle_entry * took_s),
            ("agent", 6, after[1] - before[1] - idle_agent * took_s),
        )
        for role, count, cpu_s in rows:
            cost_us = cpu_s / CONFIG_CHANGES / count * 1e6
            yield Point(f"config_change_{role}_cpu", count, cost_us, "us")


SECTIONS = (
    streams,
    job_sizes,
    customers,
    ledger_size,
    platform_calls,
    configuration_changes,
)


def main() -> int:
    """Prints the points of all sections, or of those named as arguments.

    Returns:
        1 if a section failed, 0 otherwise.
    """
    processes.exit_on_sigterm()
    wanted = set(sys.argv[1:])
    failed = False
    for section in SECTIONS:
        if wanted and section.__name__ not in wanted:
            continue
        try:
            for point in section():
                print(point.line(), flush=True)
        except Exception as error:
            failed = True
            print(f"{section.__name__} not-measured: {error}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
