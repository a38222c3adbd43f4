"""Fading counts of outcomes per agent and kind, and the records they form.

This module counts; `outliers` judges.
"""

import bisect

import attrs

# Old outcomes fade with this half-life, so that an agent that recovered is
# not judged by last hour's failures.
HALF_LIFE_S = 30.0
# A window holds the weight of at most so many outcomes. After 28 (40 ln 2)
# failures in a row the share is 0.5, however long the good time before was.
WINDOW_OUTCOMES = 40.0
# A kind fails often if its median failure share is at least this.
OFTEN_FAILING_SHARE = 0.25
# Outcomes that a window needs before its share is compared with others.
COMPARED_OUTCOMES = 2.5


@attrs.define(eq=False)
class Window:
    """Outcomes of one kind at one agent, older ones weighing less.

    Attributes:
        outcomes: Weight of all outcomes at `updated_s`.
        failures: Weight of the failed ones.
        updated_s: Monotonic time of the last change.
    """

    outcomes: float
    failures: float
    updated_s: float

    def observe(self, failed: bool, now_s: float) -> None:
        """Adds one outcome."""
        self.fade(now_s)
        self.outcomes += 1.0
        self.failures += failed
        if self.outcomes > WINDOW_OUTCOMES:
            scale = WINDOW_OUTCOMES / self.outcomes
            self.outcomes *= scale
            self.failures *= scale

    def fade(self, now_s: float) -> None:
        """Lets the outcomes fade up to `now_s`."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0.0:
            return
        scale = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.outcomes *= scale
        self.failures *= scale
        self.updated_s = now_s

    @property
    def share(self) -> float:
        """Failed share of the outcomes, 0 to 1."""
        return self.failures / self.outcomes if self.outcomes else 0.0


@attrs.define
class Shares:
    """Sorted failure shares of the agents that ran one kind."""

    values: list[float]

    def median_without(self, own: float | None) -> float | None:
        """Returns the median of the others.

        Args:
            own: A share to leave out, or None.

        Returns:
            The lower median, or None if nobody is left.
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
    """What is known of one agent.

    Attributes:
        windows: Outcomes by kind.
        ejections: Ejections in a row.
        ejected_until_s: End of the ejection, None if not ejected.
        on_probation: True after an ejection until it is readmitted.
        successes: Completed tasks of the probation.
        failures: Failed tasks of the probation.
        readmitted_s: Start of the present full service after an ejection.
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
        """True if neither ejected nor on probation."""
        return self.ejected_until_s is None and not self.on_probation


@attrs.define(eq=False)
class KindRecord:
    """What is known of one kind.

    Attributes:
        windows: Outcomes by agent.
        failing: Agents that fail the kind, kept up to date by `observe`.
        stopped_until_s: When a probe may run, None if not stopped.
        probing: True from the probe's permission to its first outcome.
        released: True from a successful probe to the next check.
    """

    windows: dict[str, Window] = attrs.field(factory=dict)
    failing: set[str] = attrs.field(factory=set)
    stopped_until_s: float | None = None
    probing: bool = False
    released: bool = False

    def shares(self) -> Shares:
        """Returns the failure shares of the agents that ran it lately."""
        return Shares(
            sorted(
                window.share
                for window in self.windows.values()
                if window.outcomes >= COMPARED_OUTCOMES
            )
        )

    @property
    def often_fails(self) -> bool:
        """True if a failure says little about the agent that ran it."""
        median = self.shares().median_without(None)
        return median is not None and median >= OFTEN_FAILING_SHARE
