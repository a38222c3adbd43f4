"""Actions that the scheduling logic asks the program to carry out."""

import attrs

from trefoilgw.scheduling import jobs


@attrs.frozen
class SendMessage:
    """Sends a message to a runner; it is lost if the stream is closed."""

    runner: str
    message: object


@attrs.frozen
class Repeated:
    """A task waits for another attempt; records why, for logs and metrics.

    Attributes:
        task: Name of the task.
        run: Number of the attempt that has ended.
        runner: Name of the runner that it was sent to.
        incarnation: Incarnation of that runner.
        end: How the attempt ended, and why it can no longer work.
        age_s: Seconds since the attempt was sent.
    """

    task: str
    run: int
    runner: str
    incarnation: str
    end: jobs.RunEnd
    age_s: float


@attrs.frozen
class Completed:
    """All tasks of a job are done."""


@attrs.frozen
class Failed:
    """A task has used up the attempts that its queue allows.

    Attributes:
        task: Name of the failed task.
    """

    task: str


@attrs.frozen
class Rejected:
    """A job was rejected: no part of it has run or will run.

    Attributes:
        reason: Stable code for logs and metrics.
        retry_after_s: Seconds after which it would probably be admitted, None
            if it never will.
        wait_s: Predicted wait for capacity in seconds; 0 if the job was
            rejected for another reason.
        slack_s: Seconds that the job could have waited.
        ahead_millicores: Capacity needed by more urgent waiting work.
        rate: Capacity freed per second, in millicores.
        detail: What the caller would have to change, for people.
    """

    reason: str
    retry_after_s: float | None
    wait_s: float = 0.0
    slack_s: float = 0.0
    ahead_millicores: int = 0
    rate: float = 0.0
    detail: str = ""


@attrs.frozen
class Unfinished:
    """A job was abandoned after some of its tasks may have run."""

    reason: str


Outcome = Completed | Failed | Rejected | Unfinished


@attrs.frozen
class Answer:
    """Answers the callers that wait for a job."""

    job: jobs.Job
    outcome: Outcome


Action = SendMessage | Repeated | Answer
