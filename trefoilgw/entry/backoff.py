"""Exponential backoff of the attempts to dial a peer."""

import random

import attrs

MIN_DELAY_S = 0.1
MAX_DELAY_S = 5.0
# The delay has reached `MAX_DELAY_S` before this many doublings.
MAX_DOUBLINGS = 16


@attrs.define
class DialBackoff:
    """Backoff of the attempts to dial one address.

    Attributes:
        attempts: Consecutive failures, at most `MAX_DOUBLINGS`.
        next_dial_s: Monotonic time of the next attempt, 0 before the first.
        in_progress: True while an attempt is under way.
        incarnation: Incarnation of the entry that answered there last.
    """

    attempts: int = 0
    next_dial_s: float = 0.0
    in_progress: bool = False
    incarnation: str = ""

    def failed(self, now_s: float, rng: random.Random) -> None:
        """Sets the next attempt after a failure.

        The jitter keeps entries from dialing at the same time.
        """
        limit_s = min(MAX_DELAY_S, MIN_DELAY_S * 2**self.attempts)
        self.attempts = min(self.attempts + 1, MAX_DOUBLINGS)
        self.next_dial_s = now_s + rng.uniform(MIN_DELAY_S, limit_s)

    def succeeded(self, now_s: float) -> None:
        """Resets the backoff after a stream was opened."""
        self.attempts = 0
        self.next_dial_s = now_s + MIN_DELAY_S
