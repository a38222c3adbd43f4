"""Start marks: which tasks have started, at eight bytes a task.

A mark is a 64-bit digest of a task's identity. Marks stand in generations by
the time of the start; a whole generation is dropped at once. This module does
not know batches, sessions or fates.
"""

import array
import bisect
import collections
import hashlib

import attrs

# Longer than any resend can be under way; see "Start ledger" in design.md.
RETENTION_S = 900.0
# A shorter generation means more arrays to search at each start, a longer one
# keeps marks longer than needed.
GENERATION_S = 60.0
# 4 MB of marks: 555 starts a second for the whole retention.
LIMIT_MARKS = 500_000


def mark_of(job: str, index: int) -> int:
    """Returns the mark of a task.

    Notes:
        With 500,000 marks kept, two tasks share one with a probability under
        3e-14 a start. The second task is then reported as possibly started,
        so a collision never causes a second start.
    """
    text = f"{index}/{job}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class _Generation:
    """Marks of one span of time.

    Attributes:
        ended_s: When the span ended.
        marks: Sorted.
    """

    ended_s: float
    marks: array.array


def _position(marks: array.array, mark: int) -> int | None:
    """Returns where a mark stands in a sorted array, or None."""
    place = bisect.bisect_left(marks, mark)
    if place < len(marks) and marks[place] == mark:
        return place
    return None


@attrs.define
class StartMarks:
    """The marks of the last `RETENTION_S` seconds.

    Attributes:
        limit_marks: At this many marks `full` is True.
    """

    limit_marks: int = LIMIT_MARKS
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
        """True if no further mark may be added."""
        return len(self) >= self.limit_marks

    def add(self, mark: int, now_s: float) -> None:
        """Adds a mark to the current generation."""
        if self._current_since_s is None:
            self._current_since_s = now_s
        self._current.add(mark)

    def discard(self, mark: int) -> None:
        """Removes the mark of a task that turned out not to have started."""
        self._current.discard(mark)
        for generation in self._closed:
            place = _position(generation.marks, mark)
            if place is not None:
                generation.marks.pop(place)
                self._closed_marks -= 1

    def expire(self, now_s: float) -> bool:
        """Ends the current generation when due and drops old ones.

        Returns:
            True if a generation was dropped: marks that must stay longer are
            to be added again.
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
