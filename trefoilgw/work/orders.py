"""What calls to a target return."""

import enum
from collections.abc import Mapping

import attrs

from trefoilgw.work import core as work


class RefusalReason(enum.StrEnum):
    """Why a target refused an order; it has done nothing then."""

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@attrs.frozen
class Accepted:
    """The order has been carried out.

    Attributes:
        clock_s: The target's clock.
    """

    clock_s: float


@attrs.frozen
class Refused:
    """The order has not been carried out and never will be."""

    reason: RefusalReason
    clock_s: float | None = None


@attrs.frozen
class OtherInstance:
    """Another life of the target has answered; nothing was done."""


@attrs.frozen
class NoAnswer:
    """The order may be carried out, now or later.

    Attributes:
        reached: False if the target did not take the connection, so that the
            order was never sent.
        detail: What happened, for logs.
    """

    reached: bool
    detail: str


@attrs.frozen
class RunEnd:
    """An ended run as the target lists it.

    Attributes:
        number: Rises with each end; names it when it is confirmed.
        task: Name of the task.
        run: Number of the attempt.
        ending: How it ended.
    """

    number: int
    task: str
    run: int
    ending: work.Ending


@attrs.frozen
class LeaseExtended:
    """The runs' lease was extended.

    Attributes:
        clock_s: The target's clock.
        started_ms: Start of this life of the target in Unix milliseconds.
        running: Share of work done, 0 to 1, by task and number of the run.
        ended: Ends that were not confirmed yet, oldest first.
    """

    clock_s: float
    started_ms: int
    running: Mapping[tuple[str, int], float]
    ended: tuple[RunEnd, ...]
