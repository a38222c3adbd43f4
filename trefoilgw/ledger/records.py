"""Records of the batches that an agent received, with their tasks' fates.

Keeps the records within bounds of count, bytes and age. What a state means
for a start is decided in `trefoilgw.ledger.core`.
"""

import collections
import enum
from collections.abc import Collection

import attrs

from trefoilgw.outcomes import core as outcomes

RESULT_RETENTION_S = 60.0
# About ten seconds of unacknowledged single tasks at 400 starts a second.
LIMIT_RECORDS = 4096
# Results are kept for reconciliation only; the agent has 32 MB in all.
LIMIT_RESULT_BYTES = 2 * 1024 * 1024

NEVER_RECEIVED = outcomes.NotRun(
    outcomes.Reason.AUTHORITY_LOST, "never received, struck"
)
NOT_KEPT = outcomes.Unknown(
    outcomes.Reason.INTERNAL, "the result is no longer kept"
)


class State(enum.Enum):
    """State of a task that has no fate yet."""

    QUEUED = "queued"
    STARTED = "started"


@attrs.define(eq=False)
class BatchRecord:
    """Tasks of one batch.

    Attributes:
        entry: Incarnation of the home.
        batch: Number at the home.
        job: Identity of the job; empty for a batch that never arrived.
        tasks: State or fate by task index.
        open_tasks: Tasks without a fate.
        touched_s: When the record was last written.
        absent: Fate of tasks that the batch did not have when it arrived.
        result_bytes: Size of the results that are kept.
    """

    entry: str
    batch: int
    job: str
    tasks: dict
    open_tasks: int
    touched_s: float
    absent: outcomes.Fate = NEVER_RECEIVED
    result_bytes: int = 0

    def started_indices(self) -> list[int]:
        """Returns the tasks that have started or may have."""
        return [
            index
            for index, state in self.tasks.items()
            if state is not State.QUEUED
            and not isinstance(state, outcomes.NotRun)
        ]


@attrs.define(eq=False)
class RecordTable:
    """Batch records, oldest first.

    Attributes:
        limit_records: At this many records the oldest ended one is dropped.
            If none has ended, no record can be added.
        limit_result_bytes: Above it the results of the oldest records are
            dropped and become `NOT_KEPT`.
        records: By (entry, batch).
        result_bytes: Size of the results that are kept.
        dropped_batches: Highest number of a batch whose record was dropped
            or had no room, by entry.
    """

    limit_records: int = LIMIT_RECORDS
    limit_result_bytes: int = LIMIT_RESULT_BYTES
    records: dict = attrs.field(factory=dict)
    result_bytes: int = 0
    dropped_batches: dict = attrs.field(factory=dict)
    _with_results: collections.deque = attrs.field(factory=collections.deque)

    def __len__(self) -> int:
        return len(self.records)

    def get(self, entry: str, batch: int) -> BatchRecord | None:
        """Returns the record of a batch, or None."""
        return self.records.get((entry, batch))

    def add(self, record: BatchRecord) -> bool:
        """Adds a record.

        Returns:
            False if there is no room for it.
        """
        if not self._make_room():
            return False
        self.records[record.entry, record.batch] = record
        return True

    def write(
        self,
        record: BatchRecord,
        index: int,
        fate: outcomes.Fate,
        now_s: float,
    ) -> None:
        """Writes the fate of a task that has none."""
        record.tasks[index] = fate
        record.open_tasks -= 1
        record.touched_s = now_s
        if isinstance(fate, outcomes.Completed) and fate.result:
            self._keep_result(record, len(fate.result))

    def drop(self, record: BatchRecord) -> None:
        """Removes a record."""
        if record.result_bytes:
            self.drop_results(record)
        del self.records[record.entry, record.batch]
        self.refuse(record.entry, record.batch)

    def refuse(self, entry: str, batch: int) -> None:
        """Counts a batch without a record as dropped: it may not return."""
        highest = self.dropped_batches.get(entry, -1)
        self.dropped_batches[entry] = max(highest, batch)

    def drop_results(self, record: BatchRecord) -> None:
        """Replaces the results of a record by `NOT_KEPT`."""
        for index, state in record.tasks.items():
            if isinstance(state, outcomes.Completed):
                record.tasks[index] = NOT_KEPT
        self.result_bytes -= record.result_bytes
        record.result_bytes = 0
        self._with_results.remove(record)

    def may_have_dropped(self, entry: str, batch: int) -> bool:
        """Returns True if the batch may have had a record."""
        return batch <= self.dropped_batches.get(entry, -1)

    def forget_entries(self, known: Collection[str]) -> None:
        """Forgets the highest numbers of all entries but the known ones."""
        for entry in list(self.dropped_batches):
            if entry not in known:
                del self.dropped_batches[entry]

    def _keep_result(self, record: BatchRecord, size_bytes: int) -> None:
        """Counts a kept result and drops the oldest above the limit."""
        if not record.result_bytes:
            self._with_results.append(record)
        record.result_bytes += size_bytes
        self.result_bytes += size_bytes
        while self.result_bytes > self.limit_result_bytes:
            self.drop_results(self._with_results[0])

    def _make_room(self) -> bool:
        """Returns True if there is room for one more record."""
        if len(self.records) < self.limit_records:
            return True
        for record in self.records.values():
            if not record.open_tasks:
                self.drop(record)
                return True
        return False
