"""Results of calls that start, stop or extend runs at a target."""

import enum
from collections.abc import Mapping

import attrs

from trefoilgw.work import core as work


class RefusalReason(enum.StrEnum):
    """Why a target refused an order; a refused order has no effect."""

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@attrs.frozen
class Accepted:
    """The target has carried out the order.

    Attributes:
        clock_s: The target's clock.
    """

    clock_s: float


@attrs.frozen
class Refused:
    """The target has not carried out the order and never will.

    Attributes:
        reason: Why it was refused.
        clock_s: The target's clock, None if the reply does not contain it.
    """

    reason: RefusalReason
    clock_s: float | None = None


@attrs.frozen
class OtherInstance:
    """Another instance of the target answered; nothing was carried out."""


@attrs.frozen
class NoAnswer:
    """No valid reply; the order may still be carried out, now or later.

    Attributes:
        reached: Whether a connection was made; if not, the order was never
            sent.
        detail: Description of the failure for logs.
    """

    reached: bool
    detail: str


@attrs.frozen
class RunEnd:
    """An ended run in the list of the target.

    Attributes:
        number: Number that increases with each end and identifies it in the
            confirmation.
        task: Name of the task.
        run: Number of the attempt.
        ending: How the run ended.
    """

    number: int
    task: str
    run: int
    ending: work.Ending


@attrs.frozen
class RunListing:
    """Answer to `hold`: the runs that the target lists.

    Attributes:
        clock_s: The target's clock.
        started_ms: Start of the target's instance in Unix milliseconds.
        running: Progress of each run, 0 to 1, by task and run number.
        ended: Ended runs that are not confirmed yet, oldest first.
    """

    clock_s: float
    started_ms: int
    running: Mapping[tuple[str, int], float]
    ended: tuple[RunEnd, ...]
