"""Batches on the slots of one target.

The slots decide when a task starts and what is sent to the homes; every start
goes through the ledger. Events come in as method calls, and actions for the
agent go out. This module opens no connection and reads no clock.
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

# Payloads of tasks that have not started; the agent has 32 MB in all.
LIMIT_QUEUED_BYTES = 4 * 1024 * 1024
# Batches resized to 0 hold no credit, so credits alone don't bound them.
LIMIT_BATCHES = 512

NO_SLOT = outcomes.NotRun(
    outcomes.Reason.NO_SLOT, "no credit is left for the batch"
)
LEAVING = outcomes.NotRun(outcomes.Reason.LEAVING, "the agent is leaving")
QUEUE_FULL = outcomes.NotRun(
    outcomes.Reason.CAPACITY, "too much queued at the agent"
)


@attrs.define(eq=False)
class Slots:
    """The slots of one target.

    Attributes:
        ledger: Start ledger.
        book: Credits.
        execution: The open batches.
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
        """Tasks past their deadline whose slot is still occupied."""
        return self.execution.stragglers

    @property
    def running(self) -> int:
        """Tasks at the target, including stragglers."""
        at_target = sum(
            len(batch.running) for batch in self.open_batches.values()
        )
        return at_target + len(self.stragglers)

    @property
    def idle(self) -> bool:
        """True if no batch is open and no slot is occupied."""
        return not self.open_batches and not self.stragglers

    def is_used_by(self, entry: str) -> bool:
        """Returns True if a batch or an occupied slot is an entry's."""
        return entry in self.book.used or bool(self.execution.batches_of(entry))

    def held(self, entry: str) -> int:
        """Returns the credits that an entry holds."""
        account = self.book.accounts.get(entry)
        return account.held if account else 0

    def set_expected_entries(
        self, entries: tuple[str, ...], now_s: float
    ) -> None:
        """Sets the entries that are to share the slots."""
        self.book.set_expected_entries(entries, now_s)

    def connect(self, entry: str, now_s: float) -> tuple[actions.Action, ...]:
        """Opens an entry's account after its newest session was accepted.

        Batches of its older sessions start nothing until `reconcile` names
        them; batches that it does not name are struck after the lease time.
        """
        self.book.disconnect(entry, now_s)
        for batch in self.execution.batches_of(entry):
            batch.held_until_s = now_s + sessions.LEASE_S
        if self.leaving:
            return (actions.SendLeaving(entry),)
        self.book.connect(entry)
        return tuple(self.execution.grants(now_s))

    def disconnect(
        self, entry: str, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Takes back an entry's credits; its batches run on."""
        self.book.disconnect(entry, now_s)
        return tuple(self.execution.grants(now_s))

    def entry_leaving(self, entry: str) -> None:
        """Notes that an entry takes no new credits."""
        self.book.leaving(entry)

    def credits_returned(
        self, entry: str, credits: int, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Books credits that an entry gave back."""
        self.book.returned(entry, credits, now_s)
        return tuple(self.execution.grants(now_s))

    def run_batch(
        self,
        entry: str,
        session: int,
        message: messages.RunBatch,
        now_s: float,
    ) -> tuple[actions.Action, ...]:
        """Takes a batch and starts as many tasks as its credits allow."""
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
                refusal = self._arrival_refusal(message)
        return tuple(self._book(entry, session, message, refusal, now_s))

    def task_finished(
        self, ref: actions.TaskRef, fate: outcomes.Fate, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Takes the target's answer to a task."""
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
        """Changes how many tasks of a batch may run at once.

        A smaller number takes effect as running tasks finish. A larger one
        uses credits that the entry holds.
        """
        batch = self.open_batches.get((entry, number))
        if batch is None:
            return ()
        batch.concurrency = max(0, concurrency)
        missing = batch.concurrency - batch.booked
        if missing > 0 and batch.queue:
            missing = min(missing, self.held(entry))
            batch.booked += self.book.spend(entry, entry, missing)
        found = self.execution.advance(batch, now_s)
        if not batch.finished:
            found += self.execution.return_idle(batch, now_s)
        return tuple(found)

    def strike(
        self,
        entry: str,
        numbers: tuple[int, ...],
        reason: outcomes.Reason,
        now_s: float,
    ) -> tuple[actions.Action, ...]:
        """Strikes all tasks of the batches that have not started."""
        found = []
        fate = outcomes.NotRun(reason, "struck by the home")
        for number in numbers:
            batch = self.open_batches.get((entry, number))
            if batch is None:
                self.ledger.strike(entry, number, fate, now_s)
            else:
                found += self.execution.strike_queue(batch, fate, now_s)
        return tuple(found)

    def reconcile(
        self,
        entry: str,
        session: int,
        refs: tuple[messages.BatchRef, ...],
        now_s: float,
    ) -> tuple[actions.Action, ...]:
        """Answers for batches of an older session and resumes them."""
        if not self.ledger.sessions.current(entry, session):
            return ()
        found = []
        for answer in self.ledger.reconcile(entry, refs, now_s):
            batch = self.open_batches.get((entry, answer.batch))
            fates = answer.fates
            if batch is not None:
                fates = fates | batch.take_pending()
                batch.session = session
                batch.held_until_s = None
            found += batches.done_actions(
                entry, answer.batch, answer.job, fates, 0, answer.final
            )
            if batch is not None:
                found += self.execution.advance(batch, now_s)
        return tuple(found)

    def check(self, now_s: float) -> tuple[actions.Action, ...]:
        """Ends batches past their deadline and strikes without authority.

        Call it at `next_check_s`, and first of all when the process resumes
        after a pause.
        """
        found = []
        for batch in list(self.open_batches.values()):
            if now_s >= batch.deadline_s:
                found += self.execution.expire(batch, now_s)
            elif batch.queue and now_s >= self._authority_until_s(batch):
                fate = ledger_core.NO_AUTHORITY
                found += self.execution.strike_queue(batch, fate, now_s)
        return tuple(found)

    def next_check_s(self) -> float:
        """Returns when `check` will next have something to do.

        A lease that is renewed meanwhile makes a check superfluous, but not
        wrong. Infinity if no batch is open.
        """
        return min(
            map(self._due_s, self.open_batches.values()), default=math.inf
        )

    def tick(self, now_s: float) -> tuple[actions.Action, ...]:
        """Grants free credits and expires the ledger; once a second."""
        self.ledger.expire(now_s)
        return tuple(self.execution.grants(now_s))

    def leave(self, now_s: float) -> tuple[actions.Action, ...]:
        """Strikes what has not started; running tasks go on."""
        if self.leaving:
            return ()
        self.leaving = True
        self.execution.granting = False
        found = [actions.SendLeaving(entry) for entry in self.book.accounts]
        for batch in list(self.open_batches.values()):
            found += self.execution.strike_queue(batch, LEAVING, now_s)
        return tuple(found)

    def _arrival_refusal(
        self, message: messages.RunBatch
    ) -> outcomes.NotRun | None:
        """Returns why a batch that has a record is not taken."""
        size_bytes = sum(len(task.payload) for task in message.tasks)
        if self.leaving:
            return LEAVING
        if len(self.open_batches) >= LIMIT_BATCHES:
            return QUEUE_FULL
        if self.execution.queued_bytes + size_bytes > LIMIT_QUEUED_BYTES:
            return QUEUE_FULL
        return None

    def _book(
        self,
        entry: str,
        session: int,
        message: messages.RunBatch,
        refusal: outcomes.NotRun | None,
        now_s: float,
    ) -> list[actions.Action]:
        """Takes the credits of a new batch and starts or refuses it."""
        holder = message.lender or entry
        booked = self.book.spend(entry, holder, max(0, message.concurrency))
        tasks = {task.index: task for task in message.tasks}.values()
        if refusal is None and not booked:
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
            booked=booked,
        )
        self.execution.add(batch, tasks)
        if refusal is not None:
            self.counters.refused_batches += 1
            return self.execution.strike_queue(batch, refusal, now_s)
        self.counters.batches += 1
        return self.execution.advance(batch, now_s)

    def _due_s(self, batch: batches.Batch) -> float:
        """Returns when a batch passes its deadline or loses its authority."""
        if not batch.queue:
            return batch.deadline_s
        return min(batch.deadline_s, self._authority_until_s(batch))

    def _authority_until_s(self, batch: batches.Batch) -> float:
        """Returns until when the queued tasks of a batch may stay queued."""
        if batch.held_until_s is not None:
            return batch.held_until_s
        return self.ledger.sessions.lease_until_s(batch.entry, batch.session)
