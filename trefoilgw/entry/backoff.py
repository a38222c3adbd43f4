"""When an entry dials the address of a peer again."""

import random

import attrs

FIRST_S = 0.1
LIMIT_S = 5.0
# Doublings after which the limit is reached for certain.
DOUBLINGS = 16


@attrs.define
class Redial:
    """Attempts to dial one address.

    Attributes:
        attempts: Failures in a row.
        next_s: Monotonic time before which the address is left alone.
        dialling: True while an attempt is under way.
        incarnation: Entry that answered there last.
    """

    attempts: int = 0
    next_s: float = 0.0
    dialling: bool = False
    incarnation: str = ""

    def failed(self, now_s: float, rng: random.Random) -> None:
        """Sets the next attempt, with full jitter against stampedes."""
        limit_s = min(LIMIT_S, FIRST_S * 2**self.attempts)
        self.attempts = min(self.attempts + 1, DOUBLINGS)
        self.next_s = now_s + rng.uniform(FIRST_S, limit_s)

    def succeeded(self, now_s: float) -> None:
        """Notes that a stream was opened."""
        self.attempts = 0
        self.next_s = now_s + FIRST_S
