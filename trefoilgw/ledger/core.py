"""Start ledger of an agent: what has started, finished or been struck.

A start is written here before anything is sent to the target, so the ledger
can always tell the home which tasks may have run. Records of batches keep the
fates until the home acknowledges them; start marks stay longer. The ledger
does not decide when a task starts and knows no slots.
"""

import enum

import attrs

from trefoilgw.ledger import marks as marks_module
from trefoilgw.ledger import records as records_module
from trefoilgw.ledger import sessions as sessions_module
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# A home that is away for longer than this has removed the agent long before.
RECORD_RETENTION_S = marks_module.RETENTION_S


@attrs.frozen
class Started:
    """The start is written; the task must be sent to the target now."""


@attrs.frozen
class AlreadyStarted:
    """The task started earlier; it must not be sent again."""


class Receipt(enum.Enum):
    """What becomes of a batch that arrived."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    FENCED = "fenced"
    FULL = "full"


@attrs.frozen
class Reconciled:
    """Answer about one batch after a reconnect.

    Attributes:
        batch: Number at the home.
        job: Key of the job as the home named it.
        fates: Fate by task index; tasks that are still open are missing.
        final: True if no task is open.
    """

    batch: int
    job: str
    fates: dict
    final: bool


EARLIER_PROCESS = outcomes.Unknown(
    outcomes.Reason.AGENT_LOST, "this agent has no record of the batch"
)
NO_AUTHORITY = outcomes.NotRun(
    outcomes.Reason.AUTHORITY_LOST, "the session has no authority"
)
PAST_DEADLINE = outcomes.NotRun(
    outcomes.Reason.DEADLINE, "deadline before the start"
)
LEDGER_FULL = outcomes.NotRun(
    outcomes.Reason.CAPACITY, "the start ledger is full"
)


def job_id(customer: str, key: str) -> str:
    """Returns the identity of a job.

    Notes:
        Keys are unique per customer only, so the key alone may stand for two
        jobs.
    """
    return f"{customer}/{key}"


@attrs.define(eq=False)
class Ledger:
    """The ledger of one agent incarnation.

    Attributes:
        sessions: Fence and lease of the entries.
        marks: Start marks.
        records: Records of the batches.
    """

    sessions: sessions_module.Sessions = attrs.field(
        factory=sessions_module.Sessions
    )
    marks: marks_module.StartMarks = attrs.field(
        factory=marks_module.StartMarks
    )
    records: records_module.RecordTable = attrs.field(
        factory=records_module.RecordTable
    )

    def session_opened(
        self,
        entry: str,
        session: int,
        now_s: float,
        lease_s: float = sessions_module.LEASE_S,
    ) -> bool:
        """Accepts a newer session; see `Sessions.opened`."""
        return self.sessions.opened(entry, session, now_s, lease_s)

    def session_closed(self, entry: str, session: int) -> None:
        """Notes that the stream of a session closed."""
        self.sessions.closed(entry, session)

    def lease_renewed(self, entry: str, session: int, sent_s: float) -> None:
        """Extends the lease after a `Pong` for a ping sent at `sent_s`."""
        self.sessions.lease_renewed(entry, session, sent_s)

    def received(
        self,
        entry: str,
        session: int,
        batch: int,
        job: str,
        indices: tuple[int, ...],
        now_s: float,
    ) -> Receipt:
        """Opens the record of a batch that arrived.

        A batch that was struck before it arrived counts as a duplicate: its
        answer has been given. So does one whose record may have been dropped:
        a home sends its batches in the order of their numbers.
        """
        if not self.sessions.current(entry, session):
            return Receipt.FENCED
        if self.records.get(entry, batch) is not None:
            return Receipt.DUPLICATE
        if self.records.may_have_dropped(entry, batch):
            return Receipt.DUPLICATE
        tasks = dict.fromkeys(indices, records_module.State.QUEUED)
        record = records_module.BatchRecord(
            entry, batch, job, tasks, len(tasks), now_s
        )
        if not self.records.add(record):
            self.records.refuse(entry, batch)
            return Receipt.FULL
        return Receipt.ACCEPTED

    def refusal(
        self, entry: str, session: int, deadline_s: float, now_s: float
    ) -> outcomes.NotRun | None:
        """Returns why a session may not start a task now, or None."""
        if not self.sessions.authorised(entry, session, now_s):
            return NO_AUTHORITY
        if now_s >= deadline_s:
            return PAST_DEADLINE
        return None

    def try_start(
        self,
        entry: str,
        session: int,
        batch: int,
        job: str,
        index: int,
        deadline_s: float,
        now_s: float,
    ) -> Started | AlreadyStarted | outcomes.NotRun:
        """Checks authority, cancellation and deadline and writes the start.

        Returns:
            `Started` if the task must be sent now. `NotRun` if it may not
            start; the caller records it with `finished`.
        """
        record = self.records.get(entry, batch)
        state = record.tasks.get(index) if record else None
        if isinstance(state, outcomes.NotRun):
            return state
        mark = marks_module.mark_of(job, index)
        if state is not records_module.State.QUEUED or mark in self.marks:
            return AlreadyStarted()
        refusal = self.refusal(entry, session, deadline_s, now_s)
        if refusal is None and self.marks.full:
            refusal = LEDGER_FULL
        if refusal is not None:
            return refusal
        self.marks.add(mark, now_s)
        record.tasks[index] = records_module.State.STARTED
        return Started()

    def finished(
        self,
        entry: str,
        batch: int,
        job: str,
        index: int,
        fate: outcomes.Fate,
        now_s: float,
    ) -> bool:
        """Writes a task's fate.

        A started task whose fate is `NotRun` was never sent. Its mark goes, so
        that a later batch of the home may start it.

        Returns:
            False if the task has a fate already or is not known.
        """
        record = self.records.get(entry, batch)
        if record is None:
            return False
        state = record.tasks.get(index)
        if not isinstance(state, records_module.State):
            return False
        if (
            isinstance(fate, outcomes.NotRun)
            and state is records_module.State.STARTED
        ):
            self.marks.discard(marks_module.mark_of(job, index))
        self.records.write(record, index, fate, now_s)
        return True

    def strike(
        self, entry: str, batch: int, fate: outcomes.NotRun, now_s: float
    ) -> tuple[int, ...]:
        """Writes a fate for all tasks of a batch that have not started.

        A batch that never arrived gets a record as well, so that it can't
        start later.

        Returns:
            Indices of the tasks that were struck.
        """
        record = self.records.get(entry, batch)
        if record is None:
            self._record_struck(entry, batch, now_s)
            return ()
        struck = tuple(
            index
            for index, state in record.tasks.items()
            if state is records_module.State.QUEUED
        )
        for index in struck:
            self.finished(entry, batch, record.job, index, fate, now_s)
        return struck

    def reconcile(
        self,
        entry: str,
        refs: tuple[messages.BatchRef, ...],
        now_s: float,
    ) -> tuple[Reconciled, ...]:
        """Answers for batches that were open when a stream was lost."""
        return tuple(self._reconcile_one(entry, ref, now_s) for ref in refs)

    def acknowledged(self, entry: str, batches: tuple[int, ...]) -> None:
        """Drops the records of batches whose answers have arrived."""
        for batch in batches:
            record = self.records.get(entry, batch)
            if record is not None and not record.open_tasks:
                self.records.drop(record)

    def expire(self, now_s: float) -> None:
        """Drops what is past its retention; call about once a second."""
        if self.marks.expire(now_s):
            self._mark_open_batches(now_s)
        for record in list(self.records.records.values()):
            if not record.open_tasks:
                self._expire_record(record, now_s - record.touched_s)
        self.records.forget_entries(self.sessions.entries)

    def _reconcile_one(
        self, entry: str, ref: messages.BatchRef, now_s: float
    ) -> Reconciled:
        """Returns the answer for one batch."""
        record = self.records.get(entry, ref.batch)
        if record is None:
            record = self._record_struck(entry, ref.batch, now_s)
        fates = {}
        for index in ref.indices:
            state = record.tasks.setdefault(index, record.absent)
            if not isinstance(state, records_module.State):
                fates[index] = state
        return Reconciled(ref.batch, ref.job, fates, not record.open_tasks)

    def _fate_without_record(self, entry: str, batch: int) -> outcomes.Fate:
        """Returns the fate of the tasks of a batch that has no record.

        The first session of an entry can't ask for batches of this process,
        and a batch up to the highest dropped number may have had a record.
        """
        known = self.sessions.entries.get(entry)
        if known is None or known.first:
            return EARLIER_PROCESS
        if self.records.may_have_dropped(entry, batch):
            return EARLIER_PROCESS
        return records_module.NEVER_RECEIVED

    def _record_struck(
        self, entry: str, batch: int, now_s: float
    ) -> records_module.BatchRecord:
        """Returns the record of a batch that has none and may not start.

        Without room for the record, the session fence alone keeps the bytes
        of older streams from starting anything.
        """
        absent = self._fate_without_record(entry, batch)
        record = records_module.BatchRecord(
            entry, batch, "", {}, 0, now_s, absent
        )
        self.records.add(record)
        return record

    def _expire_record(
        self, record: records_module.BatchRecord, age_s: float
    ) -> None:
        """Drops results, and records unless their home is still waiting."""
        if age_s >= records_module.RESULT_RETENTION_S and record.result_bytes:
            self.records.drop_results(record)
        if age_s >= RECORD_RETENTION_S:
            known = self.sessions.entries.get(record.entry)
            if known is None or not known.connected:
                self.records.drop(record)

    def _mark_open_batches(self, now_s: float) -> None:
        """Marks the tasks of all records that may have started again."""
        for record in self.records.records.values():
            for index in record.started_indices():
                if record.job:
                    mark = marks_module.mark_of(record.job, index)
                    self.marks.add(mark, now_s)
