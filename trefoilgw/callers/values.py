"""Requests of callers and the replies to them."""

import enum

import attrs

# Longer waits would outlast the time limits of common balancers.
WAIT_LIMIT_S = 60.0

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
    """What a caller asks for."""

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
        action: What is asked for.
        token: The bearer token, empty if none was sent.
        key: Text of the key, empty if none was sent.
        body: Body as sent.
        wait_s: Seconds that the caller waits for the answer, 0 to
            `WAIT_LIMIT_S`.
    """

    action: Action
    token: str = ""
    key: str = ""
    body: bytes = b""
    wait_s: float = 0.0


@attrs.frozen
class Reply:
    """The answer to a caller.

    Attributes:
        status: HTTP status.
        body: JSON text in UTF-8.
        retry_after_s: Seconds after which a new attempt makes sense, or None.
        reason: Stable code if the request is refused, for the metrics.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None
    reason: str = ""


def status_line(status: int) -> str:
    """Returns the status with its phrase."""
    return _STATUS_LINES.get(status) or f"{status} Unknown"
