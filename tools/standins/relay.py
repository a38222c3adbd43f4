"""TCP relays whose connections can be cut, for faults between two processes.

One process runs any number of relays, each from a listening address to another
one. It is not part of the product.

- ``POST /control/cut``: ``listen``, the addresses of one or more relays, and
  ``how``, one of the modes below. ``delay_s`` delays what is forwarded in both
  directions, 0 by default. ``target`` changes where new connections lead. With
  ``abandon``, open connections stay silent for good instead of being reset.
"""

import argparse
import collections
import contextlib
import enum
import json
import socket as stdlib_socket
import struct
import time

import attrs
import eventlet
from eventlet import event
from eventlet import wsgi
from eventlet.green import socket

from tools.standins import listening

READ_BYTES = 65536
# Closing a socket with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Interval of the checks whether a connection that has ended is forwarded.
DRAIN_CHECK_S = 0.01


class Mode(enum.StrEnum):
    """How a relay treats its connections.

    "Out" is the direction from the side that has opened the connection. New
    connections are accepted in all modes but `REFUSE`.

    Attributes:
        OPEN: It forwards.
        SILENT: It forwards nothing, also no end of a connection.
        SILENT_OUT: The same for what goes out.
        SILENT_IN: The same for what comes back, so that requests are carried
            out and their answers lost.
        STALL: It holds everything back, and forwards it once that ends, as
            TCP does after a short cut.
        STALL_OUT: The same for what goes out.
        STALL_IN: The same for what comes back.
        RESET: It resets open connections, and new ones once they are accepted.
        REFUSE: It resets open connections, and nothing listens.
    """

    OPEN = "open"
    SILENT = "silent"
    SILENT_OUT = "silent-out"
    SILENT_IN = "silent-in"
    STALL = "stall"
    STALL_OUT = "stall-out"
    STALL_IN = "stall-in"
    RESET = "reset"
    REFUSE = "refuse"


SILENT_MODES = frozenset({Mode.SILENT, Mode.SILENT_OUT, Mode.SILENT_IN})
# Modes that drop or hold back what goes out, and what comes back.
DROPS = (
    frozenset({Mode.SILENT, Mode.SILENT_OUT}),
    frozenset({Mode.SILENT, Mode.SILENT_IN}),
)
HOLDS = (
    frozenset({Mode.STALL, Mode.STALL_OUT}),
    frozenset({Mode.STALL, Mode.STALL_IN}),
)
OUT, IN = 0, 1


@attrs.define(eq=False)
class Connection:
    """One accepted connection.

    Attributes:
        sockets: Open sockets: the accepted one, then that to the target.
        silent: Whether something was dropped, or is for good, so that the
            rest of the bytes has no meaning.
    """

    sockets: list = attrs.field(factory=list)
    silent: bool = False


