"""Classes of work by the time that it could wait."""

import math

# One class spans a factor of two; everything below the first is in class 0,
# the most urgent.
FIRST_CLASS_S = 0.05
CLASS_COUNT = 8


def urgency_class(patience_s: float) -> int:
    """Returns the class of work that could wait for some time."""
    if patience_s <= FIRST_CLASS_S:
        return 0
    index = 1 + int(math.log2(patience_s / FIRST_CLASS_S))
    return min(index, CLASS_COUNT - 1)
