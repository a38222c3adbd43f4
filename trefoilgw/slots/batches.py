"""State of the batches that an agent runs, and the messages about them."""

import collections

import attrs

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions

# Outcomes of unfinished batches above this size are sent early, so that large
# batches do not hold all their results in the agent's memory. It is divided
# among the open batches.
FLUSH_BYTES = 1024 * 1024
FLUSH_SHARES_MIN = 4
# A frame may have 8 MB; smaller ones keep heartbeats from waiting long.
DONE_FRAME_BYTES = 1024 * 1024
# Room for the fields of an outcome besides its texts.
OUTCOME_OVERHEAD_BYTES = 64


def fate_bytes(fate: outcomes.Fate) -> int:
    """Returns about how much a fate takes in a frame."""
    if isinstance(fate, outcomes.Completed):
        return OUTCOME_OVERHEAD_BYTES + len(fate.result)
    return OUTCOME_OVERHEAD_BYTES + 4 * len(fate.detail)


@attrs.define(eq=False)
class Batch:
    """One batch that is not finished.

    Attributes:
        entry: Incarnation of the home.
        session: Session with the authority to start its tasks.
        number: Number at the home.
        job: Identity of the job in the ledger.
        job_name: Name of the job as the home gave it.
        service: Service at the target.
        idempotent: False if the work must run at most once.
        deadline_s: Deadline on the monotonic clock.
        concurrency: Tasks that may run at once.
        booked: Credits in use; at least the running tasks.
        queue: Tasks that have not started.
        running: Indices of the tasks at the target.
        pending: Fates that have not been sent, by index.
        pending_bytes: Size of `pending`.
        held_until_s: Set while the batch waits for `Reconcile` on a newer
            session; at this time it is struck.
        overtaken: True if its home sent another batch after it.
    """

    entry: str
    session: int
    number: int
    job: str
    job_name: str
    service: str
    idempotent: bool
    deadline_s: float
    concurrency: int
    booked: int
    queue: collections.deque = attrs.field(factory=collections.deque)
    running: set = attrs.field(factory=set)
    pending: dict = attrs.field(factory=dict)
    pending_bytes: int = 0
    held_until_s: float | None = None
    overtaken: bool = False

    @property
    def finished(self) -> bool:
        """True if no task is left."""
        return not self.queue and not self.running

    @property
    def idle(self) -> int:
        """Credits that no task of this batch will need."""
        if self.queue:
            wanted = max(self.concurrency, len(self.running))
            return max(0, self.booked - wanted)
        return self.booked - len(self.running)

    def add_fate(self, index: int, fate: outcomes.Fate) -> None:
        """Adds a fate to those that must be sent."""
        self.pending[index] = fate
        self.pending_bytes += fate_bytes(fate)

    def take_pending(self) -> dict:
        """Returns the fates to send and forgets them."""
        pending = self.pending
        self.pending = {}
        self.pending_bytes = 0
        return pending

    def start_action(self, task: messages.TaskSpec) -> actions.StartTask:
        """Returns the action that starts a task."""
        return actions.StartTask(
            ref=actions.TaskRef(self.entry, self.number, task.index),
            session=self.session,
            job=self.job_name,
            service=self.service,
            payload=task.payload,
            deadline_s=self.deadline_s,
            idempotent=self.idempotent,
        )

    def stop_action(self, index: int) -> actions.StopTask:
        """Returns the action that asks the target to stop a task."""
        return actions.StopTask(
            ref=actions.TaskRef(self.entry, self.number, index),
            job=self.job_name,
        )


def done_actions(
    entry: str,
    batch: int,
    job: str,
    fates: dict,
    credits: int,
    final: bool,
) -> list[actions.SendDone]:
    """Returns the frames that carry fates, each below `DONE_FRAME_BYTES`.

    Credits and the final mark stand in the last one.
    """
    chunks = [[]]
    size_bytes = 0
    for index, fate in fates.items():
        fate_size = fate_bytes(fate)
        if chunks[-1] and size_bytes + fate_size > DONE_FRAME_BYTES:
            chunks.append([])
            size_bytes = 0
        chunks[-1].append(messages.fate_to_wire(index, fate))
        size_bytes += fate_size
    done = [
        actions.SendDone(
            entry, messages.BatchDone(batch, job, tuple(chunk), 0, False)
        )
        for chunk in chunks[:-1]
    ]
    last = messages.BatchDone(batch, job, tuple(chunks[-1]), credits, final)
    return [*done, actions.SendDone(entry, last)]
