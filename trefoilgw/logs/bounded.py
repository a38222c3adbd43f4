"""Log handler whose volume is bounded and which never blocks."""

import logging
import time

from trefoilgw.logs import budgets
from trefoilgw.logs import writing

LEFT_OUT = "lines left out"


class BoundedHandler(logging.Handler):
    """Writes lines within a budget; call `poll` every few tens of ms.

    Attributes:
        writer: Queue of lines before the descriptor.
        budget: Lines that may be written.
    """

    def __init__(self, writer: writing.Writer, budget: budgets.Budget):
        super().__init__()
        self.writer = writer
        self.budget = budget

    def emit(self, record: logging.LogRecord) -> None:
        """Queues the line of a record, or counts it as left out."""
        self._next_window()
        failure = record.levelno >= logging.WARNING
        event = str(record.msg)
        if not self.writer.has_room(failure):
            self.budget.left_out[event] += 1
        elif self.budget.allows(event, failure):
            try:
                self.writer.put(self.format(record))
            except Exception:
                self.handleError(record)

    def poll(self) -> None:
        """Writes what the reader takes and tells what was left out."""
        self._next_window()
        self.writer.drain()

    def flush(self) -> None:
        """Writes what the reader takes; called when the process exits."""
        self.writer.drain()

    def _next_window(self) -> None:
        """Tells of the lines that were left out in the last window."""
        left_out = self.budget.next_window(time.monotonic())
        if not left_out:
            return
        if not self.writer.has_room(failure=True):
            # Told once the reader takes lines again.
            self.budget.left_out.update(left_out)
            return
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, LEFT_OUT, (), None
        )
        record.lines = left_out
        self.writer.put(self.format(record))
