"""HTTP connections to the target and to the store.

The connections are those of the standard library: a call through urllib3 takes
about three times the processor time, and a runner makes two calls for each run.
Nothing is retried here; the callers decide how to handle a lost answer.
"""

import collections
import http.client
from collections.abc import Mapping

import attrs
import eventlet
from eventlet import patcher
from eventlet import semaphore

# The patched module lacks `poll`, and its `select` waits for the event loop.
_select = patcher.original("select")


@attrs.frozen
class Response:
    """A complete answer.

    Attributes:
        status: HTTP status.
        data: Body.
    """

    status: int
    data: bytes


@attrs.frozen
class Failure:
    """There is no complete answer.

    Attributes:
        reached: Whether the request may have been received; False if the
            connection was refused.
        detail: Why, for logs.
    """

    reached: bool
    detail: str


class _Connection(http.client.HTTPConnection):
    """A connection with its number in the order of opening."""

    def __init__(self, address: str, number: int):
        super().__init__(address)
        self.number = number


@attrs.define(eq=False)
class ConnectionPool:
    """Connections to one address, which greenthreads may use concurrently.

    Attributes:
        address: ``ip:port`` of the server.
        limit: Maximum number of calls at a time; further calls wait.
        time_out_limit: Number of time-outs after which all idle connections are
            closed, as they may have gone silent too. An answer in between on a
            connection that is older than the first of them shows that they
            have not.
    """

    address: str
    limit: int
    time_out_limit: int = 1
    _opened: int = 0
    _time_outs: int = 0
    # Number of the newest connection at the first of `_time_outs` time-outs.
    _newest_suspect: int = 0
    _free: semaphore.Semaphore = attrs.field(init=False)
    _idle: collections.deque = attrs.field(factory=collections.deque)

    def __attrs_post_init__(self):
        self._free = semaphore.Semaphore(self.limit)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Response | Failure:
        """Makes one call and returns its answer.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Content, None to send none.
            headers: Headers.
            timeout_s: Limit in seconds for connecting and for the answer, not
                for the wait until fewer than `limit` calls are in progress.
        """
        with self._free:
            connection = self._take_idle() or self._make_connection()
            connected = connection.sock is not None
            try:
                with eventlet.Timeout(timeout_s, TimeoutError("timed out")):
                    if not connected:
                        connection.connect()
                        connected = True
                    connection.request(method, path, body, headers)
                    response = connection.getresponse()
                    data = response.read()
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                if isinstance(error, TimeoutError):
                    self._timed_out(connection)
                reached = connected or isinstance(error, TimeoutError)
                return Failure(reached, f"{type(error).__name__}: {error}")
            if connection.number <= self._newest_suspect:
                self._time_outs = 0
            if response.will_close:
                connection.close()
            else:
                self._idle.append(connection)
            return Response(response.status, data)

    def _make_connection(self) -> _Connection:
        """Returns a new connection, which is not open yet."""
        self._opened += 1
        return _Connection(self.address, self._opened)

    def _timed_out(self, connection: _Connection) -> None:
        """Closes the idle connections after enough time-outs.

        Each silent one would cost its caller one more time limit.
        """
        if not self._time_outs:
            self._newest_suspect = self._opened
        if connection.number <= self._newest_suspect:
            self._time_outs += 1
        if self._time_outs >= self.time_out_limit:
            self._time_outs = 0
            self.close()

    def _take_idle(self) -> _Connection | None:
        """Returns an idle connection, the one used last, or None."""
        while self._idle:
            connection = self._idle.pop()
            if not _is_stale(connection):
                return connection
            connection.close()
        return None

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()


def _is_stale(connection: http.client.HTTPConnection) -> bool:
    """Returns whether the peer has closed an idle connection.

    Bytes that arrive while no answer is due make it unusable as well.
    """
    poll = _select.poll()
    poll.register(connection.sock.fileno(), _select.POLLIN)
    return bool(poll.poll(0))
