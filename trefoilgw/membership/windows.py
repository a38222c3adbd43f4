"""Exponentially decaying counts of outcomes, and the records of them.

This module only counts; `outliers` decides on ejections and stops.
"""

import bisect

import attrs

# Half-life of the weight of an outcome, so that failures of an hour ago don't
# count against an agent that has recovered.
HALF_LIFE_S = 30.0
# Highest weight of a window. After 28 (40 ln 2) failures in a row the failure
# share is 0.5, however many successes came before.
MAX_WINDOW_OUTCOMES = 40.0
# A kind often fails if its median failure share is at least this.
MIN_OFTEN_FAILING_SHARE = 0.25
# Weight below which a window's failure share is not compared with others.
MIN_COMPARED_OUTCOMES = 2.5


@attrs.define(eq=False)
class Window:
    """Outcomes of one kind at one agent, weighted by their age.

    Attributes:
        outcomes: Weight of all outcomes at `updated_s`.
        failures: Weight of the failed outcomes at `updated_s`.
        updated_s: Monotonic time up to which the weights are decayed.
    """

    outcomes: float
    failures: float
    updated_s: float

    def observe(self, failed: bool, now_s: float) -> None:
        """Adds one outcome and caps the weight at `MAX_WINDOW_OUTCOMES`."""
        self.decay(now_s)
        self.outcomes += 1.0
        self.failures += failed
        if self.outcomes > MAX_WINDOW_OUTCOMES:
            scale = MAX_WINDOW_OUTCOMES / self.outcomes
            self.outcomes *= scale
            self.failures *= scale

    def decay(self, now_s: float) -> None:
        """Decays the weights up to the monotonic time `now_s`."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0.0:
            return
        scale = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.outcomes *= scale
        self.failures *= scale
        self.updated_s = now_s

    @property
    def failure_share(self) -> float:
        """Failed share of the outcomes, 0 to 1."""
        return self.failures / self.outcomes if self.outcomes else 0.0


@attrs.define
class FailureShares:
    """Failure shares of the agents that ran one kind.

    Attributes:
        values: Shares, 0 to 1, in ascending order.
    """

    values: list[float]

    def median_without(self, own: float | None) -> float | None:
        """Returns the median of the shares without one of them.

        Args:
            own: The share to leave out, None to leave out none.

        Returns:
            The lower median, or None if no share remains.
        """
        count = len(self.values)
        own_index = count
        if own is not None:
            own_index = bisect.bisect_left(self.values, own)
            count -= own_index < len(self.values)
        if count <= 0:
            return None
        middle = (count - 1) // 2
        return self.values[middle + (middle >= own_index)]


@attrs.define(eq=False)
class AgentRecord:
    """Outcomes and ejection state of one agent.

    Attributes:
        windows: Window of each kind, by name.
        ejections: Consecutive ejections, which set the length of the next one.
        ejected_until_s: Monotonic end of the ejection, None if not ejected.
        on_probation: True from the end of an ejection until the agent is
            readmitted or ejected again.
        successes: Tasks completed during the probation.
        failures: Tasks failed during the probation.
        readmitted_s: Monotonic time of the last readmission, 0 if none.
    """

    windows: dict[str, Window] = attrs.field(factory=dict)
    ejections: int = 0
    ejected_until_s: float | None = None
    on_probation: bool = False
    successes: int = 0
    failures: int = 0
    readmitted_s: float = 0.0

    @property
    def in_full_service(self) -> bool:
        """True if the agent is neither ejected nor on probation."""
        return self.ejected_until_s is None and not self.on_probation


@attrs.define(eq=False)
class KindRecord:
    """Outcomes of one kind and whether it is stopped.

    Attributes:
        windows: Window of each agent, by incarnation.
        failing: Agents on which the kind fails; `OutlierDetector.observe`
            updates it.
        stopped_until_s: Monotonic time from which a probe may run, None if the
            kind is not stopped.
        probing: True from the permission of a probe to its first outcome.
        released: True from a successful probe to the next check.
    """

    windows: dict[str, Window] = attrs.field(factory=dict)
    failing: set[str] = attrs.field(factory=set)
    stopped_until_s: float | None = None
    probing: bool = False
    released: bool = False

    def failure_shares(self) -> FailureShares:
        """Returns the failure shares of agents that ran the kind recently."""
        return FailureShares(
            sorted(
                window.failure_share
                for window in self.windows.values()
                if window.outcomes >= MIN_COMPARED_OUTCOMES
            )
        )

    @property
    def often_fails(self) -> bool:
        """True if the kind fails so often that a failure is weak evidence.

        Such a failure does not count against an agent on probation.
        """
        median = self.failure_shares().median_without(None)
        return median is not None and median >= MIN_OFTEN_FAILING_SHARE
