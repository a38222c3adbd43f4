"""Selection of agents by the power of two random choices.

Agents of this entry's failure domain are preferred. The method is from
Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
Here it distributes tasks among agents that all have free credits, so the
candidates are compared by speed first and then by available credits.
"""

import random
from collections.abc import Collection

import attrs

from trefoilgw.placement import agents
from trefoilgw.placement import credits as credit_book

# Minimum interval between two tasks of an agent on probation, which is also
# assigned only one task at a time. Otherwise, if its tasks fail at once, it
# would be assigned hundreds of them before the failures are evaluated.
PROBE_INTERVAL_S = 0.3


@attrs.define
class AgentSelector:
    """Selects agents by free credits and speed.

    Attributes:
        book: Credits and state of each agent.
        rng: Random number generator.
        next_probe_s: Monotonic time in seconds from which an agent on
            probation may be assigned its next task, by incarnation.
    """

    book: credit_book.CreditBook
    rng: random.Random
    next_probe_s: dict[str, float] = attrs.field(factory=dict)

    def resume_probes(self, now_s: float) -> None:
        """Ends the wait of agents on probation whose interval has passed."""
        while self.next_probe_s:
            agent, until_s = next(iter(self.next_probe_s.items()))
            if now_s < until_s:
                return
            del self.next_probe_s[agent]
            state = self.book.states.get(agent)
            if state is not None:
                self.book.set_probe_delayed(state, False)

    def spend(
        self,
        service_state: agents.ServiceState,
        credits: int,
        avoid: Collection[str],
        now_s: float,
    ) -> list[tuple[agents.AgentState, str, int]]:
        """Selects agents and spends their credits.

        Args:
            service_state: Agents and credit sums of the service.
            credits: Number of credits to spend.
            avoid: Agents that must not be selected.
            now_s: Monotonic time in seconds.

        Returns:
            Agent, lender and number of credits of each selection. The sum may
            be lower than `credits` if the allowed agents have fewer.
        """
        chosen = []
        while credits > 0:
            state = self._choose(service_state, avoid)
            if state is None:
                break
            lender = state.best_lender()
            wanted = min(credits, state.available)
            count = self.book.take(state, lender, wanted, use=True)
            chosen.append((state, lender, count))
            credits -= count
            if state.on_probation:
                self.next_probe_s[state.agent] = now_s + PROBE_INTERVAL_S
                self.book.set_probe_delayed(state, True)
        return chosen

    def _choose(
        self, service_state: agents.ServiceState, avoid: Collection[str]
    ) -> agents.AgentState | None:
        """Selects an agent, preferring this entry's failure domain.

        An agent of another domain is selected only if it is faster than the
        local candidate, or if there is no local one. Returns None if no agent
        is allowed.
        """
        local_agent = self._better(
            service_state.same_domain.sample_two(avoid, self.rng)
        )
        if local_agent is not None and local_agent.effective_slowness == 1.0:
            return local_agent
        remote_agent = self._better(
            service_state.other_domains.sample_two(avoid, self.rng)
        )
        if local_agent is None or remote_agent is None:
            return local_agent or remote_agent
        return (
            remote_agent
            if remote_agent.effective_slowness < local_agent.slowness
            else local_agent
        )

    def _better(
        self, states: list[agents.AgentState]
    ) -> agents.AgentState | None:
        """Returns the faster agent, or on a tie the one with more credits.

        Decays the slowness of an agent that is passed over. Returns None if
        `states` is empty.
        """
        if not states:
            return None
        best = min(
            states,
            key=lambda state: (state.effective_slowness, -state.available),
        )
        for state in states:
            if state.effective_slowness > best.effective_slowness:
                state.decay_slowness()
        return best
