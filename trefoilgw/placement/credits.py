"""The credits that agents lent to this entry.

Every change of an agent goes through this module, which keeps the sums and
the pools of agents to choose from. `core` decides what the credits are spent
on.
"""

import attrs

from trefoilgw.placement import agents


@attrs.define
class CreditBook:
    """Credits by agent, with sums per service.

    Attributes:
        domain: Failure domain of this entry.
        states: Agent by incarnation.
        services: Agents and sums by service.
        lendable: Agents with available credits that are not on probation.
        free: Available credits of all agents.
        total: Free and used credits of all usable agents.
        slots: Slots of all agents.
    """

    domain: str
    states: dict[str, agents.AgentState] = attrs.field(factory=dict)
    services: dict[str, agents.ServiceState] = attrs.field(factory=dict)
    lendable: agents.Pool = attrs.field(factory=agents.Pool)
    free: int = 0
    total: int = 0
    slots: int = 0

    def join(self, state: agents.AgentState) -> None:
        """Adds an agent; one that rejoins starts anew."""
        self.leave(state.agent)
        self.states[state.agent] = state
        self.slots += state.slots
        for service in state.services:
            sums = self.services.setdefault(service, agents.ServiceState())
            sums.slots += state.slots

    def leave(self, agent: str) -> None:
        """Drops an agent with all its credits."""
        state = self.states.get(agent)
        if state is not None:
            self.set_usable(state, False)
            self.slots -= state.slots
            for service in state.services:
                self.services[service].slots -= state.slots
            del self.states[agent]

    def grant(
        self, state: agents.AgentState, lender: str, credits: int, back: int
    ) -> None:
        """Adds free credits.

        Args:
            state: Their agent.
            lender: Whose they are; empty for this entry.
            credits: How many.
            back: How many of them were in use here.
        """
        state.credits[lender] = state.credits.get(lender, 0) + credits
        state.free += credits
        state.in_use -= back
        self._update(state)

    def take(
        self, state: agents.AgentState, lender: str, credits: int, use: bool
    ) -> int:
        """Takes free credits of one lender out of an agent.

        Args:
            state: The agent.
            lender: Whose credits.
            credits: How many at most.
            use: True if they are used here, False if they go away.

        Returns:
            How many were taken.
        """
        held = state.credits.get(lender, 0)
        count = min(credits, held)
        if count == held:
            state.credits.pop(lender, None)
        else:
            state.credits[lender] = held - count
        state.free -= count
        if use:
            state.in_use += count
        self._update(state)
        return count

    def set_usable(
        self,
        state: agents.AgentState,
        usable: bool,
        on_probation: bool = False,
    ) -> None:
        """Sets whether an agent gets work, and whether one task at a time."""
        state.usable = usable
        state.on_probation = on_probation
        state.resting = False
        self.lendable.update(state, False)
        self._update(state)

    def set_resting(self, state: agents.AgentState, resting: bool) -> None:
        """Sets whether an agent on probation may get its next task."""
        state.resting = resting
        self._update(state)

    def _update(self, state: agents.AgentState) -> None:
        """Keeps sums and pools after a change of an agent."""
        available = total = 0
        if state.usable:
            available = state.free
            total = state.free + state.in_use
            if state.on_probation:
                busy = state.in_use or state.resting
                available = 0 if busy else min(1, state.free)
        more = available - state.available
        more_total = total - state.total
        state.available = available
        state.total = total
        self.free += more
        self.total += more_total
        near = state.domain == self.domain
        member = available > 0
        for service in state.services:
            sums = self.services[service]
            sums.free += more
            sums.total += more_total
            if member != (available - more > 0):
                (sums.near if near else sums.far).update(state, member)
        if not state.on_probation:
            self.lendable.update(state, member)

    def groups(self) -> dict[str, str]:
        """Returns for each service the first of those it shares agents with.

        Sharing counts directly or by way of other services.
        """
        parents = {service: service for service in self.services}

        def root(service: str) -> str:
            while parents[service] != service:
                service = parents[service]
            return service

        for services in {state.services for state in self.states.values()}:
            for other in services[1:]:
                first, second = sorted((root(services[0]), root(other)))
                parents[second] = first
        return {service: root(service) for service in parents}
