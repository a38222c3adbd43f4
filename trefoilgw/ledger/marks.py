"""Start marks: a compact set of started tasks, eight bytes per task.

A mark is a 64-bit digest of a task's identity. Marks are grouped into
generations by start time, and a generation is dropped as a whole. This module
is independent of batches, sessions and fates.
"""

import array
import bisect
import collections
import hashlib

import attrs

# Longer than a resent task can take to arrive; see "Start ledger" in design.md.
RETENTION_S = 900.0
# Shorter generations mean more arrays to search at each start; longer ones keep
# marks longer than needed.
GENERATION_S = 60.0
# 4 MB of marks: 555 starts per second over the whole retention.
MAX_MARKS = 500_000


def start_mark(job: str, index: int) -> int:
    """Returns the start mark of a task.

    Notes:
        With 500,000 marks stored, the probability of a collision is below
        3e-14 per start. The second task is then reported as possibly started,
        so a collision never causes a second start.
    """
    text = f"{index}/{job}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class _Generation:
    """Marks added within one time span.

    Attributes:
        ended_s: Time in seconds when the span ended.
        marks: Sorted marks.
    """

    ended_s: float
    marks: array.array


def _position(marks: array.array, mark: int) -> int | None:
    """Returns the position of a mark in a sorted array, or None."""
    position = bisect.bisect_left(marks, mark)
    if position < len(marks) and marks[position] == mark:
        return position
    return None


@attrs.define
class StartMarks:
    """Set of the marks of the last `RETENTION_S` seconds.

    Attributes:
        limit_marks: Number of marks from which `full` is True.
    """

    limit_marks: int = MAX_MARKS
    _current: set = attrs.field(factory=set)
    _current_since_s: float | None = None
    _closed: collections.deque = attrs.field(factory=collections.deque)
    _closed_marks: int = 0

    def __len__(self) -> int:
        return len(self._current) + self._closed_marks

    def __contains__(self, mark: int) -> bool:
        if mark in self._current:
            return True
        return any(
            _position(generation.marks, mark) is not None
            for generation in self._closed
        )

    @property
    def full(self) -> bool:
        """True if the limit is reached and no further mark may be added."""
        return len(self) >= self.limit_marks

    def add(self, mark: int, now_s: float) -> None:
        """Adds a mark to the current generation."""
        if self._current_since_s is None:
            self._current_since_s = now_s
        self._current.add(mark)

    def discard(self, mark: int) -> None:
        """Removes the mark of a task that was never sent to the target."""
        self._current.discard(mark)
        for generation in self._closed:
            position = _position(generation.marks, mark)
            if position is not None:
                generation.marks.pop(position)
                self._closed_marks -= 1

    def expire(self, now_s: float) -> bool:
        """Closes the current generation when due and drops expired ones.

        Returns:
            True if a generation was dropped. The caller must then add the
            marks again that have to be kept longer.
        """
        since_s = self._current_since_s
        if since_s is not None and now_s - since_s >= GENERATION_S:
            marks = array.array("Q", sorted(self._current))
            self._closed.append(_Generation(now_s, marks))
            self._closed_marks += len(marks)
            self._current = set()
            self._current_since_s = None
        dropped = False
        while self._closed and now_s - self._closed[0].ended_s >= RETENTION_S:
            self._closed_marks -= len(self._closed.popleft().marks)
            dropped = True
        return dropped
