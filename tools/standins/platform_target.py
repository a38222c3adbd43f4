"""Stand-in of a target on the platform, as its published protocol describes it.

Not part of the product. It runs tasks for the time that their payload names,
under leases, and reports itself to the runner beside it. Each run is recorded
with its start and end on the machine's steady clock, so that runs of one task
at different targets can be compared.

- ``POST /control/faults``: fields of `Faults`; fields left out are reset.
- ``GET /control/runs``: all runs so far.
"""

import argparse
import json
import time
import urllib.request

import attrs
import eventlet
from eventlet import event
from eventlet import wsgi

from tools.standins import listening

REPORT_EVERY_S = 0.3
TURN_S = 0.005
HOLD_LIMIT_S = 1.0
# Where the runner takes reports.
REPORT_PATH = "/Instances.Heartbeat/"


@attrs.frozen
class Faults:
    """What goes wrong.

    Attributes:
        hang: Runs make no progress.
        fail: Runs end as failed.
        slow: Runs take this many times as long.
        lose_starts: The next starts, this many, are not answered and are
            carried out `late_s` later.
        late_s: See `lose_starts`.
        draining: The target says that it is about to leave.
    """

    hang: bool = False
    fail: bool = False
    slow: float = 1.0
    lose_starts: int = 0
    late_s: float = 0.0
    draining: bool = False


@attrs.define(eq=False)
class Run:
    """One run.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        millicores: Room that it uses.
        work_s: Run time at normal speed.
        started_s: Start on the machine's steady clock.
        ended_s: End, None while it runs.
        how: How it ended.
        done_s: Work done so far.
    """

    task: str
    run: int
    millicores: int
    work_s: float
    started_s: float
    ended_s: float | None = None
    how: str = ""
    done_s: float = 0.0


@attrs.define(eq=False)
class Target:
    """State of the target.

    Attributes:
        instance: Identifier of this life.
        room: Its room in millicores.
        born_ms: Start of this life.
        lease_s: End of the lease of all runs.
        running: Runs by task.
        history: All runs.
        ends: Ends that were not confirmed, with their numbers.
        highest: Highest number seen by task.
        changed: Wakes waiting calls.
        faults: What goes wrong.
    """

    instance: str
    room: int
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    lease_s: float = 0.0
    running: dict[str, Run] = attrs.field(factory=dict)
    history: list[Run] = attrs.field(factory=list)
    ends: list[tuple[int, Run]] = attrs.field(factory=list)
    number: int = 0
    highest: dict[str, int] = attrs.field(factory=dict)
    changed: event.Event = attrs.field(factory=event.Event)
    faults: Faults = attrs.field(factory=Faults)

    def clock_ms(self) -> int:
        """Returns the target's clock."""
        return int(time.monotonic() * 1000)

    def extend(self, body: dict) -> None:
        """Extends the lease of all runs."""
        if "deadlineMs" in body:
            limit_s = time.monotonic() + HOLD_LIMIT_S
            wanted_s = body["deadlineMs"] / 1000
            self.lease_s = max(self.lease_s, min(wanted_s, limit_s))

    def start(self, body: dict) -> tuple[int, dict]:
        """Starts a run."""
        told = {"clockMs": self.clock_ms()}
        task, run = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms():
            return 409, {**told, "reason": "late"}
        self.extend(body)
        known = self.running.get(task)
        if known is not None and known.run == run:
            return 200, told
        if run <= self.highest.get(task, 0):
            return 409, {**told, "reason": "old"}
        order = json.loads(body["spec"])
        used = sum(x.millicores for x in self.running.values())
        if used + order["cpu"] > self.room:
            return 409, {**told, "reason": "room"}
        self.highest[task] = run
        started = Run(task, run, order["cpu"], order["run_s"], time.monotonic())
        self.running[task] = started
        self.history.append(started)
        return 200, told

    def stop(self, body: dict) -> tuple[int, dict]:
        """Stops a run, also one that has not come yet."""
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        known = self.running.get(task)
        if known is not None and known.run <= run:
            self.end(known, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    def hold(self, body: dict) -> tuple[int, dict]:
        """Extends the lease and lists what runs and has ended."""
        self.extend(body)
        seen = body["lastSeen"]
        self.ends = [x for x in self.ends if x[0] > seen]
        if not self.ends:
            self.changed.wait(timeout=body.get("waitMs", 0) / 1000)
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": [
                [x.task, x.run, "", int(100 * x.done_s / x.work_s)]
                for x in self.running.values()
            ],
            "finished": [[n, x.task, x.run, x.how, ""] for n, x in self.ends],
        }

    def end(self, run: Run, how: str) -> None:
        """Ends a run."""
        run.how = how
        run.ended_s = time.monotonic()
        del self.running[run.task]
        self.number += 1
        self.ends.append((self.number, run))
        woken, self.changed = self.changed, event.Event()
        woken.send()

    def advance(self) -> None:
        """Lets the runs work; spawn it as a greenthread."""
        last_s = time.monotonic()
        while True:
            eventlet.sleep(TURN_S)
            now_s = time.monotonic()
            elapsed_s, last_s = now_s - last_s, now_s
            for run in list(self.running.values()):
                if now_s > self.lease_s:
                    self.end(run, "lapsed")
                elif not self.faults.hang:
                    run.done_s += elapsed_s / self.faults.slow
                    if run.done_s >= run.work_s:
                        run.done_s = run.work_s
                        self.end(run, "failed" if self.faults.fail else "done")


