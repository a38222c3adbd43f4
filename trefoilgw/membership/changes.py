"""Changes that `OutlierDetector.check` returns.

The entry applies them to its placement and admission.
"""

import attrs


@attrs.frozen
class Eject:
    """The agent gets no work until its probation starts.

    Attributes:
        agent: Incarnation of the agent.
        duration_s: Seconds until the probation starts.
        failed_share: Failed share of its tasks, 0 to 1.
        expected_share: Median failed share, 0 to 1, of the other agents for
            the same kinds.
    """

    agent: str
    duration_s: float
    failed_share: float
    expected_share: float


@attrs.frozen
class Probe:
    """The agent is on probation and gets one task at a time."""

    agent: str


@attrs.frozen
class Readmit:
    """The agent is back in full service."""

    agent: str


@attrs.frozen
class PoisonKind:
    """New jobs of the kind are refused until `admit_kind` permits a probe job.

    Attributes:
        kind: Name of the kind.
        agents: Number of agents that ran the kind recently.
        failing: Number of these agents on which the kind fails.
    """

    kind: str
    agents: int
    failing: int


@attrs.frozen
class KindReleased:
    """The probe job of a stopped kind succeeded; new jobs are accepted."""

    kind: str


Change = Eject | Probe | Readmit | PoisonKind | KindReleased
