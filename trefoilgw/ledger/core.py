"""Start ledger of an agent: which tasks started, finished or were struck.

A start is recorded here before anything is sent to the target, so that the
ledger can always tell the home which tasks may have run. Batch records keep
the fates of tasks until the home acknowledges them; start marks are kept
longer. The ledger neither schedules tasks nor manages slots.
"""

import enum

import attrs

from trefoilgw.ledger import marks as marks_module
from trefoilgw.ledger import records as records_module
from trefoilgw.ledger import sessions as sessions_module
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# A home that is disconnected for longer than this has removed the agent long
# before.
RECORD_RETENTION_S = marks_module.RETENTION_S


@attrs.frozen
class Started:
    """The start is recorded; the task must now be sent to the target."""


@attrs.frozen
class AlreadyStarted:
    """The task started earlier; it must not be sent again."""


class Receipt(enum.Enum):
    """Result of receiving a batch.

    Attributes:
        ACCEPTED: A record was opened; its tasks may start.
        DUPLICATE: The batch was received or struck before, or may have been:
            its record may have been dropped.
        FENCED: The session is not the newest of the entry.
        FULL: The table has no room for another record.
    """

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    FENCED = "fenced"
    FULL = "full"


@attrs.frozen
class Reconciled:
    """State of one batch, reported to the home after a reconnect.

    Attributes:
        batch: Batch number assigned by the home.
        job: Job key as sent by the home.
        fates: Fate by task index, without the tasks that are still open.
        final: True if no task of the batch is open.
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
        Keys are unique per customer only, so the key alone does not identify
        a job.
    """
    return f"{customer}/{key}"


@attrs.define(eq=False)
class Ledger:
    """The ledger of one agent incarnation.

    Attributes:
        sessions: Newest session and lease of each entry.
        marks: Start marks.
        records: Batch records.
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
        """Registers a session if it is newer; see `Sessions.opened`."""
        return self.sessions.opened(entry, session, now_s, lease_s)

    def session_closed(self, entry: str, session: int) -> None:
        """Marks an entry as disconnected if its newest session closed."""
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
        """Opens a record for a received batch.

        A batch that was struck before it arrived is a duplicate, because the
        home has already been told its fate. A batch whose record may have been
        dropped is a duplicate too: a home sends batches in ascending order of
        their numbers.
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
            self.records.mark_dropped(entry, batch)
            return Receipt.FULL
        return Receipt.ACCEPTED

    def refusal(
        self, entry: str, session: int, deadline_s: float, now_s: float
    ) -> outcomes.NotRun | None:
        """Returns why a session may not start a task now, or None if it may."""
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
        """Records the start of a task if the task may start.

        Checks whether the task was struck or has started, whether the session
        has authority, whether the deadline has passed and whether the ledger
        is full.

        Returns:
            `Started` if the task must be sent now, `AlreadyStarted` if it
            started earlier or is not on record, `NotRun` if it may not start.
            The caller records `NotRun` with `finished`.
        """
        record = self.records.get(entry, batch)
        state = record.tasks.get(index) if record else None
        if isinstance(state, outcomes.NotRun):
            return state
        mark = marks_module.start_mark(job, index)
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
        """Records the fate of a task.

        A started task whose fate is `NotRun` was never sent. Its start mark is
        removed so that a later batch of the home may start it.

        Returns:
            False if the task is unknown or already has a fate.
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
            self.marks.discard(marks_module.start_mark(job, index))
        self.records.set_fate(record, index, fate, now_s)
        return True

    def strike(
        self, entry: str, batch: int, fate: outcomes.NotRun, now_s: float
    ) -> tuple[int, ...]:
        """Records a fate for all tasks of a batch that have not started.

        A batch that has not been received gets a record too, so that it can't
        start when it arrives late.

        Returns:
            Indices of the struck tasks.
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
        """Returns the state of batches that were open when a stream was lost.

        A batch without a record gets one, so that it can't start when it
        arrives late.
        """
        return tuple(self._reconcile_one(entry, ref, now_s) for ref in refs)

    def acknowledged(self, entry: str, batches: tuple[int, ...]) -> None:
        """Drops the records of batches whose fates the home acknowledged.

        Records with open tasks are kept.
        """
        for batch in batches:
            record = self.records.get(entry, batch)
            if record is not None and not record.open_tasks:
                self.records.drop(record)

    def expire(self, now_s: float) -> None:
        """Drops marks, results and records past their retention.

        Call it about once a second.
        """
        if self.marks.expire(now_s):
            self._renew_marks(now_s)
        for record in list(self.records.records.values()):
            if not record.open_tasks:
                self._expire_record(record, now_s - record.updated_s)
        self.records.retain_entries(self.sessions.entries)

    def _reconcile_one(
        self, entry: str, ref: messages.BatchRef, now_s: float
    ) -> Reconciled:
        """Returns the state of one batch for the home."""
        record = self.records.get(entry, ref.batch)
        if record is None:
            record = self._record_struck(entry, ref.batch, now_s)
        fates = {}
        for index in ref.indices:
            state = record.tasks.setdefault(index, record.missing_fate)
            if not isinstance(state, records_module.State):
                fates[index] = state
        return Reconciled(ref.batch, ref.job, fates, not record.open_tasks)

    def _fate_without_record(self, entry: str, batch: int) -> outcomes.Fate:
        """Returns the fate of the tasks of a batch that has no record.

        In its first session, an entry can only ask about batches that were
        sent to an earlier process of the agent, or before the entry was
        evicted from `Sessions`. A batch whose number is not above the highest
        dropped one may have had a record. In both cases the fate is unknown;
        any other batch was never received.
        """
        entry_session = self.sessions.entries.get(entry)
        if entry_session is None or entry_session.is_first:
            return EARLIER_PROCESS
        if self.records.may_have_dropped(entry, batch):
            return EARLIER_PROCESS
        return records_module.NEVER_RECEIVED

    def _record_struck(
        self, entry: str, batch: int, now_s: float
    ) -> records_module.BatchRecord:
        """Adds and returns a record that keeps a batch from starting later.

        If the table has no room for it, only session fencing keeps data of
        older streams from starting the batch.
        """
        missing_fate = self._fate_without_record(entry, batch)
        record = records_module.BatchRecord(
            entry, batch, "", {}, 0, now_s, missing_fate
        )
        self.records.add(record)
        return record

    def _expire_record(
        self, record: records_module.BatchRecord, age_s: float
    ) -> None:
        """Drops the results and the record of a batch once they have expired.

        The record is kept while its home is connected.
        """
        if age_s >= records_module.RESULT_RETENTION_S and record.result_bytes:
            self.records.drop_results(record)
        if age_s >= RECORD_RETENTION_S:
            entry_session = self.sessions.entries.get(record.entry)
            if entry_session is None or not entry_session.connected:
                self.records.drop(record)

    def _renew_marks(self, now_s: float) -> None:
        """Adds the marks of all tasks on record that may have started.

        Their first marks may have been in the generation just dropped.
        """
        for record in self.records.records.values():
            for index in record.started_indices():
                if record.job:
                    mark = marks_module.start_mark(record.job, index)
                    self.marks.add(mark, now_s)
