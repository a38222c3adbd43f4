"""HTTP server with limits on requests and connections."""

import contextlib
import errno
import logging
import socket
import time
from collections.abc import Callable

import attrs
import eventlet
from eventlet import greenio
from eventlet import wsgi

from trefoilgw.callers import budget
from trefoilgw.callers import protocol
from trefoilgw.streams import core as streams

# Accepted connections get their turn after this many.
ACCEPTS_PER_TURN = 16
ACCEPT_RETRY_S = 0.05
# Bytes that the kernel keeps for a connection while nobody reads from it, which
# count as memory of the host. Linux uses twice as much for its own needs. The
# default grows to megabytes.
RECEIVE_BUFFER_BYTES = 32 * 1024
# A caller that is cut off is noticed after about 30 s.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 15),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
)
_NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class HttpServer:
    """Serves a WSGI application on an address.

    Attributes:
        application: The WSGI application.
        limits: Limits of requests.
        accounts: Memory and connections of the callers.
        may_run: Takes a path; returns whether this process may run the job
            that the path names. Such a request is not refused as not run.
        connections: Open connections by their account.
    """

    application: Callable
    limits: protocol.Limits = attrs.field(factory=protocol.Limits)
    accounts: budget.Budget = attrs.field(factory=budget.Budget)
    may_run: Callable[[str], bool] = lambda path: False
    connections: dict[budget.Account, protocol.Connection] = attrs.field(
        factory=dict
    )
    _sock: object | None = None
    _thread: object | None = None
    _pool: eventlet.GreenPool = attrs.field(init=False)
    _server: wsgi.Server | None = None
    _protocol_class: type = protocol.Protocol
    _logged_counts: dict[budget.Cause, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        # The budget limits connections, also those of changed settings; ones
        # that were shed need a moment to end.
        self._pool = eventlet.GreenPool(
            budget.MAX_CONNECTIONS + ACCEPTS_PER_TURN
        )

    def listen(self, address: str) -> str:
        """Starts to serve; port 0 selects a free port.

        Returns:
            The bound address as ``ip:port``.

        Raises:
            OSError: The address can't be bound.
        """
        self._sock, bound = streams.listen(address)
        # Accepted connections inherit these options.
        for option in SOCKET_OPTIONS:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(*option)
        self._protocol_class = type(
            "_Protocol",
            (protocol.Protocol,),
            {
                "limits": self.limits,
                "accounts": self.accounts,
                "may_run": staticmethod(self.may_run),
                "close_shed": staticmethod(self._close_shed),
            },
        )
        self._server = wsgi.Server(
            self._sock,
            self._sock.getsockname(),
            self.application,
            log_output=False,
            debug=False,
        )
        self._thread = eventlet.spawn(self._accept_loop)
        return bound

    def stop(self, timeout_s: float) -> bool:
        """Stops accepting connections and waits for open requests.

        Returns:
            False if requests were still open after `timeout_s`.
        """
        self.close()
        with eventlet.Timeout(timeout_s, False):
            self._pool.waitall()
            return True
        return False

    def close(self) -> None:
        """Stops accepting connections and closes idle ones."""
        if self._thread is None:
            return
        # Ending the greenthread lets others run. No request may be taken from
        # an idle connection then.
        thread, self._thread = self._thread, None
        for connection in self.connections.values():
            idle = connection.state is wsgi.STATE_IDLE
            connection.state = wsgi.STATE_CLOSE
            if idle:
                greenio.shutdown_safe(connection.sock)
        thread.kill()
        self._sock.close()

    def log_limited(self) -> None:
        """Logs what the limits have refused or closed since the last call."""
        counts = self.accounts.counts
        if counts == self._logged_counts:
            return
        before, self._logged_counts = self._logged_counts, dict(counts)
        log.warning(
            "callers limited",
            extra={
                "counts": {
                    str(x): count - before.get(x, 0)
                    for x, count in counts.items()
                    if count > before.get(x, 0)
                },
                "connections": len(self.connections),
                "held_bytes": self.accounts.held_bytes,
            },
        )

    def _accept_loop(self) -> None:
        """Accepts connections until the server is closed."""
        accepted = 0
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError as error:
                if error.errno in _NO_DESCRIPTORS:
                    shed = self.accounts.free_connection(time.monotonic())
                    self._close_shed(shed)
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            self._accept(sock, address)
            accepted += 1
            if accepted % ACCEPTS_PER_TURN == 0:
                eventlet.sleep(0)

    def _accept(self, sock, address: tuple) -> None:
        """Serves a new connection, or closes it if there is no place."""
        if self._thread is None:
            sock.close()
            return
        account, decision = self.accounts.open(time.monotonic())
        self._close_shed(decision.shed)
        if account is None:
            sock.close()
            return
        connection = protocol.Connection(address, sock, account)
        self.connections[account] = connection
        self._pool.spawn_n(self._serve, connection)

    def _serve(self, connection: protocol.Connection) -> None:
        """Serves one connection until its end."""
        try:
            self._protocol_class(connection, self._server)
        except OSError:
            pass  # The caller has disconnected.
        except Exception:
            log.exception("connection failed")
        finally:
            self.accounts.close(connection.account)
            del self.connections[connection.account]
            greenio.shutdown_safe(connection.sock)
            connection.sock.close()

    def _close_shed(self, shed: tuple[budget.Account, ...]) -> None:
        """Shuts down the connections of accounts that were shed."""
        for account in shed:
            connection = self.connections.get(account)
            if connection is not None:
                connection.shut()
