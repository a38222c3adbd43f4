"""State of the agents and of the credits that they granted to this entry.

This module only keeps the state; `core` decides where tasks run.
"""

import random
from collections.abc import Collection

import attrs

# Weight of a single run time in the moving average of an agent's slowness.
# It is small even for the first sample, because the run times of a kind vary
# by a factor of 100.
SLOWNESS_WEIGHT = 0.03
# Fraction by which an agent's slowness returns towards 1 each time a faster
# agent is selected instead. An agent that is assigned no tasks has no run
# times that could show its recovery.
SLOWNESS_DECAY = 0.01
# Upper bound of a run-time ratio, so that a single long task does not make
# its agent look slow.
MAX_SLOWNESS_RATIO = 4.0
# Slowness below this value is treated as normal variation of run times.
MIN_SIGNIFICANT_SLOWNESS = 1.3


@attrs.define(eq=False)
class AgentState:
    """State of one agent as this entry knows it.

    Attributes:
        agent: Incarnation of the agent.
        domain: Failure domain of the agent.
        services: Services of its target.
        slots: Maximum number of tasks that its target runs at the same time.
        credits: Free credits by lender; the empty string stands for credits
            that the agent granted directly to this entry.
        free: Sum of `credits`.
        in_use: Credits spent on unfinished batches of this entry.
        usable: False while the agent must not be assigned tasks.
        on_probation: True if the agent is assigned one task at a time.
        probe_delayed: True while an agent on probation must wait for its next
            task.
        available: Credits that may be spent now; updated by `CreditBook`.
        total: Free and used credits, 0 while the agent is not usable; updated
            by `CreditBook`.
        slowness: Moving average of its run times relative to the mean of
            their kinds; 1 is normal.
        reported_load: Last reported number of tasks at its target; used by
            baselines only.
    """

    agent: str
    domain: str
    services: tuple[str, ...]
    slots: int
    credits: dict[str, int] = attrs.field(factory=dict)
    free: int = 0
    in_use: int = 0
    usable: bool = True
    on_probation: bool = False
    probe_delayed: bool = False
    available: int = 0
    total: int = 0
    slowness: float = 1.0
    reported_load: int = 0

    @property
    def effective_slowness(self) -> float:
        """Slowness, or 1 if it is within the normal variation."""
        return (
            self.slowness if self.slowness >= MIN_SIGNIFICANT_SLOWNESS else 1.0
        )

    def update_slowness(self, ratio: float) -> None:
        """Adds a run time, relative to the mean of its kind, to the average."""
        ratio = min(ratio, MAX_SLOWNESS_RATIO)
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def decay_slowness(self) -> None:
        """Moves the slowness towards 1 after a faster agent was selected."""
        self.slowness += SLOWNESS_DECAY * (1.0 - self.slowness)

    def best_lender(self) -> str:
        """Returns the lender with the most free credits at this agent.

        A batch names one lender, so spending the largest share first takes
        the fewest batches. On a tie, borrowed credits are spent first: they
        are lost if their lender terminates, whereas spent credits come back
        as this entry's own.
        """
        return max(self.credits, key=lambda name: (self.credits[name], name))


@attrs.define
class AgentSet:
    """Set of agents with updates and random selection in O(1).

    Attributes:
        members: The agents in arbitrary order.
        positions: Index in `members` by incarnation.
    """

    members: list[AgentState] = attrs.field(factory=list)
    positions: dict[str, int] = attrs.field(factory=dict)

    def update(self, state: AgentState, member: bool) -> None:
        """Adds the agent if `member` is true, otherwise removes it."""
        position = self.positions.get(state.agent)
        if member and position is None:
            self.positions[state.agent] = len(self.members)
            self.members.append(state)
        elif not member and position is not None:
            last = self.members.pop()
            del self.positions[state.agent]
            if last is not state:
                self.members[position] = last
                self.positions[last.agent] = position

    def sample_two(
        self, avoid: Collection[str], rng: random.Random
    ) -> list[AgentState]:
        """Returns up to two random members that are not in `avoid`.

        Takes O(1 + len(avoid)) time.
        """
        count = len(self.members)
        if not count:
            return []
        first = self._first_allowed(rng.randrange(count), avoid)
        if first is None or count == 1:
            return [] if first is None else [first]
        second = self._first_allowed(rng.randrange(count), avoid)
        return [first] if second is first else [first, second]

    def _first_allowed(
        self, start: int, avoid: Collection[str]
    ) -> AgentState | None:
        """Returns the first member from index `start` on not in `avoid`.

        The search wraps around. Returns None if all members are avoided.
        """
        count = len(self.members)
        for offset in range(min(count, len(avoid) + 1)):
            state = self.members[(start + offset) % count]
            if state.agent not in avoid:
                return state
        return None


@attrs.define
class ServiceState:
    """Agents and credit sums of one service.

    Attributes:
        same_domain: Agents with available credits in this entry's failure
            domain.
        other_domains: Agents with available credits in other failure domains.
        free: Available credits of all agents.
        total: Free and used credits of all usable agents.
        slots: Slots of all agents, whether usable or not.
    """

    same_domain: AgentSet = attrs.field(factory=AgentSet)
    other_domains: AgentSet = attrs.field(factory=AgentSet)
    free: int = 0
    total: int = 0
    slots: int = 0
