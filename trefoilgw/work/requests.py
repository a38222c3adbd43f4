"""Decoded requests of callers to a scheduler."""

import attrs

from trefoilgw.work import core as work


@attrs.frozen
class Submit:
    """Request to run a job and to answer once it has ended."""

    job: work.JobSpec


@attrs.frozen
class ReadState:
    """Request for the state of a job."""

    key: str


@attrs.frozen
class Cancel:
    """Request to cancel a job."""

    key: str


@attrs.frozen
class CountWaiting:
    """Request for the number of jobs of a queue that have not started."""

    queue: work.Queue


@attrs.frozen
class Malformed:
    """Invalid request; nothing has run.

    Attributes:
        reason: Stable code of the error.
        detail: Description of the error for the caller.
    """

    reason: str
    detail: str


@attrs.frozen
class TooLarge:
    """Submission whose body exceeds the configured limit."""

    limit_bytes: int


@attrs.frozen
class Unsupported:
    """Submission that needs a feature that is not implemented."""

    detail: str


@attrs.frozen
class UnknownQueue:
    """Request whose host and path match no configured queue."""


Request = (
    Submit
    | ReadState
    | Cancel
    | CountWaiting
    | Malformed
    | TooLarge
    | Unsupported
    | UnknownQueue
)
