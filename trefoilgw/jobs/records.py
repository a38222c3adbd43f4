"""The records of a home: one per key, kept by period.

A period is a window of tickets or an epoch of own keys. All records of a
period go together once its keys are refused for good, and not before.
"""

from collections.abc import Callable

import attrs

from trefoilgw.jobs import model
from trefoilgw.keys import core as keys

# Dropping a whole period at once would block the loop for too long.
DROPS_PER_CALL = 2000

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
        periods: Records by id, by period.
        over: Records of periods that are not accepted any more.
        size: Number of all records.
    """

    periods: dict = attrs.field(factory=dict)
    over: dict = attrs.field(factory=dict)
    size: int = 0

    def get(self, period: Period, job_id: str) -> model.Record | None:
        """Returns the record of a job, None if there is none."""
        found = self.periods.get(period, {}).get(job_id)
        return found or self.over.get(job_id)

    def put(self, period: Period, job_id: str, record: model.Record) -> None:
        """Adds or replaces a record."""
        if job_id in self.over:
            self.over[job_id] = record
            return
        members = self.periods.setdefault(period, {})
        self.size += job_id not in members
        members[job_id] = record

    def remove(self, period: Period, job_id: str) -> None:
        """Removes a record at once; only for a key that nobody was told."""
        if self.periods.get(period, {}).pop(job_id, None) is not None:
            self.size -= 1

    def drop(self, is_over: Callable[[Period], bool]) -> None:
        """Drops records of periods that are over, some at each call.

        The record of a job that still runs stays until the job has ended.
        """
        for period in [p for p in self.periods if is_over(p)]:
            self.over |= self.periods.pop(period)
        kept = {}
        for _ in range(min(DROPS_PER_CALL, len(self.over))):
            job_id, record = self.over.popitem()
            if record.state is model.State.RUNNING:
                kept[job_id] = record
            else:
                self.size -= 1
        self.over |= kept
