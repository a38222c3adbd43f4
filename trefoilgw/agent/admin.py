"""Admin endpoint of an agent: ``/metrics`` and ``/admin/status``.

Serves GET over HTTP/1.0 without WSGI, which would take more memory than the
agent's whole ledger. It runs only if an admin address is set.
"""

import contextlib
import json

import attrs
import eventlet
from eventlet import semaphore

from trefoilgw.agent import metrics as agent_metrics
from trefoilgw.metrics import core as metrics
from trefoilgw.streams import core as streams

MAX_HEAD_BYTES = 8192
REQUEST_TIMEOUT_S = 5.0
# Connections beyond this wait in the listen backlog.
MAX_CLIENTS = 4
JSON_CONTENT_TYPE = "application/json"


@attrs.define(eq=False)
class AdminServer:
    """HTTP server of the admin endpoint.

    Attributes:
        agent: The agent whose state is served.
        registry: Metrics of the agent.
    """

    agent: object
    registry: metrics.Registry = attrs.field(init=False)
    _sock: object = None
    _clients: semaphore.Semaphore = attrs.field(
        factory=lambda: semaphore.Semaphore(MAX_CLIENTS)
    )

    def __attrs_post_init__(self):
        self.registry = agent_metrics.make_registry(self.agent)

    def listen(self, address: str) -> str:
        """Starts listening; port 0 selects a free port.

        Returns:
            The address as ``ip:port``.

        Raises:
            OSError: The address can't be bound.
        """
        self._sock, bound = streams.listen(address)
        eventlet.spawn_n(self._accept_clients)
        return bound

    def close(self) -> None:
        """Stops listening."""
        if self._sock is not None:
            streams.close_socket(self._sock)

    def respond(self, method: str, path: str) -> tuple[str, str, bytes]:
        """Returns the status, content type and body of the response."""
        if method != "GET":
            return (
                "405 Method Not Allowed",
                JSON_CONTENT_TYPE,
                b'{"detail": "only GET"}',
            )
        if path == "/metrics":
            body = agent_metrics.exposition(self.registry)
            return "200 OK", metrics.CONTENT_TYPE, body
        if path == "/admin/status":
            status = agent_metrics.status_of(self.agent)
            return "200 OK", JSON_CONTENT_TYPE, json.dumps(status).encode()
        return (
            "404 Not Found",
            JSON_CONTENT_TYPE,
            b'{"detail": "there is nothing here"}',
        )

    def _accept_clients(self) -> None:
        """Accepts connections until the socket is closed."""
        while True:
            self._clients.acquire()
            try:
                sock, _ = self._sock.accept()
            except OSError:
                self._clients.release()
                return
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        """Answers one request and closes the connection."""
        try:
            with (
                contextlib.suppress(OSError, ValueError),
                eventlet.Timeout(REQUEST_TIMEOUT_S, TimeoutError("slow")),
            ):
                method, path = _read_request(sock)
                status, content_type, body = self.respond(method, path)
                head = (
                    f"HTTP/1.0 {status}\r\nContent-Type: {content_type}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                sock.sendall(head.encode() + body)
        finally:
            sock.close()
            self._clients.release()


def _read_request(sock) -> tuple[str, str]:
    """Returns the method and path of a request.

    Raises:
        OSError: The connection failed.
        ValueError: The bytes are not an HTTP request.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(MAX_HEAD_BYTES)
        if not more or len(data) + len(more) > MAX_HEAD_BYTES:
            raise ValueError("no complete request head")
        data += more
    line = data.partition(b"\r\n")[0].decode("latin-1")
    method, target, _ = line.split(" ", 2)
    return method, target.partition("?")[0]
