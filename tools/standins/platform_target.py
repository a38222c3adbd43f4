"""Stand-in for a target on the platform with its published protocol.

It simulates runs of the duration that their spec gives, under a lease, and
reports its state to the runner on the same machine. It is not part of the
product. Each run is recorded with its start and end on the machine's monotonic
clock, so that runs of one task at different targets can be compared.

- ``POST /control/faults``: fields of `Faults`; omitted fields are reset.
- ``GET /control/runs``: all runs so far.
"""

import argparse
import json
import pathlib
import time
import urllib.request

import attrs
import eventlet
from eventlet import event
from eventlet import wsgi

from tools.standins import listening

REPORT_INTERVAL_S = 0.3
ADVANCE_INTERVAL_S = 0.005
# Delay of the process that is printed, since findings may be due to it.
DELAY_WARNING_S = 0.2
MAX_LEASE_S = 1.0
# Paths at which the runner accepts reports and deregistrations.
REPORT_PATH = "/Instances.Heartbeat/"
LEAVE_PATH = "/Instances.Deregister/"


@attrs.frozen
class Faults:
    """Faults that the target shows.

    Attributes:
        hang: Runs make no progress.
        fail: Runs end as failed.
        slow: Factor on the duration of runs.
        lose_starts: Number of further starts that get no response in time and
            are carried out `late_s` later.
        late_s: Delay in seconds of the starts of `lose_starts`.
        draining: The target reports that it is about to leave.
        unavailable: Every call gets status 503, and nothing is done.
        refuse_starts: Every start gets status 503, and nothing is done.
        mute_every: Every call with a number that is a multiple of this is
            carried out and gets no answer; 0 for none.
        left: The target reports nothing more.
    """

    hang: bool = False
    fail: bool = False
    slow: float = 1.0
    lose_starts: int = 0
    late_s: float = 0.0
    draining: bool = False
    unavailable: bool = False
    refuse_starts: bool = False
    mute_every: int = 0
    left: bool = False


