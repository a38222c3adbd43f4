"""Start ledger of an agent: what has started, finished or been struck.

A start is written here before anything is sent to the target, so the ledger
can always tell the home which tasks may have run. Records of batches keep the
fates until the home acknowledges them; start marks stay longer. The ledger
does not decide when a task starts and knows no slots.
"""

import collections
import enum

import attrs

from trefoilgw.ledger import marks as marks_module
from trefoilgw.ledger import sessions as sessions_module
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

RESULT_RETENTION_S = 60.0
# A home that is away for longer than this has removed the agent long before.
RECORD_RETENTION_S = marks_module.RETENTION_S
# About ten seconds of unacknowledged single tasks at 400 starts a second.
LIMIT_RECORDS = 4096
# Results are kept for reconciliation only; the agent has 32 MB in all.
LIMIT_RESULT_BYTES = 2 * 1024 * 1024


class State(enum.Enum):
    """State of a task that has no fate yet."""

    QUEUED = "queued"
    STARTED = "started"


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


@attrs.define(eq=False)
class BatchRecord:
    """Tasks of one batch.

    Attributes:
        entry: Incarnation of the home.
        batch: Number at the home.
        job: Identity of the job, see `job_id`.
        tasks: State or fate by task index.
        open_tasks: Tasks without a fate.
        touched_s: When the record was last written.
        result_bytes: Size of the results that are kept.
    """

    entry: str
    batch: int
    job: str
    tasks: dict
    open_tasks: int
    touched_s: float
    result_bytes: int = 0


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


