"""Room of a target that is slow after its domain was taken back.

Load pattern: a domain is taken back at once, and all schedulers see its idle
targets. Warm ones can take that load. Cold ones would be filled with runs that
are all slow and that end late, so their room rises while they warm up.
"""

import math

import attrs

# Share of a cold target's CPU that is used from the start. Without any load its
# runs would not show whether it works.
MIN_SHARE = 0.25


def usable_share(now_s: float, taken_back_s: float, warm_s: float) -> float:
    """Returns the share of a warming target's CPU that runs may use, 0 to 1.

    It rises linearly from `MIN_SHARE` when the domain is taken back to 1 when
    the target is warm.

    Args:
        now_s: Current time.
        taken_back_s: Time at which the domain was taken back.
        warm_s: Time from which the target is warm.
    """
    if now_s >= warm_s:
        return 1.0
    elapsed_s = max(0.0, now_s - taken_back_s)
    passed = elapsed_s / (warm_s - taken_back_s)
    return MIN_SHARE + (1.0 - MIN_SHARE) * min(1.0, passed)


@attrs.define(eq=False)
class WarmUp:
    """Warm-up of a target after an evacuation.

    Attributes:
        warm_s: Time from which the target is warm, as it last reported.
        taken_back_s: Time at which its domain was taken back while it was
            cold; None if it is not warming up after an evacuation.
    """

    warm_s: float = -math.inf
    taken_back_s: float | None = None

    def reported(self, cold_s: float, now_s: float) -> None:
        """Notes for how long the target stays cold, as it reports itself."""
        self.warm_s = now_s + cold_s

    def domain_taken_back(self, now_s: float) -> None:
        """Starts the warm-up if the target is cold."""
        self.taken_back_s = now_s if now_s < self.warm_s else None

    def share(self, now_s: float) -> float:
        """Returns the share of the CPU that may be used now, 0 to 1."""
        if self.taken_back_s is None:
            return 1.0
        share = usable_share(now_s, self.taken_back_s, self.warm_s)
        if share >= 1.0:
            self.taken_back_s = None
        return share