@attrs.define(eq=False)
class Run:
    """One run.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        millicores: Room that the run uses.
        work_s: Duration at normal speed.
        started_s: Start on the machine's monotonic clock.
        ended_s: End on the same clock; None while the task runs.
        how: Kind of end: ``done``, ``failed``, ``stopped`` or ``lapsed``; empty
            while the task runs.
        done_s: Part of `work_s` that is done.
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
        instance: Identifier of this process.
        room: Room in millicores.
        born_ms: Start of this process, in milliseconds since the epoch.
        clock_start_s: Start of the target's clock, on the machine's monotonic
            clock.
        clock_rate: Seconds of the target's clock in a second.
        lease_until_s: End of the lease of all runs, on the target's clock.
        running: Current run by task.
        history: All runs so far.
        unconfirmed_ends: Numbers and runs of the ends that the runner has not
            confirmed.
        end_count: Number of the newest end.
        highest_runs: Highest attempt number seen, by task.
        changed: Event that wakes waiting calls.
        faults: Faults in force.
        record: File to which starts and ends are written as JSON lines, which
            outlives the process; None for none.
        calls: Number of the runner's calls so far.
        fence: Highest fence of a call; a lower one has no effect.
    """

    instance: str
    room: int
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    clock_start_s: float = 0.0
    clock_rate: float = 1.0
    lease_until_s: float = 0.0
    running: dict[str, Run] = attrs.field(factory=dict)
    history: list[Run] = attrs.field(factory=list)
    unconfirmed_ends: list[tuple[int, Run]] = attrs.field(factory=list)
    end_count: int = 0
    highest_runs: dict[str, int] = attrs.field(factory=dict)
    changed: event.Event = attrs.field(factory=event.Event)
    faults: Faults = attrs.field(factory=Faults)
    record: pathlib.Path | None = None
    calls: int = 0
    fence: int = 0

    def clock_s(self) -> float:
        """Returns the target's own steady clock in seconds."""
        return (time.monotonic() - self.clock_start_s) * self.clock_rate

    def clock_ms(self) -> int:
        """Returns the target's own steady clock in milliseconds."""
        return int(self.clock_s() * 1000)

    def extend_lease(self, body: dict) -> None:
        """Extends the lease of all runs by the deadline in a request.

        The lease ends at most `MAX_LEASE_S` from now. Runs whose lease has
        expired before end all the same.
        """
        self.expire_runs()
        if "deadlineMs" in body:
            limit_s = self.clock_s() + MAX_LEASE_S
            wanted_s = body["deadlineMs"] / 1000
            self.lease_until_s = max(self.lease_until_s, min(wanted_s, limit_s))

    def fence_refusal(self, body: dict) -> tuple[int, dict] | None:
        """Returns the refusal of a call with a lower fence, else None."""
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        return None

    def start(self, body: dict) -> tuple[int, dict]:
        """Starts a run; returns status and body.

        Status 409 means that the fence is too low, the request late, its
        attempt old or the room used up.
        """
        if refusal := self.fence_refusal(body):
            return refusal
        response = {"clockMs": self.clock_ms()}
        task, run = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms():
            return 409, {**response, "reason": "late"}
        self.extend_lease(body)
        current = self.running.get(task)
        if current is not None and current.run == run:
            return 200, response
        if run <= self.highest_runs.get(task, 0):
            return 409, {**response, "reason": "old"}
        spec = json.loads(body["spec"])
        used = sum(x.millicores for x in self.running.values())
        if used + spec["cpu"] > self.room:
            return 409, {**response, "reason": "room"}
        self.highest_runs[task] = run
        started = Run(task, run, spec["cpu"], spec["run_s"], time.monotonic())
        self.running[task] = started
        self.history.append(started)
        self._write_record(started)
        return 200, response

    def stop(self, body: dict) -> tuple[int, dict]:
        """Stops a run and refuses later starts of the same attempt."""
        if refusal := self.fence_refusal(body):
            return refusal
        self.expire_runs()
        task, run = body["task"], body["run"]
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        current = self.running.get(task)
        if current is not None and current.run <= run:
            self.end_run(current, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    def hold(self, body: dict) -> tuple[int, dict]:
        """Extends the lease; returns the runs and the unconfirmed ends.

        Without unconfirmed ends it waits for one, up to the requested time.
        """
        if refusal := self.fence_refusal(body):
            return refusal
        self.extend_lease(body)
        seen = body["lastSeen"]
        self.unconfirmed_ends = [
            x for x in self.unconfirmed_ends if x[0] > seen
        ]
        if not self.unconfirmed_ends:
            self.changed.wait(timeout=body.get("waitMs", 0) / 1000)
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": [
                [x.task, x.run, "", int(100 * x.done_s / x.work_s)]
                for x in self.running.values()
            ],
            "finished": [
                [n, x.task, x.run, x.how, ""] for n, x in self.unconfirmed_ends
            ],
        }

    def expire_runs(self) -> None:
        """Ends all runs if their lease has expired.

        They end with the lease, also if this process was delayed and finds out
        late: on a busy machine it may get no processor time for seconds.
        """
        late_s = (self.clock_s() - self.lease_until_s) / self.clock_rate
        if late_s > 0.0:
            for run in list(self.running.values()):
                self.end_run(run, "lapsed", late_s)

    def end_run(self, run: Run, how: str, ago_s: float = 0.0) -> None:
        """Ends a run, which has ended a while ago, and wakes waiting calls."""
        run.how = how
        run.ended_s = max(run.started_s, time.monotonic() - ago_s)
        del self.running[run.task]
        self._write_record(run)
        self.end_count += 1
        self.unconfirmed_ends.append((self.end_count, run))
        previous, self.changed = self.changed, event.Event()
        previous.send()

    def _write_record(self, run: Run) -> None:
        """Writes the state of a run to the record."""
        if self.record is not None:
            with self.record.open("a") as file:
                file.write(json.dumps(attrs.asdict(run)) + "\n")

    def advance_runs(self) -> None:
        """Advances all runs until killed; spawn it as a greenthread.

        Runs end when their work is done or the lease has expired.
        """
        last_s = time.monotonic()
        while True:
            eventlet.sleep(ADVANCE_INTERVAL_S)
            now_s = time.monotonic()
            elapsed_s, last_s = now_s - last_s, now_s
            if elapsed_s > DELAY_WARNING_S:
                print(
                    f"delayed by {elapsed_s:.3f} s at {now_s:.3f}", flush=True
                )
            self.expire_runs()
            for run in list(self.running.values()):
                if not self.faults.hang:
                    run.done_s += elapsed_s / self.faults.slow
                    if run.done_s >= run.work_s:
                        run.done_s = run.work_s
                        self.end_run(
                            run, "failed" if self.faults.fail else "done"
                        )


