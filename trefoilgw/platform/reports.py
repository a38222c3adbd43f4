"""What a target reports about itself to the runner beside it."""

import json
import logging
from collections.abc import Callable

import attrs

from trefoilgw.platform import fields
from trefoilgw.work import core as work

_REPORT_PATH = "/Instances.Heartbeat/"
_LEAVE_PATH = "/Instances.Deregister/"
_STATES = {"ready": False, "draining": True}

log = logging.getLogger(__name__)


def decode(instance: str, data: bytes) -> work.Target:
    """Returns the target in a report.

    Raises:
        fields.FieldError: The report does not hold what it should.
    """
    body = fields.Fields(fields.parse(data))
    state = body.text("state")
    if state not in _STATES:
        raise fields.FieldError(f"state {state!r} is unknown")
    capacity = body.object("capacity")
    return work.Target(
        instance=instance,
        # Stands for the life of the target; the instance may come again.
        started_ms=body.whole("born", 0),
        service=body.text("service"),
        capacity=work.Demand(
            capacity.whole("cpu"),
            capacity.whole("memMb"),
            capacity.whole("gpu", 0),
        ),
        draining=_STATES[state],
        sequence=body.whole("seq"),
    )


@attrs.define(eq=False)
class ReportsApplication:
    """WSGI application that takes a target's reports.

    Attributes:
        on_report: Called with each `work.Target`.
        on_leave: Called with the instance that has left.
    """

    on_report: Callable[[work.Target], None]
    on_leave: Callable[[str], None]

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers one report."""
        status = self._take(environ)
        data = json.dumps({}).encode()
        start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]

    def _take(self, environ: dict) -> str:
        """Takes one report in and returns the status of the answer."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] != "POST":
            return "405 Method Not Allowed"
        if path.startswith(_LEAVE_PATH):
            self.on_leave(path.removeprefix(_LEAVE_PATH))
            return "200 OK"
        if not path.startswith(_REPORT_PATH):
            return "404 Not Found"
        try:
            instance = path.removeprefix(_REPORT_PATH)
            target = decode(instance, environ["wsgi.input"].read())
        except fields.FieldError as error:
            log.warning("report unreadable", extra={"error": str(error)})
            return "400 Bad Request"
        self.on_report(target)
        return "200 OK"
