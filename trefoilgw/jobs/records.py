"""Records of a home: one per key, grouped by period.

A period is a time window of tickets or an epoch of caller-chosen keys. The
records of a period expire together once its keys will never be accepted again,
and not before.
"""

from collections.abc import Callable

import attrs

from trefoilgw.jobs import model
from trefoilgw.keys import core as keys

# Dropping a whole period at once would block the event loop for too long.
MAX_DROPS_PER_CALL = 2000

Period = tuple[str, int]


def period_of(key: keys.Key) -> Period:
    """Returns the period of a key."""
    match key:
        case keys.Ticket(window=window):
            return ("t1", window)
        case keys.CallerKey(epoch=epoch):
            return ("k1", epoch)
    raise TypeError(f"not a key: {key!r}")


@attrs.define(eq=False)
class Records:
    """Jobs and tombstones by period and job id.

    Attributes:
        periods: Records by job id, by period.
        expired: Records of expired periods that are still to be dropped.
        size: Total number of records.
    """

    periods: dict = attrs.field(factory=dict)
    expired: dict = attrs.field(factory=dict)
    size: int = 0

    def get(self, period: Period, job_id: str) -> model.Record | None:
        """Returns the record of a job, or None."""
        record = self.periods.get(period, {}).get(job_id)
        return record or self.expired.get(job_id)

    def put(self, period: Period, job_id: str, record: model.Record) -> None:
        """Adds or replaces a record."""
        if job_id in self.expired:
            self.expired[job_id] = record
            return
        period_records = self.periods.setdefault(period, {})
        self.size += job_id not in period_records
        period_records[job_id] = record

    def remove(self, period: Period, job_id: str) -> None:
        """Removes a record at once.

        Only allowed if its key was never disclosed, or if its refusal did not
        state that nothing ran.
        """
        if self.periods.get(period, {}).pop(job_id, None) is not None:
            self.size -= 1

    def drop_expired(self, is_over: Callable[[Period], bool]) -> None:
        """Drops up to `MAX_DROPS_PER_CALL` records of expired periods.

        The record of a running job is kept until the job has ended.

        Args:
            is_over: Returns True for periods whose keys will never be accepted
                again.
        """
        for period in [p for p in self.periods if is_over(p)]:
            self.expired |= self.periods.pop(period)
        still_running = {}
        for _ in range(min(MAX_DROPS_PER_CALL, len(self.expired))):
            job_id, record = self.expired.popitem()
            if record.state is model.State.RUNNING:
                still_running[job_id] = record
            else:
                self.size -= 1
        self.expired |= still_running
