"""The callers' interface on the platform, as a WSGI application."""

import json
import math
import re
from collections.abc import Callable

import attrs

from trefoilgw.platform import submissions
from trefoilgw.scheduling import actions
from trefoilgw.work import core as work
from trefoilgw.work import requests

_KEY = re.compile(r"[0-9a-f]{16}")
_NO_ANSWER = "502 Bad Gateway"
_UNAVAILABLE = "503 Service Unavailable"


@attrs.frozen
class Connection:
    """The caller's connection while its request is served.

    Attributes:
        watch: Calls a function once if the caller closes the connection.
    """

    watch: Callable[[Callable[[], None]], None]


@attrs.define(eq=False)
class Application:
    """Translates requests for a backend and its answers for callers.

    Attributes:
        configuration: Returns what is in force, None before it is known.
        submit: Runs a job; takes it and the caller's connection, returns the
            outcome, or None if the caller has gone.
        is_running: Returns whether a job is known here.
        cancel: Stops a job; returns whether it was known here.
        count_waiting: Returns how many jobs of a queue have not begun.
        rejected: Called with the reason of each request that is not served.
    """

    configuration: Callable[[], work.Configuration | None]
    submit: Callable[[work.JobSpec, Connection], actions.Outcome | None]
    is_running: Callable[[str], bool]
    cancel: Callable[[str], bool]
    count_waiting: Callable[[str], int]
    rejected: Callable[[str, str], None]

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers one request."""
        configuration = self.configuration()
        if configuration is None:
            self.rejected("", "no_configuration")
            return _reply(
                start_response, _UNAVAILABLE, _why("no_configuration"), 1.0
            )
        match read(environ, configuration):
            case requests.Submit(job=job):
                connection = Connection(environ["trefoilgw.watch"])
                outcome = self.submit(job, connection)
                return _answer(start_response, outcome)
            case requests.ReadState(key=key):
                if self.is_running(key):
                    return _reply(start_response, "200 OK", _state("running"))
                return _reply(start_response, "410 Gone", {})
            case requests.Cancel(key=key):
                status = "200 OK" if self.cancel(key) else "410 Gone"
                return _reply(start_response, status, {})
            case requests.CountWaiting(queue=queue):
                # The name of a count of jobs that have not begun.
                count = {"pending": self.count_waiting(queue.name)}
                return _reply(start_response, "200 OK", count)
            case refusal:
                status, reason = _refusal(refusal)
                self.rejected(environ["PATH_INFO"], reason)
                return _reply(start_response, status, _why(reason))


def read(environ: dict, configuration: work.Configuration) -> requests.Request:
    """Returns what a caller asks for."""
    host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
    path = environ["PATH_INFO"]
    queue = configuration.route(host, path)
    if queue is None:
        return requests.UnknownQueue()
    key = path[len(queue.prefix) :]
    method = environ["REQUEST_METHOD"]
    if not key and method == "GET":
        return requests.CountWaiting(queue)
    if not _KEY.fullmatch(key):
        return requests.Malformed("bad_key", "16 hexadecimal digits expected")
    match method:
        case "POST":
            limit_bytes = configuration.body_limit_bytes
            if int(environ["CONTENT_LENGTH"]) > limit_bytes:
                return requests.TooLarge(limit_bytes)
            body = environ["wsgi.input"].read()
            patience_s = _patience_s(environ.get("HTTP_X_DEADLINE_MS", ""))
            return submissions.decode(key, queue, body, patience_s)
        case "GET":
            return requests.ReadState(key)
        case "DELETE":
            return requests.Cancel(key)
    return requests.Malformed("bad_method", f"{method} has no meaning here")


def _patience_s(header: str) -> float | None:
    """Returns how long a caller waits: the header is no time of day."""
    if not header.isdecimal():
        return None
    return int(header) / 1000


def _refusal(refusal: requests.Request) -> tuple[str, str]:
    """Returns status and reason for a request that is not served."""
    match refusal:
        case requests.UnknownQueue():
            return "404 Not Found", "unknown_queue"
        case requests.TooLarge(limit_bytes=limit_bytes):
            return "413 Content Too Large", f"above {limit_bytes} bytes"
        case requests.Unsupported(detail=detail):
            return _UNAVAILABLE, f"unsupported: {detail}"
        case requests.Malformed(reason=reason, detail=detail):
            return "400 Bad Request", f"{reason}: {detail}"
    raise TypeError(f"not a refusal: {refusal!r}")


def _answer(
    start_response: Callable, outcome: actions.Outcome | None
) -> list[bytes]:
    """Answers a submission."""
    match outcome:
        case actions.Completed():
            return _reply(start_response, "200 OK", _state("completed"))
        case actions.Failed():
            return _reply(start_response, "200 OK", _state("failed"))
        case actions.Rejected(reason=reason, retry_after_s=retry_after_s):
            body = _why(reason)
            return _reply(start_response, _UNAVAILABLE, body, retry_after_s)
        case actions.Unfinished(reason=reason):
            # This status alone makes the caller send the job again.
            return _reply(start_response, _NO_ANSWER, _why(reason))
        case None:
            return _reply(start_response, _NO_ANSWER, _why("caller_gone"))
    raise TypeError(f"not an outcome: {outcome!r}")


def _state(name: str) -> dict:
    """Returns the body that tells a job's state."""
    return {"state": name}


def _why(reason: str) -> dict:
    """Returns the body of a refusal."""
    return {"reason": reason}


def _reply(
    start_response: Callable,
    status: str,
    body: dict,
    retry_after_s: float | None = None,
) -> list[bytes]:
    """Starts an answer and returns its body."""
    data = json.dumps(body).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    if retry_after_s is not None:
        seconds = max(1, math.ceil(retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    start_response(status, headers)
    return [data]
