"""Rate at which ended runs free the CPU of a target."""

import math

import attrs

# Time constant of the exponential decay.
DECAY_TIME_S = 1.0
# Ratio between neighboring values of the reported rate.
STEP_RATIO = 2.0


@attrs.define
class FreedCpuRate:
    """Exponentially decaying sum of the CPU that ended runs have freed.

    Attributes:
        millicores: The decaying sum.
        decayed_s: Time of the last decay.
    """

    millicores: float = 0.0
    decayed_s: float = 0.0

    def record(self, millicores: int) -> None:
        """Adds the CPU that a run has freed."""
        self.millicores += millicores

    def decay(self, now_s: float) -> None:
        """Decays the sum by the time since the last decay."""
        elapsed_s = max(0.0, now_s - self.decayed_s)
        self.millicores *= math.exp(-elapsed_s / DECAY_TIME_S)
        self.decayed_s = now_s

    def quantized(self) -> int:
        """Returns the rate in millicores per second, rounded to a step.

        The steps keep noise from causing a new report at each change.
        """
        rate = self.millicores / DECAY_TIME_S
        if rate < 1.0:
            return 0
        return round(STEP_RATIO ** round(math.log(rate) / math.log(STEP_RATIO)))
