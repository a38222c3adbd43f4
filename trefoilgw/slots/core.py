"""Batches on the slots of one target.

The slots decide when a task starts and what is sent to the homes; every start
goes through the ledger. Events come in as method calls, and actions for the
agent go out. This module opens no connection and reads no clock.
"""

import collections

import attrs

from trefoilgw.ledger import core as ledger_core
from trefoilgw.ledger import sessions
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions
from trefoilgw.slots import batches
from trefoilgw.slots import credits as credit_book

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
PAST_DEADLINE = outcomes.Unknown(
    outcomes.Reason.DEADLINE, "running at the deadline"
)
STARTED_BEFORE = outcomes.Unknown(
    outcomes.Reason.INTERNAL, "the task started in another batch"
)


@attrs.define
class Counters:
    """Totals since the start of the process.

    Attributes:
        batches: Batches accepted.
        refused_batches: Batches answered as not run on arrival.
        fenced_batches: Batches of an older session, dropped.
        duplicate_batches: Batches that arrived a second time, dropped.
        started: Tasks started.
        struck: Tasks that were struck before their start.
        unknown: Tasks whose fate was reported as unknown.
        late_answers: Answers of the target after the deadline.
    """

    batches: int = 0
    refused_batches: int = 0
    fenced_batches: int = 0
    duplicate_batches: int = 0
    started: int = 0
    struck: int = 0
    unknown: int = 0
    late_answers: int = 0


