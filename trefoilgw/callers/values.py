"""Requests of callers and the replies to them."""

import enum

import attrs

# A longer wait would exceed the timeouts of common load balancers.
MAX_WAIT_S = 60.0

_STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    414: "414 URI Too Long",
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    501: "501 Not Implemented",
    503: "503 Service Unavailable",
}


class Action(enum.StrEnum):
    """The operation that a caller requests."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"
    TICKETS = "tickets"
    EPOCH = "epoch"
    HEALTH = "health"


@attrs.frozen
class Request:
    """A caller's request.

    Attributes:
        action: The requested operation.
        token: The bearer token, empty if none was sent.
        key: The idempotency key as sent, empty if none was sent.
        body: The body as sent.
        wait_s: Seconds that the caller is willing to wait for the outcome,
            from 0 to `MAX_WAIT_S`.
    """

    action: Action
    token: str = ""
    key: str = ""
    body: bytes = b""
    wait_s: float = 0.0


@attrs.frozen
class Reply:
    """The reply to a caller.

    Attributes:
        status: HTTP status.
        body: JSON text in UTF-8.
        retry_after_s: Seconds after which the caller may retry, or None.
        reason: Reason code of a refusal, for the metrics; empty otherwise.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None
    reason: str = ""


def status_line(status: int) -> str:
    """Returns an HTTP status with its reason phrase."""
    return _STATUS_LINES.get(status) or f"{status} Unknown"
