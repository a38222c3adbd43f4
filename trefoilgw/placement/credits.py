"""Accounts of the credits that agents granted to this entry.

All changes of an agent's credits and availability go through this module,
which keeps the sums per service and the sets of selectable agents up to date.
`core` decides what the credits are spent on.
"""

import attrs

from trefoilgw.placement import agents


@attrs.define
class CreditBook:
    """Credits of each agent, with sums per service.

    Attributes:
        domain: Failure domain of this entry.
        states: State of each agent by incarnation.
        services: Agents and credit sums by service.
        lendable: Agents with available credits that are not on probation.
        free: Available credits of all agents.
        total: Free and used credits of all usable agents.
        slots: Slots of all agents.
    """

    domain: str
    states: dict[str, agents.AgentState] = attrs.field(factory=dict)
    services: dict[str, agents.ServiceState] = attrs.field(factory=dict)
    lendable: agents.AgentSet = attrs.field(factory=agents.AgentSet)
    free: int = 0
    total: int = 0
    slots: int = 0

    def join(self, state: agents.AgentState) -> None:
        """Adds an agent, replacing an earlier state and its credits."""
        self.leave(state.agent)
        self.states[state.agent] = state
        self.slots += state.slots
        for service in state.services:
            service_state = self.services.setdefault(
                service, agents.ServiceState()
            )
            service_state.slots += state.slots

    def leave(self, agent: str) -> None:
        """Removes an agent and all its credits."""
        state = self.states.get(agent)
        if state is not None:
            self.set_usable(state, False)
            self.slots -= state.slots
            for service in state.services:
                self.services[service].slots -= state.slots
            del self.states[agent]

    def grant(
        self, state: agents.AgentState, lender: str, credits: int, released: int
    ) -> None:
        """Adds free credits.

        Args:
            state: Agent of the credits.
            lender: Entry to which the agent granted them; empty for this
                entry.
            credits: Number of credits.
            released: Number of these credits that were in use by batches of
                this entry until now.
        """
        state.credits[lender] = state.credits.get(lender, 0) + credits
        state.free += credits
        state.in_use -= released
        self._update(state)

    def take(
        self, state: agents.AgentState, lender: str, credits: int, use: bool
    ) -> int:
        """Takes free credits of one lender from an agent.

        Args:
            state: Agent of the credits.
            lender: Entry to which the agent granted them; empty for this
                entry.
            credits: Maximum number of credits to take.
            use: True if a batch of this entry uses them, False if this entry
                gives them up.

        Returns:
            Number of credits taken.
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
        """Sets whether an agent is assigned tasks.

        Args:
            state: The agent.
            usable: False if it must not be assigned tasks.
            on_probation: True if it is assigned one task at a time.
        """
        state.usable = usable
        state.on_probation = on_probation
        state.probe_delayed = False
        self.lendable.update(state, False)
        self._update(state)

    def set_probe_delayed(
        self, state: agents.AgentState, delayed: bool
    ) -> None:
        """Sets whether an agent on probation must wait for its next task."""
        state.probe_delayed = delayed
        self._update(state)

    def _update(self, state: agents.AgentState) -> None:
        """Updates sums and agent sets after a change of an agent."""
        available = total = 0
        if state.usable:
            available = state.free
            total = state.free + state.in_use
            if state.on_probation:
                busy = state.in_use or state.probe_delayed
                available = 0 if busy else min(1, state.free)
        available_change = available - state.available
        total_change = total - state.total
        state.available = available
        state.total = total
        self.free += available_change
        self.total += total_change
        same_domain = state.domain == self.domain
        member = available > 0
        for service in state.services:
            service_state = self.services[service]
            service_state.free += available_change
            service_state.total += total_change
            if member != (available - available_change > 0):
                (
                    service_state.same_domain
                    if same_domain
                    else service_state.other_domains
                ).update(state, member)
        if not state.on_probation:
            self.lendable.update(state, member)

    def service_pools(self) -> dict[str, str]:
        """Groups the services that share agents, directly or indirectly.

        Returns:
            For each service, the alphabetically first service of its group.
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
