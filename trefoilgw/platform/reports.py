"""Receives the reports that a target sends to the runner on its host."""

import json
import logging
from collections.abc import Callable

import attrs

from trefoilgw.platform import fields
from trefoilgw.work import core as work

_REPORT_PATH = "/Instances.Heartbeat/"
_LEAVE_PATH = "/Instances.Deregister/"
_DRAINING_BY_STATE = {"ready": False, "draining": True}

log = logging.getLogger(__name__)


def decode(
    instance: str, data: bytes, decoded_limit_bytes: int | None = None
) -> work.Target:
    """Decodes a report.

    Args:
        instance: Name of the instance, from the path of the request.
        data: Body of the request.
        decoded_limit_bytes: Memory that its values may take while it is
            decoded, None for any.

    Raises:
        fields.FieldError: The report is malformed.
    """
    body = fields.Fields(fields.parse(data, decoded_limit_bytes))
    state = body.text("state")
    if state not in _DRAINING_BY_STATE:
        raise fields.FieldError(f"state {state[:40]!r} is unknown")
    capacity = body.object("capacity")
    return work.Target(
        instance=instance,
        # `born` is the start time of the target. It distinguishes restarts, as
        # the same instance may be reported again after one.
        started_ms=body.integer("born", 0),
        service=body.text("service"),
        capacity=work.Demand(
            capacity.integer("cpu"),
            capacity.integer("memMb"),
            capacity.integer("gpu", 0),
        ),
        draining=_DRAINING_BY_STATE[state],
        sequence=body.integer("seq"),
        # Counted from the report, although its name does not say so.
        cold_s=body.number("coldRemainingMs", 0.0) / 1000,
    )


def decode_leave(data: bytes, decoded_limit_bytes: int | None = None) -> int:
    """Decodes the body of a deregistration, which may be empty.

    Returns:
        Start of the target in Unix milliseconds, 0 if it does not say.

    Raises:
        fields.FieldError: The body is malformed.
    """
    body = fields.parse(data or b"{}", decoded_limit_bytes)
    return fields.Fields(body).integer("born", 0)


@attrs.define(eq=False)
class ReportsApplication:
    """WSGI application that receives a target's reports.

    Attributes:
        on_report: Called with the `work.Target` of each valid report.
        on_leave: Called with the instance and its start in milliseconds, 0 if
            it does not say, when it deregisters.
        decoded_limit_bytes: Memory that the values of one body may take while
            it is decoded, None for any.
    """

    on_report: Callable[[work.Target], None]
    on_leave: Callable[[str, int], None]
    decoded_limit_bytes: int | None = None

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers one report."""
        status = self._handle(environ)
        data = json.dumps({}).encode()
        start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]

    def _handle(self, environ: dict) -> str:
        """Processes one request and returns the HTTP status line."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] != "POST":
            return "405 Method Not Allowed"
        data = environ["wsgi.input"].read()
        try:
            if path.startswith(_LEAVE_PATH):
                instance = path.removeprefix(_LEAVE_PATH)
                started_ms = decode_leave(data, self.decoded_limit_bytes)
                self.on_leave(instance, started_ms)
            elif path.startswith(_REPORT_PATH):
                instance = path.removeprefix(_REPORT_PATH)
                limit_bytes = self.decoded_limit_bytes
                self.on_report(decode(instance, data, limit_bytes))
            else:
                return "404 Not Found"
        except fields.FieldError as error:
            log.warning("report unreadable", extra={"error": str(error)})
            return "400 Bad Request"
        return "200 OK"
