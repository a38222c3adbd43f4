"""A watch on the platform's keys with a prefix.

A watch runs in a greenthread and keeps one streaming HTTP request open. It
does not reconnect and can't detect that the service has silently stopped
delivering events; its owner must handle both.
"""

import json
import logging
from collections.abc import Callable

import attrs
import eventlet
import urllib3

from trefoilgw.keyvalue import core as client
from trefoilgw.keyvalue import gateway
from trefoilgw.keyvalue import values

# One revision may contain a document of 1 MB and its audit entry in base64.
MAX_LINE_BYTES = 16 * 1024 * 1024

log = logging.getLogger(__name__)


@attrs.frozen
class Changed:
    """A key was written."""

    value: values.KeyValue


@attrs.frozen
class Deleted:
    """A key was deleted, or its lease expired."""

    key: str
    mod_revision: int


class _LostError(Exception):
    """The watch has ended for the reason in the message."""


@attrs.define(eq=False)
class Watch:
    """A watch, which ends with `cancel` or with a call of `on_lost`.

    Attributes:
        address: ``ip:port`` of the service.
        prefix: Prefix of the keys to watch.
        on_event: Called with each `Changed` and `Deleted`.
        on_lost: Called once with the reason if the watch ends without having
            been canceled.
        created: Whether the service has confirmed the watch.
        active: False once the watch is canceled or lost.
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
            timeout_s: Seconds within which the service must confirm the watch.
        """
        self._thread = eventlet.spawn(self._run, start_revision, timeout_s)

    def cancel(self) -> None:
        """Ends the watch; no callback is called afterwards."""
        self.active = False
        if self._thread is not eventlet.getcurrent():
            self._thread.kill()

    def _run(self, start_revision: int, timeout_s: float) -> None:
        """Delivers events until the watch ends."""
        pool = None
        response = None
        reason = "closed by the service"
        try:
            timeout = eventlet.Timeout(timeout_s, _LostError("not confirmed"))
            try:
                pool, response = self._open(start_revision)
                remaining = self._await_created(response)
            finally:
                timeout.cancel()
            self._deliver_events(response, remaining)
        except (urllib3.exceptions.HTTPError, OSError, _LostError) as error:
            reason = f"{type(error).__name__}: {error}"
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            reason = f"invalid event: {error!r}"
        finally:
            # The connection can't be reused: the service may still send data.
            if response is not None:
                response.close()
            if pool is not None:
                pool.close()
        if self.active:
            self.active = False
            self.on_lost(reason)

    def _open(self, start_revision: int):
        """Sends the request; returns the connection pool and the response."""
        pool = urllib3.connection_from_url(f"http://{self.address}")
        create = {
            "key": gateway.to_base64(self.prefix.encode()),
            "range_end": gateway.to_base64(
                gateway.prefix_range_end(self.prefix)
            ),
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

    def _await_created(self, response) -> bytes:
        """Waits for the confirmation; returns the bytes read after it."""
        data = b""
        while b"\n" not in data:
            chunk = response.read1(client.READ_CHUNK_BYTES)
            if not chunk:
                raise _LostError("closed before it was confirmed")
            data += chunk
        line, _, remaining = data.partition(b"\n")
        if not json.loads(line)["result"].get("created"):
            raise _LostError("refused")
        self.created = True
        return remaining

    def _deliver_events(self, response, data: bytes) -> None:
        """Calls `on_event` for each event until the response or watch ends.

        Args:
            response: The open response.
            data: Bytes already read from it.
        """
        buffer = bytearray(data)
        while self.active:
            end = buffer.find(b"\n")
            if end < 0:
                chunk = response.read1(client.READ_CHUNK_BYTES)
                if not chunk:
                    return
                buffer += chunk
                if len(buffer) > MAX_LINE_BYTES:
                    raise _LostError("an event is too large")
                continue
            line = bytes(buffer[:end])
            del buffer[: end + 1]
            self._deliver_line(json.loads(line))

    def _deliver_line(self, message: dict) -> None:
        """Calls `on_event` for each event in one line of the response."""
        if "error" in message:
            raise _LostError(str(message["error"]))
        result = message["result"]
        if result.get("canceled"):
            raise _LostError("cancelled by the service")
        for fields in result.get("events", ()):
            event = _decode_event(fields)
            if not self.active:
                return
            try:
                self.on_event(event)
            except Exception:
                log.exception("watch callback failed")


def _decode_event(fields: dict) -> Changed | Deleted:
    """Decodes an event."""
    value = gateway.decode_key_value(fields["kv"])
    if fields.get("type") == "DELETE":
        return Deleted(value.key, value.mod_revision)
    return Changed(value)
