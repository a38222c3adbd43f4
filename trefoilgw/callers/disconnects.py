"""Detects that a caller closes its connection during a request."""

import contextlib
import socket
from collections.abc import Callable

import attrs
import eventlet
from eventlet import hubs


@attrs.define(eq=False)
class DisconnectWatch:
    """Watches one connection while the server does not read from it.

    Attributes:
        sock: The connection, a socket of eventlet.
    """

    sock: object
    _thread: eventlet.greenthread.GreenThread | None = None

    def closed(self) -> bool:
        """Returns whether the caller has closed the connection by now.

        Unlike the callback, it needs no turn of the event loop. After a pause
        of the process, a connection may have been closed long ago.
        """
        try:
            return not self.sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def start(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once if the caller closes the connection."""
        self._thread = eventlet.spawn(self._wait_for_close, callback)

    def cancel(self) -> None:
        """Ends the watch; must be called before the server reads again."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _wait_for_close(self, callback: Callable[[], None]) -> None:
        """Waits until the connection is readable, and checks for its end."""
        with contextlib.suppress(OSError):
            hubs.trampoline(self.sock.fd, read=True)
        if self.closed():
            callback()
