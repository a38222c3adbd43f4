"""Stand-in of the platform's key-value service over HTTP.

It speaks a subset of the etcd v3 HTTP/JSON gateway and is not part of the
product: ``/v3/kv/range``, ``/v3/kv/put``, ``/v3/kv/deleterange``,
``/v3/kv/txn``, ``/v3/lease/grant``, ``/v3/lease/keepalive``,
``/v3/lease/revoke`` and ``/v3/watch``. Its limits are those that the platform
states: values up to 1 MB, several hundred writes and 2,000 reads a second.

Control interface, never slow and never down:

- ``GET /control/status``: calls by kind, refused calls, open watches, revision.
- ``POST /control/switches``: fields of `Switches`; fields left out are reset.
- ``POST /control/reset``: sets the counts to zero.
- ``POST /control/lapse_leases``: lets all leases lapse now.
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

REQUEST_LIMIT = 4096
LEASE_CHECK_S = 0.1


@attrs.frozen
class Switches:
    """Faults and limits of the service.

    Attributes:
        down: Connections are cut before a request has any effect.
        slow_s: Seconds before each request is carried out.
        lose_answer: The next writes, this many, take effect, but the
            connection is cut instead of an answer.
        lose_request: The next writes, this many, are cut without effect.
        lose_kinds: Kinds of writes that the two apply to; empty for all.
        silent_watches: Watches stay open and deliver nothing.
        writes_s: Writes per second above which calls are refused; 0 for no
            limit.
        reads_s: The same for reads.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answer: int = 0
    lose_request: int = 0
    lose_kinds: tuple[str, ...] = ()
    silent_watches: bool = False
    writes_s: float = 500.0
    reads_s: float = 2000.0


class _CutError(Exception):
    """The connection is to be cut without an answer."""


@attrs.define(eq=False)
class _Bucket:
    """A token bucket with one second of burst."""

    tokens: float | None = None
    last_s: float = 0.0

    def take(self, rate: float, now_s: float) -> bool:
        """Takes a token; returns False if there is none."""
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
    """One open watch."""

    first: bytes
    end: bytes
    sock: object
    lines: queue.LightQueue = attrs.field(factory=queue.LightQueue)
    ended: event.Event = attrs.field(factory=event.Event)


