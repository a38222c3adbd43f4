"""Which keys a home accepts, and how long it holds answers.

A record goes only once its key will never be accepted again. Until then it
stands in the way of a second start, so a full table refuses new keys. Answers
may go earlier; their tombstones stay.
"""

import collections

import attrs

from trefoilgw.jobs import model
from trefoilgw.jobs import records
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes

# Answers of ended jobs beyond this go first, their tombstones stay.
ANSWERS_LIMIT_BYTES = 64 * 1024 * 1024
# Answers younger than this stay even above the limit, for callers that ask
# again after a lost connection.
ANSWER_KEPT_S = 10.0
# Memory of an ended job and of one fate beside its result (measured for jobs
# of one task: 1.2 KB together).
JOB_BYTES = 1000
FATE_BYTES = 200


@attrs.define
class Retention:
    """Acceptance of keys at a home.

    Attributes:
        windows: Windows of this home's clock.
        epochs: Epochs accepted by this home.
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
        """Returns whether a period will never be accepted again."""
        form, number = period
        if form == "t1":
            return self.windows.expired(number, now_s)
        return self.epochs.expired(number)


def _expired(detail: str) -> outcomes.Refused:
    """Returns the refusal of a key whose records are gone."""
    return outcomes.Refused(
        outcomes.Reason.EXPIRED_KEY, not_run=False, detail=detail
    )


@attrs.define
class Answers:
    """The ended jobs whose results are held, oldest first.

    Attributes:
        limit_bytes: Bytes beyond which the oldest answers go.
        held_bytes: Bytes held now, about.
    """

    limit_bytes: int = ANSWERS_LIMIT_BYTES
    held_bytes: int = 0
    _held: collections.deque = attrs.field(factory=collections.deque)

    def add(self, job: model.Job) -> None:
        """Holds the answer of a job that ended."""
        size = _answer_bytes(job)
        self.held_bytes += size
        self._held.append((job, size))

    def surplus(self, now_s: float) -> list[model.Job]:
        """Lets go of answers above the limit and returns their jobs."""
        gone = []
        while self._held and self.held_bytes > self.limit_bytes:
            job, size = self._held[0]
            if now_s - job.ended_s < ANSWER_KEPT_S:
                break
            self._held.popleft()
            self.held_bytes -= size
            gone.append(job)
        return gone


def _answer_bytes(job: model.Job) -> int:
    """Returns about how many bytes the fates of a job take."""
    size = JOB_BYTES + FATE_BYTES * len(job.fates)
    for fate in job.fates:
        if isinstance(fate, outcomes.Completed):
            size += len(fate.result)
    return size
