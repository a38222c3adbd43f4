"""HTTP calls to the target beside the agent.

A task is sent at most once: there is no library retry, no redirect, and no
reconnect once a request has begun. The fate says how far the call came: a call
that failed before its first byte was sent is `NotRun`, one that broke off
afterwards is `Unknown`. This module does not decide when a task starts.
"""

import collections
import http.client
import json
import socket
import time
import urllib.parse
from collections.abc import Callable

import attrs
import eventlet
import urllib3.connection
import urllib3.exceptions

from trefoilgw.outcomes import core as outcomes

CONNECT_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 1.0
# Common servers close an idle connection after 5 s or more. A younger one is
# hardly ever closed in the moment in which it is used again.
IDLE_LIMIT_S = 2.0
# A whole job of 310 such results still passes the entry in 80 MB.
LIMIT_RESULT_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
LIMIT_DETAIL_CHARS = 200

_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


@attrs.frozen
class Call:
    """One task for the target.

    Attributes:
        job: Name of the job as the home gave it.
        index: Position in the job.
        service: Service at the target.
        payload: JSON text in UTF-8.
        deadline_s: Deadline on the monotonic clock.
        idempotent: False if the work must run at most once; such a call never
            uses a connection that was idle.
    """

    job: str
    index: int
    service: str
    payload: bytes
    deadline_s: float
    idempotent: bool


@attrs.define
class Counters:
    """Totals since the start of the process.

    Attributes:
        calls: Requests sent.
        connects: Connections opened.
        reused: Requests sent on a connection that was idle.
        broken: Requests that broke off after they were sent.
        stops: Stop requests sent.
        stops_skipped: Stop requests for which no connection was free.
    """

    calls: int = 0
    connects: int = 0
    reused: int = 0
    broken: int = 0
    stops: int = 0
    stops_skipped: int = 0


@attrs.define(eq=False)
class Client:
    """Calls one target.

    Attributes:
        host: IP address.
        port: TCP port.
        connections: Most connections that are open at any time. At the limit
            a task is not run, and a stop request is left out.
        limit_s: Longest wait for an answer after the deadline; then the
            connection is closed and the task stays unknown.
        now: Monotonic clock in seconds.
        busy: Connections in use.
        counters: Totals.
    """

    host: str
    port: int
    connections: int
    limit_s: float = 300.0
    now: Callable[[], float] = time.monotonic
    busy: int = 0
    counters: Counters = attrs.field(factory=Counters)
    _idle: collections.deque = attrs.field(factory=collections.deque)

    @property
    def open_connections(self) -> int:
        """Connections that are open now."""
        return self.busy + len(self._idle)

    def run(
        self,
        call: Call,
        refusal: Callable[[], outcomes.NotRun | None],
    ) -> outcomes.Fate:
        """Sends a task and waits for its answer.

        Args:
            call: The task.
            refusal: Asked immediately before the first byte is sent; returns
                why the task may not start, or None.

        Returns:
            The fate. `NotRun` is returned only if nothing was sent.
        """
        if self.busy >= self.connections:
            return outcomes.NotRun(
                outcomes.Reason.CAPACITY, "no connection is free"
            )
        self.busy += 1
        connection = None
        try:
            connection = self._connection(reuse=call.idempotent)
            refused = refusal()
            if refused is not None:
                return refused
            return self._send(connection, call)
        except _ERRORS as error:
            return outcomes.NotRun(
                outcomes.Reason.TARGET_UNREACHABLE, _detail(str(error))
            )
        finally:
            self.busy -= 1
            self._release(connection)

    def stop(self, job: str, index: int) -> bool:
        """Asks the target to stop a task.

        Returns:
            True if the target answered.
        """
        if self.busy >= self.connections:
            self.counters.stops_skipped += 1
            return False
        self.busy += 1
        connection = None
        try:
            with eventlet.Timeout(STOP_TIMEOUT_S, TimeoutError("no answer")):
                connection = self._connection(reuse=True)
                self.counters.stops += 1
                path = f"/run/{_quote(job)}/{index}"
                answer = _exchange(connection, "DELETE", path, {}, b"")
                if _read_body(answer) is None or answer.will_close:
                    _close(connection)
                return True
        except _ERRORS:
            _close(connection)
            return False
        finally:
            self.busy -= 1
            self._release(connection)

    def close_idle(self, everything: bool = False) -> None:
        """Closes connections that were idle for too long."""
        oldest_s = self.now() - IDLE_LIMIT_S
        while self._idle and (everything or self._idle[0][0] < oldest_s):
            _close(self._idle.popleft()[1])

    def _connection(self, reuse: bool) -> urllib3.connection.HTTPConnection:
        """Returns a connected connection.

        Raises:
            OSError: The target can't be reached.
            HTTPError: The same, as urllib3 reports it.
        """
        self.close_idle()
        while reuse and self._idle:
            connection = self._idle.pop()[1]
            if _is_usable(connection):
                self.counters.reused += 1
                return connection
            _close(connection)
        while self._idle and self.open_connections > self.connections:
            _close(self._idle.popleft()[1])
        connection = urllib3.connection.HTTPConnection(
            self.host, self.port, timeout=CONNECT_TIMEOUT_S
        )
        connection.connect()
        # http.client would silently reconnect to send on a lost connection.
        connection.auto_open = 0
        connection.sock.settimeout(None)
        self.counters.connects += 1
        return connection

    def _release(
        self, connection: urllib3.connection.HTTPConnection | None
    ) -> None:
        """Keeps a connection that is still open and whose answer was read."""
        if connection is not None and connection.sock is not None:
            self._idle.append((self.now(), connection))

    def _send(
        self, connection: urllib3.connection.HTTPConnection, call: Call
    ) -> outcomes.Fate:
        """Sends the request and returns the fate from the answer."""
        started_s = self.now()
        remaining_s = max(0.0, call.deadline_s - started_s)
        self.counters.calls += 1
        path = f"/run/{_quote(call.service)}"
        headers = _headers(call, remaining_s)
        limit = eventlet.Timeout(
            remaining_s + self.limit_s, TimeoutError("no answer")
        )
        try:
            with limit:
                answer = _exchange(
                    connection, "POST", path, headers, call.payload
                )
                body = _read_body(answer)
        except _ERRORS as error:
            _close(connection)
            self.counters.broken += 1
            return outcomes.Unknown(
                outcomes.Reason.TARGET_UNREACHABLE, _detail(str(error))
            )
        except BaseException:
            _close(connection)
            raise
        if body is None or answer.will_close:
            _close(connection)
        return _fate(answer.status, body, self.now() - started_s)