@attrs.define(eq=False)
class Slots:
    """The slots of one target.

    Attributes:
        ledger: Start ledger.
        book: Credits.
        open: Unfinished batches by (entry, number).
        stragglers: Tasks past their deadline whose slot is still occupied.
        queued_bytes: Payloads of tasks that have not started.
        left: True once the agent is leaving.
        counters: Totals.
    """

    ledger: ledger_core.Ledger
    book: credit_book.CreditBook
    open: dict = attrs.field(factory=dict)
    stragglers: set = attrs.field(factory=set)
    queued_bytes: int = 0
    left: bool = False
    counters: Counters = attrs.field(factory=Counters)

    @property
    def running(self) -> int:
        """Tasks at the target, including stragglers."""
        at_target = sum(len(batch.running) for batch in self.open.values())
        return at_target + len(self.stragglers)

    @property
    def idle(self) -> bool:
        """True if no batch is open and no slot is occupied."""
        return not self.open and not self.stragglers

    def serves(self, entry: str) -> bool:
        """Returns True if a batch or an occupied slot is an entry's."""
        return entry in self.book.used or bool(self._batches_of(entry))

    def held(self, entry: str) -> int:
        """Returns the credits that an entry holds."""
        account = self.book.accounts.get(entry)
        return account.held if account else 0

    def expect(
        self, entries: tuple[str, ...], now_s: float
    ) -> tuple[actions.Action, ...]:
        """Sets the entries that are to share the slots."""
        self.book.expect(entries, now_s)
        return tuple(self._grants(now_s))

    def connect(self, entry: str, now_s: float) -> tuple[actions.Action, ...]:
        """Opens an entry's account after its newest session was accepted.

        Batches of its older sessions start nothing until `reconcile` names
        them; batches that it does not name are struck after the lease time.
        """
        self.book.disconnect(entry, now_s)
        for batch in self._batches_of(entry):
            batch.held_until_s = now_s + sessions.LEASE_S
        if self.left:
            return (actions.SendLeaving(entry),)
        return _grant_actions(self.book.connect(entry, now_s))

    def disconnect(
        self, entry: str, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Takes back an entry's credits; its batches run on."""
        return _grant_actions(self.book.disconnect(entry, now_s))

    def entry_leaving(self, entry: str) -> None:
        """Notes that an entry takes no new credits."""
        self.book.leaving(entry)

    def credits_returned(
        self, entry: str, credits: int, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Books credits that an entry gave back."""
        return _grant_actions(self.book.returned(entry, credits, now_s))

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
            return tuple(self._return_credits(ref.entry, 1, now_s))
        batch = self.open.get((ref.entry, ref.batch))
        if batch is None or ref.index not in batch.running:
            return ()
        batch.running.remove(ref.index)
        self._set_fate(batch, ref.index, fate, now_s)
        return tuple(self._advance(batch, now_s))

    def resize(
        self, entry: str, number: int, concurrency: int, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Changes how many tasks of a batch may run at once.

        A smaller number takes effect as running tasks finish. A larger one
        uses credits that the entry holds.
        """
        batch = self.open.get((entry, number))
        if batch is None:
            return ()
        batch.concurrency = max(0, concurrency)
        missing = batch.concurrency - batch.booked
        if missing > 0 and batch.queue:
            batch.booked += self.book.spend(entry, entry, missing)
        found = self._advance(batch, now_s)
        if not batch.finished:
            found += self._return_idle(batch, now_s)
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
            batch = self.open.get((entry, number))
            if batch is None:
                self.ledger.strike(entry, number, fate, now_s)
            else:
                found += self._strike_queue(batch, fate, now_s)
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
            batch = self.open.get((entry, answer.batch))
            fates = answer.fates
            if batch is not None:
                fates = fates | batch.take_pending()
                batch.session = session
                batch.held_until_s = None
            found += batches.done_actions(
                entry, answer.batch, answer.job, fates, 0, answer.final
            )
            if batch is not None:
                found += self._advance(batch, now_s)
        return tuple(found)

    def check(self, now_s: float) -> tuple[actions.Action, ...]:
        """Ends batches past their deadline and strikes without authority.

        Call it every 0.1 s, after a pause, and before anything else when the
        process resumes.
        """
        found = []
        for batch in list(self.open.values()):
            if now_s >= batch.deadline_s:
                found += self._expire(batch, now_s)
            elif batch.queue and self._lapsed(batch, now_s):
                fate = ledger_core.NO_AUTHORITY
                found += self._strike_queue(batch, fate, now_s)
        return tuple(found)

    def tick(self, now_s: float) -> tuple[actions.Action, ...]:
        """Grants free credits and expires the ledger; once a second."""
        self.ledger.expire(now_s)
        return tuple(self._grants(now_s))

    def leave(self, now_s: float) -> tuple[actions.Action, ...]:
        """Strikes what has not started; running tasks go on."""
        if self.left:
            return ()
        self.left = True
        found = [actions.SendLeaving(entry) for entry in self.book.accounts]
        for batch in list(self.open.values()):
            found += self._strike_queue(batch, LEAVING, now_s)
        return tuple(found)

    def _arrival_refusal(
        self, message: messages.RunBatch
    ) -> outcomes.NotRun | None:
        """Returns why a batch that has a record is not taken."""
        size_bytes = sum(len(task.payload) for task in message.tasks)
        if self.left:
            return LEAVING
        if len(self.open) >= LIMIT_BATCHES:
            return QUEUE_FULL
        if self.queued_bytes + size_bytes > LIMIT_QUEUED_BYTES:
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
            message=attrs.evolve(message, tasks=()),
            deadline_s=now_s + message.deadline_s,
            concurrency=message.concurrency,
            booked=booked,
            queue=collections.deque(tasks),
        )
        self.queued_bytes += sum(len(task.payload) for task in tasks)
        for other in self._batches_of(entry):
            other.overtaken = True
        self.open[entry, message.batch] = batch
        if refusal is not None:
            self.counters.refused_batches += 1
            return self._strike_queue(batch, refusal, now_s)
        self.counters.batches += 1
        return self._advance(batch, now_s)

    def _advance(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Starts the next tasks of a batch and sends what is due."""
        found = []
        limit = min(batch.concurrency, batch.booked)
        while batch.queue and len(batch.running) < limit:
            if batch.held_until_s is not None:
                break
            task = self._next_task(batch)
            verdict = self.ledger.may_start(
                batch.entry,
                batch.session,
                batch.number,
                batch.job,
                task.index,
                batch.deadline_s,
                now_s,
            )
            match verdict:
                case ledger_core.Started():
                    self.counters.started += 1
                    batch.running.add(task.index)
                    found.append(batch.start_action(task))
                case ledger_core.AlreadyStarted():
                    self._set_fate(batch, task.index, STARTED_BEFORE, now_s)
                case outcomes.NotRun():
                    self._set_fate(batch, task.index, verdict, now_s)
                case _:
                    raise TypeError(f"unexpected verdict {verdict!r}")
        return found + self._settle(batch, now_s)

    def _next_task(self, batch: batches.Batch) -> messages.TaskSpec:
        """Takes the next task out of a batch's queue."""
        task = batch.queue.popleft()
        self.queued_bytes -= len(task.payload)
        return task

    def _settle(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Sends a finished batch, or what must not wait for its end."""
        if batch.finished:
            return self._finish(batch, batch.booked, now_s)
        found = []
        if batch.pending_bytes > batches.FLUSH_BYTES:
            found += batches.done_actions(
                batch.entry,
                batch.number,
                batch.message.job,
                batch.take_pending(),
                0,
                False,
            )
        if self._return_early(batch):
            found += self._return_idle(batch, now_s)
        return found

    def _return_early(self, batch: batches.Batch) -> bool:
        """Returns True if idle credits should not wait for the batch's end.

        Notes:
            A message of its own for every credit would double the messages of
            a large batch. So half of the credits must be idle, and the home
            must have sent another batch meanwhile, a sign of waiting work.
            Idle credits also travel with the answers to other batches.
        """
        if not batch.idle:
            return False
        if batch.queue:
            return True
        return batch.overtaken and 2 * batch.idle >= batch.concurrency

    def _return_idle(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Returns the credits that a batch does not need."""
        idle = batch.idle
        batch.booked -= idle
        return self._return_credits(batch.entry, idle, now_s)

    def _return_credits(
        self, entry: str, credits: int, now_s: float
    ) -> list[actions.Action]:
        """Returns credits in messages of their own."""
        if not credits:
            return []
        kept = self.book.put_back(entry, credits)
        found = [actions.GrantCredits(entry, kept)] if kept else []
        if kept < credits:
            found += self._grants(now_s)
        return found

    def _finish(
        self, batch: batches.Batch, credits: int, now_s: float
    ) -> list[actions.Action]:
        """Closes a batch and sends its last outcomes.

        Args:
            batch: The batch.
            credits: Its credits that are no longer in use.
            now_s: Monotonic time.
        """
        del self.open[batch.entry, batch.number]
        for other in self._batches_of(batch.entry):
            credits += other.idle
            other.booked -= other.idle
        kept = self.book.put_back(batch.entry, credits) if credits else 0
        found = batches.done_actions(
            batch.entry,
            batch.number,
            batch.message.job,
            batch.take_pending(),
            kept,
            True,
        )
        if kept < credits:
            found += self._grants(now_s)
        return found

    def _expire(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Ends a batch at its deadline; running tasks keep their slots."""
        found = []
        self._empty_queue(batch, ledger_core.PAST_DEADLINE, now_s)
        occupied = len(batch.running)
        for index in sorted(batch.running):
            stop = batch.stop_action(index)
            found.append(stop)
            self.stragglers.add(stop.ref)
            self._set_fate(batch, index, PAST_DEADLINE, now_s)
        batch.running.clear()
        return found + self._finish(batch, batch.booked - occupied, now_s)

    def _strike_queue(
        self, batch: batches.Batch, fate: outcomes.NotRun, now_s: float
    ) -> list[actions.Action]:
        """Strikes all tasks of a batch that have not started."""
        self._empty_queue(batch, fate, now_s)
        if batch.finished:
            return self._finish(batch, batch.booked, now_s)
        return self._return_idle(batch, now_s)

    def _empty_queue(
        self, batch: batches.Batch, fate: outcomes.NotRun, now_s: float
    ) -> None:
        """Gives all queued tasks a fate."""
        while batch.queue:
            task = self._next_task(batch)
            self._set_fate(batch, task.index, fate, now_s)

    def _set_fate(
        self,
        batch: batches.Batch,
        index: int,
        fate: outcomes.Fate,
        now_s: float,
    ) -> None:
        """Writes a fate into the ledger and for the home."""
        if isinstance(fate, outcomes.NotRun):
            self.counters.struck += 1
        elif isinstance(fate, outcomes.Unknown):
            self.counters.unknown += 1
        self.ledger.finished(
            batch.entry, batch.number, batch.job, index, fate, now_s
        )
        batch.add_fate(index, fate)

    def _lapsed(self, batch: batches.Batch, now_s: float) -> bool:
        """Returns True if the queued tasks of a batch must be struck."""
        if batch.held_until_s is not None:
            return now_s >= batch.held_until_s
        return not self.ledger.sessions.authorised(
            batch.entry, batch.session, now_s
        )

    def _batches_of(self, entry: str) -> list[batches.Batch]:
        """Returns the unfinished batches of an entry."""
        return [batch for batch in self.open.values() if batch.entry == entry]

    def _grants(self, now_s: float) -> list[actions.Action]:
        """Grants free credits unless the agent is leaving."""
        if self.left:
            return []
        return list(_grant_actions(self.book.grant(now_s)))


def _grant_actions(granted: dict[str, int]) -> tuple[actions.Action, ...]:
    """Returns the messages for granted credits."""
    return tuple(
        actions.GrantCredits(entry, count)
        for entry, count in granted.items()
        if count
    )
