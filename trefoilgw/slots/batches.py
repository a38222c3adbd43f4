"""State of the batches that an agent runs, and messages with their outcomes."""

import collections

import attrs

from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes
from trefoilgw.slots import actions

# Total size of the unsent outcomes of all open batches. A batch whose outcomes
# exceed its share of this size sends them before it ends, so that large batches
# do not keep all their results in the agent's memory.
FLUSH_BYTES = 1024 * 1024
# Minimum number of shares into which `FLUSH_BYTES` is divided.
MIN_FLUSH_SHARES = 4
# Maximum size of a frame with outcomes. The protocol allows 8 MB, but smaller
# frames delay heartbeats less.
MAX_DONE_FRAME_BYTES = 1024 * 1024
# Allowance for the fields of an outcome other than its result or detail.
OUTCOME_OVERHEAD_BYTES = 64


def fate_bytes(fate: outcomes.Fate) -> int:
    """Returns the approximate size of a fate in a frame, in bytes."""
    if isinstance(fate, outcomes.Completed):
        return OUTCOME_OVERHEAD_BYTES + len(fate.result)
    return OUTCOME_OVERHEAD_BYTES + 4 * len(fate.detail)


@attrs.define(eq=False)
class Batch:
    """State of an unfinished batch.

    Attributes:
        entry: Incarnation of the home.
        session: Session with the authority to start its tasks.
        number: Number of the batch at the home.
        job: Identifier of the job in the ledger.
        job_name: Name that the home gave to the job.
        service: Service of the target that runs the tasks.
        idempotent: False if a task must not run more than once.
        deadline_s: Deadline in seconds of the monotonic clock.
        concurrency: Maximum number of tasks that may run at the same time.
        in_use: Number of credits that the batch uses; at least the number of
            running tasks.
        queue: Tasks that have not started.
        running: Indices of the tasks that run at the target.
        pending_fates: Fates that have not been sent, by index.
        pending_bytes: Approximate size of `pending_fates` in bytes.
        reconcile_deadline_s: Monotonic time in seconds at which the queued
            tasks are struck, set while the batch waits for `Reconcile` on a
            newer session; otherwise None.
        has_newer_batch: True if the home has sent another batch since.
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
    in_use: int
    queue: collections.deque = attrs.field(factory=collections.deque)
    running: set = attrs.field(factory=set)
    pending_fates: dict = attrs.field(factory=dict)
    pending_bytes: int = 0
    reconcile_deadline_s: float | None = None
    has_newer_batch: bool = False

    @property
    def finished(self) -> bool:
        """True if no task is queued or running."""
        return not self.queue and not self.running

    @property
    def idle(self) -> int:
        """Number of credits that no task of this batch needs any more."""
        if self.queue:
            wanted = max(self.concurrency, len(self.running))
            return max(0, self.in_use - wanted)
        return self.in_use - len(self.running)

    def add_fate(self, index: int, fate: outcomes.Fate) -> None:
        """Adds a fate to those that have not been sent."""
        self.pending_fates[index] = fate
        self.pending_bytes += fate_bytes(fate)

    def drain_pending_fates(self) -> dict:
        """Returns the fates that have not been sent and clears them."""
        pending = self.pending_fates
        self.pending_fates = {}
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
    """Returns the actions that send the fates of a batch.

    The fates are divided among frames of at most about `MAX_DONE_FRAME_BYTES`,
    but at least one fate each. Only the last frame carries the credits and the
    final mark.

    Args:
        entry: Incarnation of the home.
        batch: Number of the batch at the home.
        job: Name that the home gave to the job.
        fates: Fates to send, by index of the task; may be empty.
        credits: Number of credits that go back to the home.
        final: True if no further outcomes of the batch follow.
    """
    chunks = [[]]
    size_bytes = 0
    for index, fate in fates.items():
        fate_size = fate_bytes(fate)
        if chunks[-1] and size_bytes + fate_size > MAX_DONE_FRAME_BYTES:
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
