"""Stand-in of a target: runs tasks by sleeping, and counts every start.

The tally is kept by task id and by the payload's value, so that a test sees a
double start without trusting the product's own counters. Faults are switched
over a control interface. The stand-in is not part of the product.

Payload: ``{"run_ms": 120, "value": "any", "kind": "preview"}``; ``value`` comes
back in the answer, ``kind`` is only read by the fault ``fail_kind``.

Control interface:

- ``GET /control/starts``: the tally, see `Target.tally`.
- ``GET /control/status``: running and waiting tasks.
- ``POST /control/faults``: fields of `Faults`; fields left out are reset.
- ``POST /control/reset``: empties the tally.
"""

import argparse
import collections
import json
import random
import socket as stdlib_socket
import sys
import urllib.parse

import attrs
import eventlet
from eventlet import event
from eventlet import semaphore
from eventlet import wsgi

from tools.standins import listening

REQUEST_LIMIT = 4096
JSON_HEADERS = (("Content-Type", "application/json"),)


@attrs.frozen
class Faults:
    """Faults that the target shows.

    Attributes:
        straggle_share: Share of the tasks, 0 to 1, that run longer.
        straggle_factor: Factor on the run time of such a task.
        fail_all: Every task fails at once, as on a broken worker.
        freeze: Requests are accepted and not answered until switched off.
        fail_kind: Tasks whose payload names this kind fail.
    """

    straggle_share: float = 0.0
    straggle_factor: float = 1.0
    fail_all: bool = False
    freeze: bool = False
    fail_kind: str = ""


@attrs.frozen
class Answer:
    """An HTTP answer with a JSON body."""

    status: str
    body: object


OK = "200 OK"
STOPPED = Answer("409 Conflict", {"error": "stopped"})
BROKEN = Answer("500 Internal Server Error", {"error": "fault switched on"})
NOT_FOUND = Answer("404 Not Found", {"error": "not found"})


