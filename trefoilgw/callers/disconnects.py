"""Notices that a caller has closed its connection while it is served."""

import socket
from collections.abc import Callable

import attrs
import eventlet
from eventlet import hubs


@attrs.define(eq=False)
class DisconnectWatch:
    """Watches one connection while the server does not read from it.

    Attributes:
        sock: The green socket.
    """

    sock: object
    _thread: eventlet.greenthread.GreenThread | None = None

    def start(self, callback: Callable[[], None]) -> None:
        """Calls a function once if the caller closes the connection."""
        self._thread = eventlet.spawn(self._run, callback)

    def cancel(self) -> None:
        """Ends the watch; must be called before the server reads again."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _run(self, callback: Callable[[], None]) -> None:
        """Waits until the connection can be read."""
        plain = self.sock.fd
        try:
            hubs.trampoline(plain, read=True)
            gone = not plain.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            gone = False
        except OSError:
            gone = True
        if gone:
            callback()
