"""Limits on the number of log lines that a process writes per second.

The limits are meant for a flood of requests in which every request logs a
decision. Writing these lines must not saturate the CPU, and failures must
still be logged once successes no longer are.
"""

import collections

import attrs

WINDOW_S = 1.0
MAX_EVENT_LINES = 100
MAX_SUCCESS_LINES = 200
MAX_LINES = 400


@attrs.define(eq=False)
class LineRateLimiter:
    """Limits log lines in fixed windows of `WINDOW_S`.

    Attributes:
        max_event_lines: Maximum number of lines of one event per window that
            report a failure, and of those that do not. Refusals that are logged
            as successes would else hide the failures of the same event.
        max_success_lines: Maximum number of lines per window that report no
            failure.
        max_lines: Maximum number of lines per window.
        dropped: Number of lines dropped in this window, by event.
        dropped_failures: Number of those that report a failure, by event, until
            they are taken.
    """

    max_event_lines: int = MAX_EVENT_LINES
    max_success_lines: int = MAX_SUCCESS_LINES
    max_lines: int = MAX_LINES
    dropped: collections.Counter = attrs.field(factory=collections.Counter)
    dropped_failures: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    _window: int = -1
    _written: collections.Counter = attrs.field(factory=collections.Counter)
    _successes: int = 0
    _total: int = 0

    def try_acquire(self, event: str, failure: bool) -> bool:
        """Returns whether a line may be written.

        The line is counted as written or as dropped.

        Args:
            event: Name of the event.
            failure: Whether the line reports a failure; other lines also count
                towards `max_success_lines`.
        """
        allowed = (
            self._written[event, failure] < self.max_event_lines
            and self._total < self.max_lines
            and (failure or self._successes < self.max_success_lines)
        )
        if not allowed:
            self.drop(event, failure)
            return False
        self._written[event, failure] += 1
        self._total += 1
        if not failure:
            self._successes += 1
        return True

    def drop(self, event: str, failure: bool) -> None:
        """Counts a line that is not written."""
        self.dropped[event] += 1
        if failure:
            self.dropped_failures[event] += 1

    def take_dropped_failures(self) -> dict[str, int]:
        """Returns the number of dropped failures and starts anew."""
        taken = dict(self.dropped_failures)
        self.dropped_failures.clear()
        return taken

    def advance_window(self, now_s: float) -> dict[str, int]:
        """Starts a new window if the current one has ended.

        Returns:
            Number of lines dropped in the window that ended, by event; empty
            if none were dropped or the window has not ended.
        """
        window = int(now_s / WINDOW_S)
        if window == self._window:
            return {}
        self._window = window
        dropped = dict(self.dropped)
        self.dropped.clear()
        self._written.clear()
        self._successes = self._total = 0
        return dropped
