"""Rate at which the runs at a target free room."""

import math

import attrs

# Time over which the rate is averaged, and the ratio of its steps.
WINDOW_S = 1.0
STEP = 1.25


@attrs.define
class FreedRoom:
    """Rate of freed room.

    Attributes:
        millicores: Room freed, decaying.
        since_s: Time of the last decay.
    """

    millicores: float = 0.0
    since_s: float = 0.0

    def record(self, millicores: int) -> None:
        """Notes the end of a run."""
        self.millicores += millicores

    def decay(self, now_s: float) -> None:
        """Lets old ends count less."""
        elapsed_s = max(0.0, now_s - self.since_s)
        self.millicores *= math.exp(-elapsed_s / WINDOW_S)
        self.since_s = now_s

    def rate(self) -> int:
        """Returns millicores a second, in steps so that noise is no news."""
        rate = self.millicores / WINDOW_S
        if rate < 1.0:
            return 0
        return round(STEP ** round(math.log(rate) / math.log(STEP)))
