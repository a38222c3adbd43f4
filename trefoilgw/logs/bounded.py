"""Rate-limited log handler that never blocks."""

import logging
import time

from trefoilgw.logs import nonblocking
from trefoilgw.logs import rate_limits

LINES_DROPPED_EVENT = "lines left out"


class BoundedHandler(logging.Handler):
    """Writes rate-limited log lines through a non-blocking queue.

    `poll` must be called every few tens of milliseconds.

    Attributes:
        writer: Queue of lines that wait to be written to the descriptor.
        rate_limiter: Limits the number of lines per window.
    """

    def __init__(
        self,
        writer: nonblocking.NonBlockingWriter,
        rate_limiter: rate_limits.LineRateLimiter,
    ):
        super().__init__()
        self.writer = writer
        self.rate_limiter = rate_limiter

    def emit(self, record: logging.LogRecord) -> None:
        """Formats and queues a record, or counts it as dropped."""
        self._report_dropped()
        failure = record.levelno >= logging.WARNING
        event = str(record.msg)
        if not self.writer.can_queue(failure):
            self.rate_limiter.drop(event, failure)
        elif self.rate_limiter.try_acquire(event, failure):
            try:
                self.writer.enqueue(self.format(record))
            except Exception:
                self.handleError(record)

    def poll(self) -> None:
        """Writes as much as the reader accepts and reports dropped lines."""
        self._report_dropped()
        self.writer.drain()

    def flush(self) -> None:
        """Writes as much as the reader accepts; `logging` calls it at exit."""
        self.writer.drain()

    def _report_dropped(self) -> None:
        """Starts a new window if it is due and reports the dropped lines.

        These are the lines that were dropped in the previous window.
        """
        dropped = self.rate_limiter.advance_window(time.monotonic())
        if not dropped:
            return
        if not self.writer.can_queue(failure=True):
            # Reported once the reader accepts lines again.
            self.rate_limiter.dropped.update(dropped)
            return
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, LINES_DROPPED_EVENT, (), None
        )
        record.lines = dropped
        record.failures = self.rate_limiter.take_dropped_failures()
        self.writer.enqueue(self.format(record))
