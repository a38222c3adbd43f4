"""Value types of work and capacity that the scheduler and the runner share.

They contain no scheduling decisions.
"""

import enum
from collections.abc import Iterable

import attrs


@attrs.frozen
class Demand:
    """Capacity that a task needs or that a target has.

    Attributes:
        cpu_millicores: Processor capacity in thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, capacity: "Demand") -> bool:
        """Returns whether a capacity is enough for this demand."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def plus(self, other: "Demand") -> "Demand":
        """Returns the sum of two demands."""
        return Demand(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Demand") -> "Demand":
        """Returns the difference of two demands, which may be negative."""
        return Demand(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Demand":
        """Returns the demand of several equal tasks."""
        return Demand(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )


def total(demands: Iterable[Demand]) -> Demand:
    """Returns the sum of demands."""
    cpu = memory = accelerators = 0
    for demand in demands:
        cpu += demand.cpu_millicores
        memory += demand.memory_mb
        accelerators += demand.accelerators
    return Demand(cpu, memory, accelerators)


class Ending(enum.StrEnum):
    """How an attempt to run a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_RUN = "not_run"


class Evidence(enum.StrEnum):
    """Why a run that has ended can no longer work.

    A task may be repeated only once its earlier run can't work any longer.

    Attributes:
        ENDED: The target has listed its end, or no longer lists it, or has
            confirmed its stop and had the time for it.
        NOT_RUN: It never started and never will: it was not sent, the target
            refused it, or its stop was confirmed before it could start.
        LEASE_EXPIRED: All leases under which it may work have expired.
        OTHER_LIFE: Another life of the target, which is another instance or
            has another start time, answers for it.
        NONE: None was given, so that it may still work.
    """

    ENDED = "ended"
    NOT_RUN = "not_run"
    LEASE_EXPIRED = "lease_expired"
    OTHER_LIFE = "other_life"
    NONE = "none"


@attrs.frozen
class Queue:
    """A queue as the operators configured it.

    Attributes:
        name: Name of the queue.
        host: Host name in the requests of its callers.
        prefix: Path prefix of the requests of its callers.
        service: Service whose targets run its tasks.
        priority: Rank among the queues; 0 is the most urgent.
        attempts_limit: Number of failed runs of one task after which its job
            fails.
        stretch: Factor on the longest chain of work of a job in the objective
            for its response time.
        latency_s: Constant part of that objective in seconds.
        unsupported: Configured feature that is not implemented, or an empty
            text.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts_limit: int
    stretch: float
    latency_s: float
    unsupported: str = ""


@attrs.frozen
class Configuration:
    """The configuration in force.

    Attributes:
        version: Number that increases with each change.
        queues: All queues.
        services: Names of all services.
        body_limit_bytes: Maximum size of the body of a submission.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str]
    body_limit_bytes: int

    def route(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        matching = [
            x
            for x in self.queues
            if x.host == host and path.startswith(x.prefix)
        ]
        return max(matching, key=lambda x: len(x.prefix), default=None)


@attrs.frozen
class TaskSpec:
    """One task of a submission.

    Attributes:
        name: Unique name of the task, under which the target runs it.
        demand: Capacity that the task needs.
        declared_s: Run time in seconds declared by the caller, 0 if none.
    """

    name: str
    demand: Demand
    declared_s: float


@attrs.frozen
class JobSpec:
    """A submission whose tasks are independent of each other.

    Attributes:
        key: Identifier chosen by the caller.
        queue: Queue that the job was submitted to.
        payload: Text that is passed to the target with each task.
        tasks: Tasks of the job.
        caller_wait_s: How long the caller waits for the answer, None if it does
            not say.
    """

    key: str
    queue: Queue
    payload: str
    tasks: tuple[TaskSpec, ...]
    caller_wait_s: float | None = None


@attrs.frozen
class Target:
    """A target as described by its own report.

    Attributes:
        instance: Identifier of the target's current instance.
        started_ms: Start of that instance in Unix milliseconds.
        service: Service that the target offers.
        capacity: Total capacity of the target.
        draining: Whether the target is about to leave.
        sequence: Number that increases with each report, so that reports that
            arrive out of order are recognized.
        cold_s: Seconds for which the target stays slow after its start.
    """

    instance: str
    started_ms: int
    service: str
    capacity: Demand
    draining: bool
    sequence: int
    cold_s: float = 0.0

    def is_same_life(self, report: "Target") -> bool:
        """Returns whether a later report comes from the same process.

        A process may start again as the same instance. Without a start time,
        which is 0 then, the instance alone tells it.
        """
        return self.instance == report.instance and self.started_ms in (
            0,
            report.started_ms,
        )
