"""HTTP client for the target on the agent's host.

A task is sent at most once: the client does not retry, follow redirects or
reconnect once a request has begun. The fate states how far the call got: a call
that failed before its first byte was sent is `NotRun`, and one that was
interrupted afterwards is `Unknown`. This module does not decide when a task
starts.
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
# Common servers close an idle connection after 5 s or more. A shorter limit
# makes it unlikely that the server closes one just as it is reused.
MAX_IDLE_S = 2.0
# A job of 310 tasks with results of this size takes 80 MB at the entry.
MAX_RESULT_BYTES = 256 * 1024
READ_CHUNK_BYTES = 64 * 1024
MAX_DETAIL_CHARS = 200

_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


@attrs.frozen
class Call:
    """A task to send to the target.

    Attributes:
        job: Name of the job, assigned by its home.
        index: Position of the task in the job.
        service: Name of the service at the target.
        payload: JSON text in UTF-8.
        deadline_s: Deadline in seconds on the monotonic clock.
        idempotent: False if the work must run at most once; such a call never
            reuses an idle connection.
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
        reused: Idle connections taken for a request.
        broken: Requests that failed after they were sent.
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
    """Client of one target.

    Attributes:
        host: IP address of the target.
        port: TCP port of the target.
        max_connections: Largest number of connections that are open at any
            time. At the limit, tasks are not run and stop requests are skipped.
        answer_timeout_s: Longest wait for an answer after the deadline, in
            seconds; then the connection is closed and the fate is `Unknown`.
        now: Monotonic clock in seconds.
        busy_connections: Number of connections in use.
        counters: Totals since the start of the process.
    """

    host: str
    port: int
    max_connections: int
    answer_timeout_s: float = 300.0
    now: Callable[[], float] = time.monotonic
    busy_connections: int = 0
    counters: Counters = attrs.field(factory=Counters)
    _idle: collections.deque = attrs.field(factory=collections.deque)

    @property
    def open_connections(self) -> int:
        """Number of open connections, in use or idle."""
        return self.busy_connections + len(self._idle)

    def run(
        self,
        call: Call,
        refusal: Callable[[], outcomes.NotRun | None],
    ) -> outcomes.Fate:
        """Sends a task and waits for its answer.

        Args:
            call: The task.
            refusal: Called immediately before the first byte is sent; returns
                the reason if the task may not start, or None.

        Returns:
            The fate. `NotRun` is returned only if nothing was sent.
        """
        if self.busy_connections >= self.max_connections:
            return outcomes.NotRun(
                outcomes.Reason.CAPACITY, "no connection is free"
            )
        self.busy_connections += 1
        connection = None
        try:
            connection = self._acquire_connection(reuse=call.idempotent)
            refused = refusal()
            if refused is not None:
                return refused
            return self._send(connection, call)
        except _ERRORS as error:
            return outcomes.NotRun(
                outcomes.Reason.TARGET_UNREACHABLE, _truncate_detail(str(error))
            )
        finally:
            self.busy_connections -= 1
            self._release(connection)

    def stop(self, job: str, index: int) -> bool:
        """Asks the target to stop a task.

        Returns:
            True if the target answered.
        """
        if self.busy_connections >= self.max_connections:
            self.counters.stops_skipped += 1
            return False
        self.busy_connections += 1
        connection = None
        try:
            with eventlet.Timeout(STOP_TIMEOUT_S, TimeoutError("no answer")):
                connection = self._acquire_connection(reuse=True)
                self.counters.stops += 1
                path = f"/run/{_quote(job)}/{index}"
                answer = _exchange(connection, "DELETE", path, {}, b"")
                if _read_body(answer) is None or answer.will_close:
                    _close(connection)
                return True
        except _ERRORS as error:
            _close(connection)
            self._close_idle_after(error)
            return False
        finally:
            self.busy_connections -= 1
            self._release(connection)

    def close_idle(self, everything: bool = False) -> None:
        """Closes connections that have been idle longer than `MAX_IDLE_S`.

        Args:
            everything: Whether to close all idle connections.
        """
        oldest_s = self.now() - MAX_IDLE_S
        while self._idle and (everything or self._idle[0][0] < oldest_s):
            _close(self._idle.popleft()[1])

    def _close_idle_after(self, error: Exception) -> None:
        """Closes all idle connections after a time-out.

        They may have gone silent as well. Each would cost one more time limit.
        """
        if isinstance(error, TimeoutError):
            self.close_idle(everything=True)

    def _acquire_connection(
        self, reuse: bool
    ) -> urllib3.connection.HTTPConnection:
        """Returns an open connection, reusing an idle one if possible.

        Args:
            reuse: Whether an idle connection may be used.

        Raises:
            OSError: The target can't be reached.
            HTTPError: The target can't be reached, as reported by urllib3.
        """
        self.close_idle()
        while reuse and self._idle:
            connection = self._idle.pop()[1]
            if _is_usable(connection):
                self.counters.reused += 1
                return connection
            _close(connection)
        while self._idle and self.open_connections > self.max_connections:
            _close(self._idle.popleft()[1])
        connection = urllib3.connection.HTTPConnection(
            self.host, self.port, timeout=CONNECT_TIMEOUT_S
        )
        connection.connect()
        # Otherwise http.client would silently reconnect a lost connection when
        # a request is sent.
        connection.auto_open = 0
        connection.sock.settimeout(None)
        self.counters.connects += 1
        return connection

    def _release(
        self, connection: urllib3.connection.HTTPConnection | None
    ) -> None:
        """Keeps the connection for reuse unless it is None or closed.

        Callers have closed a connection whose answer was not read completely.
        """
        if connection is not None and connection.sock is not None:
            self._idle.append((self.now(), connection))

    def _send(
        self, connection: urllib3.connection.HTTPConnection, call: Call
    ) -> outcomes.Fate:
        """Sends the request of a task and returns its fate."""
        started_s = self.now()
        remaining_s = max(0.0, call.deadline_s - started_s)
        self.counters.calls += 1
        path = f"/run/{_quote(call.service)}"
        headers = _headers(call, remaining_s)
        limit = eventlet.Timeout(
            remaining_s + self.answer_timeout_s, TimeoutError("no answer")
        )
        try:
            with limit:
                answer = _exchange(
                    connection, "POST", path, headers, call.payload
                )
                body = _read_body(answer)
        except _ERRORS as error:
            _close(connection)
            self._close_idle_after(error)
            self.counters.broken += 1
            return outcomes.Unknown(
                outcomes.Reason.TARGET_UNREACHABLE, _truncate_detail(str(error))
            )
        except BaseException:
            _close(connection)
            raise
        if body is None or answer.will_close:
            _close(connection)
        return _decode_fate(answer.status, body, self.now() - started_s)


