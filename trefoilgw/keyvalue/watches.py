"""A watch on a prefix of the platform's keys.

It runs in a greenthread and is one waiting call for the service. It does not
reconnect, and it can't notice a service that has silently stopped delivering;
both are up to its owner.
"""

import json
import logging
from collections.abc import Callable

import attrs
import eventlet
import urllib3

from trefoilgw.keyvalue import core as platform
from trefoilgw.keyvalue import gateway
from trefoilgw.keyvalue import values

# One revision may carry a document of 1 MB and its audit entry in base64.
LINE_LIMIT_BYTES = 16 * 1024 * 1024

log = logging.getLogger(__name__)


@attrs.frozen
class Changed:
    """A key was written."""

    value: values.KeyValue


@attrs.frozen
class Deleted:
    """A key was deleted or its lease lapsed."""

    key: str
    mod_revision: int


class _LostError(Exception):
    """The watch has ended; the text says why."""


@attrs.define(eq=False)
class Watch:
    """One watch; it ends by `cancel` or with a call of `on_lost`.

    Attributes:
        address: ``ip:port`` of the service.
        prefix: Keys to watch.
        on_event: Called with each `Changed` and `Deleted`.
        on_lost: Called once with the reason, unless cancelled.
        created: True once the service confirmed the watch.
        active: False once cancelled or lost.
    """

    address: str
    prefix: str
    on_event: Callable
    on_lost: Callable[[str], None]
    created: bool = False
    active: bool = True
    _thread: object = None

    def start(self, start_revision: int, timeout_s: float) -> None:
        """Starts the greenthread.

        Args:
            start_revision: First revision to deliver; 0 for the next one.
            timeout_s: Limit until the service has confirmed the watch.
        """
        self._thread = eventlet.spawn(self._run, start_revision, timeout_s)

    def cancel(self) -> None:
        """Ends the watch; no callback is called any more."""
        self.active = False
        if self._thread is not eventlet.getcurrent():
            self._thread.kill()

    def _run(self, start_revision: int, timeout_s: float) -> None:
        """Delivers events until the watch ends."""
        pool = None
        response = None
        reason = "closed by the service"
        try:
            limit = eventlet.Timeout(timeout_s, _LostError("not confirmed"))
            try:
                pool, response = self._open(start_revision)
                rest = self._read_created(response)
            finally:
                limit.cancel()
            self._deliver(response, rest)
        except (urllib3.exceptions.HTTPError, OSError, _LostError) as error:
            reason = f"{type(error).__name__}: {error}"
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            reason = f"unusable event: {error!r}"
        finally:
            # The connection is never reused: the service may still write.
            if response is not None:
                response.close()
            if pool is not None:
                pool.close()
        if self.active:
            self.active = False
            self.on_lost(reason)

    def _open(self, start_revision: int):
        """Returns the connection pool and the open response."""
        pool = urllib3.connection_from_url(f"http://{self.address}")
        create = {
            "key": gateway.to_text(self.prefix.encode()),
            "range_end": gateway.to_text(gateway.range_end(self.prefix)),
        }
        if start_revision:
            create["start_revision"] = str(start_revision)
        response = pool.request(
            "POST",
            "/v3/watch",
            body=json.dumps({"create_request": create}).encode(),
            headers={"Content-Type": "application/json"},
            timeout=urllib3.Timeout(total=None),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        if response.status != 200:
            raise _LostError(f"status {response.status}")
        return pool, response

    def _read_created(self, response) -> bytes:
        """Waits for the confirmation; returns bytes read beyond it."""
        data = b""
        while b"\n" not in data:
            chunk = response.read1(platform.READ_BYTES)
            if not chunk:
                raise _LostError("closed before it was confirmed")
            data += chunk
        line, _, rest = data.partition(b"\n")
        if not json.loads(line)["result"].get("created"):
            raise _LostError("refused")
        self.created = True
        return rest

    def _deliver(self, response, data: bytes) -> None:
        """Calls `on_event` for each event."""
        buffer = bytearray(data)
        while self.active:
            end = buffer.find(b"\n")
            if end < 0:
                chunk = response.read1(platform.READ_BYTES)
                if not chunk:
                    return
                buffer += chunk
                if len(buffer) > LINE_LIMIT_BYTES:
                    raise _LostError("an event is too large")
                continue
            line = bytes(buffer[:end])
            del buffer[: end + 1]
            self._deliver_line(json.loads(line))

    def _deliver_line(self, answer: dict) -> None:
        """Calls `on_event` for the events of one line."""
        if "error" in answer:
            raise _LostError(str(answer["error"]))
        result = answer["result"]
        if result.get("canceled"):
            raise _LostError("cancelled by the service")
        for fields in result.get("events", ()):
            event = _event(fields)
            if not self.active:
                return
            try:
                self.on_event(event)
            except Exception:
                log.exception("watch callback failed")


def _event(fields: dict) -> Changed | Deleted:
    """Returns an event as the gateway describes it."""
    value = gateway.value_of(fields["kv"])
    if fields.get("type") == "DELETE":
        return Deleted(value.key, value.mod_revision)
    return Changed(value)
