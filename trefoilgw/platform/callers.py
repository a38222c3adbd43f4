"""WSGI application that implements the platform's interface for callers."""

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
_BAD_GATEWAY = "502 Bad Gateway"
_UNAVAILABLE = "503 Service Unavailable"
# Enough for days in milliseconds.
MAX_WAIT_DIGITS = 9


@attrs.frozen
class Connection:
    """Connection of a caller whose request is being served.

    Attributes:
        watch: Registers a function that is called once if the caller closes
            the connection.
        closed: Returns whether the caller has closed it by now.
    """

    watch: Callable[[Callable[[], None]], None]
    closed: Callable[[], bool]


@attrs.define(eq=False)
class Application:
    """Decodes callers' requests, passes them on and encodes the answers.

    Attributes:
        configuration: Returns the configuration in force, or None before one
            is known.
        submit: Runs a job. Takes the job and the caller's connection; returns
            the outcome, or None if the caller has disconnected.
        is_running: Takes a job's key; returns whether this process runs the
            job.
        cancel: Stops the job with a key; returns whether this process had it.
        count_waiting: Returns the number of jobs of a queue that have not
            started.
        rejected: Called with the path and the reason of each request that is
            not served; the path is empty if no configuration is known.
        decoded_limit_bytes: Memory that the values of one body may take while
            it is decoded, None for any.
    """

    configuration: Callable[[], work.Configuration | None]
    submit: Callable[[work.JobSpec, Connection], actions.Outcome | None]
    is_running: Callable[[str], bool]
    cancel: Callable[[str], bool]
    count_waiting: Callable[[str], int]
    rejected: Callable[[str, str], None]
    decoded_limit_bytes: int | None = None

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers one request."""
        configuration = self.configuration()
        if configuration is None:
            self.rejected("", "no_configuration")
            return _reply(
                start_response,
                _UNAVAILABLE,
                _reason_body("no_configuration"),
                1.0,
            )
        request = parse_request(
            environ, configuration, self.decoded_limit_bytes
        )
        match request:
            case requests.Submit(job=job):
                memory = environ["trefoilgw.memory"]
                if not memory.exchange(submissions.job_bytes(job)):
                    return self._refuse_for_memory(start_response, environ, job)
                watch = environ["trefoilgw.disconnects"]
                connection = Connection(watch.start, watch.closed)
                outcome = self.submit(job, connection)
                return _answer_submission(start_response, outcome)
            case requests.ReadState(key=key):
                if self.is_running(key):
                    return _reply(
                        start_response, "200 OK", _state_body("running")
                    )
                return _reply(start_response, "410 Gone", {})
            case requests.Cancel(key=key):
                status = "200 OK" if self.cancel(key) else "410 Gone"
                return _reply(start_response, status, {})
            case requests.CountWaiting(queue=queue):
                # `pending` counts only the jobs that have not started.
                count = {"pending": self.count_waiting(queue.name)}
                return _reply(start_response, "200 OK", count)
            case refusal:
                status, reason = _refusal_status(refusal)
                self.rejected(environ["PATH_INFO"], reason)
                return _reply(start_response, status, _reason_body(reason))

    def may_run(self, path: str) -> bool:
        """Returns whether this process runs the job that a path names."""
        return self.is_running(path.rpartition("/")[2].partition("?")[0])

    def _refuse_for_memory(
        self, start_response: Callable, environ: dict, job: work.JobSpec
    ) -> list[bytes]:
        """Refuses a job for which there is not enough memory."""
        self.rejected(environ["PATH_INFO"], "memory")
        if self.is_running(job.key):
            # A 503 would say that the job never runs, and it runs already.
            return _reply(start_response, _BAD_GATEWAY, _reason_body("memory"))
        return _reply(start_response, _UNAVAILABLE, _reason_body("memory"), 1.0)


def parse_request(
    environ: dict,
    configuration: work.Configuration,
    decoded_limit_bytes: int | None = None,
) -> requests.Request:
    """Decodes a caller's request.

    Args:
        environ: WSGI environment of the request.
        configuration: Configuration that maps host and path to a queue.
        decoded_limit_bytes: Memory that the values of the body may take while
            it is decoded, None for any.

    Returns:
        The request, or the refusal of one that can't be served.
    """
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
            # The environment lasts until the job has ended.
            environ["wsgi.input"].close()
            caller_wait_s = _parse_caller_wait_s(
                environ.get("HTTP_X_DEADLINE_MS", "")
            )
            return submissions.decode(
                key, queue, body, caller_wait_s, decoded_limit_bytes
            )
        case "GET":
            return requests.ReadState(key)
        case "DELETE":
            return requests.Cancel(key)
    return requests.Malformed("bad_method", f"{method} has no meaning here")


def _parse_caller_wait_s(header: str) -> float | None:
    """Returns how long the caller waits, in seconds.

    The value of `X-Deadline-Ms` is a duration in milliseconds and not, as the
    name suggests, a point in time.

    Returns:
        None if the header is absent or not a sensible decimal number.
    """
    if not header.isdecimal() or len(header) > MAX_WAIT_DIGITS:
        return None
    return int(header) / 1000


def _refusal_status(refusal: requests.Request) -> tuple[str, str]:
    """Returns the HTTP status line and the reason for a refused request."""
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


def _answer_submission(
    start_response: Callable, outcome: actions.Outcome | None
) -> list[bytes]:
    """Encodes the outcome of a submission; None if the caller has gone."""
    match outcome:
        case actions.Completed():
            return _reply(start_response, "200 OK", _state_body("completed"))
        case actions.Failed():
            return _reply(start_response, "200 OK", _state_body("failed"))
        case actions.Rejected(reason=reason, detail=detail):
            body = _reason_body(f"{reason}: {detail}" if detail else reason)
            return _reply(
                start_response, _UNAVAILABLE, body, outcome.retry_after_s
            )
        case actions.Unfinished(reason=reason):
            # This is the only status on which callers resubmit a job.
            return _reply(start_response, _BAD_GATEWAY, _reason_body(reason))
        case None:
            return _reply(
                start_response, _BAD_GATEWAY, _reason_body("caller_gone")
            )
    raise TypeError(f"not an outcome: {outcome!r}")


def _state_body(name: str) -> dict:
    """Returns the response body with the state of a job."""
    return {"state": name}


def _reason_body(reason: str) -> dict:
    """Returns the response body with the reason of a refusal."""
    return {"reason": reason}


def _reply(
    start_response: Callable,
    status: str,
    body: dict,
    retry_after_s: float | None = None,
) -> list[bytes]:
    """Starts a JSON response and returns its body.

    Args:
        start_response: WSGI callable.
        status: HTTP status line.
        body: Object to encode as JSON.
        retry_after_s: Seconds for the `Retry-After` header, rounded up to at
            least one; None leaves the header out.
    """
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
