"""What the scheduling decisions ask the program to do."""

import attrs


@attrs.frozen
class Tell:
    """Send a message to a runner; it is lost if the stream is closed."""

    runner: str
    message: object


@attrs.frozen
class Completed:
    """All tasks of a job are done."""


@attrs.frozen
class Failed:
    """A task failed as often as its queue allows.

    Attributes:
        task: Name of the task.
    """

    task: str


@attrs.frozen
class Rejected:
    """A job has not run and will not.

    Attributes:
        reason: Stable code for logs and metrics.
        retry_after_s: Seconds after which it would be admitted.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class Unfinished:
    """A job was given up although some of its tasks have run."""

    reason: str


Outcome = Completed | Failed | Rejected | Unfinished


@attrs.frozen
class Answer:
    """Answer the callers that wait for a job."""

    key: str
    outcome: Outcome
