"""HTTP server with limits on requests and connections."""

from collections.abc import Callable

import attrs
import eventlet
from eventlet import wsgi

from trefoilgw.callers import protocol
from trefoilgw.streams import core as streams

# Maximum of simultaneous connections; the load balancer keeps idle ones open.
MAX_CONNECTIONS = 4096


@attrs.define(eq=False)
class HttpServer:
    """Serves a WSGI application on an address.

    Attributes:
        application: The WSGI application.
        limits: Limits of requests.
    """

    application: Callable
    limits: protocol.Limits = attrs.field(factory=protocol.Limits)
    _sock: object | None = None
    _thread: object | None = None
    _pool: eventlet.GreenPool = attrs.field(
        factory=lambda: eventlet.GreenPool(MAX_CONNECTIONS)
    )

    def listen(self, address: str) -> str:
        """Starts to serve; port 0 selects a free port.

        Returns:
            The bound address as ``ip:port``.

        Raises:
            OSError: The address can't be bound.
        """
        self._sock, bound = streams.listen(address)
        protocol_class = type(
            "_Protocol", (protocol.Protocol,), {"limits": self.limits}
        )
        self._thread = eventlet.spawn(
            wsgi.server,
            self._sock,
            self.application,
            protocol=protocol_class,
            custom_pool=self._pool,
            log_output=False,
            debug=False,
        )
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
        if self._thread is not None:
            self._thread.kill()
            self._sock.close()
            self._thread = None
