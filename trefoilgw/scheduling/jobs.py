"""Jobs and tasks as the scheduler holds them."""

import enum

import attrs

from trefoilgw.work import core as work


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        spec: What was submitted.
        expected_s: Expected run time in seconds.
        run: Number of its latest attempt.
        state: Where it stands.
        runner: Name of the runner of the latest attempt.
        incarnation: That runner's incarnation.
        sent_s: When that attempt was sent.
        attempts: Attempts that were sent.
        failures: Attempts that ended as failed.
        excluded_runners: Runners on which it failed, stood still or was slow.
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
        """Room that it needs."""
        return self.spec.demand.cpu_millicores


@attrs.define(eq=False)
class Job:
    """A job that was admitted.

    Attributes:
        spec: What was submitted.
        tasks: Its tasks.
        order: Rises with each job, to break ties.
        expected_s: Expected run time of its longest task in seconds.
        latest_start_s: The last task should start by then.
        admitted_s: When it was admitted.
        predicted_wait_s: Expected wait for room, 0 if there was room.
        reject_after_s: A job that has not begun by then would be late.
        urgency: Urgency class of its work.
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
    started: bool = False

    @property
    def key(self) -> str:
        """The caller's identifier."""
        return self.spec.key

    @property
    def rank(self) -> tuple[float, int]:
        """Position among the waiting jobs; the lowest goes first."""
        return self.latest_start_s, self.order

    def waiting(self) -> list[Task]:
        """Returns the tasks that wait for room."""
        return [x for x in self.tasks if x.state is TaskState.WAITING]

    def sent(self) -> list[Task]:
        """Returns the tasks that are at a runner."""
        return [x for x in self.tasks if x.state is TaskState.SENT]

    def waiting_millicores(self) -> int:
        """Returns the room that the waiting tasks need."""
        return sum(x.millicores for x in self.waiting())
