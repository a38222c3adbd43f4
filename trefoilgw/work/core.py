"""Values that the scheduler and the runner share.

They describe work and room; nothing here decides anything.
"""

import enum
from collections.abc import Iterable

import attrs


@attrs.frozen
class Demand:
    """Room that a task needs, or that a target has.

    Attributes:
        cpu_millicores: Processor in thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, room: "Demand") -> bool:
        """Returns whether the room holds this demand."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Demand") -> "Demand":
        """Returns the sum."""
        return Demand(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Demand") -> "Demand":
        """Returns the difference, which may be negative."""
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


@attrs.frozen
class Queue:
    """One kind of work as the operators configured it.

    Attributes:
        name: Name of the queue.
        host: Host name that its callers use.
        prefix: Start of the paths that its callers use.
        service: Service whose targets run its tasks.
        priority: Rank among the queues; 0 is the most urgent.
        attempts_limit: Failed runs of one task after which its job fails.
        stretch: Objective of a job relative to its longest chain of work.
        latency_s: Seconds that the objective adds to that.
        unsupported: What it needs that is not built, or an empty text.
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
    """What the operators have put in force.

    Attributes:
        version: Rises with each change.
        queues: All queues.
        services: Names of all services.
        body_limit_bytes: Largest body of a submission.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str]
    body_limit_bytes: int

    def route(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        matching = [
            x
            for x in self.queues
            if x.host == host and path.startswith(x.prefix)
        ]
        return max(matching, key=lambda x: len(x.prefix), default=None)


@attrs.frozen
class TaskSpec:
    """One task of a job.

    Attributes:
        name: Name that the target knows it by, unique per job and task.
        demand: Room that it needs.
        declared_s: Run time in seconds as the caller declared it; 0 if not.
    """

    name: str
    demand: Demand
    declared_s: float


@attrs.frozen
class JobSpec:
    """A submission whose tasks are independent of each other.

    Attributes:
        key: Identifier chosen by the caller.
        queue: Its queue.
        payload: Text that the target gets with each task.
        tasks: Its tasks.
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
    """What a target says of itself.

    Attributes:
        instance: Identifier of this life of the target.
        started_ms: Start of this life in Unix milliseconds.
        service: Service that it offers.
        capacity: Its room.
        draining: True if it is about to leave.
        sequence: Rises with each report, so that a late one is recognised.
    """

    instance: str
    started_ms: int
    service: str
    capacity: Demand
    draining: bool
    sequence: int
