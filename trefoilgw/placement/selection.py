"""The choice of agents: own domain first, then two random choices.

Source of two random choices: Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001. Here they spread work over agents that all
have free credits, so the choice is about speed and about keeping room.
"""

import random
from collections.abc import Collection

import attrs

from trefoilgw.placement import agents
from trefoilgw.placement import credits as credit_book

# An agent on probation gets one task at a time, and no sooner than this after
# the one before. A task that fails at once would else be followed by hundreds
# before the failures are judged.
PROBE_INTERVAL_S = 0.3


@attrs.define
class Chooser:
    """Chooses agents by free credits and speed.

    Attributes:
        book: Credits by agent.
        rng: Source of random choices.
        resting: Agents on probation with the time of their next task.
    """

    book: credit_book.CreditBook
    rng: random.Random
    resting: dict[str, float] = attrs.field(factory=dict)

    def end_rests(self, now_s: float) -> None:
        """Lets agents on probation get their next task."""
        while self.resting:
            agent, until_s = next(iter(self.resting.items()))
            if now_s < until_s:
                return
            del self.resting[agent]
            state = self.book.states.get(agent)
            if state is not None:
                self.book.set_resting(state, False)

    def spend(
        self,
        pools: agents.ServiceState,
        credits: int,
        avoid: Collection[str],
        now_s: float,
    ) -> list[tuple[agents.AgentState, str, int]]:
        """Takes credits of chosen agents until there are enough."""
        chosen = []
        while credits > 0:
            state = self._choose(pools, avoid)
            if state is None:
                break
            lender = state.best_lender()
            wanted = min(credits, state.available)
            count = self.book.take(state, lender, wanted, use=True)
            chosen.append((state, lender, count))
            credits -= count
            if state.on_probation:
                self.resting[state.agent] = now_s + PROBE_INTERVAL_S
                self.book.set_resting(state, True)
        return chosen

    def _choose(
        self, pools: agents.ServiceState, avoid: Collection[str]
    ) -> agents.AgentState | None:
        """Returns the better of two random agents, near ones first."""
        near = self._better(pools.near.two_random(avoid, self.rng))
        if near is not None and near.notable_slowness == 1.0:
            return near
        far = self._better(pools.far.two_random(avoid, self.rng))
        if near is None or far is None:
            return near or far
        return far if far.notable_slowness < near.slowness else near

    def _better(
        self, states: list[agents.AgentState]
    ) -> agents.AgentState | None:
        """Returns the faster agent, among equals the one with more room."""
        if not states:
            return None
        best = min(
            states,
            key=lambda state: (state.notable_slowness, -state.available),
        )
        for state in states:
            if state.notable_slowness > best.notable_slowness:
                state.passed_over()
        return best
