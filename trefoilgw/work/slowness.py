"""Wire form of a target's slowness: the ratio of actual to expected run time.

It is the binary logarithm in steps, shifted so that it fits in one byte. The
steps keep noise from causing new reports.
"""

import math

# Steps for each factor of two; one step is 9%.
STEPS_PER_DOUBLING = 8
STEP = math.log(2.0) / STEPS_PER_DOUBLING
# A target that is slower or faster by more than this factor counts as this.
MAX_SLOWNESS = 8.0
MAX_STEP = round(STEPS_PER_DOUBLING * math.log2(MAX_SLOWNESS))
# Code of a slowness that is not known: of a runner of an earlier release, of
# one that has restarted, or of a target with few runs.
UNKNOWN = 0
# Code of a target that is as fast as expected.
NORMAL = 32


def to_code(log_slowness: float) -> int:
    """Returns the wire form of the logarithm of a slowness.

    >>> to_code(0.0), to_code(math.log(2.0)), to_code(-9.0)
    (32, 40, 8)
    """
    steps = round(log_slowness / STEP)
    return NORMAL + min(MAX_STEP, max(-MAX_STEP, steps))


def is_valid(code: object) -> bool:
    """Returns whether a code is `UNKNOWN` or one that `to_code` returns."""
    if not isinstance(code, int):
        return False
    return code == UNKNOWN or abs(code - NORMAL) <= MAX_STEP


def steps_of(code: object) -> int | None:
    """Returns the steps above the expected time, None if not known or invalid.

    >>> steps_of(40), steps_of(0), steps_of(-3), steps_of(1000)
    (8, None, None, None)
    """
    if code == UNKNOWN or not is_valid(code):
        return None
    return code - NORMAL


def from_steps(steps: float) -> float:
    """Returns the slowness for a number of steps, within the bounds."""
    bounded = min(float(MAX_STEP), max(-float(MAX_STEP), steps))
    return 2.0 ** (bounded / STEPS_PER_DOUBLING)
