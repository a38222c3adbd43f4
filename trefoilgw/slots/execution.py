"""Runs the open batches of an agent on the slots of its target.

Starts tasks through the ledger, sends outcomes, and puts credits back. Which
event does what is decided in `trefoilgw.slots.core`.
"""

import attrs

from trefoilgw.ledger import core as ledger_core
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions
from trefoilgw.slots import batches
from trefoilgw.slots import credits as credit_book

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
class Execution:
    """The open batches.

    Attributes:
        ledger: Start ledger.
        book: Credits.
        open_batches: Unfinished batches by (entry, number).
        stragglers: Tasks past their deadline whose slot is still occupied.
        queued_bytes: Payloads of tasks that have not started.
        granting: False once the agent is leaving.
        counters: Totals.
    """

    ledger: ledger_core.Ledger
    book: credit_book.CreditBook
    open_batches: dict = attrs.field(factory=dict)
    stragglers: set = attrs.field(factory=set)
    queued_bytes: int = 0
    granting: bool = True
    counters: Counters = attrs.field(factory=Counters)

    def add(self, batch: batches.Batch, tasks) -> None:
        """Adds a batch with its tasks; `advance` starts them."""
        batch.queue.extend(tasks)
        self.queued_bytes += sum(len(task.payload) for task in batch.queue)
        for other in self.batches_of(batch.entry):
            other.overtaken = True
        self.open_batches[batch.entry, batch.number] = batch

    def advance(
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
                    self.set_fate(batch, task.index, STARTED_BEFORE, now_s)
                case outcomes.NotRun():
                    self.set_fate(batch, task.index, verdict, now_s)
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
        shares = max(batches.FLUSH_SHARES_MIN, len(self.open_batches))
        if batch.pending_bytes > batches.FLUSH_BYTES // shares:
            found += batches.done_actions(
                batch.entry,
                batch.number,
                batch.job_name,
                batch.take_pending(),
                0,
                False,
            )
        if self._return_early(batch):
            found += self.return_idle(batch, now_s)
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

    def return_idle(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Returns the credits that a batch does not need."""
        idle = batch.idle
        batch.booked -= idle
        return self.return_credits(batch.entry, idle, now_s)

    def return_credits(
        self, entry: str, credits: int, now_s: float
    ) -> list[actions.Action]:
        """Returns credits in messages of their own."""
        if not credits:
            return []
        kept = self.book.put_back(entry, credits)
        found = [actions.GrantCredits(entry, kept)] if kept else []
        if kept < credits:
            found += self.grants(now_s)
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
        del self.open_batches[batch.entry, batch.number]
        for other in self.batches_of(batch.entry):
            credits += other.idle
            other.booked -= other.idle
        kept = self.book.put_back(batch.entry, credits) if credits else 0
        found = batches.done_actions(
            batch.entry,
            batch.number,
            batch.job_name,
            batch.take_pending(),
            kept,
            True,
        )
        if kept < credits:
            found += self.grants(now_s)
        return found

    def expire(
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
            self.set_fate(batch, index, PAST_DEADLINE, now_s)
        batch.running.clear()
        return found + self._finish(batch, batch.booked - occupied, now_s)

    def strike_queue(
        self, batch: batches.Batch, fate: outcomes.NotRun, now_s: float
    ) -> list[actions.Action]:
        """Strikes all tasks of a batch that have not started."""
        self._empty_queue(batch, fate, now_s)
        if batch.finished:
            return self._finish(batch, batch.booked, now_s)
        return self.return_idle(batch, now_s)

    def _empty_queue(
        self, batch: batches.Batch, fate: outcomes.NotRun, now_s: float
    ) -> None:
        """Gives all queued tasks a fate."""
        while batch.queue:
            task = self._next_task(batch)
            self.set_fate(batch, task.index, fate, now_s)

    def set_fate(
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

    def batches_of(self, entry: str) -> list[batches.Batch]:
        """Returns the unfinished batches of an entry."""
        return [
            batch
            for batch in self.open_batches.values()
            if batch.entry == entry
        ]

    def grants(self, now_s: float) -> list[actions.Action]:
        """Grants free credits unless the agent is leaving."""
        if not self.granting:
            return []
        return list(actions.grant_actions(self.book.grant(now_s)))