NEVER_RECEIVED = outcomes.NotRun(
    outcomes.Reason.AUTHORITY_LOST, "never received, struck"
)
NOT_KEPT = outcomes.Unknown(
    outcomes.Reason.INTERNAL, "the result is no longer kept"
)
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
        records: Batches by (entry, batch), oldest first.
        limit_records: At this many records the oldest ended one is dropped;
            if none has ended, new batches are refused as not run.
        limit_result_bytes: Above it the oldest results are dropped and become
            `Unknown` for later reconciliation.
        result_bytes: Size of the results that are kept.
    """

    sessions: sessions_module.Sessions = attrs.field(
        factory=sessions_module.Sessions
    )
    marks: marks_module.StartMarks = attrs.field(
        factory=marks_module.StartMarks
    )
    records: dict = attrs.field(factory=dict)
    limit_records: int = LIMIT_RECORDS
    limit_result_bytes: int = LIMIT_RESULT_BYTES
    result_bytes: int = 0
    _with_results: collections.deque = attrs.field(factory=collections.deque)

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

    def renewed(self, entry: str, session: int, sent_s: float) -> None:
        """Extends the lease after a `Pong` for a ping sent at `sent_s`."""
        self.sessions.renewed(entry, session, sent_s)

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
        answer has been given.
        """
        if not self.sessions.current(entry, session):
            return Receipt.FENCED
        if (entry, batch) in self.records:
            return Receipt.DUPLICATE
        if not self._make_room():
            return Receipt.FULL
        tasks = dict.fromkeys(indices, State.QUEUED)
        self.records[entry, batch] = BatchRecord(
            entry, batch, job, tasks, len(tasks), now_s
        )
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

    def may_start(
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
        record = self.records.get((entry, batch))
        state = record.tasks.get(index) if record else None
        if isinstance(state, outcomes.NotRun):
            return state
        mark = marks_module.mark_of(job, index)
        if state is not State.QUEUED or mark in self.marks:
            return AlreadyStarted()
        refusal = self.refusal(entry, session, deadline_s, now_s)
        if refusal is None and self.marks.full:
            refusal = LEDGER_FULL
        if refusal is not None:
            return refusal
        self.marks.add(mark, now_s)
        record.tasks[index] = State.STARTED
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
        record = self.records.get((entry, batch))
        if record is None:
            return False
        state = record.tasks.get(index)
        if not isinstance(state, State):
            return False
        if isinstance(fate, outcomes.NotRun) and state is State.STARTED:
            self.marks.discard(marks_module.mark_of(job, index))
        record.tasks[index] = fate
        record.open_tasks -= 1
        record.touched_s = now_s
        if isinstance(fate, outcomes.Completed):
            self._keep_result(record, len(fate.result))
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
        record = self.records.get((entry, batch))
        if record is None:
            self._record_struck(entry, batch, {}, now_s)
            return ()
        struck = tuple(
            index
            for index, state in record.tasks.items()
            if state is State.QUEUED
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
            record = self.records.get((entry, batch))
            if record is not None and not record.open_tasks:
                self._drop(record)

    def expire(self, now_s: float) -> None:
        """Drops what is past its retention; call about once a second."""
        if self.marks.expire(now_s):
            self._mark_open_batches(now_s)
        for record in list(self.records.values()):
            if record.open_tasks:
                continue
            age_s = now_s - record.touched_s
            if age_s >= RESULT_RETENTION_S and record.result_bytes:
                self._drop_results(record)
            if age_s >= RECORD_RETENTION_S:
                self._drop_unless_open_at_home(record)

    def _reconcile_one(
        self, entry: str, ref: messages.BatchRef, now_s: float
    ) -> Reconciled:
        """Returns the answer for one batch."""
        record = self.records.get((entry, ref.batch))
        if record is None:
            fate = self._fate_without_record(entry, ref.batch)
            fates = dict.fromkeys(ref.indices, fate)
            self._record_struck(entry, ref.batch, fates, now_s)
            return Reconciled(ref.batch, ref.job, fates, True)
        fates = {}
        for index in ref.indices:
            state = record.tasks.setdefault(index, NEVER_RECEIVED)
            if not isinstance(state, State):
                fates[index] = state
        return Reconciled(ref.batch, ref.job, fates, not record.open_tasks)

    def _fate_without_record(self, entry: str, batch: int) -> outcomes.Fate:
        """Returns the fate of the tasks of a batch that has no record.

        The first session of an entry can't ask for batches of this process,
        and a batch up to the highest dropped number may have had a record.
        """
        known = self.sessions.entries.get(entry)
        if known is None or known.first or batch <= known.dropped_batch:
            return EARLIER_PROCESS
        return NEVER_RECEIVED

    def _record_struck(
        self, entry: str, batch: int, fates: dict, now_s: float
    ) -> None:
        """Opens a record without open tasks.

        Without room for the record, the session fence alone keeps the bytes
        of older streams from starting anything.
        """
        if self._make_room():
            self.records[entry, batch] = BatchRecord(
                entry, batch, "", dict(fates), 0, now_s
            )

    def _keep_result(self, record: BatchRecord, size_bytes: int) -> None:
        """Counts a kept result and drops the oldest above the limit."""
        if not size_bytes:
            return
        if not record.result_bytes:
            self._with_results.append(record)
        record.result_bytes += size_bytes
        self.result_bytes += size_bytes
        while self.result_bytes > self.limit_result_bytes:
            self._drop_results(self._with_results[0])

    def _drop_results(self, record: BatchRecord) -> None:
        """Replaces the kept results of a record."""
        for index, state in record.tasks.items():
            if isinstance(state, outcomes.Completed):
                record.tasks[index] = NOT_KEPT
        self.result_bytes -= record.result_bytes
        record.result_bytes = 0
        self._with_results.remove(record)

    def _drop(self, record: BatchRecord) -> None:
        """Removes a record; its start marks stay."""
        if record.result_bytes:
            self._drop_results(record)
        del self.records[record.entry, record.batch]
        known = self.sessions.entries.get(record.entry)
        if known is not None:
            known.dropped_batch = max(known.dropped_batch, record.batch)

    def _drop_unless_open_at_home(self, record: BatchRecord) -> None:
        """Drops an old record unless its home is connected and waits."""
        known = self.sessions.entries.get(record.entry)
        if known is None or not known.connected:
            self._drop(record)

    def _make_room(self) -> bool:
        """Returns True if there is room for one more record."""
        if len(self.records) < self.limit_records:
            return True
        for record in self.records.values():
            if not record.open_tasks:
                self._drop(record)
                return True
        return False

    def _mark_open_batches(self, now_s: float) -> None:
        """Marks the tasks of all records that may have started again."""
        for record in self.records.values():
            for index, state in record.tasks.items():
                not_started = state is State.QUEUED or isinstance(
                    state, outcomes.NotRun
                )
                if record.job and not not_started:
                    self.marks.add(
                        marks_module.mark_of(record.job, index), now_s
                    )
