"""Urgency classes of work, by the time that it can wait."""

import math

# Upper bound of class 0, the most urgent. Each further class spans a factor of
# two; the last one is unbounded.
FIRST_CLASS_S = 0.05
CLASS_COUNT = 8


def urgency_class(slack_s: float) -> int:
    """Returns the urgency class of work with some slack.

    Args:
        slack_s: Seconds that the work can wait.
    """
    if slack_s <= FIRST_CLASS_S:
        return 0
    index = 1 + int(math.log2(slack_s / FIRST_CLASS_S))
    return min(index, CLASS_COUNT - 1)
