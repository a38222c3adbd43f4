"""Where tasks go: credits, two random choices, batches and lending.

The module keeps the credits that agents lent to this entry and chooses agents
for granted work. It does not decide whose work is next (`admission`) and sends
nothing.
"""

import enum
import random
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.messages import core as messages
from trefoilgw.placement import agents
from trefoilgw.placement import cutting
from trefoilgw.placement import lending
from trefoilgw.placement import runtimes

# Weight of one run time in an agent's slowness, after the warm-up.
SLOWNESS_WEIGHT = 0.03
# A single long task must not make its agent look slow.
SLOWNESS_RATIO_LIMIT = 4.0


class Policy(enum.StrEnum):
    """How an agent is chosen; all but the first are baselines.

    The baselines ignore credits: an agent may get more than it has slots.
    """

    CREDITS = "credits"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_BUSY = "least_busy"


@attrs.frozen
class Assignment:
    """Part of a job for one agent.

    Attributes:
        agent: Incarnation.
        lender: Entry that the credits were lent to first; empty if this one.
        tasks: How many tasks of the job.
        concurrency: Credits spent; tasks of the batch that run at once.
    """

    agent: str
    lender: str
    tasks: int
    concurrency: int


@attrs.define
class Placement:
    """Credits of this entry and the choice of agents.

    Attributes:
        rng: Source of random choices.
        entry: Incarnation of this entry.
        domain: Failure domain of this entry.
        policy: `Policy.CREDITS` or a baseline.
        states: Agent by incarnation.
        service_states: Agents by service.
        run_times: Learned run times per kind.
        asking: Pace of credit asks.
        turn: Next agent for round robin.
    """

    rng: random.Random
    entry: str = ""
    domain: str = ""
    policy: Policy = Policy.CREDITS
    states: dict[str, agents.AgentState] = attrs.field(factory=dict)
    service_states: dict[str, agents.ServiceState] = attrs.field(factory=dict)
    run_times: runtimes.RunTimes = attrs.field(factory=runtimes.RunTimes)
    asking: lending.Asking = attrs.field(factory=lending.Asking)
    turn: int = 0

    def agent_joined(
        self, agent: str, domain: str, services: Iterable[str], slots: int
    ) -> None:
        """Adds an agent without credits; an agent that rejoins starts anew."""
        self.agent_left(agent)
        state = agents.AgentState(agent, domain, tuple(services), slots)
        self.states[agent] = state
        for service in state.services:
            self.service_states.setdefault(service, agents.ServiceState())

    def agent_left(self, agent: str) -> None:
        """Drops an agent with all its credits."""
        state = self.states.get(agent)
        if state is None:
            return
        self._set(state, usable=False)
        del self.states[agent]

    def agent_usable(self, agent: str, usable: bool) -> None:
        """Sets whether an agent gets work; also ends its probation."""
        state = self.states.get(agent)
        if state is not None:
            self._set(state, usable=usable, on_probation=False)

    def agent_probation(self, agent: str) -> None:
        """Lets an ejected agent run one task at a time."""
        state = self.states.get(agent)
        if state is not None:
            self._set(state, usable=True, on_probation=True)

    def credits_granted(
        self, agent: str, credits: int, lender: str = ""
    ) -> None:
        """Adds free credits: lent by the agent or come back with a batch.

        Args:
            agent: Incarnation; credits of an unknown agent are dropped.
            credits: How many.
            lender: Entry that the agent lent them to; empty for this one.
        """
        state = self.states.get(agent)
        if state is None or credits <= 0:
            return
        name = "" if lender == self.entry else lender
        held = state.credits.get(name, 0)
        back = min(state.in_use, credits) if not name else 0
        state.credits[name] = held + credits
        self._set(
            state,
            free=state.free + credits,
            in_use=state.in_use - back,
        )

    def credits_returned(self, agent: str, credits: int) -> int:
        """Takes out own free credits that go back to the agent.

        Returns:
            How many were free and may be returned.
        """
        state = self.states.get(agent)
        if state is None:
            return 0
        return self._take(state, "", credits)

    def free(self, service: str) -> int:
        """Returns the credits that may be spent on a service now."""
        state = self.service_states.get(service)
        return state.free if state else 0

    def total(self, service: str) -> int:
        """Returns free and used credits of a service's usable agents."""
        state = self.service_states.get(service)
        return state.total if state else 0

    def place(
        self,
        service: str,
        tasks: int,
        credits: int,
        avoid: Collection[str],
        now_s: float,
        kind: str = "",
    ) -> tuple[Assignment, ...]:
        """Chooses agents for tasks of one job and spends credits.

        Args:
            service: Service that the tasks need.
            tasks: Tasks that wait, 1 to 310.
            credits: Credits granted by admission.
            avoid: Agents that must not get these tasks.
            now_s: Monotonic time in seconds.
            kind: Kind of the tasks, for its learned run time.

        Returns:
            Assignments in the order of choice. Their tasks may be fewer than
            asked for: the rest waits for further credits. Empty if no allowed
            agent has credits.
        """
        pools = self.service_states.get(service)
        if pools is None or tasks <= 0:
            return ()
        total = pools.total
        chosen = self._spend(pools, min(credits, tasks), avoid)
        if not chosen:
            return ()
        spent = sum(count for _, _, count in chosen)
        run_s = self.run_times.run_time_s(kind)
        sent = cutting.tasks_now(tasks, spent, total, run_s)
        parts = [count for _, _, count in chosen]
        if sent > spent:
            speeds = [
                count / state.notable_slowness for state, _, count in chosen
            ]
            parts = cutting.split(sent, speeds)
        return tuple(
            Assignment(state.agent, lender, part, count)
            for (state, lender, count), part in zip(chosen, parts, strict=True)
        )

    def observe(self, kind: str, agent: str, run_s: float) -> None:
        """Learns from the run time of a completed task.

        Failed tasks must not be reported: an agent that fails at once would
        look fast.
        """
        ratio = self.run_times.observe(kind, run_s)
        state = self.states.get(agent)
        if state is None:
            return
        state.samples += 1
        weight = max(SLOWNESS_WEIGHT, 1.0 / (state.samples + 1))
        ratio = min(ratio, SLOWNESS_RATIO_LIMIT)
        state.slowness += weight * (ratio - state.slowness)

    def run_time_s(self, kind: str) -> float:
        """Returns the learned mean run time of a kind in seconds."""
        return self.run_times.run_time_s(kind)

    def declare(self, kind: str, run_time_s: float) -> None:
        """Sets the declared run time as the first guess for a kind."""
        self.run_times.declare(kind, run_time_s)

    def ask(
        self, now_s: float, peers_free: Mapping[str, int]
    ) -> lending.Ask | None:
        """Returns which peer to ask for credits, or None.

        Args:
            now_s: Monotonic time in seconds.
            peers_free: Free credits per connected peer, as last heard.
        """
        free = sum(state.available for state in self.states.values())
        return self.asking.ask(now_s, free, peers_free)

    def lend(self, credits: int) -> tuple[messages.LentCredits, ...]:
        """Takes out credits for a peer that asked.

        Args:
            credits: How many the peer asked for.

        Returns:
            At most half of the free credits, rounded down; may be empty.
        """
        states = [
            state
            for state in self.states.values()
            if state.available and not state.on_probation
        ]
        free = sum(state.available for state in states)
        wanted = min(credits, free // 2)
        states.sort(key=lambda state: -state.available)
        lent = []
        for state in states:
            if wanted <= 0:
                break
            lender = state.best_lender()
            count = self._take(state, lender, wanted)
            wanted -= count
            lent.append(
                messages.LentCredits(state.agent, lender or self.entry, count)
            )
        return tuple(lent)

    def borrowed(
        self, lent: Iterable[messages.LentCredits]
    ) -> tuple[messages.LentCredits, ...]:
        """Takes in the answer to an ask.

        Returns:
            Credits of agents that are not connected here; they are to be
            lent back to the peer.
        """
        lent = tuple(lent)
        self.asking.answered(sum(item.credits for item in lent))
        unknown = []
        for item in lent:
            if item.agent in self.states:
                self.credits_granted(item.agent, item.credits, item.lender)
            else:
                unknown.append(item)
        return tuple(unknown)

    def entry_left(self, entry: str) -> None:
        """Drops free credits that a terminated peer had lent.

        The agents lend them anew; spending them here would end in a refusal.
        """
        self.asking.forget(entry)
        for state in self.states.values():
            if entry in state.credits:
                self._take(state, entry, state.credits[entry])

    def _spend(
        self,
        pools: agents.ServiceState,
        credits: int,
        avoid: Collection[str],
    ) -> list[tuple[agents.AgentState, str, int]]:
        """Takes credits of chosen agents until there are enough."""
        chosen = []
        while credits > 0:
            state = self._choose(pools, avoid)
            if state is None:
                break
            lender = state.best_lender()
            count = self._take(state, lender, min(credits, state.available))
            self._set(state, in_use=state.in_use + count)
            chosen.append((state, lender, count))
            credits -= count
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
        return min(
            states, key=lambda state: (state.notable_slowness, -state.free)
        )

    def _take(self, state: agents.AgentState, lender: str, credits: int) -> int:
        """Takes free credits of one lender out of an agent."""
        held = state.credits.get(lender, 0)
        count = min(credits, held)
        if count == held:
            state.credits.pop(lender, None)
        else:
            state.credits[lender] = held - count
        self._set(state, free=state.free - count)
        return count

    def _set(self, state: agents.AgentState, **fields) -> None:
        """Changes an agent and keeps pools and sums of its services."""
        available = state.available
        total = state.free + state.in_use if state.usable else 0
        for name, value in fields.items():
            setattr(state, name, value)
        more = state.available - available
        more_total = -total
        if state.usable:
            more_total += state.free + state.in_use
        near = state.domain == self.domain
        for service in state.services:
            pools = self.service_states[service]
            pools.free += more
            pools.total += more_total
            pool = pools.near if near else pools.far
            pool.update(state, state.available > 0)
