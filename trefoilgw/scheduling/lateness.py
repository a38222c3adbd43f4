"""How late a scheduler handles what arrives.

Load pattern: the balancer gives a small host more callers than its processor
can serve. Every message and every request then waits before it is handled. Jobs
are answered late, and offers of capacity lapse unanswered, so that runners keep
capacity reserved that other schedulers could use. A scheduler that rejects what
it would answer late has time for the rest.
"""

import attrs

# Lateness below this is that of a loop with some work, and of its timers.
TOLERATED_S = 0.05
# Weight of a new measurement in the moving average. With a measurement every
# 0.05 s a single stall of 0.2 s stays below what is tolerated.
MEASUREMENT_WEIGHT = 0.2
# Bounds a single measurement: a process that was stopped is not short of
# processor time.
MAX_MEASUREMENT_S = 0.25


@attrs.define(eq=False)
class Lateness:
    """Moving average of the lateness of a process.

    Attributes:
        mean_s: The average in seconds.
    """

    mean_s: float = 0.0

    def measure(self, late_s: float) -> None:
        """Adds a measurement.

        Args:
            late_s: Seconds by which a timer was called late.
        """
        bounded_s = min(MAX_MEASUREMENT_S, max(0.0, late_s))
        self.mean_s += MEASUREMENT_WEIGHT * (bounded_s - self.mean_s)

    @property
    def delay_s(self) -> float:
        """Expected delay of what arrives in seconds; 0 if it is tolerated."""
        return self.mean_s if self.mean_s > TOLERATED_S else 0.0
