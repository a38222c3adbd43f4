"""Scheduling of batches on the slots of one target.

`Slots` decides when a task starts and what is sent to the homes; the ledger
permits or refuses each start. Events are method calls, which return actions
for the agent to perform. This module does no I/O and reads no clock.
"""

import math

import attrs

from trefoilgw.ledger import core as ledger_core
from trefoilgw.ledger import sessions
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions
from trefoilgw.slots import batches
from trefoilgw.slots import credits as credit_book
from trefoilgw.slots import execution as execution_module

# Maximum total payload size of tasks that have not started. The memory budget
# of the agent process is 32 MB in all.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# Maximum number of open batches. Batches resized to a concurrency of 0 use no
# credits, so the number of credits does not limit them.
MAX_BATCHES = 512

NO_SLOT = outcomes.NotRun(
    outcomes.Reason.NO_SLOT, "no credit is left for the batch"
)
LEAVING = outcomes.NotRun(outcomes.Reason.LEAVING, "the agent is leaving")
QUEUE_FULL = outcomes.NotRun(
    outcomes.Reason.CAPACITY, "too much queued at the agent"
)


@attrs.define(eq=False)
class Slots:
    """Schedules batches on the slots of one target.

    Attributes:
        ledger: Record of started tasks, which permits or refuses each start.
        book: Credits of each entry.
        execution: Runs the open batches.
        leaving: True once the agent is leaving.
    """

    ledger: ledger_core.Ledger
    book: credit_book.CreditBook
    execution: execution_module.Execution = attrs.field(init=False)
    leaving: bool = False

    def __attrs_post_init__(self):
        self.execution = execution_module.Execution(self.ledger, self.book)

    @property
    def counters(self) -> execution_module.Counters:
        """Totals since the start of the process."""
        return self.execution.counters

    @property
    def open_batches(self) -> dict:
        """Unfinished batches by (entry, number)."""
        return self.execution.open_batches

    @property
    def stragglers(self) -> set:
        """Tasks past their deadline that still occupy a slot."""
        return self.execution.stragglers

    @property
    def running(self) -> int:
        """Number of tasks at the target, including stragglers."""
        at_target = sum(
            len(batch.running) for batch in self.open_batches.values()
        )
        return at_target + len(self.stragglers)

    @property
    def idle(self) -> bool:
        """True if no batch is open and no slot is occupied."""
        return not self.open_batches and not self.stragglers

    def is_used_by(self, entry: str) -> bool:
        """Returns whether an entry has an open batch or uses a slot."""
        return entry in self.book.used or bool(self.execution.batches_of(entry))

    def held(self, entry: str) -> int:
        """Returns the number of credits that an entry holds."""
        account = self.book.accounts.get(entry)
        return account.held if account else 0

    def set_expected_entries(
        self, entries: tuple[str, ...], now_s: float
    ) -> None:
        """Sets the entries among which the slots are to be shared."""
        self.book.set_expected_entries(entries, now_s)

    def connect(self, entry: str, now_s: float) -> tuple[actions.Action, ...]:
        """Opens an entry's account after its newest session was accepted.

        Batches of older sessions start no tasks until a call of `reconcile`
        names them. Batches that are not named within `sessions.LEASE_S` are
        struck.
        """
        self.book.disconnect(entry, now_s)
        for batch in self.execution.batches_of(entry):
            batch.reconcile_deadline_s = now_s + sessions.LEASE_S
        if self.leaving:
            return (actions.SendLeaving(entry),)
        self.book.connect(entry)
        return tuple(self.execution.grant_credits(now_s))

    def disconnect(
        self, entry: str, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Takes back an entry's credits; its batches continue to run."""
        self.book.disconnect(entry, now_s)
        return tuple(self.execution.grant_credits(now_s))

    def entry_leaving(self, entry: str) -> None:
        """Records that an entry must not be granted further credits."""
        self.book.mark_leaving(entry)

    def credits_returned(
        self, entry: str, credits: int, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Takes back credits that an entry returned, and grants free ones."""
        self.book.accept_returned(entry, credits, now_s)
        return tuple(self.execution.grant_credits(now_s))

    def run_batch(
        self,
        entry: str,
        session: int,
        message: messages.RunBatch,
        now_s: float,
    ) -> tuple[actions.Action, ...]:
        """Accepts a batch and starts as many tasks as its credits allow.

        A duplicate batch or one of an older session is ignored. A batch that
        is refused is answered at once with all its tasks as not run.
        """
        job = ledger_core.job_id(message.customer, message.job)
        indices = tuple(task.index for task in message.tasks)
        receipt = self.ledger.received(
            entry, session, message.batch, job, indices, now_s
        )
        match receipt:
            case ledger_core.Receipt.FENCED:
                self.counters.fenced_batches += 1
                return ()
            case ledger_core.Receipt.DUPLICATE:
                self.counters.duplicate_batches += 1
                return ()
            case ledger_core.Receipt.FULL:
                refusal = ledger_core.LEDGER_FULL
            case ledger_core.Receipt.ACCEPTED:
                refusal = self._refusal_on_arrival(message)
        return tuple(self._open_batch(entry, session, message, refusal, now_s))

    def task_finished(
        self, ref: actions.TaskRef, fate: outcomes.Fate, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Records the target's answer to a task and starts further tasks.

        The answer to a straggler only frees its slot. Answers to unknown tasks
        are ignored.
        """
        if ref in self.stragglers:
            self.stragglers.remove(ref)
            self.counters.late_answers += 1
            return tuple(self.execution.return_credits(ref.entry, 1, now_s))
        batch = self.open_batches.get((ref.entry, ref.batch))
        if batch is None or ref.index not in batch.running:
            return ()
        batch.running.remove(ref.index)
        self.execution.set_fate(batch, ref.index, fate, now_s)
        return tuple(self.execution.advance(batch, now_s))

    def resize(
        self, entry: str, number: int, concurrency: int, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Changes the maximum number of concurrent tasks of a batch.

        A reduction takes effect as running tasks finish. An increase uses
        credits that the entry holds.
        """
        batch = self.open_batches.get((entry, number))
        if batch is None:
            return ()
        batch.concurrency = max(0, concurrency)
        missing = batch.concurrency - batch.in_use
        if missing > 0 and batch.queue:
            missing = min(missing, self.held(entry))
            batch.in_use += self.book.spend(entry, entry, missing)
        emitted = self.execution.advance(batch, now_s)
        if not batch.finished:
            emitted += self.execution.return_idle_credits(batch, now_s)
        return tuple(emitted)

    def strike(
        self,
        entry: str,
        numbers: tuple[int, ...],
        reason: outcomes.Reason,
        now_s: float,
    ) -> tuple[actions.Action, ...]:
        """Strikes all tasks of the given batches that have not started.

        For a batch that is not open, the ledger records the strike.
        """
        emitted = []
        fate = outcomes.NotRun(reason, "struck by the home")
        for number in numbers:
            batch = self.open_batches.get((entry, number))
            if batch is None:
                self.ledger.strike(entry, number, fate, now_s)
            else:
                emitted += self.execution.strike_queued(batch, fate, now_s)
        return tuple(emitted)

    def reconcile(
        self,
        entry: str,
        session: int,
        refs: tuple[messages.BatchRef, ...],
        now_s: float,
    ) -> tuple[actions.Action, ...]:
        """Reports batches of an older session and resumes them.

        The returned actions send the fates of their tasks. Open batches move
        to the given session and continue. Does nothing if the session is not
        the current one of the entry.
        """
        if not self.ledger.sessions.current(entry, session):
            return ()
        emitted = []
        for answer in self.ledger.reconcile(entry, refs, now_s):
            batch = self.open_batches.get((entry, answer.batch))
            fates = answer.fates
            if batch is not None:
                fates = fates | batch.drain_pending_fates()
                batch.session = session
                batch.reconcile_deadline_s = None
            emitted += batches.done_actions(
                entry, answer.batch, answer.job, fates, 0, answer.final
            )
            if batch is not None:
                emitted += self.execution.advance(batch, now_s)
        return tuple(emitted)

    def check(self, now_s: float) -> tuple[actions.Action, ...]:
        """Ends batches past their deadline and strikes those without authority.

        A batch has no authority after its session lease or the time allowed
        for `reconcile` has passed. Call this method at `next_check_s`, and
        before all others when the process resumes after a pause.
        """
        emitted = []
        for batch in list(self.open_batches.values()):
            if now_s >= batch.deadline_s:
                emitted += self.execution.expire(batch, now_s)
            elif batch.queue and now_s >= self._authority_until_s(batch):
                fate = ledger_core.NO_AUTHORITY
                emitted += self.execution.strike_queued(batch, fate, now_s)
        return tuple(emitted)

    def next_check_s(self) -> float:
        """Returns the monotonic time in seconds of the next due `check`.

        If a lease is renewed before that time, the check is unnecessary but
        harmless. Returns infinity if no batch is open.
        """
        return min(
            map(self._next_event_s, self.open_batches.values()),
            default=math.inf,
        )

    def tick(self, now_s: float) -> tuple[actions.Action, ...]:
        """Grants free credits and expires ledger records.

        Call it once a second.
        """
        self.ledger.expire(now_s)
        return tuple(self.execution.grant_credits(now_s))

    def leave(self, now_s: float) -> tuple[actions.Action, ...]:
        """Strikes all tasks that have not started; running tasks continue.

        Further calls have no effect.
        """
        if self.leaving:
            return ()
        self.leaving = True
        self.execution.may_grant = False
        emitted = [actions.SendLeaving(entry) for entry in self.book.accounts]
        for batch in list(self.open_batches.values()):
            emitted += self.execution.strike_queued(batch, LEAVING, now_s)
        return tuple(emitted)

    def _refusal_on_arrival(
        self, message: messages.RunBatch
    ) -> outcomes.NotRun | None:
        """Returns why a batch that the ledger accepted is refused, or None."""
        size_bytes = sum(len(task.payload) for task in message.tasks)
        if self.leaving:
            return LEAVING
        if len(self.open_batches) >= MAX_BATCHES:
            return QUEUE_FULL
        if self.execution.queued_bytes + size_bytes > MAX_QUEUED_BYTES:
            return QUEUE_FULL
        return None

    def _open_batch(
        self,
        entry: str,
        session: int,
        message: messages.RunBatch,
        refusal: outcomes.NotRun | None,
        now_s: float,
    ) -> list[actions.Action]:
        """Spends the credits of a new batch, then starts or refuses it."""
        holder = message.lender or entry
        in_use = self.book.spend(entry, holder, max(0, message.concurrency))
        tasks = {task.index: task for task in message.tasks}.values()
        if refusal is None and not in_use:
            refusal = NO_SLOT
        batch = batches.Batch(
            entry=entry,
            session=session,
            number=message.batch,
            job=ledger_core.job_id(message.customer, message.job),
            job_name=message.job,
            service=message.service,
            idempotent=message.idempotent,
            deadline_s=now_s + message.deadline_s,
            concurrency=message.concurrency,
            in_use=in_use,
        )
        self.execution.add(batch, tasks)
        if refusal is not None:
            self.counters.refused_batches += 1
            return self.execution.strike_queued(batch, refusal, now_s)
        self.counters.batches += 1
        return self.execution.advance(batch, now_s)

    def _next_event_s(self, batch: batches.Batch) -> float:
        """Returns when a batch passes its deadline or loses its authority.

        The time is monotonic, in seconds. Authority matters only while tasks
        are queued.
        """
        if not batch.queue:
            return batch.deadline_s
        return min(batch.deadline_s, self._authority_until_s(batch))

    def _authority_until_s(self, batch: batches.Batch) -> float:
        """Returns the monotonic time in seconds until which tasks may queue."""
        if batch.reconcile_deadline_s is not None:
            return batch.reconcile_deadline_s
        return self.ledger.sessions.lease_until_s(batch.entry, batch.session)
