"""Non-blocking output of log lines to a file descriptor."""

import collections
import select

import attrs
from eventlet import patcher

# The originals are needed: eventlet's patched write waits forever on a pipe
# whose reader is gone, and its patched select module has no `poll`.
_os = patcher.original("os")
_select = patcher.original("select")

# A pipe that polls as writable accepts this many bytes without blocking.
MAX_CHUNK_BYTES = select.PIPE_BUF
# Limits the lines that are queued for a slow reader.
MAX_QUEUED_BYTES = 128 * 1024
# Part of the queue that is reserved for failures.
RESERVED_FAILURE_BYTES = MAX_QUEUED_BYTES // 4


@attrs.define(eq=False)
class NonBlockingWriter:
    """Bounded queue of lines that are written without blocking.

    Attributes:
        fd: File descriptor; it stays in blocking mode because other processes
            may share it.
        queued_bytes: Size of the lines that are not yet written.
        write_error: Description of the error after which nothing is written
            any more; empty if there was none.
    """

    fd: int
    queued_bytes: int = 0
    write_error: str = ""
    _lines: collections.deque[bytes] = attrs.field(factory=collections.deque)

    def can_queue(self, failure: bool) -> bool:
        """Returns whether the queue accepts a line.

        Args:
            failure: Whether the line reports a failure and may use the reserved
                part of the queue.
        """
        limit = MAX_QUEUED_BYTES - (0 if failure else RESERVED_FAILURE_BYTES)
        return not self.write_error and self.queued_bytes < limit

    def enqueue(self, line: str) -> None:
        """Queues a line and adds its line terminator."""
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        self._lines.append(data)
        self.queued_bytes += len(data)

    def drain(self) -> None:
        """Writes as much as the reader accepts without blocking."""
        while self._lines and not self.write_error and self._is_ready():
            chunk = self._next_chunk()
            try:
                written = _os.write(self.fd, chunk)
            except OSError as error:
                # It can't be logged, because this is the log output.
                self.write_error = str(error)
                self._lines.clear()
                self.queued_bytes = 0
                return
            self.queued_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])

    def _is_ready(self) -> bool:
        """Returns whether a chunk can be written without blocking."""
        poll = _select.poll()
        poll.register(self.fd, _select.POLLOUT)
        return bool(poll.poll(0))

    def _next_chunk(self) -> bytes:
        """Removes and returns up to `MAX_CHUNK_BYTES` of queued lines."""
        parts = []
        left = MAX_CHUNK_BYTES
        while self._lines and left > 0:
            line = self._lines.popleft()
            if len(line) > left:
                self._lines.appendleft(line[left:])
                line = line[:left]
            parts.append(line)
            left -= len(line)
        return b"".join(parts)
