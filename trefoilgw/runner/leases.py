"""The lease of the runs of one target, kept on the target's own clock."""

from collections.abc import Callable

import attrs

# Largest share by which the clock of a target may run slow.
MAX_CLOCK_DRIFT = 0.02
# Time after the end of a lease in which a delayed request may still take
# effect.
LAPSE_MARGIN_S = 0.05


@attrs.define(eq=False)
class TargetLease:
    """The lease of all runs of one target.

    Attributes:
        length_s: Length of a lease in seconds.
        now: Clock in seconds.
        clock_offset_s: Time by which the target's clock is ahead of `now`, None
            if unknown.
        until_s: Time at which all leases on the target have certainly expired.
        end_s: Latest end of a lease that may be in force, on the own clock and
            without the drift. An earlier process may have sent one right before
            this one started.
    """

    length_s: float
    now: Callable[[], float]
    clock_offset_s: float | None = None
    until_s: float = 0.0
    end_s: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.end_s = self.now() + self.length_s

    @property
    def clock_known(self) -> bool:
        """Whether a lease can be expressed on the target's clock."""
        return self.clock_offset_s is not None

    def forget_clock(self) -> None:
        """Forgets the clock of a target that is gone."""
        self.clock_offset_s = None

    def learn_clock(self, clock_s: float | None) -> None:
        """Learns the target's clock from its time in an answer, if given."""
        if clock_s is not None:
            self.clock_offset_s = clock_s - self.now()

    def extend(self, limit_s: float) -> float | None:
        """Returns the end of a new lease on the target's clock.

        Call it right before the lease is sent: from then on it may be in force,
        whether there is an answer or not.

        Args:
            limit_s: Time on the own clock at which the lease ends at the
                latest.

        Returns:
            None if that time is over, so that the lease can't be extended.
        """
        now_s = self.now()
        length_s = min(self.length_s, limit_s - now_s)
        if length_s <= 0.0:
            return None
        lapse_s = length_s * (1.0 + MAX_CLOCK_DRIFT) + LAPSE_MARGIN_S
        self.until_s = max(self.until_s, now_s + lapse_s)
        self.end_s = max(self.end_s, now_s + length_s)
        return now_s + self.clock_offset_s + length_s

    def remaining_s(self) -> float:
        """Returns the seconds for which a lease may still be in force."""
        return max(0.0, self.until_s - self.now())

    def expired(self) -> bool:
        """Returns whether all leases on the target have certainly expired."""
        return self.now() > self.until_s
