"""Rates at which work of the urgency classes uses CPU, and their wire form."""

import math
from collections.abc import Iterable

import attrs

# Time constant of the exponential decay, the same as that of arrival rates.
DECAY_TIME_S = 1.0
# Steps of the wire form for each factor of two. The figures of a second
# fluctuate by more than half a step.
STEPS_PER_DOUBLING = 2
# Rates below this are sent as 0: the load has ended. Millicores per second.
LEAST_RATE = 100.0
# Bounds what is read from a message: 2**32 millicores per second.
MAX_STEP = 64


def to_step(rate: float) -> int:
    """Returns the wire form of a rate in millicores per second.

    It is the binary logarithm in steps, which takes one byte.

    >>> to_step(0.0), to_step(1024.0)
    (0, 20)
    """
    if rate < LEAST_RATE:
        return 0
    return min(MAX_STEP, round(STEPS_PER_DOUBLING * math.log2(rate)))


def from_step(step: int) -> float:
    """Returns the rate in millicores per second; 0 for an invalid step.

    >>> from_step(0), from_step(20)
    (0.0, 1024.0)
    """
    if step <= 0:
        return 0.0
    return 2.0 ** (min(step, MAX_STEP) / STEPS_PER_DOUBLING)


@attrs.define(eq=False)
class CpuRates:
    """Decaying sums of the CPU of tasks, by urgency class.

    Attributes:
        millicores: The decaying sums.
        decayed_s: Time of the last decay.
    """

    millicores: dict[int, float] = attrs.field(factory=dict)
    decayed_s: float = 0.0

    def record(self, urgency: int, millicores: int) -> None:
        """Adds the CPU of some tasks."""
        known = self.millicores.get(urgency, 0.0)
        self.millicores[urgency] = known + millicores

    def decay(self, now_s: float) -> None:
        """Decays the sums by the time since the last decay."""
        factor = math.exp(-max(0.0, now_s - self.decayed_s) / DECAY_TIME_S)
        self.decayed_s = now_s
        for urgency, known in list(self.millicores.items()):
            self.millicores[urgency] = known * factor
            if known * factor < 1.0:
                del self.millicores[urgency]

    def below(self, urgency: int) -> float:
        """Returns the rate of the more urgent classes in millicores/s."""
        total = sum(x for c, x in self.millicores.items() if c < urgency)
        return total / DECAY_TIME_S

    def total(self) -> float:
        """Returns the rate of all classes in millicores per second."""
        return sum(self.millicores.values()) / DECAY_TIME_S


def steps_of(meters: Iterable[CpuRates]) -> tuple[int, ...]:
    """Returns the wire form of the sums of some rates by urgency class.

    It ends with the last class that has any, and has at least one item:
    without items it means that nothing was measured.
    """
    sums: dict[int, float] = {}
    for meter in meters:
        for urgency, known in meter.millicores.items():
            sums[urgency] = sums.get(urgency, 0.0) + known
    steps = [
        to_step(sums.get(x, 0.0) / DECAY_TIME_S)
        for x in range(max(sums, default=0) + 1)
    ]
    while len(steps) > 1 and not steps[-1]:
        steps.pop()
    return tuple(steps)
