"""A TCP proxy whose open connections can go silent."""

import contextlib
import socket
import threading
import time

READ_BYTES = 65536


class Proxy:
    """Forwards connections to an address.

    Connections that have gone silent stay open, but nothing is forwarded on
    them any more; new connections work.

    Args:
        ip: Address to listen on, with a free port.
        target: Address that connections are forwarded to.
    """

    def __init__(self, ip: str, target: str):
        self.target = target
        self.requests: list[tuple[float, str]] = []
        self._silent_before = 0
        self._accepted = 0
        self._sockets: list[socket.socket] = []
        self._listener = socket.create_server((ip, 0), backlog=128)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Silences all open connections; returns how many ever opened."""
        self._silent_before = self._accepted
        return self._accepted

    def close(self) -> None:
        """Closes everything."""
        for sock in [self._listener, *self._sockets]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        host, _, port = self.target.rpartition(":")
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection((host, int(port)))
            except OSError:
                return
            number = self._accepted
            self._accepted += 1
            for sock in (client, server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._sockets.append(sock)
            for pair in ((client, server, True), (server, client, False)):
                threading.Thread(
                    target=self._forward, args=(number, *pair), daemon=True
                ).start()

    def _forward(
        self,
        number: int,
        source: socket.socket,
        sink: socket.socket,
        noted: bool,
    ) -> None:
        """Forwards one direction; may note the first lines."""
        while True:
            try:
                data = source.recv(READ_BYTES)
                if number < self._silent_before:
                    if not data:
                        return
                    continue
                if noted and data:
                    line = data.partition(b"\r\n")[0].decode("latin-1")
                    self.requests.append((time.monotonic(), line))
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_RDWR)
                return
