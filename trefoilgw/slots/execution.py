"""Runs the open batches of an agent on the slots of its target.

Starts tasks as the ledger permits, sends their outcomes and returns credits.
The handling of each event is defined in `trefoilgw.slots.core`.
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
        batches: Accepted batches.
        refused_batches: Batches refused on arrival, all tasks as not run.
        fenced_batches: Ignored batches of an older session.
        duplicate_batches: Ignored batches that arrived a second time.
        started: Started tasks.
        struck: Tasks struck before their start, including those of refused
            batches.
        unknown: Tasks whose fate was reported as unknown.
        late_answers: Answers of the target after the deadline of the task.
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
    """Runs the open batches of one agent.

    Attributes:
        ledger: Record of started tasks, which permits or refuses each start.
        book: Credits of each entry.
        open_batches: Unfinished batches by (entry, number).
        stragglers: Tasks past their deadline that still occupy a slot.
        queued_bytes: Total payload size of the tasks that have not started.
        may_grant: False once the agent is leaving; no credits are granted then.
        counters: Totals since the start of the process.
    """

    ledger: ledger_core.Ledger
    book: credit_book.CreditBook
    open_batches: dict = attrs.field(factory=dict)
    stragglers: set = attrs.field(factory=set)
    queued_bytes: int = 0
    may_grant: bool = True
    counters: Counters = attrs.field(factory=Counters)

    def add(self, batch: batches.Batch, tasks) -> None:
        """Adds a batch and queues its tasks without starting them."""
        batch.queue.extend(tasks)
        self.queued_bytes += sum(len(task.payload) for task in batch.queue)
        for other in self.batches_of(batch.entry):
            other.has_newer_batch = True
        self.open_batches[batch.entry, batch.number] = batch

    def advance(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Starts queued tasks of a batch up to its concurrency.

        Returns:
            Actions that start tasks, send outcomes that are due and return
            credits.

        Raises:
            TypeError: The ledger returned an unexpected verdict.
        """
        emitted = []
        limit = min(batch.concurrency, batch.in_use)
        while batch.queue and len(batch.running) < limit:
            if batch.reconcile_deadline_s is not None:
                break
            task = self._next_task(batch)
            verdict = self.ledger.try_start(
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
                    emitted.append(batch.start_action(task))
                case ledger_core.AlreadyStarted():
                    self.set_fate(batch, task.index, STARTED_BEFORE, now_s)
                case outcomes.NotRun():
                    self.set_fate(batch, task.index, verdict, now_s)
                case _:
                    raise TypeError(f"unexpected verdict {verdict!r}")
        return emitted + self._send_due(batch, now_s)

    def _next_task(self, batch: batches.Batch) -> messages.TaskSpec:
        """Removes the next task from the queue of a batch and returns it."""
        task = batch.queue.popleft()
        self.queued_bytes -= len(task.payload)
        return task

    def _send_due(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Sends outcomes and returns credits as far as they are due.

        A finished batch is closed. For an unfinished one, outcomes that take
        too much memory and idle credits are sent early.
        """
        if batch.finished:
            return self._finish(batch, batch.in_use, now_s)
        emitted = []
        shares = max(batches.MIN_FLUSH_SHARES, len(self.open_batches))
        if batch.pending_bytes > batches.FLUSH_BYTES // shares:
            emitted += batches.done_actions(
                batch.entry,
                batch.number,
                batch.job_name,
                batch.drain_pending_fates(),
                0,
                False,
            )
        if self._should_return_early(batch):
            emitted += self.return_idle_credits(batch, now_s)
        return emitted

    def _should_return_early(self, batch: batches.Batch) -> bool:
        """Returns whether to return idle credits before the batch ends.

        Notes:
            A separate message for every credit would double the number of
            messages of a large batch. Therefore at least half of the credits
            must be idle, and the home must have sent another batch since,
            which suggests that tasks are waiting there. Idle credits are also
            returned with the answers to other batches of the entry. While
            tasks are queued, as after a reduced concurrency, idle credits are
            returned at once.
        """
        if not batch.idle:
            return False
        if batch.queue:
            return True
        return batch.has_newer_batch and 2 * batch.idle >= batch.concurrency

    def return_idle_credits(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Returns the idle credits of a batch to its entry."""
        idle = batch.idle
        batch.in_use -= idle
        return self.return_credits(batch.entry, idle, now_s)

    def return_credits(
        self, entry: str, credits: int, now_s: float
    ) -> list[actions.Action]:
        """Returns credits in a separate message.

        Credits that the entry may not keep become free and are granted anew.
        """
        if not credits:
            return []
        kept = self.book.release(entry, credits)
        emitted = [actions.GrantCredits(entry, kept)] if kept else []
        if kept < credits:
            emitted += self.grant_credits(now_s)
        return emitted

    def _finish(
        self, batch: batches.Batch, credits: int, now_s: float
    ) -> list[actions.Action]:
        """Closes a batch and sends its last outcomes.

        The message also returns the idle credits of the entry's other batches.

        Args:
            batch: The batch.
            credits: Number of its credits that are no longer in use.
            now_s: Monotonic time in seconds.
        """
        del self.open_batches[batch.entry, batch.number]
        for other in self.batches_of(batch.entry):
            credits += other.idle
            other.in_use -= other.idle
        kept = self.book.release(batch.entry, credits) if credits else 0
        emitted = batches.done_actions(
            batch.entry,
            batch.number,
            batch.job_name,
            batch.drain_pending_fates(),
            kept,
            True,
        )
        if kept < credits:
            emitted += self.grant_credits(now_s)
        return emitted

    def expire(
        self, batch: batches.Batch, now_s: float
    ) -> list[actions.Action]:
        """Ends a batch at its deadline; running tasks keep their slots.

        Queued tasks end as not run. Running tasks end as unknown and become
        stragglers, which the target is asked to stop.
        """
        emitted = []
        self._set_queued_fates(batch, ledger_core.PAST_DEADLINE, now_s)
        occupied = len(batch.running)
        for index in sorted(batch.running):
            stop = batch.stop_action(index)
            emitted.append(stop)
            self.stragglers.add(stop.ref)
            self.set_fate(batch, index, PAST_DEADLINE, now_s)
        batch.running.clear()
        return emitted + self._finish(batch, batch.in_use - occupied, now_s)

    def strike_queued(
        self, batch: batches.Batch, fate: outcomes.NotRun, now_s: float
    ) -> list[actions.Action]:
        """Strikes all queued tasks of a batch and returns its idle credits.

        A batch without running tasks is closed.
        """
        self._set_queued_fates(batch, fate, now_s)
        if batch.finished:
            return self._finish(batch, batch.in_use, now_s)
        return self.return_idle_credits(batch, now_s)

    def _set_queued_fates(
        self, batch: batches.Batch, fate: outcomes.NotRun, now_s: float
    ) -> None:
        """Removes all queued tasks of a batch and records a fate for each."""
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
        """Records the fate of a task in the ledger and for the home."""
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

    def grant_credits(self, now_s: float) -> list[actions.Action]:
        """Grants free credits to entries unless the agent is leaving."""
        if not self.may_grant:
            return []
        return list(actions.grant_actions(self.book.grant(now_s)))
