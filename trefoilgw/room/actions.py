"""What the room's decisions ask the runner to do."""

import attrs


@attrs.frozen
class Start:
    """Start an attempt at the target.

    Attributes:
        task: Name of the task.
        run: Number of the attempt.
        payload: Text for the target.
    """

    task: str
    run: int
    payload: str


@attrs.frozen
class Stop:
    """Stop an attempt and repeat that until the target confirms it."""

    task: str
    run: int


@attrs.frozen
class Tell:
    """Send a message to a scheduler; it is lost if the stream is closed."""

    owner: str
    message: object
