"""Acceptance of keys by a home, and retention of answers.

A record is dropped only once its key will never be accepted again. Until then
it prevents a second start, so a full table refuses new keys. An answer may be
dropped earlier; it is replaced by a tombstone.
"""

import collections

import attrs

from trefoilgw.jobs import model
from trefoilgw.jobs import records
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes

# Above this size, the oldest answers are replaced by tombstones.
MAX_HELD_BYTES = 64 * 1024 * 1024
# Answers younger than this are kept even above the limit, for callers that ask
# again after a lost connection.
MIN_ANSWER_RETENTION_S = 10.0
# Memory of an ended job, and of one fate without its result: together 1.2 KB
# for a job of one task.
JOB_BYTES = 1000
FATE_BYTES = 200


@attrs.define
class Retention:
    """Decides which keys a home accepts and when their records expire.

    Attributes:
        windows: Ticket windows by the clock of this home.
        epochs: Epochs whose caller-chosen keys this home accepts.
    """

    windows: keys.TicketWindows
    epochs: keys.AcceptedEpochs

    def refusal(self, key: keys.Key, now_s: float) -> outcomes.Refused | None:
        """Returns why no new job may start under a key, or None."""
        match key:
            case keys.Ticket(window=window):
                if self.windows.accepts(window, now_s):
                    return None
                if self.windows.expired(window, now_s):
                    return _expired("the window of this ticket has passed")
                return outcomes.Refused(
                    outcomes.Reason.BAD_REQUEST,
                    not_run=False,
                    detail="the ticket names a window that has not begun",
                )
            case keys.CallerKey(epoch=epoch):
                if self.epochs.accepts(epoch):
                    return None
                if self.epochs.expired(epoch):
                    return _expired("the epoch of this key is too old")
                return outcomes.Refused(
                    outcomes.Reason.HOME_UNREACHABLE,
                    not_run=False,
                    detail="the epoch of this key is not known here yet",
                    retry_after_s=1.0,
                )
        raise TypeError(f"not a key: {key!r}")

    def is_over(self, period: records.Period, now_s: float) -> bool:
        """Returns True if keys of the period will never be accepted again."""
        form, number = period
        if form == "t1":
            return self.windows.expired(number, now_s)
        return self.epochs.expired(number)


def _expired(detail: str) -> outcomes.Refused:
    """Returns the refusal of a key whose record may have been dropped."""
    return outcomes.Refused(
        outcomes.Reason.EXPIRED_KEY, not_run=False, detail=detail
    )


@attrs.define
class Answers:
    """Ended jobs whose results are held, oldest first.

    Attributes:
        limit_bytes: Size in bytes above which the oldest answers are evicted.
        held_bytes: Approximate size of the held answers in bytes.
    """

    limit_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    _held: collections.deque = attrs.field(factory=collections.deque)

    def add(self, job: model.Job) -> None:
        """Adds the answer of an ended job."""
        size = _answer_bytes(job)
        self.held_bytes += size
        self._held.append((job, size))

    def evict(self, now_s: float) -> list[model.Job]:
        """Removes the oldest answers above the limit and returns their jobs.

        Answers younger than `MIN_ANSWER_RETENTION_S` are kept.
        """
        evicted = []
        while self._held and self.held_bytes > self.limit_bytes:
            job, size = self._held[0]
            if now_s - job.ended_s < MIN_ANSWER_RETENTION_S:
                break
            self._held.popleft()
            self.held_bytes -= size
            evicted.append(job)
        return evicted


def _answer_bytes(job: model.Job) -> int:
    """Returns the approximate size of a job and its fates in bytes."""
    size = JOB_BYTES + FATE_BYTES * len(job.fates)
    for fate in job.fates:
        if isinstance(fate, outcomes.Completed):
            size += len(fate.result)
    return size
