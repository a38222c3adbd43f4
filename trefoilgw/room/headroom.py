"""CPU headroom that is kept free for urgent work.

Load pattern: a burst of long work that can wait. Runs are not preempted, so
without headroom long runs take the whole capacity at once, and urgent work has
none until the first of them end. The CPU that more urgent runs recently used
on average is kept free for them, less what they use now.
"""

import math
from collections.abc import Iterable

import attrs

from trefoilgw.work import core as work
from trefoilgw.work import urgency as urgencies

# Time constant of the exponential moving averages.
AVERAGING_TIME_S = 2.0
# Share of the average use that is kept free; all of it would often stay idle.
HEADROOM_SHARE = 0.75
# Less than this is too small for any run and would only prevent exact fits.
MIN_HEADROOM_MILLICORES = 250


@attrs.define
class Headroom:
    """Average CPU use by urgency class.

    Attributes:
        mean_millicores: Average use by class in millicores.
        updated_s: When the averages were updated last.
    """

    mean_millicores: list[float] = attrs.field(
        factory=lambda: [0.0] * urgencies.CLASS_COUNT
    )
    updated_s: float = 0.0

    def update(self, used: Iterable[tuple[int, int]], now_s: float) -> None:
        """Updates the averages with the current use.

        Args:
            used: Class and millicores of each run.
            now_s: Current time.
        """
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        weight = 1.0 - math.exp(-max(0.0, elapsed_s) / AVERAGING_TIME_S)
        current = _millicores_by_class(used)
        for index in range(urgencies.CLASS_COUNT):
            self.mean_millicores[index] += weight * (
                current[index] - self.mean_millicores[index]
            )

    def required_millicores(
        self, used: Iterable[tuple[int, int]], urgency: int
    ) -> int:
        """Returns the millicores that a run must leave free.

        The headroom is that of all classes more urgent than the run's.

        Args:
            used: Class and millicores of each run.
            urgency: Class of the run.
        """
        current = _millicores_by_class(used)
        average = sum(self.mean_millicores[:urgency])
        headroom = round(HEADROOM_SHARE * average - sum(current[:urgency]))
        return headroom if headroom >= MIN_HEADROOM_MILLICORES else 0


def usable(free: work.Demand, required_millicores: int) -> work.Demand:
    """Returns what a run may use that must leave some CPU free.

    The memory may be used in any case: a run without CPU takes none from more
    urgent ones.

    Args:
        free: Capacity that is neither in use nor reserved.
        required_millicores: CPU that the run must leave free.
    """
    millicores = free.cpu_millicores
    if required_millicores > 0:
        millicores = max(min(0, millicores), millicores - required_millicores)
    return attrs.evolve(free, cpu_millicores=millicores)


def _millicores_by_class(used: Iterable[tuple[int, int]]) -> list[int]:
    """Returns the use of each class in millicores."""
    totals = [0] * urgencies.CLASS_COUNT
    for index, millicores in used:
        totals[index] += millicores
    return totals
