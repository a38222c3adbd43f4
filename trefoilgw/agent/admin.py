"""Admin endpoint of an agent: ``/metrics`` and ``/admin/status``.

Serves GET over HTTP/1.0 without WSGI, which would cost the agent more memory
than its whole ledger. It runs only if the settings name an address.
"""

import contextlib
import json

import attrs
import eventlet
from eventlet import semaphore

from trefoilgw.agent import metrics as agent_metrics
from trefoilgw.metrics import core as metrics
from trefoilgw.streams import core as streams

LIMIT_HEAD_BYTES = 8192
REQUEST_TIMEOUT_S = 5.0
# Further clients wait in the listen queue.
LIMIT_CLIENTS = 4
JSON = "application/json"


@attrs.define(eq=False)
class Admin:
    """The endpoint.

    Attributes:
        agent: The agent that is shown.
        registry: Its metrics.
    """

    agent: object
    registry: metrics.Registry = attrs.field(init=False)
    _sock: object = None
    _clients: semaphore.Semaphore = attrs.field(
        factory=lambda: semaphore.Semaphore(LIMIT_CLIENTS)
    )

    def __attrs_post_init__(self):
        self.registry = agent_metrics.make_registry(self.agent)

    def listen(self, address: str) -> str:
        """Starts listening; port 0 takes a free one.

        Returns:
            The address as ``ip:port``.

        Raises:
            OSError: The address can't be bound.
        """
        self._sock, bound = streams.listen(address)
        eventlet.spawn_n(self._accept)
        return bound

    def close(self) -> None:
        """Stops listening."""
        if self._sock is not None:
            streams.close_socket(self._sock)

    def answer(self, method: str, path: str) -> tuple[str, str, bytes]:
        """Returns status line, content type and body for a request."""
        if method != "GET":
            return "405 Method Not Allowed", JSON, b'{"detail": "only GET"}'
        if path == "/metrics":
            body = agent_metrics.exposition(self.registry)
            return "200 OK", metrics.CONTENT_TYPE, body
        if path == "/admin/status":
            status = agent_metrics.status_of(self.agent)
            return "200 OK", JSON, json.dumps(status).encode()
        return "404 Not Found", JSON, b'{"detail": "there is nothing here"}'

    def _accept(self) -> None:
        """Accepts clients until closed."""
        while True:
            self._clients.acquire()
            try:
                sock, _ = self._sock.accept()
            except OSError:
                self._clients.release()
                return
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        """Answers one client and closes its connection."""
        try:
            with (
                contextlib.suppress(OSError, ValueError),
                eventlet.Timeout(REQUEST_TIMEOUT_S, TimeoutError("slow")),
            ):
                method, path = _read_request(sock)
                status, kind, body = self.answer(method, path)
                head = (
                    f"HTTP/1.0 {status}\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                sock.sendall(head.encode() + body)
        finally:
            sock.close()
            self._clients.release()


def _read_request(sock) -> tuple[str, str]:
    """Returns method and path of a request.

    Raises:
        OSError: The connection failed.
        ValueError: The bytes are not an HTTP request.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(LIMIT_HEAD_BYTES)
        if not more or len(data) + len(more) > LIMIT_HEAD_BYTES:
            raise ValueError("no complete request head")
        data += more
    line = data.partition(b"\r\n")[0].decode("latin-1")
    method, target, _ = line.split(" ", 2)
    return method, target.partition("?")[0]
