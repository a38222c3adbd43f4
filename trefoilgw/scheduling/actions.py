"""What the scheduling decisions ask the program to do."""

import attrs

from trefoilgw.scheduling import jobs


@attrs.frozen
class SendMessage:
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
        wait_s: Predicted wait for room in seconds, 0 if it did not matter.
        slack_s: Seconds that it could have waited.
        ahead_millicores: Room that more urgent waiting work needs.
        rate: Room that is freed a second, in millicores.
    """

    reason: str
    retry_after_s: float
    wait_s: float = 0.0
    slack_s: float = 0.0
    ahead_millicores: int = 0
    rate: float = 0.0


@attrs.frozen
class Unfinished:
    """A job was given up although some of its tasks have run."""

    reason: str


Outcome = Completed | Failed | Rejected | Unfinished


@attrs.frozen
class Answer:
    """Answer the callers that wait for a job."""

    job: jobs.Job
    outcome: Outcome
