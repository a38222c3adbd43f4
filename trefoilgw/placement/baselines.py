"""Baseline policies for comparison: random, round robin and least busy.

They ignore credits, so an agent may be assigned more tasks than it has slots;
the excess tasks wait at the agent.
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
    """Policy that selects agents; all but `CREDITS` are baselines."""

    CREDITS = "credits"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_BUSY = "least_busy"


@attrs.define
class Baseline:
    """Selects agents by a baseline policy.

    Attributes:
        policy: Policy to apply, not `Policy.CREDITS`.
        rng: Random number generator.
        selections: Number of round-robin selections; modulo the number of
            usable agents, it is the index of the last one.
    """

    policy: Policy
    rng: random.Random
    selections: int = 0

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
        """Distributes tasks among the usable agents of a service.

        Args:
            states: State of all agents by incarnation.
            service: Service that the tasks need.
            avoid: Agents that must not be assigned these tasks.
            tasks: Number of tasks to assign.

        Returns:
            The selected agents with the number of tasks for each; empty if no
            agent is allowed.
        """
        usable = _usable(states, service, avoid)
        counts: dict[str, int] = collections.defaultdict(int)
        for _ in range(tasks if usable else 0):
            counts[self._pick(usable, counts).agent] += 1
        return [(states[name], count) for name, count in counts.items()]

    def _pick(
        self, states: Sequence[agents.AgentState], counts: dict[str, int]
    ) -> agents.AgentState:
        """Returns the agent for the next task.

        Args:
            states: Usable agents, at least one.
            counts: Tasks assigned in this call so far, by incarnation.

        Raises:
            ValueError: `policy` is not a baseline.
        """
        match self.policy:
            case Policy.RANDOM:
                return self.rng.choice(states)
            case Policy.ROUND_ROBIN:
                self.selections += 1
                return states[self.selections % len(states)]
            case Policy.LEAST_BUSY:
                return min(
                    states,
                    key=lambda state: (
                        state.reported_load + counts.get(state.agent, 0),
                        self.rng.random(),
                    ),
                )
        raise ValueError(f"not a baseline policy: {self.policy}")


def _usable(
    states: Mapping[str, agents.AgentState],
    service: str,
    avoid: Collection[str],
) -> list[agents.AgentState]:
    """Returns the usable agents of a service that are not in `avoid`."""
    return [
        state
        for state in states.values()
        if state.usable
        and service in state.services
        and state.agent not in avoid
    ]