@attrs.define(eq=False)
class Target:
    """One target; tasks beyond its slots wait in order of arrival.

    Attributes:
        slots: Tasks that run at once.
        rng: Decides which tasks straggle.
        faults: Faults in force.
        starts: Requests to run, by task id ``job/index``.
        values: Requests to run, by the payload's value.
        at_once: Requests to run that are not answered yet.
        max_at_once: The most of them since the last reset; above `slots`, the
            caller overcommitted the target.
        stops: Requests to stop a task.
        address: ``ip:port`` once `serve` was called.
    """

    slots: int = 8
    rng: random.Random = attrs.field(factory=random.Random)
    faults: Faults = attrs.field(factory=Faults)
    starts: collections.Counter = attrs.field(factory=collections.Counter)
    values: collections.Counter = attrs.field(factory=collections.Counter)
    at_once: int = 0
    max_at_once: int = 0
    stops: int = 0
    address: str = ""
    _running: dict = attrs.field(factory=dict)
    _free: semaphore.Semaphore = attrs.field(init=False)
    _thawed: event.Event = attrs.field(factory=event.Event)
    _sock: stdlib_socket.socket | None = None
    _server: object = None

    def __attrs_post_init__(self):
        self._free = semaphore.Semaphore(self.slots)

    def serve(self, address: str = "127.0.0.1:0") -> str:
        """Starts answering requests in a greenthread.

        Args:
            address: ``ip:port``; port 0 takes a free one.

        Returns:
            The bound address.
        """
        self._sock, self.address = listening.listen(address)
        self._server = eventlet.spawn(
            wsgi.server,
            self._sock,
            self.application,
            log_output=False,
            max_size=REQUEST_LIMIT,
        )
        return self.address

    def wait(self) -> None:
        """Blocks until the server ends."""
        self._server.wait()

    def close(self) -> None:
        """Stops accepting requests."""
        if self._server is not None:
            self._server.kill()
            self._sock.close()

    def tally(self) -> dict:
        """Returns the counts as ``GET /control/starts`` shows them."""
        return {
            "starts": dict(self.starts),
            "values": dict(self.values),
            "double": [key for key, count in self.starts.items() if count > 1],
            "max_at_once": self.max_at_once,
            "slots": self.slots,
            "stops": self.stops,
        }

    def reset(self) -> None:
        """Empties the tally; running tasks go on."""
        self.starts.clear()
        self.values.clear()
        self.max_at_once = self.at_once
        self.stops = 0

    def set_faults(self, faults: Faults) -> None:
        """Switches faults; a thaw answers the requests that were held."""
        was_frozen = self.faults.freeze
        self.faults = faults
        if was_frozen and not faults.freeze:
            thawed, self._thawed = self._thawed, event.Event()
            thawed.send()

    def application(self, environ: dict, start_response) -> list[bytes]:
        """Answers one request (WSGI)."""
        answer = self._answer(environ)
        body = json.dumps(answer.body).encode()
        length = ("Content-Length", str(len(body)))
        start_response(answer.status, [*JSON_HEADERS, length])
        return [body]

    def _answer(self, environ: dict) -> Answer:
        """Returns the answer to a request."""
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"].strip("/").split("/")
        if parts[0] == "control":
            return self._control(method, parts[1:], environ)
        if parts[0] != "run":
            return NOT_FOUND
        if method == "DELETE":
            return self._stop("/".join(parts[1:]))
        task = urllib.parse.unquote(environ.get("HTTP_TREFOILGW_TASK", ""))
        return self._run(task, _json_body(environ))

    def _control(self, method: str, parts: list[str], environ) -> Answer:
        """Returns the answer of the control interface."""
        match method, parts:
            case "GET", ["starts"]:
                return Answer(OK, self.tally())
            case "GET", ["status"]:
                running = min(self.at_once, self.slots)
                waiting = self.at_once - running
                return Answer(OK, {"running": running, "waiting": waiting})
            case "POST", ["faults"]:
                self.set_faults(Faults(**_json_body(environ)))
                return Answer(OK, attrs.asdict(self.faults))
            case "POST", ["reset"]:
                self.reset()
                return Answer(OK, {})
        return NOT_FOUND

    def _run(self, task: str, payload: dict) -> Answer:
        """Counts a start and runs the task."""
        self.starts[task] += 1
        self.values[str(payload.get("value"))] += 1
        self.at_once += 1
        self.max_at_once = max(self.max_at_once, self.at_once)
        try:
            return self._run_counted(task, payload)
        finally:
            self.at_once -= 1

    def _run_counted(self, task: str, payload: dict) -> Answer:
        """Runs a task once a slot is free."""
        while self.faults.freeze:
            self._thawed.wait()
        kind = payload.get("kind")
        if self.faults.fail_all or (kind and kind == self.faults.fail_kind):
            return BROKEN
        stop = event.Event()
        self._running[task] = stop
        try:
            with self._free:
                stopped = stop.wait(timeout=self._run_s(payload))
        finally:
            self._running.pop(task, None)
        if stopped:
            return STOPPED
        while self.faults.freeze:
            self._thawed.wait()
        return Answer(OK, {"value": payload.get("value")})

    def _run_s(self, payload: dict) -> float:
        """Returns how long a task runs, in seconds."""
        run_s = float(payload.get("run_ms", 0)) / 1000
        if self.rng.random() < self.faults.straggle_share:
            run_s *= self.faults.straggle_factor
        return run_s

    def _stop(self, task: str) -> Answer:
        """Ends a running task."""
        self.stops += 1
        stop = self._running.get(task)
        if stop is None:
            return NOT_FOUND
        if not stop.ready():
            stop.send(True)
        return Answer(OK, {"stopped": task})


def _json_body(environ: dict) -> dict:
    """Returns the JSON object in a request's body; empty if there is none."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    content = json.loads(body) if body else {}
    return content if isinstance(content, dict) else {"value": content}


def main() -> int:
    """Runs the stand-in as a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--count", type=int, default=1, help="targets in this process"
    )
    arguments = parser.parse_args()
    targets = [
        Target(arguments.slots, random.Random(arguments.seed + number))
        for number in range(arguments.count)
    ]
    addresses = [target.serve(arguments.address) for target in targets]
    line = {"ready": True, "http": addresses[0], "all": addresses}
    print(json.dumps(line), flush=True)
    targets[0].wait()
    return 0


if __name__ == "__main__":
    eventlet.monkey_patch()
    sys.exit(main())
