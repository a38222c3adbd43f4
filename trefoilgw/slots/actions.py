"""Actions that `Slots` returns for the agent to perform."""

import attrs

from trefoilgw.messages import core as messages


@attrs.frozen
class TaskRef:
    """Reference to a task of a batch.

    Attributes:
        entry: Incarnation of the home.
        batch: Number of the batch at the home.
        index: Index of the task in the job.
    """

    entry: str
    batch: int
    index: int


@attrs.frozen
class StartTask:
    """Send a task to the target now; its start is recorded in the ledger.

    Attributes:
        ref: The task.
        session: Session with the authority to start it.
        job: Name that the home gave to the job.
        service: Service of the target that runs the task.
        payload: Request body.
        deadline_s: Deadline in seconds of the monotonic clock.
        idempotent: False if the task must not run more than once.
    """

    ref: TaskRef
    session: int
    job: str
    service: str
    payload: bytes
    deadline_s: float
    idempotent: bool


@attrs.frozen
class StopTask:
    """Ask the target to stop a task that has passed its deadline."""

    ref: TaskRef
    job: str


@attrs.frozen
class SendDone:
    """Send one frame of outcomes to the home."""

    entry: str
    message: messages.BatchDone


@attrs.frozen
class GrantCredits:
    """Send granted credits to an entry."""

    entry: str
    credits: int


@attrs.frozen
class SendLeaving:
    """Tell an entry that this agent accepts no new batches."""

    entry: str


Action = StartTask | StopTask | SendDone | GrantCredits | SendLeaving


def grant_actions(granted: dict[str, int]) -> tuple[GrantCredits, ...]:
    """Returns the actions that send granted credits.

    Args:
        granted: Number of granted credits by entry; entries with 0 are left
            out.
    """
    return tuple(
        GrantCredits(entry, count) for entry, count in granted.items() if count
    )
