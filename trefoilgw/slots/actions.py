"""Actions that the slots ask the agent to carry out."""

import attrs

from trefoilgw.messages import core as messages


@attrs.frozen
class TaskRef:
    """Names a task of a batch.

    Attributes:
        entry: Incarnation of the home.
        batch: Number at the home.
        index: Position in the job.
    """

    entry: str
    batch: int
    index: int


@attrs.frozen
class StartTask:
    """Send a task to the target now; its start stands in the ledger.

    Attributes:
        ref: The task.
        session: Session with the authority to start it.
        job: Name of the job as the home gave it.
        service: Service at the target.
        payload: Request body.
        deadline_s: Deadline on the monotonic clock.
        idempotent: False if the work must run at most once.
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
    """Ask the target to stop a task that is past its deadline."""

    ref: TaskRef
    job: str


@attrs.frozen
class SendDone:
    """Send outcomes to the home; they may need several frames."""

    entry: str
    message: messages.BatchDone


@attrs.frozen
class GrantCredits:
    """Send credits to an entry."""

    entry: str
    credits: int


@attrs.frozen
class SendLeaving:
    """Tell an entry that this agent takes no new work."""

    entry: str


Action = StartTask | StopTask | SendDone | GrantCredits | SendLeaving


def grant_actions(granted: dict[str, int]) -> tuple[GrantCredits, ...]:
    """Returns the messages for granted credits."""
    return tuple(
        GrantCredits(entry, count) for entry, count in granted.items() if count
    )
