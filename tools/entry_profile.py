"""Measures the CPU time of an entry per single-task job and can profile it.

The entry runs in this process. Two other processes run the agent stand-ins,
which complete every batch at once, and the callers, which submit jobs in a
closed loop on persistent connections. All connections use loopback. Usage::

    python -m tools.entry_profile --jobs 20000
    python -m tools.entry_profile --jobs 5000 --profile
"""

import argparse
import collections
import cProfile
import json
import pathlib
import pstats
import signal
import socket
import sys
import tempfile
import time

import eventlet

eventlet.monkey_patch()

from tools import processes  # noqa: E402
from tools import sample  # noqa: E402
from trefoilgw.entry import core as entries  # noqa: E402
from trefoilgw.settings import core as settings_core  # noqa: E402

STREAM_KEY = "5a" * 16
SAMPLE_S = 0.001
SHOWN_ROWS = 35
TIME_LIMIT_S = 120.0
WARM_UP_JOBS = 500
AGENTS = 4


def make_entry() -> entries.Entry:
    """Returns a started entry with the sample configuration.

    Raises:
        SystemExit: The entry rejected the configuration.
    """
    entry = entries.Entry(
        settings_core.EntrySettings(
            http_address="127.0.0.1:0",
            stream_address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            domain="d1",
            platform_address="127.0.0.1:1",
            stream_key=STREAM_KEY,
        )
    )
    entry.start()
    document = sample.document()
    # The quota of the callers' customer is too high to refuse any job.
    document["customers"][0] |= {
        "starts_s": 100_000,
        "running_limit_tasks": 100_000,
    }
    document |= {
        "revision": 1,
        "write_id": "profile",
        "author": "profile",
        "reason": "profile",
        "written_at": "2024-05-01T00:00:00+00:00",
    }
    if not entry.config.offer(1, json.dumps(document).encode()):
        raise SystemExit("the sample configuration is not valid")
    return entry


def run_callers(address: str, jobs: int, connections: int) -> int:
    """Submits jobs in a closed loop and prints a count per HTTP status.

    Args:
        address: HTTP address of the entry.
        jobs: Number of jobs to submit.
        connections: Number of concurrent callers.

    Returns:
        The exit status, always 0.
    """
    document = sample.document()
    kind = document["kinds"][0]
    token = sample.token_of(kind["customers"][0])
    body = json.dumps({"kind": kind["name"], "tasks": [{"n": 1}]})
    request = (
        "POST /v1/jobs?wait_s=30 HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {token}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()
    remaining = [jobs]
    statuses = collections.Counter()

    def submit_jobs() -> None:
        host, port = address.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while remaining[0] > 0:
            remaining[0] -= 1
            sock.sendall(request)
            # A response is small enough to arrive in one segment.
            statuses[sock.recv(65536)[9:12].decode()] += 1

    pool = eventlet.GreenPool(connections)
    for _ in range(connections):
        pool.spawn_n(submit_jobs)
    pool.waitall()
    print(json.dumps({"ready": True, "statuses": statuses}), flush=True)
    return 0


def make_sampler(counts: collections.Counter):
    """Returns a signal handler that samples the interrupted stack.

    Args:
        counts: Counts the interrupted function as ``("self", function)`` and
            each function on the stack once as ``("total", function)``.
    """

    def handle(number, frame) -> None:
        seen = set()
        while frame is not None:
            code = frame.f_code
            name = f"{code.co_filename.rpartition('/trefoilgw/')[2]}"
            where = f"{'/'.join(name.split('/')[-2:])}:{code.co_name}"
            if not seen:
                counts["self", where] += 1
            if where not in seen:
                counts["total", where] += 1
            seen.add(where)
            frame = frame.f_back

    return handle


def show_samples(counts: collections.Counter) -> None:
    """Prints the functions with the highest shares of samples."""
    total_samples = sum(n for (kind, _), n in counts.items() if kind == "self")
    for kind in ("self", "total"):
        rows = [(n, w) for (k, w), n in counts.items() if k == kind]
        print(f"\n{kind} % of {total_samples} samples")
        for number, where in sorted(rows, reverse=True)[:SHOWN_ROWS]:
            print(f"{100 * number / total_samples:6.1f}  {where}")


def measure(arguments: argparse.Namespace) -> int:
    """Runs the entry, its agents and its callers.

    Returns:
        0 if all jobs were complete, 1 otherwise.
    """
    entry = make_entry()
    with tempfile.TemporaryDirectory() as directory:
        launcher = processes.Launcher(pathlib.Path(directory))
        try:
            return _measure(entry, launcher, arguments)
        finally:
            launcher.close()
            entry.close()


def _measure(entry, launcher, arguments: argparse.Namespace) -> int:
    """Measures a started entry and prints the results; see `measure`."""
    launcher.start(
        "agents",
        "tools.standins.agents",
        "--entry",
        entry.addresses["stream"],
        "--count",
        str(AGENTS),
        "--key",
        STREAM_KEY,
        "--services",
        sample.document()["kinds"][0]["service"],
    )
    _wait(lambda: len(entry.host.agents) == AGENTS)

    def load(name: str, jobs: int) -> dict:
        caller = launcher.start(
            name,
            "tools.entry_profile",
            "--call",
            entry.addresses["http"],
            "--jobs",
            str(jobs),
            "--connections",
            str(arguments.connections),
        )
        _wait(lambda: not caller.running())
        return json.loads(caller.output.read_text())["statuses"]

    load("warm-up", WARM_UP_JOBS)
    counts = collections.Counter()
    profile = cProfile.Profile() if arguments.calls else None
    if arguments.profile:
        signal.signal(signal.SIGPROF, make_sampler(counts))
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
    if profile:
        profile.enable()
    cpu_s, started_s = time.process_time(), time.monotonic()
    statuses = load("load", arguments.jobs)
    cpu_s = time.process_time() - cpu_s
    took_s = time.monotonic() - started_s
    signal.setitimer(signal.ITIMER_PROF, 0)
    if profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(SHOWN_ROWS)
    if arguments.profile:
        show_samples(counts)
    complete = statuses.get("200", 0)
    print(f"statuses {statuses}")
    print(f"jobs_complete {complete} jobs")
    print(f"cpu_per_job_us {1e6 * cpu_s / max(1, complete):.0f} us")
    print(f"took_s {took_s:.2f} s")
    return 0 if complete == arguments.jobs else 1


def _wait(condition) -> None:
    """Lets the entry run until a condition holds.

    Raises:
        eventlet.Timeout: It did not hold within `TIME_LIMIT_S`.
    """
    with eventlet.Timeout(TIME_LIMIT_S):
        while not condition():
            eventlet.sleep(0.02)


def main() -> int:
    """Runs the measurement, or the callers in their own process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=20000)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--profile", action="store_true", help="by samples")
    parser.add_argument("--calls", action="store_true", help="by cProfile")
    parser.add_argument("--call", metavar="ADDRESS", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.call:
        return run_callers(
            arguments.call, arguments.jobs, arguments.connections
        )
    return measure(arguments)


if __name__ == "__main__":
    sys.exit(main())