def _reject_constant(text: str) -> None:
    """Refuses NaN and infinities, which JSON does not have."""
    raise ValueError(f"{text} is not JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def _quote(text: str) -> str:
    """Returns a text that is safe in a path segment and in a header."""
    return urllib.parse.quote(text, safe=":")


def _detail(text: str) -> str:
    """Returns a text cut to the limit of a detail."""
    return text[:LIMIT_DETAIL_CHARS]


def _close(connection: urllib3.connection.HTTPConnection | None) -> None:
    """Closes a connection."""
    if connection is not None:
        connection.close()


def _headers(call: Call, remaining_s: float) -> dict[str, str]:
    """Returns the headers of a task's request."""
    return {
        "Content-Type": "application/json",
        "Trefoilgw-Deadline-Ms": str(int(remaining_s * 1000)),
        "Trefoilgw-Idempotent": "true" if call.idempotent else "false",
        "Trefoilgw-Task": f"{_quote(call.job)}/{call.index}",
    }


def _is_usable(connection: urllib3.connection.HTTPConnection) -> bool:
    """Returns True if an idle connection is open and silent.

    Notes:
        `is_connected` asks the event loop, which costs several system calls
        and lets other greenthreads run.
    """
    sock = getattr(connection.sock, "fd", connection.sock)
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _exchange(
    connection: urllib3.connection.HTTPConnection,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> http.client.HTTPResponse:
    """Sends a request in one write and returns the answer's head.

    Notes:
        `HTTPConnection.request` writes head and body apart and checks each
        header with regular expressions, a quarter of the CPU time of a call.
        All texts here are quoted or fixed.

    Raises:
        HTTPException: The answer is not HTTP.
        OSError: The connection failed.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {connection.host}:{connection.port}",
        f"Content-Length: {len(body)}",
        *[f"{name}: {value}" for name, value in headers.items()],
    ]
    head = "\r\n".join(lines) + "\r\n\r\n"
    connection.send(head.encode("ascii") + body)
    answer = http.client.HTTPResponse(connection.sock, method=method)
    answer.begin()
    return answer


def _read_body(response: http.client.HTTPResponse) -> bytes | None:
    """Returns the body, or None if it is larger than the limit.

    Raises:
        HTTPException: The body ended too early.
        OSError: The connection failed.
    """
    if response.length is not None:
        if response.length > LIMIT_RESULT_BYTES:
            return None
        return response.read()
    chunks = []
    size_bytes = 0
    while chunk := response.read(READ_BYTES):
        size_bytes += len(chunk)
        if size_bytes > LIMIT_RESULT_BYTES:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _fate(status: int, body: bytes | None, run_s: float) -> outcomes.Fate:
    """Returns the fate that an answer of the target means."""
    if body is None:
        return outcomes.Failed(
            outcomes.Reason.TOO_LARGE,
            f"the answer is larger than {LIMIT_RESULT_BYTES} bytes",
            run_s,
        )
    if status != 200:
        text = body[:LIMIT_DETAIL_CHARS].decode("utf-8", "replace")
        return outcomes.Failed(
            outcomes.Reason.TARGET_ERROR,
            _detail(f"status {status}: {text}"),
            run_s,
        )
    try:
        _DECODER.decode(body.decode("utf-8"))
    except (ValueError, RecursionError):
        return outcomes.Failed(
            outcomes.Reason.TARGET_ERROR, "the answer is not JSON", run_s
        )
    return outcomes.Completed(body, run_s)