@attrs.define(eq=False)
class Relay:
    """One relay.

    Attributes:
        address: ``ip:port`` that it listens on.
        target: ``ip:port`` that it forwards to.
        mode: How it treats its connections.
        delay_s: Delay of what it forwards.
        connections: Open connections.
        changed: Event that wakes the greenthreads that hold data back.
    """

    address: str
    target: str
    mode: Mode = Mode.OPEN
    delay_s: float = 0.0
    connections: set = attrs.field(factory=set)
    changed: event.Event = attrs.field(factory=event.Event)
    _listener: socket.socket | None = None

    def open(self) -> None:
        """Starts to listen."""
        self._listener, self.address = listening.listen(self.address)
        eventlet.spawn_n(self._accept, self._listener)

    def set_mode(
        self, mode: Mode, delay_s: float = 0.0, abandon: bool = False
    ) -> None:
        """Changes how connections are treated.

        Connections that were silent are reset when that ends, as those of a
        peer that was away for long. With `abandon` they stay silent.
        """
        before, self.mode = self.mode, mode
        self.delay_s = delay_s
        ends = mode in (Mode.RESET, Mode.REFUSE) or before in SILENT_MODES
        for connection in list(self.connections):
            if abandon:
                connection.silent = True
            elif ends and mode is not before:
                self._reset(connection)
        previous, self.changed = self.changed, event.Event()
        previous.send()
        if mode is Mode.REFUSE:
            listener, self._listener = self._listener, None
            if listener is not None:
                listener.shutdown(stdlib_socket.SHUT_RDWR)
                listener.close()
        elif self._listener is None:
            self.open()

    def _accept(self, listener: socket.socket) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            connection = Connection([sock])
            self.connections.add(connection)
            if self.mode is Mode.RESET:
                self._reset(connection)
            else:
                eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: Connection) -> None:
        """Forwards one connection in both directions until it ends."""
        if self.mode is Mode.SILENT:
            # Nothing of it reaches the target, so it stays open until it is
            # reset.
            connection.silent = True
            return
        host, _, port = self.target.rpartition(":")
        try:
            other = socket.create_connection((host, int(port)))
        except OSError:
            self._reset(connection)
            return
        sock = connection.sockets[0]
        connection.sockets.append(other)
        if connection not in self.connections:
            # It was reset meanwhile.
            self._reset(connection)
            return
        for end in (sock, other):
            end.setsockopt(
                stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1
            )
        eventlet.spawn_n(self._forward, connection, sock, other, OUT)
        self._forward(connection, other, sock, IN)

    def _forward(
        self, connection: Connection, source, sink, direction: int
    ) -> None:
        """Forwards one direction, then closes both sockets."""
        waiting = collections.deque()
        # eventlet raises EOFError if `_reset` has closed the socket.
        with contextlib.suppress(OSError, EOFError):
            while data := source.recv(READ_BYTES):
                if connection.silent or self.mode in DROPS[direction]:
                    connection.silent = True
                elif waiting or self.delay_s or self.mode in HOLDS[direction]:
                    if not waiting:
                        eventlet.spawn_n(
                            self._send_late,
                            connection,
                            sink,
                            direction,
                            waiting,
                        )
                    waiting.append((time.monotonic() + self.delay_s, data))
                else:
                    sink.sendall(data)
        while waiting and connection in self.connections:
            eventlet.sleep(DRAIN_CHECK_S)
        if connection.silent or self.mode in DROPS[direction]:
            # The other side does not learn of the end.
            connection.silent = True
            return
        self._close(connection)

    def _send_late(
        self,
        connection: Connection,
        sink,
        direction: int,
        waiting: collections.deque,
    ) -> None:
        """Sends what is delayed or held back until nothing is left."""
        with contextlib.suppress(OSError, EOFError):
            while waiting and connection in self.connections:
                if self.mode in HOLDS[direction]:
                    self.changed.wait()
                    continue
                due_s, data = waiting[0]
                eventlet.sleep(max(0.0, due_s - time.monotonic()))
                if connection.silent or self.mode in DROPS[direction]:
                    connection.silent = True
                elif self.mode in HOLDS[direction]:
                    continue
                else:
                    sink.sendall(data)
                waiting.popleft()
        waiting.clear()

    def _close(self, connection: Connection) -> None:
        """Closes a connection in order."""
        self.connections.discard(connection)
        for sock in connection.sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(stdlib_socket.SHUT_RDWR)
            sock.close()

    def _reset(self, connection: Connection) -> None:
        """Resets a connection."""
        self.connections.discard(connection)
        for sock in connection.sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    stdlib_socket.SOL_SOCKET,
                    stdlib_socket.SO_LINGER,
                    RESET_ON_CLOSE,
                )
                # Wakes the greenthreads that wait for the socket.
                eventlet.hubs.notify_opened(sock.fileno())
            sock.close()


@attrs.define(eq=False)
class Application:
    """WSGI application of the control interface.

    Attributes:
        relays: Relays by the address that they listen on.
    """

    relays: dict[str, Relay]

    def __call__(self, environ, start_response):
        """Carries out a call of the control interface (WSGI)."""
        body = json.loads(environ["wsgi.input"].read())
        mode = Mode(body["how"])
        for address in body["listen"]:
            relay = self.relays[address]
            relay.target = body.get("target", relay.target)
            relay.set_mode(
                mode, body.get("delay_s", 0.0), body.get("abandon", False)
            )
        start_response("200 -", [("Content-Type", "application/json")])
        return [b"{}"]


def main() -> None:
    """Runs the relays until killed."""
    eventlet.monkey_patch()
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument(
        "relays", nargs="+", help="LISTEN=TARGET, both as ip:port"
    )
    options = parser.parse_args()
    relays = {}
    for text in options.relays:
        address, _, target = text.partition("=")
        relays[address] = Relay(address, target)
        relays[address].open()
    sock, address = listening.listen(options.listen)
    print(json.dumps({"ready": True, "http": address}), flush=True)
    wsgi.server(sock, Application(relays), log_output=False, debug=False)


if __name__ == "__main__":
    main()
