"""Chooses agents for tasks and accounts for the credits of this entry.

A credit is the right to occupy one slot of an agent's target. This module
holds the credits that agents granted to this entry, spends them on batches of
tasks, and lends and borrows credits among entries. The order of jobs is
decided by `admission`; the caller sends all messages.
"""

import random
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.messages import core as messages
from trefoilgw.placement import agents
from trefoilgw.placement import baselines
from trefoilgw.placement import batching
from trefoilgw.placement import credits as credit_book
from trefoilgw.placement import lending
from trefoilgw.placement import runtimes
from trefoilgw.placement import selection

# Maximum number of entries that share an agent (see "Placement" in design.md).
MAX_ENTRIES_PER_AGENT = 4


@attrs.frozen
class Assignment:
    """A batch of tasks of one job that is assigned to one agent.

    Attributes:
        agent: Incarnation of the agent.
        lender: Entry to which the agent originally granted the credits; empty
            for this entry.
        tasks: Number of tasks in the batch.
        concurrency: Credits spent, which is the number of tasks of the batch
            that may run at the same time.
    """

    agent: str
    lender: str
    tasks: int
    concurrency: int


@attrs.define
class Placement:
    """Holds the credits of this entry and assigns tasks to agents.

    Attributes:
        rng: Random number generator.
        entry: Incarnation of this entry.
        domain: Failure domain of this entry.
        policy: `Policy.CREDITS`, or a baseline that ignores credits.
        book: Credits and state of each agent.
        run_times: Estimated run time of each kind of task.
        ask_pacer: Limits how often peers are asked for credits.
        deferred_asks: Asks of peers that could not be met yet.
        entry_count: Number of connected entries, including this one, at the
            last call of `next_ask`.
        selector: Selects agents under `Policy.CREDITS`.
        baseline: Selects agents if `policy` is a baseline, else None.
    """

    rng: random.Random
    entry: str = ""
    domain: str = ""
    policy: baselines.Policy = baselines.Policy.CREDITS
    book: credit_book.CreditBook = attrs.field(
        default=attrs.Factory(
            lambda self: credit_book.CreditBook(self.domain),
            takes_self=True,
        )
    )
    run_times: runtimes.RunTimes = attrs.field(factory=runtimes.RunTimes)
    ask_pacer: lending.AskPacer = attrs.field(factory=lending.AskPacer)
    deferred_asks: lending.DeferredAsks = attrs.field(
        factory=lending.DeferredAsks
    )
    entry_count: int = 1
    selector: selection.AgentSelector = attrs.field(
        default=attrs.Factory(
            lambda self: selection.AgentSelector(self.book, self.rng),
            takes_self=True,
        )
    )
    baseline: baselines.Baseline | None = None

    def __attrs_post_init__(self):
        if self.policy is not baselines.Policy.CREDITS:
            self.baseline = baselines.Baseline(self.policy, self.rng)

    def agent_joined(
        self, agent: str, domain: str, services: Iterable[str], slots: int
    ) -> None:
        """Adds an agent without credits.

        An agent that rejoins loses its earlier state and credits.
        """
        self.book.join(agents.AgentState(agent, domain, tuple(services), slots))

    def agent_left(self, agent: str) -> None:
        """Removes an agent and all its credits."""
        self.book.leave(agent)

    def set_agent_usable(self, agent: str, usable: bool) -> None:
        """Sets whether an agent is assigned tasks, and ends its probation."""
        state = self.book.states.get(agent)
        if state is not None:
            self.book.set_usable(state, usable)

    def start_probation(self, agent: str) -> None:
        """Assigns an ejected agent one task at a time from now on."""
        state = self.book.states.get(agent)
        if state is not None:
            self.book.set_usable(state, True, on_probation=True)

    def credits_granted(
        self, agent: str, credits: int, lender: str = ""
    ) -> None:
        """Adds free credits that an agent granted or a batch released.

        Args:
            agent: Incarnation; credits of an unknown agent are ignored.
            credits: Number of credits.
            lender: Entry to which the agent granted them, if they come from a
                peer; empty if they come from the agent.
        """
        state = self.book.states.get(agent)
        if state is None or credits <= 0:
            return
        released = 0 if lender else min(state.in_use, credits)
        name = "" if lender == self.entry else lender
        self.book.grant(state, name, credits, released)

    def credits_returned(self, agent: str, credits: int) -> int:
        """Removes free credits that are to be returned to the agent.

        Only credits that the agent granted to this entry are removed.

        Returns:
            Number of credits removed, at most `credits`.
        """
        state = self.book.states.get(agent)
        if state is None:
            return 0
        return self.book.take(state, "", credits, use=False)

    def free(self, service: str) -> int:
        """Returns the number of credits available for a service now."""
        if self.baseline is not None:
            return self.baseline.slots(self.book.states, service)
        service_state = self.book.services.get(service)
        return service_state.free if service_state else 0

    def total(self, service: str) -> int:
        """Returns the free and used credits of a service's usable agents."""
        if self.baseline is not None:
            return self.free(service)
        service_state = self.book.services.get(service)
        return service_state.total if service_state else 0

    def pools(self) -> dict[str, str]:
        """Groups the services that share agents, directly or indirectly.

        Returns:
            Name of the pool by service, for `Admission.set_pools`.
        """
        return self.book.service_pools()

    def load_reported(self, agent: str, running: int) -> None:
        """Records the load that an agent reported; only baselines use it."""
        state = self.book.states.get(agent)
        if state is not None:
            state.reported_load = running

    def place(
        self,
        service: str,
        tasks: int,
        credits: int,
        avoid: Collection[str],
        now_s: float,
        kind: str = "",
    ) -> tuple[Assignment, ...]:
        """Assigns waiting tasks of one job to agents and spends credits.

        Args:
            service: Service that the tasks need.
            tasks: Number of waiting tasks, 1 to 310.
            credits: Credits granted by admission.
            avoid: Agents that must not be assigned these tasks.
            now_s: Monotonic time in seconds.
            kind: Kind of the tasks, which selects the run-time estimate.

        Returns:
            Assignments in the order of selection. They may cover fewer than
            `tasks` tasks; the others wait for more credits. Empty if no
            allowed agent has available credits.
        """
        service_state = self.book.services.get(service)
        if service_state is None or tasks <= 0:
            return ()
        self.selector.resume_probes(now_s)
        if self.baseline is not None:
            chosen = self.baseline.assign(
                self.book.states, service, avoid, tasks
            )
            return tuple(
                Assignment(state.agent, "", count, count)
                for state, count in chosen
            )
        chosen = self.selector.spend(
            service_state, min(credits, tasks), avoid, now_s
        )
        if not chosen:
            return ()
        spent = sum(count for _, _, count in chosen)
        run_s = self.run_times.run_time_s(kind)
        sent = batching.tasks_to_send(
            tasks, spent, len(chosen), service_state.slots, run_s
        )
        parts = [count for _, _, count in chosen]
        if sent > spent:
            speeds = [
                count / state.effective_slowness for state, _, count in chosen
            ]
            parts = batching.split(sent, speeds)
        return tuple(
            Assignment(
                state.agent,
                lender,
                min(part, 1) if state.on_probation else part,
                count,
            )
            for (state, lender, count), part in zip(chosen, parts, strict=True)
        )

    def observe(self, kind: str, agent: str, run_s: float) -> None:
        """Updates the estimates with the run time of a completed task.

        The caller must leave out failed tasks: an agent whose tasks fail at
        once would look fast.
        """
        ratio = self.run_times.observe(kind, run_s)
        state = self.book.states.get(agent)
        if state is not None:
            state.update_slowness(ratio)

    def run_time_s(self, kind: str) -> float:
        """Returns the estimated mean run time of a kind in seconds."""
        return self.run_times.run_time_s(kind)

    def declare_run_time(self, kind: str, run_time_s: float) -> None:
        """Sets the initial estimate of a kind to its declared run time."""
        self.run_times.declare_run_time(kind, run_time_s)

    def next_ask(
        self, now_s: float, peers_free: Mapping[str, int], waiting: int = 0
    ) -> lending.Ask | None:
        """Returns the next ask for credits, or None if none is due.

        Call it while tasks wait. The returned ask counts as sent.

        Args:
            now_s: Monotonic time in seconds.
            peers_free: Last reported free credits by connected peer.
            waiting: Number of waiting tasks, 0 if not known.
        """
        self.selector.resume_probes(now_s)
        self.entry_count = len(peers_free) + 1
        return self.ask_pacer.next_ask(
            now_s, self.book.free, self.book.total, peers_free, waiting
        )

    def lend(
        self, credits: int, entry: str = "", now_s: float = 0.0
    ) -> tuple[messages.LentCredits, ...]:
        """Removes free credits to lend them to a peer that asked.

        Args:
            credits: Number of credits that the peer asked for.
            entry: Incarnation of the peer. If it is given and nothing can be
                lent, the ask is kept for `lend_deferred` and needs no answer
                now.
            now_s: Monotonic time in seconds.

        Returns:
            The lent credits: at most half of the free credits, or the free
            credits in excess of this entry's even share if those are more.
            May be empty.
        """
        wanted = min(credits, self._lendable(waiting=0))
        if wanted <= 0 and entry:
            self.deferred_asks.add(entry, credits, now_s)
        return self._lend(wanted)

    def lend_deferred(
        self, now_s: float, waiting: int
    ) -> tuple[str, tuple[messages.LentCredits, ...]] | None:
        """Removes free credits to lend them for the oldest deferred ask.

        Call it when credits have become free, before admission grants them to
        jobs, and repeat the call until it returns None.

        Args:
            now_s: Monotonic time in seconds.
            waiting: Number of tasks that wait at this entry.

        Returns:
            The peer and the credits lent to it, or None if no valid ask is
            left or nothing can be lent.
        """
        ask = self.deferred_asks.first(now_s)
        if ask is None:
            return None
        wanted = min(ask.credits, self._lendable(waiting))
        if wanted <= 0:
            return None
        self.deferred_asks.forget(ask.entry)
        return ask.entry, self._lend(wanted)

    def credits_borrowed(
        self, lent: Iterable[messages.LentCredits], entry: str = ""
    ) -> tuple[messages.LentCredits, ...]:
        """Adds credits that a peer lent in answer to an ask.

        Args:
            lent: The credits; empty if the peer had none to lend.
            entry: Incarnation of the peer, empty if not known.

        Returns:
            Credits of agents that are not connected to this entry. The caller
            must lend them back to the peer.
        """
        lent = tuple(lent)
        count = sum(item.credits for item in lent)
        if entry:
            self.ask_pacer.record_answer(entry, count)
        else:
            self.ask_pacer.record_unattributed_answer(count)
        return self.take_back(lent)

    def take_back(
        self, lent: Iterable[messages.LentCredits]
    ) -> tuple[messages.LentCredits, ...]:
        """Adds free credits without recording an answer to an ask.

        Used directly for credits that could not be sent to a peer.

        Args:
            lent: The credits.

        Returns:
            Credits of agents that are not connected to this entry.
        """
        unknown = []
        for item in lent:
            if item.agent in self.book.states:
                self.credits_granted(item.agent, item.credits, item.lender)
            else:
                unknown.append(item)
        return tuple(unknown)

    def entry_left(self, entry: str) -> None:
        """Removes free credits that a terminated peer had lent.

        The agents grant these credits anew and would refuse a batch that
        spends them here.
        """
        self.ask_pacer.forget(entry)
        self.deferred_asks.forget(entry)
        for state in self.book.states.values():
            if entry in state.credits:
                self.book.take(state, entry, state.credits[entry], use=False)

    def _lendable(self, waiting: int) -> int:
        """Returns the number of credits that may be lent now."""
        share = self.book.slots / min(self.entry_count, MAX_ENTRIES_PER_AGENT)
        return lending.lendable(self.book.free, self.book.total, share, waiting)

    def _lend(self, credits: int) -> tuple[messages.LentCredits, ...]:
        """Removes up to `credits` free credits to lend them.

        Takes them each time from the one of two random agents that has more
        free credits.
        """
        lent = []
        while credits > 0:
            pair = self.book.lendable.sample_two((), self.rng)
            if not pair:
                break
            state = max(pair, key=lambda state: state.free)
            lender = state.best_lender()
            count = self.book.take(state, lender, credits, use=False)
            credits -= count
            lent.append(
                messages.LentCredits(state.agent, lender or self.entry, count)
            )
        return tuple(lent)
