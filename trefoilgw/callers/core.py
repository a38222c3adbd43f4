"""WSGI application of the callers' interface.

It decodes HTTP requests into `Request` values for a backend, and encodes the
`Reply` values of the backend as HTTP responses. It knows nothing of jobs: the
backend decides what a request does.
"""

import pathlib
import urllib.parse
from collections.abc import Callable

import attrs

from trefoilgw.callers import problems
from trefoilgw.callers import values
from trefoilgw.outcomes import core as outcomes

OPENAPI_FILE = pathlib.Path(__file__).with_name("openapi.json")


@attrs.define(eq=False)
class Application:
    """The WSGI application.

    Attributes:
        backend: Answers a `Request` with a `Reply`; may block its greenthread.
        epoch: Returns the current roster epoch, sent with every response.
        reply_counts: Number of replies by HTTP status.
    """

    backend: Callable[[values.Request], values.Reply]
    epoch: Callable[[], int]
    reply_counts: dict = attrs.field(factory=dict)

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers one request."""
        if environ["PATH_INFO"] == "/v1/openapi.json":
            reply = values.Reply(200, OPENAPI_FILE.read_bytes())
        else:
            request = parse_request(environ)
            if isinstance(request, values.Request):
                reply = self.backend(request)
            else:
                reply = request
        self.reply_counts[reply.status] = (
            self.reply_counts.get(reply.status, 0) + 1
        )
        headers = [
            ("Content-Type", _content_type(reply.status)),
            ("Content-Length", str(len(reply.body))),
            ("Trefoilgw-Epoch", str(self.epoch())),
        ]
        if reply.retry_after_s is not None:
            seconds = max(1, round(reply.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        start_response(values.status_line(reply.status), headers)
        return [reply.body]


def parse_request(environ: dict) -> values.Request | values.Reply:
    """Decodes a WSGI environment; returns a refusal if it is not valid."""
    path = environ["PATH_INFO"]
    if "%" in path:
        path = urllib.parse.unquote(path)
    method = environ["REQUEST_METHOD"]
    if path == "/healthz":
        return _method_refusal("GET", method) or values.Request(
            values.Action.HEALTH
        )
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    action = None
    if path == "/v1/jobs":
        action = {"POST": values.Action.SUBMIT}.get(method)
    elif path.startswith("/v1/jobs/"):
        key = path[len("/v1/jobs/") :]
        action = {
            "GET": values.Action.READ,
            "DELETE": values.Action.CANCEL,
        }.get(method)
    elif path == "/v1/tickets":
        action = {"POST": values.Action.TICKETS}.get(method)
    elif path == "/v1/epoch":
        action = {"GET": values.Action.EPOCH}.get(method)
    else:
        return _refusal(404, "there is nothing at this path", not key)
    if action is None:
        return _refusal(405, f"{method} is not allowed here", not key)
    wait_s = _parse_wait_s(environ.get("QUERY_STRING", ""))
    if wait_s is None:
        text = f"wait_s must be a number from 0 to {values.MAX_WAIT_S:g}"
        return _refusal(400, text, not key)
    body = environ["wsgi.input"].read() if method == "POST" else b""
    token = _bearer_token(environ.get("HTTP_AUTHORIZATION", ""))
    return values.Request(action, token, key, body, wait_s)


def _method_refusal(allowed: str, method: str) -> values.Reply | None:
    """Returns a refusal unless the method is the allowed one, else None."""
    if method == allowed:
        return None
    return _refusal(405, f"{method} is not allowed here", True)


def _refusal(status: int, detail: str, not_run: bool) -> values.Reply:
    """Returns the reply to a request that the interface does not define.

    Args:
        status: HTTP status.
        detail: What is wrong, for the caller.
        not_run: Whether the request certainly ran no job.
    """
    refused = outcomes.Refused(
        outcomes.Reason.BAD_REQUEST, not_run=not_run, detail=detail
    )
    return values.Reply(status, problems.document(refused, status))


def _bearer_token(header: str) -> str:
    """Returns the bearer token of an Authorization header, or ``""``."""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _parse_wait_s(query: str) -> float | None:
    """Returns ``wait_s`` of a query, 0 by default, None if not valid."""
    if not query:
        return 0.0
    for name, value in urllib.parse.parse_qsl(query):
        if name == "wait_s":
            try:
                wait_s = float(value)
            except ValueError:
                return None
            return wait_s if 0.0 <= wait_s <= values.MAX_WAIT_S else None
    return 0.0


def _content_type(status: int) -> str:
    """Returns the media type of a body; errors are problem documents."""
    return "application/problem+json" if status >= 400 else "application/json"
