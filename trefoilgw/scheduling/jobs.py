"""State of admitted jobs and their tasks."""

import enum
import math
from collections.abc import Iterable

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.work import core as work


class TaskState(enum.Enum):
    """Stage of a task: waiting for capacity, at a runner, or ended.

    A task has failed once it has had all attempts that its queue allows.
    """

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class RunEnd:
    """How an attempt ended without doing its task.

    Attributes:
        ending: How it ended.
        reason: Cause of the ending.
        evidence: Why it can no longer work.
        instance: Instance of the target that it ended at, empty if unknown.
        started_ms: Start of that instance in Unix milliseconds, 0 if unknown.
    """

    ending: work.Ending
    reason: str
    evidence: work.Evidence
    instance: str = ""
    started_ms: int = 0

    @classmethod
    def of(cls, message: messages.RunEnded) -> "RunEnd":
        """Returns the end that a runner reports."""
        return cls(
            work.Ending(message.ending),
            message.reason,
            work.Evidence(message.evidence),
            message.instance,
            message.started_ms,
        )


@attrs.define(eq=False)
class Task:
    """State of one task of a job.

    Attributes:
        spec: The task as submitted.
        expected_s: Expected run time in seconds.
        run: Number of the latest attempt, or of the next one while the task
            waits.
        state: Stage of the task.
        runner: Name of the runner of the latest attempt.
        incarnation: Incarnation of that runner.
        sent_s: Time at which that attempt was sent.
        attempts: Number of attempts that were sent.
        failures: Number of attempts that ended as failed.
        excluded_runners: Runners on which the task failed, stalled or was
            slow.
    """

    spec: work.TaskSpec
    expected_s: float
    run: int
    state: TaskState = TaskState.WAITING
    runner: str = ""
    incarnation: str = ""
    sent_s: float = 0.0
    attempts: int = 0
    failures: int = 0
    excluded_runners: set[str] = attrs.field(factory=set)

    @property
    def millicores(self) -> int:
        """Processor capacity that the task needs."""
        return self.spec.demand.cpu_millicores


@attrs.define(eq=False)
class Job:
    """State of an admitted job.

    Attributes:
        spec: The job as submitted.
        tasks: State of its tasks.
        order: Sequence number of the admission, which breaks ties in rank.
        expected_s: Expected run time of the longest task in seconds.
        latest_start_s: Time by which the last task should start.
        admitted_s: Time of the admission.
        predicted_wait_s: Predicted wait for capacity in seconds, 0 if there
            was enough.
        reject_after_s: Time after which a job that has not started is
            rejected, since it would end late.
        urgency: Urgency class of the job.
        abandoned_after_s: Time after which no caller waits for it any more.
        started: Whether any attempt was ever sent.
        may_have_run: Whether any attempt may have run that is over.
    """

    spec: work.JobSpec
    tasks: list[Task]
    order: int
    expected_s: float
    latest_start_s: float
    reject_after_s: float
    urgency: int
    admitted_s: float = 0.0
    predicted_wait_s: float = 0.0
    abandoned_after_s: float = math.inf
    started: bool = False
    may_have_run: bool = False

    @property
    def key(self) -> str:
        """Identifier of the job, chosen by the caller."""
        return self.spec.key

    @property
    def rank(self) -> tuple[float, int]:
        """Sort key among the waiting jobs; the lowest goes first."""
        return self.latest_start_s, self.order

    def waiting(self) -> list[Task]:
        """Returns the tasks that wait for capacity."""
        return [x for x in self.tasks if x.state is TaskState.WAITING]

    def sent(self) -> list[Task]:
        """Returns the tasks whose latest attempt is at a runner."""
        return [x for x in self.tasks if x.state is TaskState.SENT]

    def has_certainly_not_run(self) -> bool:
        """Returns whether no attempt has run or may still run.

        In contrast to `started`, attempts that their runners refused or never
        received do not count.
        """
        waiting = all(x.state is TaskState.WAITING for x in self.tasks)
        return waiting and not self.may_have_run

    def waiting_millicores(self) -> int:
        """Returns the capacity needed by the waiting tasks."""
        return sum(x.millicores for x in self.waiting())


def find_sent(
    admitted: dict[str, Job], name: str, run: int, runner: str
) -> tuple[Job, Task] | None:
    """Returns the job and task of a run that is at a runner, or None.

    Args:
        admitted: Jobs by key.
        name: Name of the task.
        run: Number of its latest attempt.
        runner: Name of the runner.
    """
    job = admitted.get(name.partition(".")[0])
    if job is None:
        return None
    for task in job.sent():
        if (task.spec.name, task.run, task.runner) == (name, run, runner):
            return job, task
    return None


def sent_to(
    admitted: Iterable[Job], runner: str, incarnation: str
) -> list[tuple[Job, Task]]:
    """Returns the jobs and tasks whose latest attempt is at a runner."""
    return [
        (job, task)
        for job in admitted
        for task in job.sent()
        if task.runner == runner and task.incarnation == incarnation
    ]