@attrs.define(eq=False)
class Application:
    """WSGI application of the target."""

    target: Target

    def __call__(self, environ, start_response):
        """Answers one call."""
        target = self.target
        data = environ["wsgi.input"].read()
        body = json.loads(data) if data else {}
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", target.instance)
        path = environ["PATH_INFO"]
        if path.startswith("/control/"):
            status, told = self.control(path, body)
        elif expected != target.instance:
            status, told = 421, {}
        elif path == "/run-start" and target.faults.lose_starts:
            left = target.faults.lose_starts - 1
            target.faults = attrs.evolve(target.faults, lose_starts=left)
            eventlet.spawn_after(target.faults.late_s, target.start, body)
            eventlet.sleep(60.0)
            status, told = 500, {}
        else:
            calls = {
                "/run-start": target.start,
                "/run-stop": target.stop,
                "/hold": target.hold,
            }
            status, told = calls[path](body)
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(told).encode()]

    def control(self, path: str, body: dict) -> tuple[int, dict]:
        """Returns status and body of a call to the control interface."""
        if path == "/control/faults":
            self.target.faults = Faults(**body)
            return 200, {}
        runs = [attrs.asdict(x) for x in self.target.history]
        return 200, {"runs": runs}


def report(target: Target, address: str, service: str) -> None:
    """Reports the target to its runner; spawn it as a greenthread."""
    sequence = 0
    while True:
        sequence += 1
        body = {
            "service": service,
            "state": "draining" if target.faults.draining else "ready",
            "capacity": {"cpu": target.room, "memMb": 8192, "gpu": 0},
            "labels": ["a", "r1-1"],
            "seq": sequence,
            "born": target.born_ms,
        }
        request = urllib.request.Request(
            f"http://{address}{REPORT_PATH}{target.instance}",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        try:
            urllib.request.urlopen(request, timeout=1.0).close()
        except OSError as error:
            print(f"report not taken: {error}", flush=True)
        eventlet.sleep(REPORT_EVERY_S)


def main() -> None:
    """Serves until it is killed."""
    eventlet.monkey_patch()
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--reports", required=True)
    parser.add_argument("--service", default="proof")
    parser.add_argument("--cores", type=int, default=4)
    options = parser.parse_args()
    target = Target(f"i-{options.listen}", options.cores * 1000)
    sock, address = listening.listen(options.listen)
    eventlet.spawn_n(target.advance)
    eventlet.spawn_n(report, target, options.reports, options.service)
    print(json.dumps({"ready": True, "http": address}), flush=True)
    wsgi.server(sock, Application(target), log_output=False, debug=False)


if __name__ == "__main__":
    main()
