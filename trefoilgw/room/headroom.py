"""Room kept free for urgent work.

Load pattern: a burst of long work that can wait. Runs are not interrupted, so
without a reserve long runs fill all room at once, and urgent work finds none
until the first of them end. The room that more urgent runs lately used on
average is kept free for them, as far as they don't use it now.
"""

import math
from collections.abc import Iterable

import attrs

from trefoilgw.work import urgency as urgencies

# Time over which the use of room is averaged.
WINDOW_S = 2.0
# Share of the average use that is kept free: all of it would often stay idle.
KEPT_SHARE = 0.75
# Less than this is too small for any run and would only spoil exact fits.
LEAST_MILLICORES = 250


@attrs.define
class Headroom:
    """Use of the room by urgency.

    Attributes:
        mean: Average use by class in millicores.
        updated_s: When the averages were updated last.
    """

    mean: list[float] = attrs.field(
        factory=lambda: [0.0] * urgencies.CLASS_COUNT
    )
    updated_s: float = 0.0

    def update(self, used: Iterable[tuple[int, int]], now_s: float) -> None:
        """Takes the current use into the averages.

        Args:
            used: Class and millicores of each run.
            now_s: Current time.
        """
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        weight = 1.0 - math.exp(-max(0.0, elapsed_s) / WINDOW_S)
        now = _by_class(used)
        for index in range(urgencies.CLASS_COUNT):
            self.mean[index] += weight * (now[index] - self.mean[index])

    def kept(self, used: Iterable[tuple[int, int]], urgency: int) -> int:
        """Returns the millicores that a run must leave free.

        Args:
            used: Class and millicores of each run.
            urgency: Class of the run.
        """
        now = _by_class(used)
        usual = sum(self.mean[:urgency])
        kept = round(KEPT_SHARE * usual - sum(now[:urgency]))
        return kept if kept >= LEAST_MILLICORES else 0


def _by_class(used: Iterable[tuple[int, int]]) -> list[int]:
    """Returns the use of each class in millicores."""
    found = [0] * urgencies.CLASS_COUNT
    for index, millicores in used:
        found[index] += millicores
    return found
