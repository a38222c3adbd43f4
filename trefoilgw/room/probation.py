"""When a suspect target gets a probe, and when it is trusted again.

Load pattern: a target that works and fails by turns. If one success gave it
back its full share of the work, it would take that work at each turn and lose
it. Each relapse doubles the interval between probes, up to a bound, and a
target that has relapsed must pass two of them.
"""

import math

import attrs

# Interval between probes after a failed one. Less would cost a job an attempt
# for each round trip, as a target that fails at once is always free.
PROBE_INTERVAL_S = 0.25
# Bound of the interval, and so of the time in which a recovery goes unnoticed.
MAX_PROBE_INTERVAL_S = 4.0
# A target that becomes suspect within this time of being trusted has relapsed.
# `health` counts losses of the target over the same time.
FLAP_MEMORY_S = 10.0
# Successes in a row that a target needs after a relapse. Long tasks serve as
# probes, so each more would keep a sound target from its work for seconds.
RELAPSE_PASSES = 2


@attrs.define
class Probation:
    """Probes of one target.

    Attributes:
        relapses: Number of times that the target became suspect again soon.
        passes: Probes that have passed in a row.
        due_s: Time from which the next probe may start.
        trusted_s: Time at which the target was last trusted again.
    """

    relapses: int = 0
    passes: int = 0
    due_s: float = -math.inf
    trusted_s: float = -math.inf

    @property
    def interval_s(self) -> float:
        """Interval between probes in seconds."""
        return min(
            MAX_PROBE_INTERVAL_S,
            PROBE_INTERVAL_S * 2.0 ** min(self.relapses, 8),
        )

    @property
    def needed_passes(self) -> int:
        """Number of probes that must pass in a row."""
        return RELAPSE_PASSES if self.relapses else 1

    def begin(self, now_s: float) -> None:
        """Begins as the target becomes suspect.

        The first probe may follow at once, after a relapse only after the
        interval.
        """
        self.passes = 0
        if now_s - self.trusted_s < FLAP_MEMORY_S:
            self.relapses += 1
            self.due_s = now_s + self.interval_s
        else:
            self.relapses = 0
            self.due_s = -math.inf

    def failed(self, now_s: float) -> None:
        """Notes that a probe has failed."""
        self.passes = 0
        self.due_s = max(self.due_s, now_s + self.interval_s)

    def passed(self, now_s: float) -> bool:
        """Notes that a probe has passed; returns whether that is enough."""
        self.passes += 1
        self.due_s = -math.inf
        if self.passes < self.needed_passes:
            return False
        self.trusted_s = now_s
        return True