@attrs.define(eq=False)
class Application:
    """WSGI application of the target."""

    target: Target

    def __call__(self, environ, start_response):
        """Handles one call (WSGI)."""
        target = self.target
        data = environ["wsgi.input"].read()
        body = json.loads(data) if data else {}
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", target.instance)
        path = environ["PATH_INFO"]
        if path.startswith("/control/"):
            status, response = self.control(path, body)
        elif expected != target.instance:
            status, response = 421, {}
        elif path == "/run-start" and target.faults.lose_starts:
            left = target.faults.lose_starts - 1
            target.faults = attrs.evolve(target.faults, lose_starts=left)
            eventlet.spawn_after(target.faults.late_s, target.start, body)
            eventlet.sleep(60.0)
            status, response = 500, {}
        elif target.faults.unavailable or (
            target.faults.refuse_starts and path == "/run-start"
        ):
            status, response = 503, {}
        else:
            calls = {
                "/run-start": target.start,
                "/run-stop": target.stop,
                "/hold": target.hold,
            }
            status, response = calls[path](body)
            target.calls += 1
            every = target.faults.mute_every
            if every and target.calls % every == 0:
                eventlet.sleep(60.0)
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(response).encode()]

    def control(self, path: str, body: dict) -> tuple[int, dict]:
        """Carries out a call of the control interface.

        Returns:
            Status and body.
        """
        if path == "/control/faults":
            self.target.faults = Faults(**body)
            return 200, {}
        runs = [attrs.asdict(x) for x in self.target.history]
        return 200, {"runs": runs}


def send_reports(
    target: Target, address: str, service: str, interval_s: float
) -> None:
    """Sends reports to the runner until killed; spawn it as a greenthread."""
    sequence = 0
    while True:
        eventlet.sleep(interval_s if sequence else 0.0)
        if target.faults.left:
            continue
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
            print(f"the runner did not accept the report: {error}", flush=True)


def main() -> None:
    """Runs the stand-in as a separate process until it is killed."""
    eventlet.monkey_patch()
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--reports", required=True)
    parser.add_argument("--service", default="proof")
    parser.add_argument("--cores", type=int, default=4)
    parser.add_argument(
        "--record", type=pathlib.Path, help="file for starts and ends of runs"
    )
    parser.add_argument("--instance", default="", help="name of the instance")
    parser.add_argument(
        "--clock-rate",
        type=float,
        default=1.0,
        help="seconds of its steady clock in a second",
    )
    parser.add_argument(
        "--report-interval",
        type=float,
        default=REPORT_INTERVAL_S,
        help="seconds from one report to the next",
    )
    options = parser.parse_args()
    instance = options.instance or f"i-{options.listen}"
    target = Target(instance, options.cores * 1000)
    target.clock_start_s = time.monotonic()
    target.clock_rate = options.clock_rate
    target.record = options.record
    sock, address = listening.listen(options.listen)
    eventlet.spawn_n(target.advance_runs)
    eventlet.spawn_n(
        send_reports,
        target,
        options.reports,
        options.service,
        options.report_interval,
    )
    print(json.dumps({"ready": True, "http": address}), flush=True)
    wsgi.server(sock, Application(target), log_output=False, debug=False)


if __name__ == "__main__":
    main()