@attrs.define(eq=False)
class Server:
    """The service; in a process of its own or inside a test.

    Attributes:
        store: Keys and leases.
        switches: Faults and limits in force.
        calls: Calls by kind since the last reset; a watch counts once.
        refused: Calls refused for the limits, by kind.
        watches: Open watches.
        now: Monotonic clock in seconds, for the limits.
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
        self.store.on_changes = self._deliver
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
                max_size=REQUEST_LIMIT,
                minimum_chunk_size=1,
            ),
            eventlet.spawn(self._expire_leases),
        ]
        return self.address

    def wait(self) -> None:
        """Blocks until the server ends."""
        self._threads[0].wait()

    def close(self) -> None:
        """Stops accepting requests and cuts the watches."""
        for thread in self._threads:
            thread.kill()
        if self._sock is not None:
            self._sock.close()
        self._cut_watches()

    def status(self) -> dict:
        """Returns the counts as ``GET /control/status`` shows them."""
        return {
            "calls": dict(self.calls),
            "refused": dict(self.refused),
            "open_watches": len(self.watches),
            "revision": self.store.revision,
            "keys": len(self.store.entries),
            "leases": len(self.store.leases),
            "switches": attrs.asdict(self.switches),
        }

    def set_switches(self, **fields) -> None:
        """Sets switches; those left out are reset."""
        self.switches = Switches(**fields)
        self._buckets.clear()
        if self.switches.down:
            self._cut_watches()

    def application(self, environ: dict, start_response) -> object:
        """Answers one request (WSGI)."""
        path = environ["PATH_INFO"]
        try:
            request = kv_wire.json_body(environ)
            if path.startswith("/control/"):
                answer = self._control(path, request)
            elif path == "/v3/watch":
                return self._open_watch(request, environ, start_response)
            else:
                answer = self._call(path, request)
        except _CutError:
            _cut(environ["eventlet.input"].get_socket())
            return wsgi.ALREADY_HANDLED
        except kv_store.KvError as error:
            return kv_wire.refuse(start_response, error)
        except (ValueError, TypeError, AttributeError) as error:
            bad = kv_store.KvError(kv_store.INVALID_ARGUMENT, str(error))
            return kv_wire.refuse(start_response, bad)
        start_response("200 OK", kv_wire.JSON_HEADERS)
        return [json.dumps(answer).encode()]

    def _control(self, path: str, request: dict) -> dict:
        """Returns the answer of the control interface."""
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
        """Carries out one call."""
        if path not in self._handlers:
            raise kv_store.KvError(kv_store.UNIMPLEMENTED, path)
        kind, handler = self._handlers[path]
        writes = kv_wire.is_write(kind, request)
        self._admit(kind, writes)
        losable = writes and kind in (self.switches.lose_kinds or (kind,))
        if losable and self.switches.lose_request:
            self._count_down("lose_request")
            raise _CutError
        self.store.expire()
        answer = handler(request)
        if losable and self.switches.lose_answer:
            self._count_down("lose_answer")
            raise _CutError
        return answer

    def _admit(self, kind: str, writes: bool) -> None:
        """Counts a call and applies the limits and faults of arrival."""
        self.calls[kind] += 1
        if self.switches.down:
            raise _CutError
        rate = self.switches.writes_s if writes else self.switches.reads_s
        bucket = self._buckets.setdefault(writes, _Bucket())
        if not bucket.take(rate, self.now()):
            self.refused[kind] += 1
            raise kv_store.KvError(
                kv_store.RESOURCE_EXHAUSTED, "etcdserver: too many requests"
            )
        if self.switches.slow_s:
            eventlet.sleep(self.switches.slow_s)
            if self.switches.down:
                raise _CutError

    def _count_down(self, name: str) -> None:
        """Uses up one of the next calls that a switch applies to."""
        left = getattr(self.switches, name) - 1
        self.switches = attrs.evolve(self.switches, **{name: left})

    def _open_watch(self, request: dict, environ, start_response) -> Iterator:
        """Opens a watch; its answer is a stream of JSON lines."""
        self._admit("watch", False)
        create = request.get("create_request")
        if not isinstance(create, dict):
            raise kv_store.KvError(kv_store.UNIMPLEMENTED, "watch request")
        watch = _Watch(
            kv_store.to_bytes(create.get("key")),
            kv_store.to_bytes(create.get("range_end")),
            environ["eventlet.input"].get_socket(),
        )
        watch.lines.put({"header": self.store.header(), "created": True})
        start = int(create.get("start_revision", 0))
        if start and start <= self.store.compacted:
            compacted = str(self.store.compacted)
            watch.lines.put({"canceled": True, "compact_revision": compacted})
            watch.lines.put(None)
        elif start:
            for revision, changes in self.store.changes_since(start):
                self._offer(watch, revision, changes)
        self.watches.append(watch)
        start_response("200 OK", kv_wire.JSON_HEADERS)
        return self._stream(watch)

    def _stream(self, watch: _Watch) -> Iterator[bytes]:
        """Yields the lines of a watch until either side closes."""
        reader = eventlet.spawn(_await_close, watch)
        try:
            while (result := watch.lines.get()) is not None:
                yield json.dumps({"result": result}).encode() + b"\n"
        finally:
            reader.kill()
            self.watches.remove(watch)
            watch.ended.send()

    def _deliver(self, revision: int, changes: tuple) -> None:
        """Gives changes to the open watches."""
        if not self.switches.silent_watches:
            for watch in self.watches:
                self._offer(watch, revision, changes)

    def _offer(self, watch: _Watch, revision: int, changes: tuple) -> None:
        """Gives the changes of one revision to one watch."""
        events = [
            _event(change)
            for change in changes
            if kv_store.in_range(change.entry.key, watch.first, watch.end)
        ]
        if events:
            header = self.store.header() | {"revision": str(revision)}
            watch.lines.put({"header": header, "events": events})

    def _cut_watches(self) -> None:
        """Cuts the connections of all watches."""
        for watch in list(self.watches):
            _cut(watch.sock)
            watch.lines.put(None)

    def _expire_leases(self) -> None:
        """Ends lapsed leases until the server is closed."""
        while True:
            eventlet.sleep(LEASE_CHECK_S)
            self.store.expire()


def _event(change: kv_store.Change) -> dict:
    """Returns a change as an event of a watch."""
    fields = {"kv": kv_store.entry_fields(change.entry)}
    return fields | ({"type": "DELETE"} if change.deleted else {})


def _await_close(watch: _Watch) -> None:
    """Ends a watch once its client closes the connection."""
    with contextlib.suppress(OSError):  # A reset ends the watch as well.
        while watch.sock.recv(4096):
            pass
    watch.lines.put(None)


def _cut(sock) -> None:
    """Shuts a connection; one already closed stays closed."""
    with contextlib.suppress(OSError):  # The client may have closed first.
        sock.shutdown(stdlib_socket.SHUT_RDWR)


def main() -> int:
    """Runs the stand-in as a process of its own."""
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
