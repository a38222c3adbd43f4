"""Choices without credits, to compare with: random, round robin, least busy.

An agent may get more tasks than it has slots; the rest waits there.
"""

import collections
import enum
import random
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from trefoilgw.placement import agents


class Policy(enum.StrEnum):
    """How an agent is chosen; all but the first are baselines."""

    CREDITS = "credits"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_BUSY = "least_busy"


@attrs.define
class Baseline:
    """Chooses agents by one of the baseline policies.

    Attributes:
        policy: Which one.
        rng: Source of random choices.
        turn: Next agent for round robin.
    """

    policy: Policy
    rng: random.Random
    turn: int = 0

    def slots(
        self, states: Mapping[str, agents.AgentState], service: str
    ) -> int:
        """Returns the slots of all usable agents of a service."""
        return sum(state.slots for state in _usable(states, service, ()))

    def assign(
        self,
        states: Mapping[str, agents.AgentState],
        service: str,
        avoid: Collection[str],
        tasks: int,
    ) -> list[tuple[agents.AgentState, int]]:
        """Returns agents with the number of tasks that each gets.

        Args:
            states: All agents.
            service: Service that the tasks need.
            avoid: Agents that must not get the tasks.
            tasks: Tasks to place.
        """
        usable = _usable(states, service, avoid)
        counts: dict[str, int] = collections.defaultdict(int)
        for _ in range(tasks if usable else 0):
            counts[self._pick(usable, counts).agent] += 1
        return [(states[name], count) for name, count in counts.items()]

    def _pick(
        self, states: Sequence[agents.AgentState], counts: dict[str, int]
    ) -> agents.AgentState:
        """Returns the agent of one task."""
        match self.policy:
            case Policy.RANDOM:
                return self.rng.choice(states)
            case Policy.ROUND_ROBIN:
                self.turn += 1
                return states[self.turn % len(states)]
            case Policy.LEAST_BUSY:
                return min(
                    states,
                    key=lambda state: (
                        state.load_reported + counts.get(state.agent, 0),
                        self.rng.random(),
                    ),
                )
        raise ValueError(f"not a baseline: {self.policy}")


def _usable(
    states: Mapping[str, agents.AgentState],
    service: str,
    avoid: Collection[str],
) -> list[agents.AgentState]:
    """Returns the agents that may be chosen."""
    return [
        state
        for state in states.values()
        if state.usable
        and service in state.services
        and state.agent not in avoid
    ]
