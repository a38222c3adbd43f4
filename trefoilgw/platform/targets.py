"""Client of the target on the same host.

Each call is made once; what a lost answer means is up to the caller. All
times that a call names are on the target's clock.
"""

import json
from collections.abc import Callable

import attrs
import urllib3

from trefoilgw.platform import fields
from trefoilgw.work import core as work
from trefoilgw.work import orders

# Two connections wait in `hold`; the others carry orders.
CONNECTIONS = 6
# The target is on the same host and answers within a few milliseconds.
ORDER_TIMEOUT_S = 0.04
# What `hold` may take beyond the time that it was asked to wait.
HOLD_EXTRA_S = 0.05

# The other headers that the library would add cost processor time only.
_HEADERS = {
    "Content-Type": "application/json",
    "Accept-Encoding": urllib3.util.SKIP_HEADER,
    "User-Agent": urllib3.util.SKIP_HEADER,
}
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
    """Calls one target; calls may run in several greenthreads.

    Attributes:
        address: ``ip:port`` of the target.
        calls: Calls made so far.
    """

    address: str
    calls: int = 0
    _pool: urllib3.HTTPConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._pool = urllib3.connection_from_url(
            f"http://{self.address}", maxsize=CONNECTIONS, block=True
        )

    def start(
        self,
        instance: str,
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
            instance: Life of the target that is meant.
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
        }
        return self._order("/run-start", instance, body)

    def stop(
        self, instance: str, task: str, run: int
    ) -> (
        orders.Accepted
        | orders.Refused
        | orders.OtherInstance
        | orders.NoAnswer
    ):
        """Stops a run; once accepted, the run never starts any more."""
        return self._order("/run-stop", instance, {"task": task, "run": run})

    def hold(
        self,
        instance: str,
        lease_end_s: float | None,
        confirmed: int,
        wait_s: float,
    ) -> (
        orders.LeaseExtended
        | orders.Refused
        | orders.OtherInstance
        | orders.NoAnswer
    ):
        """Extends the lease of all runs and reads what runs and has ended.

        Args:
            instance: Life of the target that is meant.
            lease_end_s: End of the lease on the target's clock, None to
                leave it as it is.
            confirmed: Number of the last end that is taken note of.
            wait_s: Seconds that the answer may wait for a new end.
        """
        # Ends up to this number are forgotten; it is no time.
        body = {"lastSeen": confirmed, "waitMs": int(wait_s * 1000)}
        if lease_end_s is not None:
            body["deadlineMs"] = int(lease_end_s * 1000)
        timeout_s = wait_s + HOLD_EXTRA_S
        return self._call("/hold", instance, body, timeout_s, held)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _order(self, path: str, instance: str, body: dict):
        """Makes a call that is answered at once."""
        return self._call(path, instance, body, ORDER_TIMEOUT_S, _accepted)

    def _call(
        self,
        path: str,
        instance: str,
        body: dict,
        timeout_s: float,
        convert: Callable,
    ):
        """Makes one call and returns the converted answer."""
        self.calls += 1
        try:
            response = self._pool.request(
                "POST",
                path,
                body=json.dumps(body).encode(),
                headers={**_HEADERS, "X-Expect-Instance": instance},
                timeout=urllib3.Timeout(total=timeout_s),
                retries=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return orders.NoAnswer(False, str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return orders.NoAnswer(True, f"{type(error).__name__}: {error}")
        try:
            return _result(response.status, response.data, convert)
        except fields.FieldError as error:
            return orders.NoAnswer(True, f"unreadable answer: {error}")


def _result(status: int, data: bytes, convert: Callable):
    """Returns what an answer means."""
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


def _accepted(body: fields.Fields) -> orders.Accepted:
    """Returns the answer to an order."""
    return orders.Accepted(body.number("clockMs") / 1000)


def held(body: fields.Fields) -> orders.LeaseExtended:
    """Returns the answer to `hold`."""
    return orders.LeaseExtended(
        body.number("clockMs") / 1000,
        body.whole("born", 0),
        dict(_running(x) for x in body.rows("running")),
        tuple(_ended(x) for x in body.rows("finished")),
    )


def _running(row: object) -> tuple[tuple[str, int], float]:
    """Returns run and progress of a row [task, run, saved, percent, ...].

    The fourth column is the share of the work that is done, in percent.
    """
    match row:
        case [str() as task, int() as run, _, int() | float() as percent, *_]:
            return (task, run), percent / 100
    raise fields.FieldError("a row of the running tasks is unreadable")


def _ended(row: object) -> orders.RunEnd:
    """Returns the end in a row [number, task, run, how, saved]."""
    match row:
        case [int() as number, str() as task, int() as run, str() as how, *_]:
            ending = _ENDINGS.get(how)
            if ending is not None:
                return orders.RunEnd(number, task, run, ending)
    raise fields.FieldError("a row of the ended tasks is unreadable")
