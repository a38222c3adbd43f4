"""State of admitted jobs and their tasks."""

import enum
import math

import attrs

from trefoilgw.work import core as work


class TaskState(enum.Enum):
    """Stage of a task: waiting for capacity, at a runner, or done."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"


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

    def waiting_millicores(self) -> int:
        """Returns the capacity needed by the waiting tasks."""
        return sum(x.millicores for x in self.waiting())
