"""When an entry dials the address of a peer again."""

import random

import attrs

MIN_DELAY_S = 0.1
MAX_DELAY_S = 5.0
# Doublings after which the limit is reached for certain.
MAX_DOUBLINGS = 16


@attrs.define
class DialBackoff:
    """Attempts to dial one address.

    Attributes:
        attempts: Failures in a row.
        next_dial_s: Monotonic time before which the address is left alone.
        in_progress: True while an attempt is under way.
        incarnation: Entry that answered there last.
    """

    attempts: int = 0
    next_dial_s: float = 0.0
    in_progress: bool = False
    incarnation: str = ""

    def failed(self, now_s: float, rng: random.Random) -> None:
        """Sets the next attempt, with full jitter against stampedes."""
        limit_s = min(MAX_DELAY_S, MIN_DELAY_S * 2**self.attempts)
        self.attempts = min(self.attempts + 1, MAX_DOUBLINGS)
        self.next_dial_s = now_s + rng.uniform(MIN_DELAY_S, limit_s)

    def succeeded(self, now_s: float) -> None:
        """Notes that a stream was opened."""
        self.attempts = 0
        self.next_dial_s = now_s + MIN_DELAY_S
