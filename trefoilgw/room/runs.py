"""Attempts that use the capacity of a target."""

import enum

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.work import core as work


class RunState(enum.Enum):
    """State of an attempt that uses capacity."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One attempt that uses capacity.

    Attributes:
        owner: Incarnation of the scheduler that asked for it.
        order: The request to start it.
        demand: Capacity that it uses until it has certainly ended.
        state: Whether it is starting, running or being stopped.
        requested_s: Time of the request.
        progress: Share of its work that is done, 0 to 1.
        last_progress_s: Time of the last increase of `progress`.
        reason: Why it is being stopped, for the scheduler and for logs; empty
            if the scheduler asked for that or if it is not being stopped.
    """

    owner: str
    order: messages.RunOrder
    demand: work.Demand
    state: RunState
    requested_s: float
    progress: float = 0.0
    last_progress_s: float = 0.0
    reason: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Task and number of the attempt."""
        return self.order.task, self.order.run

    @property
    def job(self) -> str:
        """Key of its job, the first part of the task name."""
        return self.order.task.partition(".")[0]
