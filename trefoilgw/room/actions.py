"""Actions that the capacity allocator asks the runner to carry out."""

import math

import attrs


@attrs.frozen
class Start:
    """Start an attempt on the target.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        payload: Text that the target gets with the task.
    """

    task: str
    run: int
    payload: str


@attrs.frozen
class Stop:
    """Stop an attempt; the request is repeated until the target confirms it.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        since_s: Time from which it may have had to stop, infinite for now.
    """

    task: str
    run: int
    since_s: float = math.inf


@attrs.frozen
class SendMessage:
    """Send a message to a scheduler; it is dropped if the stream is closed.

    Attributes:
        owner: Incarnation of the scheduler.
        message: The message.
        again: Whether it was sent before, and may have been lost.
    """

    owner: str
    message: object
    again: bool = False


Action = Start | Stop | SendMessage
