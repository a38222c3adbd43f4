"""Stand-in for a target that runs tasks by sleeping and counts every start.

The counts are kept by task id and by the payload's value, so that a test
detects a second start without relying on the product's counters. Faults are
set through a control interface. The stand-in is not part of the product.

Payload: ``{"run_ms": 120, "value": "any", "kind": "preview"}``; ``value`` is
returned in the response, ``kind`` is only read by the fault ``fail_kind``.

Control interface:

- ``GET /control/starts``: the counts, see `Target.tally`.
- ``GET /control/status``: numbers of running and waiting tasks.
- ``POST /control/faults``: fields of `Faults`; omitted fields are reset.
- ``POST /control/reset``: resets the counts.
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

MAX_CONCURRENT_REQUESTS = 4096
JSON_HEADERS = (("Content-Type", "application/json"),)


@attrs.frozen
class Faults:
    """Faults that the target shows.

    Attributes:
        straggle_share: Share of the tasks, 0 to 1, that run longer.
        straggle_factor: Factor on the duration of such a task.
        fail_all: Every task fails at once, as on a broken worker.
        freeze: Requests are accepted but get no response while this is set.
        fail_kind: Tasks whose payload has this kind fail.
    """

    straggle_share: float = 0.0
    straggle_factor: float = 1.0
    fail_all: bool = False
    freeze: bool = False
    fail_kind: str = ""


@attrs.frozen
class Response:
    """An HTTP response with a JSON body."""

    status: str
    body: object


OK = "200 OK"
STOPPED_RESPONSE = Response("409 Conflict", {"error": "stopped"})
FAULT_RESPONSE = Response(
    "500 Internal Server Error", {"error": "fault switched on"}
)
NOT_FOUND_RESPONSE = Response("404 Not Found", {"error": "not found"})


@attrs.define(eq=False)
class Target:
    """One target, where tasks beyond its slots wait in order of arrival.

    Attributes:
        slots: Maximum number of tasks that run concurrently.
        rng: Random numbers that choose the tasks that run longer.
        faults: Faults in force.
        starts: Number of requests to run a task, by task id ``job/index``.
        values: Number of requests to run a task, by the payload's value.
        at_once: Requests to run a task that have no response yet.
        max_at_once: Maximum of `at_once` since the last reset; a value above
            `slots` means that the caller overcommitted the target.
        stops: Number of requests to stop a task.
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
    _free_slots: semaphore.Semaphore = attrs.field(init=False)
    _thawed: event.Event = attrs.field(factory=event.Event)
    _sock: stdlib_socket.socket | None = None
    _server: object = None

    def __attrs_post_init__(self):
        self._free_slots = semaphore.Semaphore(self.slots)

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
            max_size=MAX_CONCURRENT_REQUESTS,
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
        """Resets the counts; running tasks continue."""
        self.starts.clear()
        self.values.clear()
        self.max_at_once = self.at_once
        self.stops = 0

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults; the end of a freeze releases held requests."""
        was_frozen = self.faults.freeze
        self.faults = faults
        if was_frozen and not faults.freeze:
            thawed, self._thawed = self._thawed, event.Event()
            thawed.send()

    def application(self, environ: dict, start_response) -> list[bytes]:
        """Handles one request (WSGI)."""
        response = self._handle(environ)
        body = json.dumps(response.body).encode()
        length = ("Content-Length", str(len(body)))
        start_response(response.status, [*JSON_HEADERS, length])
        return [body]

    def _handle(self, environ: dict) -> Response:
        """Returns the response to a request."""
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"].strip("/").split("/")
        if parts[0] == "control":
            return self._control(method, parts[1:], environ)
        if parts[0] != "run":
            return NOT_FOUND_RESPONSE
        if method == "DELETE":
            return self._stop("/".join(parts[1:]))
        task = urllib.parse.unquote(environ.get("HTTP_TREFOILGW_TASK", ""))
        return self._run(task, _json_body(environ))

    def _control(self, method: str, parts: list[str], environ) -> Response:
        """Handles a request to the control interface."""
        match method, parts:
            case "GET", ["starts"]:
                return Response(OK, self.tally())
            case "GET", ["status"]:
                running = min(self.at_once, self.slots)
                waiting = self.at_once - running
                return Response(OK, {"running": running, "waiting": waiting})
            case "POST", ["faults"]:
                self.set_faults(Faults(**_json_body(environ)))
                return Response(OK, attrs.asdict(self.faults))
            case "POST", ["reset"]:
                self.reset()
                return Response(OK, {})
        return NOT_FOUND_RESPONSE

    def _run(self, task: str, payload: dict) -> Response:
        """Counts a start and runs the task."""
        self.starts[task] += 1
        self.values[str(payload.get("value"))] += 1
        self.at_once += 1
        self.max_at_once = max(self.max_at_once, self.at_once)
        try:
            return self._run_counted(task, payload)
        finally:
            self.at_once -= 1

    def _run_counted(self, task: str, payload: dict) -> Response:
        """Runs a task as soon as a slot is free, and applies the faults."""
        while self.faults.freeze:
            self._thawed.wait()
        kind = payload.get("kind")
        if self.faults.fail_all or (kind and kind == self.faults.fail_kind):
            return FAULT_RESPONSE
        stop = event.Event()
        self._running[task] = stop
        try:
            with self._free_slots:
                stopped = stop.wait(timeout=self._run_duration_s(payload))
        finally:
            self._running.pop(task, None)
        if stopped:
            return STOPPED_RESPONSE
        while self.faults.freeze:
            self._thawed.wait()
        return Response(OK, {"value": payload.get("value")})

    def _run_duration_s(self, payload: dict) -> float:
        """Returns the duration of a task in seconds."""
        run_s = float(payload.get("run_ms", 0)) / 1000
        if self.rng.random() < self.faults.straggle_share:
            run_s *= self.faults.straggle_factor
        return run_s

    def _stop(self, task: str) -> Response:
        """Ends a running task."""
        self.stops += 1
        stop = self._running.get(task)
        if stop is None:
            return NOT_FOUND_RESPONSE
        if not stop.ready():
            stop.send(True)
        return Response(OK, {"stopped": task})


def _json_body(environ: dict) -> dict:
    """Returns the JSON object in a request's body; empty if there is none.

    Another JSON value is returned as the field ``value`` of an object.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    content = json.loads(body) if body else {}
    return content if isinstance(content, dict) else {"value": content}


def main() -> int:
    """Runs the stand-in as a separate process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--count", type=int, default=1, help="number of targets in this process"
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