def _reject_constant(text: str) -> None:
    """Rejects NaN and infinities, which are not valid JSON."""
    raise ValueError(f"{text} is not valid JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def _quote(text: str) -> str:
    """Quotes a text for use in a path segment or a header."""
    return urllib.parse.quote(text, safe=":")


def _truncate_detail(text: str) -> str:
    """Returns a text truncated to `MAX_DETAIL_CHARS`."""
    return text[:MAX_DETAIL_CHARS]


def _close(connection: urllib3.connection.HTTPConnection | None) -> None:
    """Closes a connection, if there is one."""
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
    """Returns whether an idle connection is open and has no unread data.

    Notes:
        `is_connected` polls through the event loop, which takes several system
        calls and switches to other greenthreads.
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
    """Sends a request in one write and reads the head of the answer.

    Notes:
        `HTTPConnection.request` is not used: it writes head and body separately
        and checks each header with regular expressions, which takes a quarter
        of the CPU time of a call. The checks are not needed here, as all texts
        are quoted or constant.

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
    """Returns the body, or None if it exceeds `MAX_RESULT_BYTES`.

    Raises:
        HTTPException: The body is incomplete.
        OSError: The connection failed.
    """
    if response.length is not None:
        if response.length > MAX_RESULT_BYTES:
            return None
        return response.read()
    chunks = []
    size_bytes = 0
    while chunk := response.read(READ_CHUNK_BYTES):
        size_bytes += len(chunk)
        if size_bytes > MAX_RESULT_BYTES:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _decode_fate(
    status: int, body: bytes | None, run_s: float
) -> outcomes.Fate:
    """Returns the fate of a task from the target's answer.

    Args:
        status: HTTP status.
        body: Body of the answer, None if it exceeds the limit.
        run_s: Run time in seconds.
    """
    if body is None:
        return outcomes.Failed(
            outcomes.Reason.TOO_LARGE,
            f"the answer is larger than {MAX_RESULT_BYTES} bytes",
            run_s,
        )
    if status != 200:
        text = body[:MAX_DETAIL_CHARS].decode("utf-8", "replace")
        return outcomes.Failed(
            outcomes.Reason.TARGET_ERROR,
            _truncate_detail(f"status {status}: {text}"),
            run_s,
        )
    try:
        _DECODER.decode(body.decode("utf-8"))
    except (ValueError, RecursionError):
        return outcomes.Failed(
            outcomes.Reason.TARGET_ERROR, "the answer is not JSON", run_s
        )
    return outcomes.Completed(body, run_s)
