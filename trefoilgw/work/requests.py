"""What callers ask of a scheduler."""

import attrs

from trefoilgw.work import core as work


@attrs.frozen
class Submit:
    """Run a job and answer once it has ended."""

    job: work.JobSpec


@attrs.frozen
class ReadState:
    """Tell the state of a job."""

    key: str


@attrs.frozen
class Cancel:
    """Stop a job."""

    key: str


@attrs.frozen
class CountWaiting:
    """Tell how many jobs of a queue have not begun."""

    queue: work.Queue


@attrs.frozen
class Malformed:
    """The request has no meaning; it has not run.

    Attributes:
        reason: Stable code.
        detail: What is wrong, for the caller.
    """

    reason: str
    detail: str


@attrs.frozen
class TooLarge:
    """The body exceeds the configured limit."""

    limit_bytes: int


@attrs.frozen
class Unsupported:
    """The job asks for something that is not built."""

    detail: str


@attrs.frozen
class UnknownQueue:
    """No configured queue has this host and path."""


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
