"""Which keys a home accepts, and when their records may go.

A record goes only once its key will never be accepted again. Until then it
stands in the way of a second start, so a full table refuses new keys.
"""

import collections

import attrs

from trefoilgw.jobs import model
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes

# Dropping a whole window at once would block the loop for too long.
DROPS_PER_CALL = 2000
# Answers of ended jobs beyond this go first, their tombstones stay.
ANSWERS_LIMIT_BYTES = 64 * 1024 * 1024
# Answers younger than this stay even above the limit, for callers that ask
# again after a lost connection.
ANSWER_KEPT_S = 10.0
# Bookkeeping of one fate beside its result, about.
FATE_BYTES = 100


@attrs.define
class Retention:
    """Acceptance of keys, and the records that belong to each period.

    A period is a window of tickets or an epoch of own keys.

    Attributes:
        windows: Windows of this home's clock.
        epochs: Epochs accepted by this home.
        periods: Job ids by period.
        dropping: Job ids of periods that are no longer accepted.
    """

    windows: keys.Windows
    epochs: keys.AcceptedEpochs
    periods: dict = attrs.field(factory=dict)
    dropping: collections.deque = attrs.field(factory=collections.deque)

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
                    not_run=True,
                    detail="the ticket names a window that has not begun",
                )
            case keys.OwnKey(epoch=epoch):
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

    def keep(self, key: keys.Key, job_id: str) -> None:
        """Books a record to the period of its key."""
        self.periods.setdefault(_period(key), []).append(job_id)

    def due(self, now_s: float) -> list[str]:
        """Returns records that may go, at most `DROPS_PER_CALL`."""
        for period in [p for p in self.periods if self._over(p, now_s)]:
            self.dropping.extend(self.periods.pop(period))
        count = min(DROPS_PER_CALL, len(self.dropping))
        return [self.dropping.popleft() for _ in range(count)]

    def postpone(self, job_id: str) -> None:
        """Books a due record again, because its job still runs."""
        self.dropping.append(job_id)

    def _over(self, period: tuple[str, int], now_s: float) -> bool:
        """Returns whether a period will never be accepted again."""
        form, number = period
        if form == "t1":
            return self.windows.expired(number, now_s)
        return self.epochs.expired(number)


def _period(key: keys.Key) -> tuple[str, int]:
    """Returns the period of a key."""
    match key:
        case keys.Ticket(window=window):
            return ("t1", window)
        case keys.OwnKey(epoch=epoch):
            return ("k1", epoch)
    raise TypeError(f"not a key: {key!r}")


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
    size = FATE_BYTES * len(job.fates)
    for fate in job.fates:
        if isinstance(fate, outcomes.Completed):
            size += len(fate.result)
    return size
