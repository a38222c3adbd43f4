"""Changes that the statistics of outcomes ask for.

The entry carries them out at its placement and admission.
"""

import attrs


@attrs.frozen
class Eject:
    """The agent gets no work until its probation.

    Attributes:
        agent: Incarnation.
        duration_s: Seconds until the probation.
        failed_share: Failed share of its tasks, 0 to 1.
        expected_share: Median of the other agents for the same kinds.
    """

    agent: str
    duration_s: float
    failed_share: float
    expected_share: float


@attrs.frozen
class Probe:
    """The agent is on probation: one task at a time."""

    agent: str


@attrs.frozen
class Readmit:
    """The agent is back in full service."""

    agent: str


@attrs.frozen
class PoisonKind:
    """New work of the kind is refused; `admit_kind` says when to probe it.

    Attributes:
        kind: Name.
        agents: Agents that ran the kind lately.
        failing: Those of them that fail it.
    """

    kind: str
    agents: int
    failing: int


@attrs.frozen
class KindReleased:
    """The probe of a stopped kind succeeded; it is accepted again."""

    kind: str


Change = Eject | Probe | Readmit | PoisonKind | KindReleased
