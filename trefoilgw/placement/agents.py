"""Agents with the credits that they lent to this entry.

This module counts; `core` decides where tasks go.
"""

import random
from collections.abc import Collection

import attrs

# Weight of one run time in an agent's slowness. It is small from the first
# one on, because the run times of a kind vary by a factor of 100.
SLOWNESS_WEIGHT = 0.03
# Part of the slowness that is forgotten each time a faster agent is chosen
# instead. An agent that gets no tasks could not show that it has recovered.
SLOWNESS_FORGOTTEN = 0.01
# A single long task must not make its agent look slow.
SLOWNESS_RATIO_LIMIT = 4.0
# Slowness below this is noise of run times that vary by themselves.
NOTABLE_SLOWNESS = 1.3


@attrs.define(eq=False)
class AgentState:
    """One agent as this entry sees it.

    Attributes:
        agent: Incarnation.
        domain: Failure domain.
        services: Services of its target.
        slots: Tasks that its target runs at once.
        credits: Free credits by lender; the empty lender stands for credits
            that the agent lent to this entry itself.
        free: Sum of `credits`.
        in_use: Credits that batches of this entry hold.
        usable: False while nothing may be sent to it.
        on_probation: True if it gets one task at a time.
        resting: True if, on probation, its next task has to wait.
        available: Credits that may be spent now, kept by `credits`.
        total: Free and used credits, 0 while it is not usable; likewise.
        slowness: Its run times relative to those of all agents, 1 is normal.
        load_reported: Tasks at its target, as last reported; for baselines.
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
    resting: bool = False
    available: int = 0
    total: int = 0
    slowness: float = 1.0
    load_reported: int = 0

    @property
    def notable_slowness(self) -> float:
        """Slowness, or 1 if it may be chance."""
        return self.slowness if self.slowness >= NOTABLE_SLOWNESS else 1.0

    def learn(self, ratio: float) -> None:
        """Learns from a run time relative to the mean of its kind."""
        ratio = min(ratio, SLOWNESS_RATIO_LIMIT)
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def passed_over(self) -> None:
        """Forgets some of the slowness after a faster agent was chosen."""
        self.slowness += SLOWNESS_FORGOTTEN * (1.0 - self.slowness)

    def best_lender(self) -> str:
        """Returns whose credits are spent next: the largest part.

        A batch names one lender, so the largest part makes the fewest
        batches. Among equals borrowed credits go first: their lender may
        terminate, and spending them makes them this entry's own.
        """
        return max(self.credits, key=lambda name: (self.credits[name], name))


@attrs.define
class Pool:
    """Agents with available credits; O(1) per change and random choice.

    Attributes:
        members: The agents in no particular order.
        places: Index in `members` by agent.
    """

    members: list[AgentState] = attrs.field(factory=list)
    places: dict[str, int] = attrs.field(factory=dict)

    def update(self, state: AgentState, member: bool) -> None:
        """Adds or removes an agent."""
        place = self.places.get(state.agent)
        if member and place is None:
            self.places[state.agent] = len(self.members)
            self.members.append(state)
        elif not member and place is not None:
            last = self.members.pop()
            del self.places[state.agent]
            if last is not state:
                self.members[place] = last
                self.places[last.agent] = place

    def two_random(
        self, avoid: Collection[str], rng: random.Random
    ) -> list[AgentState]:
        """Returns up to two members that are not in `avoid`.

        Costs O(1 + len(avoid)).
        """
        count = len(self.members)
        if not count:
            return []
        first = self._not_avoided(rng.randrange(count), avoid)
        if first is None or count == 1:
            return [] if first is None else [first]
        second = self._not_avoided(rng.randrange(count), avoid)
        return [first] if second is first else [first, second]

    def _not_avoided(
        self, start: int, avoid: Collection[str]
    ) -> AgentState | None:
        """Returns the first allowed member from `start` on, or None."""
        count = len(self.members)
        for offset in range(min(count, len(avoid) + 1)):
            state = self.members[(start + offset) % count]
            if state.agent not in avoid:
                return state
        return None


@attrs.define
class ServiceState:
    """Agents of one service.

    Attributes:
        near: Agents with available credits in the entry's failure domain.
        far: Those in other domains.
        free: Available credits of all agents.
        total: Free and used credits of all usable agents.
        slots: Slots of all agents.
    """

    near: Pool = attrs.field(factory=Pool)
    far: Pool = attrs.field(factory=Pool)
    free: int = 0
    total: int = 0
    slots: int = 0
