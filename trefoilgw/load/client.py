"""A minimal HTTP/1.1 client on green sockets with persistent connections.

It implements only what a load run needs, so that the generator uses little CPU
compared with the entries. It never retries a request.
"""

import contextlib
import socket as stdlib_socket
import time

import attrs
import eventlet
from eventlet.green import socket

READ_SIZE_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024


class NotSentError(Exception):
    """No connection could be made, so the request was certainly not sent."""


class LostError(Exception):
    """No response arrived; the server may have processed the request."""


@attrs.frozen
class Response:
    """An HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Header values by lower-case name.
        body: Body after removal of the transfer coding.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define(eq=False)
class _Connection:
    """A connection and its buffer of bytes received but not yet consumed."""

    sock: socket.socket
    buffer: bytes = b""

    def read_more(self) -> None:
        """Receives at least one byte into the buffer.

        Raises:
            ConnectionResetError: The server closed the connection.
        """
        data = self.sock.recv(READ_SIZE_BYTES)
        if not data:
            raise ConnectionResetError("closed by the server")
        self.buffer += data

    def read_until(self, delimiter: bytes) -> bytes:
        """Consumes bytes up to a delimiter and returns those before it.

        Raises:
            ConnectionResetError: The server closed the connection.
            ValueError: No delimiter within `MAX_BODY_BYTES`.
        """
        while delimiter not in self.buffer:
            if len(self.buffer) > MAX_BODY_BYTES:
                raise ValueError("the answer is too long")
            self.read_more()
        before, _, self.buffer = self.buffer.partition(delimiter)
        return before

    def read_exactly(self, length: int) -> bytes:
        """Consumes and returns the next `length` bytes.

        Raises:
            ConnectionResetError: The server closed the connection.
            ValueError: `length` exceeds `MAX_BODY_BYTES`.
        """
        if length > MAX_BODY_BYTES:
            raise ValueError("the answer is too long")
        while len(self.buffer) < length:
            self.read_more()
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        return data

    def is_open(self) -> bool:
        """Returns whether an idle connection is still open and has no data."""
        try:
            self.sock.fd.recv(1, stdlib_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self.sock.close()


@attrs.define(eq=False)
class Client:
    """A client of one server with a pool of idle connections.

    Attributes:
        address: Address of the server, ``ip:port``.
        connections_opened: Number of connections opened so far.
    """

    address: str
    connections_opened: int = 0
    _idle: list = attrs.field(factory=list)

    def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Response:
        """Sends one request and returns its response.

        Raises:
            NotSentError: No connection could be made.
            LostError: No complete response arrived within `timeout_s`.
        """
        deadline_s = time.monotonic() + timeout_s
        connection = self._connect(timeout_s)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        data = "\r\n".join(lines).encode() + body
        try:
            left_s = max(0.0, deadline_s - time.monotonic())
            with eventlet.Timeout(left_s, TimeoutError("no answer in time")):
                connection.sock.sendall(data)
                response = _read_response(connection)
        except (OSError, EOFError, ValueError) as error:
            connection.close()
            raise LostError(f"{self.address}: {error}") from error
        if response.headers.get("connection", "").lower() == "close":
            connection.close()
        else:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _connect(self, timeout_s: float) -> _Connection:
        """Returns an idle connection that is still open, or a new one.

        Raises:
            NotSentError: No connection could be made.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open():
                return connection
            connection.close()
        host, _, port = self.address.rpartition(":")
        try:
            sock = socket.create_connection((host, int(port)), timeout_s)
            sock.settimeout(None)
            sock.setsockopt(
                stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1
            )
        except OSError as error:
            raise NotSentError(f"{self.address}: {error}") from error
        self.connections_opened += 1
        return _Connection(sock)


def _read_response(connection: _Connection) -> Response:
    """Reads one response from a connection."""
    head = connection.read_until(b"\r\n\r\n").decode("latin-1")
    status_line, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, text = line.partition(":")
        headers[name.strip().lower()] = text.strip()
    status = int(status_line.split(" ", 2)[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = _read_chunked_body(connection)
    else:
        body = connection.read_exactly(int(headers.get("content-length", 0)))
    return Response(status, headers, body)


def _read_chunked_body(connection: _Connection) -> bytes:
    """Reads a body with chunked transfer coding (RFC 9112, section 7.1)."""
    chunks = []
    while True:
        size = connection.read_until(b"\r\n").partition(b";")[0]
        length = int(size, 16)
        chunks.append(connection.read_exactly(length))
        connection.read_exactly(2)
        if not length:
            return b"".join(chunks)
