"""TCP relays whose connections can be cut, for faults between two processes.

One process runs any number of relays, each from a listening address to another
one. It is not part of the product.

- ``POST /control/cut``: ``listen``, the address of a relay, and ``how``, one of
  the modes below.
"""

import argparse
import contextlib
import enum
import json
import socket as stdlib_socket
import struct

import attrs
import eventlet
from eventlet import wsgi
from eventlet.green import socket

from tools.standins import listening

READ_BYTES = 65536
# Closing a socket with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.StrEnum):
    """How a relay treats its connections.

    Attributes:
        OPEN: It forwards.
        SILENT: It forwards nothing, and accepts new connections all the same.
        RESET: It resets open connections, and new ones once they are accepted.
        REFUSE: It resets open connections, and nothing listens.
    """

    OPEN = "open"
    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"


@attrs.define(eq=False)
class Relay:
    """One relay.

    Attributes:
        address: ``ip:port`` that it listens on.
        target: ``ip:port`` that it forwards to.
        mode: How it treats its connections.
        sockets: Open sockets of both sides.
    """

    address: str
    target: str
    mode: Mode = Mode.OPEN
    sockets: set = attrs.field(factory=set)
    _listener: socket.socket | None = None

    def open(self) -> None:
        """Starts to listen."""
        self._listener, self.address = listening.listen(self.address)
        eventlet.spawn_n(self._accept, self._listener)

    def set_mode(self, mode: Mode) -> None:
        """Changes how connections are treated.

        Connections that were silent are reset when that ends, as those of a
        peer that was away for long.
        """
        before, self.mode = self.mode, mode
        goes_silent = before is Mode.OPEN and mode is Mode.SILENT
        if mode is not before and not goes_silent:
            for sock in list(self.sockets):
                self._reset(sock)
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
            self.sockets.add(sock)
            if self.mode is Mode.RESET:
                self._reset(sock)
            else:
                eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        """Forwards one connection in both directions until it ends."""
        host, _, port = self.target.rpartition(":")
        try:
            other = socket.create_connection((host, int(port)))
        except OSError:
            self._reset(sock)
            return
        self.sockets.add(other)
        for end in (sock, other):
            end.setsockopt(
                stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1
            )
        eventlet.spawn_n(self._forward, sock, other)
        self._forward(other, sock)

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Forwards one direction, then closes both sockets."""
        # eventlet raises EOFError if `_reset` has closed the socket.
        with contextlib.suppress(OSError, EOFError):
            while data := source.recv(READ_BYTES):
                if self.mode is Mode.OPEN:
                    sink.sendall(data)
        for sock in (source, sink):
            self.sockets.discard(sock)
            with contextlib.suppress(OSError):
                sock.shutdown(stdlib_socket.SHUT_RDWR)
            sock.close()

    def _reset(self, sock: socket.socket) -> None:
        """Resets a connection."""
        self.sockets.discard(sock)
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
        self.relays[body["listen"]].set_mode(Mode(body["how"]))
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
