"""Stand-in for the platform's key-value service over HTTP.

It implements a subset of the etcd v3 HTTP/JSON gateway and is not part of the
product: ``/v3/kv/range``, ``/v3/kv/put``, ``/v3/kv/deleterange``,
``/v3/kv/txn``, ``/v3/lease/grant``, ``/v3/lease/keepalive``,
``/v3/lease/revoke`` and ``/v3/watch``. Its limits are those that the platform
specifies: values up to 1 MB, several hundred writes and 2,000 reads per second.

Control interface, which the switches `slow_s` and `down` don't affect:

- ``GET /control/status``: see `Server.status`.
- ``POST /control/switches``: fields of `Switches`; omitted fields are reset.
- ``POST /control/reset``: sets the counts to zero.
- ``POST /control/lapse_leases``: expires all leases now.
"""

import argparse
import collections
import contextlib
import json
import socket as stdlib_socket
import sys
import time
from collections.abc import Callable
from collections.abc import Iterator

import attrs
import eventlet
from eventlet import event
from eventlet import queue
from eventlet import wsgi

from tools.standins import kv_store
from tools.standins import kv_wire
from tools.standins import listening

MAX_CONCURRENT_REQUESTS = 4096
LEASE_CHECK_INTERVAL_S = 0.1


@attrs.frozen
class Switches:
    """Faults and limits of the service.

    Attributes:
        down: Connections are closed before a request has any effect.
        slow_s: Delay in seconds before each request is carried out.
        lose_answer: Number of further writes that take effect but whose
            connection is closed without a response.
        lose_request: Number of further writes whose connection is closed
            before they have any effect.
        lose_kinds: Kinds of writes that `lose_answer` and `lose_request` apply
            to; empty for all.
        silent_watches: Watches stay open but deliver no changes.
        writes_s: Writes per second above which calls are refused; 0 for no
            limit.
        reads_s: Reads per second above which calls are refused; 0 for no
            limit.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answer: int = 0
    lose_request: int = 0
    lose_kinds: tuple[str, ...] = ()
    silent_watches: bool = False
    writes_s: float = 500.0
    reads_s: float = 2000.0


class _DropConnectionError(Exception):
    """Raised to close the connection of a request without a response."""


@attrs.define(eq=False)
class _TokenBucket:
    """A token bucket that allows a burst of one second's rate.

    Attributes:
        tokens: Calls that may be made now; None before the first call.
        last_s: Time of the last refill.
    """

    tokens: float | None = None
    last_s: float = 0.0

    def take(self, rate: float, now_s: float) -> bool:
        """Takes a token; returns False if there is none.

        Args:
            rate: Tokens per second; 0 for no limit.
            now_s: Monotonic time in seconds.
        """
        if not rate:
            return True
        if self.tokens is None:
            self.tokens = rate
        self.tokens += (now_s - self.last_s) * rate
        self.tokens = min(rate, self.tokens)
        self.last_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@attrs.define(eq=False)
class _Watch:
    """One open watch.

    Attributes:
        range_start: First key of the range.
        range_end: End of the range, see `kv_store.in_range`.
        sock: Connection of the client.
        results: Results to send; None ends the stream.
        ended: Set once the watch is removed.
    """

    range_start: bytes
    range_end: bytes
    sock: object
    results: queue.LightQueue = attrs.field(factory=queue.LightQueue)
    ended: event.Event = attrs.field(factory=event.Event)


@attrs.define(eq=False)
class Server:
    """The key-value service, for a separate process or within a test.

    Attributes:
        store: Keys and leases.
        switches: Faults and limits in force.
        calls: Calls by kind since the last reset; an open watch counts once.
        refused: Calls by kind that exceeded the rate limits.
        watches: Open watches.
        now: Monotonic clock in seconds for the rate limits.
        address: ``ip:port`` once `serve` was called.
    """

    store: kv_store.Store = attrs.field(factory=kv_store.Store)
    switches: Switches = attrs.field(factory=Switches)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    watches: list = attrs.field(factory=list)
    now: Callable[[], float] = time.monotonic
    address: str = ""
    _buckets: dict = attrs.field(factory=dict)
    _sock: stdlib_socket.socket | None = None
    _threads: list = attrs.field(factory=list)
    _handlers: dict = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.store.on_changes = self._notify_watches
        self._handlers = {
            "/v3/kv/range": ("range", self.store.range),
            "/v3/kv/put": ("put", self.store.put),
            "/v3/kv/deleterange": ("deleterange", self.store.delete_range),
            "/v3/kv/txn": ("txn", self.store.txn),
            "/v3/lease/grant": ("grant", self.store.grant),
            "/v3/lease/keepalive": ("keepalive", self.store.keep_alive),
            "/v3/lease/revoke": ("revoke", self.store.revoke),
        }

    def serve(self, address: str = "127.0.0.1:0") -> str:
        """Starts answering requests in greenthreads.

        Args:
            address: ``ip:port``; port 0 takes a free one.

        Returns:
            The bound address.
        """
        self._sock, self.address = listening.listen(address)
        self._threads = [
            eventlet.spawn(
                wsgi.server,
                self._sock,
                self.application,
                log_output=False,
                max_size=MAX_CONCURRENT_REQUESTS,
                minimum_chunk_size=1,
            ),
            eventlet.spawn(self._expire_leases),
        ]
        return self.address

    def wait(self) -> None:
        """Blocks until the server ends."""
        self._threads[0].wait()

    def close(self) -> None:
        """Stops accepting requests and closes the watches."""
        for thread in self._threads:
            thread.kill()
        if self._sock is not None:
            self._sock.close()
        self._close_watches()

    def status(self) -> dict:
        """Returns the content of ``GET /control/status``.

        It has calls and refused calls by kind, the number of open watches,
        keys and leases, the revision and the switches.
        """
        return {
            "calls": dict(self.calls),
            "refused": dict(self.refused),
            "open_watches": len(self.watches),
            "revision": self.store.revision,
            "keys": len(self.store.key_values),
            "leases": len(self.store.leases),
            "switches": attrs.asdict(self.switches),
        }

    def set_switches(self, **fields) -> None:
        """Replaces all switches; those left out get their defaults.

        Raises:
            TypeError: There is no such switch.
        """
        self.switches = Switches(**fields)
        self._buckets.clear()
        if self.switches.down:
            self._close_watches()

    def application(self, environ: dict, start_response) -> object:
        """Handles one request (WSGI)."""
        path = environ["PATH_INFO"]
        try:
            request = kv_wire.json_body(environ)
            if path.startswith("/control/"):
                response = self._control(path, request)
            elif path == "/v3/watch":
                return self._open_watch(request, environ, start_response)
            else:
                response = self._call(path, request)
        except _DropConnectionError:
            _shut_down(environ["eventlet.input"].get_socket())
            return wsgi.ALREADY_HANDLED
        except kv_store.KvError as error:
            return kv_wire.error_response(start_response, error)
        except (ValueError, TypeError, AttributeError) as error:
            invalid = kv_store.KvError(kv_store.INVALID_ARGUMENT, str(error))
            return kv_wire.error_response(start_response, invalid)
        start_response("200 OK", kv_wire.JSON_HEADERS)
        return [json.dumps(response).encode()]

    def _control(self, path: str, request: dict) -> dict:
        """Handles a request to the control interface."""
        match path.removeprefix("/control/"):
            case "status":
                return self.status()
            case "switches":
                self.set_switches(**request)
                return attrs.asdict(self.switches)
            case "reset":
                self.calls.clear()
                self.refused.clear()
                return {}
            case "lapse_leases":
                self.store.expire(force=True)
                return {}
        raise kv_store.KvError(kv_store.NOT_FOUND, path)

    def _call(self, path: str, request: dict) -> dict:
        """Carries out one call under the switches in force.

        Raises:
            kv_store.KvError: The call is refused.
            _DropConnectionError: A switch loses the request or response.
        """
        if path not in self._handlers:
            raise kv_store.KvError(kv_store.UNIMPLEMENTED, path)
        kind, handler = self._handlers[path]
        writes = kv_wire.is_write(kind, request)
        self._admit(kind, writes)
        can_be_lost = writes and kind in (self.switches.lose_kinds or (kind,))
        if can_be_lost and self.switches.lose_request:
            self._count_down("lose_request")
            raise _DropConnectionError
        self.store.expire()
        response = handler(request)
        if can_be_lost and self.switches.lose_answer:
            self._count_down("lose_answer")
            raise _DropConnectionError
        return response

    def _admit(self, kind: str, writes: bool) -> None:
        """Counts a call and applies the rate limits, `down` and `slow_s`."""
        self.calls[kind] += 1
        if self.switches.down:
            raise _DropConnectionError
        rate = self.switches.writes_s if writes else self.switches.reads_s
        bucket = self._buckets.setdefault(writes, _TokenBucket())
        if not bucket.take(rate, self.now()):
            self.refused[kind] += 1
            raise kv_store.KvError(
                kv_store.RESOURCE_EXHAUSTED, "etcdserver: too many requests"
            )
        if self.switches.slow_s:
            eventlet.sleep(self.switches.slow_s)
            if self.switches.down:
                raise _DropConnectionError

    def _count_down(self, name: str) -> None:
        """Reduces the remaining count of a switch by one."""
        left = getattr(self.switches, name) - 1
        self.switches = attrs.evolve(self.switches, **{name: left})

    def _open_watch(self, request: dict, environ, start_response) -> Iterator:
        """Opens a watch; its response is a stream of JSON lines."""
        self._admit("watch", False)
        create = request.get("create_request")
        if not isinstance(create, dict):
            raise kv_store.KvError(kv_store.UNIMPLEMENTED, "watch request")
        watch = _Watch(
            kv_store.decode_base64(create.get("key")),
            kv_store.decode_base64(create.get("range_end")),
            environ["eventlet.input"].get_socket(),
        )
        watch.results.put({"header": self.store.header(), "created": True})
        start = int(create.get("start_revision", 0))
        if start and start <= self.store.compacted:
            compacted = str(self.store.compacted)
            watch.results.put({"canceled": True, "compact_revision": compacted})
            watch.results.put(None)
        elif start:
            for revision, changes in self.store.changes_since(start):
                self._send_changes(watch, revision, changes)
        self.watches.append(watch)
        start_response("200 OK", kv_wire.JSON_HEADERS)
        return self._stream(watch)

    def _stream(self, watch: _Watch) -> Iterator[bytes]:
        """Yields the lines of a watch until the client or server closes it."""
        close_waiter = eventlet.spawn(_await_close, watch)
        try:
            while (result := watch.results.get()) is not None:
                yield json.dumps({"result": result}).encode() + b"\n"
        finally:
            close_waiter.kill()
            self.watches.remove(watch)
            watch.ended.send()

    def _notify_watches(self, revision: int, changes: tuple) -> None:
        """Queues the changes of one revision for all open watches."""
        if not self.switches.silent_watches:
            for watch in self.watches:
                self._send_changes(watch, revision, changes)

    def _send_changes(
        self, watch: _Watch, revision: int, changes: tuple
    ) -> None:
        """Queues the changes of one revision that are in a watch's range."""
        events = [
            _event(change)
            for change in changes
            if kv_store.in_range(
                change.key_value.key, watch.range_start, watch.range_end
            )
        ]
        if events:
            header = self.store.header() | {"revision": str(revision)}
            watch.results.put({"header": header, "events": events})

    def _close_watches(self) -> None:
        """Closes the connections of all watches."""
        for watch in list(self.watches):
            _shut_down(watch.sock)
            watch.results.put(None)

    def _expire_leases(self) -> None:
        """Ends expired leases until the server is closed."""
        while True:
            eventlet.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire()


def _event(change: kv_store.Change) -> dict:
    """Returns a change in the format of a watch event."""
    fields = {"kv": kv_store.key_value_fields(change.key_value)}
    return fields | ({"type": "DELETE"} if change.deleted else {})


def _await_close(watch: _Watch) -> None:
    """Ends a watch when its client closes the connection."""
    # A connection reset ends the watch as well.
    with contextlib.suppress(OSError):
        while watch.sock.recv(4096):
            pass
    watch.results.put(None)


def _shut_down(sock) -> None:
    """Shuts a connection down unless it is closed already."""
    with contextlib.suppress(OSError):  # The client may have closed first.
        sock.shutdown(stdlib_socket.SHUT_RDWR)


def main() -> int:
    """Runs the stand-in as a separate process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", default="127.0.0.1:0")
    arguments = parser.parse_args()
    server = Server()
    address = server.serve(arguments.address)
    print(json.dumps({"ready": True, "http": address}), flush=True)
    server.wait()
    return 0


if __name__ == "__main__":
    eventlet.monkey_patch()
    sys.exit(main())
