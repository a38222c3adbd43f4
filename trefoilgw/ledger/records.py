"""Records of the batches that an agent received, with the fates of tasks.

The table limits the number of records and the size of the stored results.
`trefoilgw.ledger.core` expires records by age and decides by the recorded
states whether a task may start.
"""

import collections
import enum
from collections.abc import Collection

import attrs

from trefoilgw.outcomes import core as outcomes

RESULT_RETENTION_S = 60.0
# About ten seconds of unacknowledged single-task batches at 400 starts per
# second.
MAX_RECORDS = 4096
# Results are kept for reconciliation only; the agent's memory budget is 32 MB.
MAX_STORED_RESULT_BYTES = 2 * 1024 * 1024

NEVER_RECEIVED = outcomes.NotRun(
    outcomes.Reason.AUTHORITY_LOST, "never received, struck"
)
RESULT_DROPPED = outcomes.Unknown(
    outcomes.Reason.INTERNAL, "the result is no longer kept"
)


class State(enum.Enum):
    """State of a task that has no fate yet."""

    QUEUED = "queued"
    STARTED = "started"


@attrs.define(eq=False)
class BatchRecord:
    """States and fates of the tasks of one batch.

    Attributes:
        entry: Incarnation of the home.
        batch: Batch number assigned by the home.
        job: Identity of the job; empty for a batch that was not received.
        tasks: State or fate by task index.
        open_tasks: Number of tasks without a fate.
        updated_s: Time in seconds of the last recorded fate, or of creation.
        missing_fate: Fate of tasks without an item in `tasks`, which were not
            in the batch as received.
        result_bytes: Size of the stored results.
    """

    entry: str
    batch: int
    job: str
    tasks: dict
    open_tasks: int
    updated_s: float
    missing_fate: outcomes.Fate = NEVER_RECEIVED
    result_bytes: int = 0

    def started_indices(self) -> list[int]:
        """Returns the indices of tasks that have or may have started."""
        return [
            index
            for index, state in self.tasks.items()
            if state is not State.QUEUED
            and not isinstance(state, outcomes.NotRun)
        ]


@attrs.define(eq=False)
class RecordTable:
    """Batch records in order of insertion.

    Attributes:
        limit_records: Maximum number of records. At the limit, adding a record
            drops the oldest one without open tasks; if every record has open
            tasks, none can be added.
        limit_result_bytes: Maximum size of the stored results. Above it, the
            oldest records' results are replaced by `RESULT_DROPPED`.
        records: Record by (entry, batch).
        result_bytes: Size of the stored results.
        dropped_batches: Highest batch number whose record was dropped or not
            added for lack of room, by entry.
    """

    limit_records: int = MAX_RECORDS
    limit_result_bytes: int = MAX_STORED_RESULT_BYTES
    records: dict = attrs.field(factory=dict)
    result_bytes: int = 0
    dropped_batches: dict = attrs.field(factory=dict)
    _records_with_results: collections.deque = attrs.field(
        factory=collections.deque
    )

    def __len__(self) -> int:
        return len(self.records)

    def get(self, entry: str, batch: int) -> BatchRecord | None:
        """Returns the record of a batch, or None."""
        return self.records.get((entry, batch))

    def add(self, record: BatchRecord) -> bool:
        """Adds a record, dropping an old one if the table is full.

        Returns:
            False if there is no room for the record.
        """
        if not self._make_room():
            return False
        self.records[record.entry, record.batch] = record
        return True

    def set_fate(
        self,
        record: BatchRecord,
        index: int,
        fate: outcomes.Fate,
        now_s: float,
    ) -> None:
        """Records the fate of an open task."""
        record.tasks[index] = fate
        record.open_tasks -= 1
        record.updated_s = now_s
        if isinstance(fate, outcomes.Completed) and fate.result:
            self._keep_result(record, len(fate.result))

    def drop(self, record: BatchRecord) -> None:
        """Removes a record and marks its batch as dropped."""
        if record.result_bytes:
            self.drop_results(record)
        del self.records[record.entry, record.batch]
        self.mark_dropped(record.entry, record.batch)

    def mark_dropped(self, entry: str, batch: int) -> None:
        """Marks a batch as dropped, so that it is not accepted again."""
        highest = self.dropped_batches.get(entry, -1)
        self.dropped_batches[entry] = max(highest, batch)

    def drop_results(self, record: BatchRecord) -> None:
        """Replaces the completed fates of a record by `RESULT_DROPPED`."""
        for index, state in record.tasks.items():
            if isinstance(state, outcomes.Completed):
                record.tasks[index] = RESULT_DROPPED
        self.result_bytes -= record.result_bytes
        record.result_bytes = 0
        self._records_with_results.remove(record)

    def may_have_dropped(self, entry: str, batch: int) -> bool:
        """Returns True if the batch may have had a record that was dropped."""
        return batch <= self.dropped_batches.get(entry, -1)

    def retain_entries(self, known: Collection[str]) -> None:
        """Removes the dropped-batch numbers of all entries not in `known`."""
        for entry in list(self.dropped_batches):
            if entry not in known:
                del self.dropped_batches[entry]

    def _keep_result(self, record: BatchRecord, size_bytes: int) -> None:
        """Counts a stored result and drops the oldest above the limit."""
        if not record.result_bytes:
            self._records_with_results.append(record)
        record.result_bytes += size_bytes
        self.result_bytes += size_bytes
        while self.result_bytes > self.limit_result_bytes:
            self.drop_results(self._records_with_results[0])

    def _make_room(self) -> bool:
        """Drops a record if needed; returns True if another one fits."""
        if len(self.records) < self.limit_records:
            return True
        for record in self.records.values():
            if not record.open_tasks:
                self.drop(record)
                return True
        return False
