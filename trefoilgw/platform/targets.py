"""Client of the target on the same host.

Calls are never retried; the caller decides how to handle a lost answer. All
points in time that are sent or received are on the target's clock.
"""

import json
from collections.abc import Callable

import attrs

from trefoilgw.platform import connections
from trefoilgw.platform import fields
from trefoilgw.work import core as work
from trefoilgw.work import orders

# Up to two connections wait in `hold`; the others are for starts and stops.
MAX_CONNECTIONS = 6
# A single call without an answer is common here, and costs little time. Closing
# all connections after each would open them anew.
TIME_OUT_LIMIT = 2
# The target is on the same host and answers within a few milliseconds.
ORDER_TIMEOUT_S = 0.04
# Time that `hold` may take in addition to its requested wait.
HOLD_MARGIN_S = 0.05

_HEADERS = {"Content-Type": "application/json"}
_REASONS = {
    "fence": orders.RefusalReason.FENCED,
    "old": orders.RefusalReason.OLD,
    "late": orders.RefusalReason.LATE,
    "room": orders.RefusalReason.ROOM,
}
_ENDINGS = {
    "done": work.Ending.DONE,
    "failed": work.Ending.FAILED,
    "stopped": work.Ending.STOPPED,
    "lapsed": work.Ending.LOST,
    "broken": work.Ending.LOST,
    "alone": work.Ending.LOST,
}


@attrs.define(eq=False)
class TargetClient:
    """Client of one target; several greenthreads may use it concurrently.

    Attributes:
        address: ``ip:port`` of the target.
    """

    address: str
    _pool: connections.ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._pool = connections.ConnectionPool(
            self.address, MAX_CONNECTIONS, TIME_OUT_LIMIT
        )

    def start(
        self,
        instance: str,
        fence: int,
        task: str,
        run: int,
        payload: str,
        lease_end_s: float,
    ) -> (
        orders.Accepted
        | orders.Refused
        | orders.OtherInstance
        | orders.NoAnswer
    ):
        """Starts a run under a lease.

        Args:
            instance: Instance that the call is for; any other one rejects it.
            fence: Fencing token; the target rejects calls with a lower one
                than it has seen.
            task: Name of the task.
            run: Number of the attempt.
            payload: Text of the job.
            lease_end_s: End of the lease on the target's clock.
        """
        body = {
            "task": task,
            "run": run,
            "spec": payload,
            "deadlineMs": int(lease_end_s * 1000),
            "fence": fence,
        }
        return self._order("/run-start", instance, body)

    def stop(
        self, instance: str, fence: int, task: str, run: int
    ) -> (
        orders.Accepted
        | orders.Refused
        | orders.OtherInstance
        | orders.NoAnswer
    ):
        """Stops a run; once accepted, the run can no longer start."""
        body = {"task": task, "run": run, "fence": fence}
        return self._order("/run-stop", instance, body)

    def hold(
        self,
        instance: str,
        fence: int,
        lease_end_s: float | None,
        confirmed: int,
        wait_s: float,
    ) -> (
        orders.RunListing
        | orders.Refused
        | orders.OtherInstance
        | orders.NoAnswer
    ):
        """Lists running and ended runs, and may extend the lease of all runs.

        Args:
            instance: Instance that the call is for; any other one rejects it.
            fence: Fencing token, as for `start`.
            lease_end_s: New end of the lease on the target's clock, None to
                leave the lease unchanged.
            confirmed: Number of the last ended run that has been processed.
            wait_s: Seconds for which the target may delay its answer until
                another run ends.
        """
        # Despite its name, `lastSeen` is not a time but the number of an ended
        # run. The target forgets all ended runs up to this number.
        body = {
            "lastSeen": confirmed,
            "waitMs": int(wait_s * 1000),
            "fence": fence,
        }
        if lease_end_s is not None:
            body["deadlineMs"] = int(lease_end_s * 1000)
        timeout_s = wait_s + HOLD_MARGIN_S
        return self._call("/hold", instance, body, timeout_s, decode_hold)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _order(self, path: str, instance: str, body: dict):
        """Makes a call that the target answers without delay."""
        return self._call(
            path, instance, body, ORDER_TIMEOUT_S, _decode_accepted
        )

    def _call(
        self,
        path: str,
        instance: str,
        body: dict,
        timeout_s: float,
        convert: Callable,
    ):
        """Makes one call and returns the converted answer."""
        headers = {**_HEADERS, "X-Expect-Instance": instance}
        data = json.dumps(body).encode()
        response = self._pool.call("POST", path, data, headers, timeout_s)
        if isinstance(response, connections.Failure):
            return orders.NoAnswer(response.reached, response.detail)
        try:
            return _decode_answer(response.status, response.data, convert)
        except fields.FieldError as error:
            return orders.NoAnswer(True, f"unreadable answer: {error}")


def _decode_answer(status: int, data: bytes, convert: Callable):
    """Decodes an answer.

    Raises:
        fields.FieldError: The body is malformed.
    """
    match status:
        case 200:
            return convert(fields.Fields(fields.parse(data)))
        case 409:
            body = fields.Fields(fields.parse(data))
            reason = _REASONS.get(body.text("reason", ""))
            clock_s = body.number("clockMs") / 1000
            return orders.Refused(
                reason or orders.RefusalReason.INVALID, clock_s
            )
        case 421:
            return orders.OtherInstance()
        case 429 | 503:
            return orders.Refused(orders.RefusalReason.UNHEALTHY)
        case 400:
            return orders.Refused(orders.RefusalReason.INVALID)
    return orders.NoAnswer(True, f"status {status}")


def _decode_accepted(body: fields.Fields) -> orders.Accepted:
    """Decodes the answer to an accepted start or stop."""
    return orders.Accepted(body.number("clockMs") / 1000)


def decode_hold(body: fields.Fields) -> orders.RunListing:
    """Decodes the answer to `hold`."""
    return orders.RunListing(
        body.number("clockMs") / 1000,
        body.integer("born", 0),
        dict(_decode_running(x) for x in body.array("running")),
        tuple(_decode_ended(x) for x in body.array("finished")),
    )


def _decode_running(row: object) -> tuple[tuple[str, int], float]:
    """Decodes a row [task, run, saved, percent, ...] of the running tasks.

    Returns:
        The key of the run and its progress from 0 to 1; the fourth column has
        the progress in percent.
    """
    match row:
        case [str() as task, int() as run, _, int() | float() as percent, *_]:
            return (task, run), percent / 100
    raise fields.FieldError("a row of the running tasks is unreadable")


def _decode_ended(row: object) -> orders.RunEnd:
    """Decodes a row [number, task, run, how, saved] of the ended runs."""
    match row:
        case [int() as number, str() as task, int() as run, str() as how, *_]:
            ending = _ENDINGS.get(how)
            if ending is not None:
                return orders.RunEnd(number, task, run, ending)
    raise fields.FieldError("a row of the ended tasks is unreadable")
