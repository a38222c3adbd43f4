"""Where tasks go: credits, two random choices, batches and lending.

The module keeps the credits that agents lent to this entry and chooses agents
for granted work. It does not decide whose work is next (`admission`) and sends
nothing.
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

# Entries that share an agent at most (see "Placement" in design.md).
ENTRIES_PER_AGENT = 4


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
        policy: `Policy.CREDITS`, or a baseline that ignores credits.
        book: Credits by agent.
        run_times: Learned run times per kind.
        asking: Pace of credit asks.
        owing: Asks of peers that wait for credits.
        entries: Entries that share the agents, as far as known.
        chooser: Chooses agents by credits.
        baseline: Chooses agents if `policy` is a baseline.
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
    asking: lending.Asking = attrs.field(factory=lending.Asking)
    owing: lending.Owing = attrs.field(factory=lending.Owing)
    entries: int = 1
    chooser: selection.Chooser = attrs.field(
        default=attrs.Factory(
            lambda self: selection.Chooser(self.book, self.rng),
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
        """Adds an agent without credits; an agent that rejoins starts anew."""
        self.book.join(agents.AgentState(agent, domain, tuple(services), slots))

    def agent_left(self, agent: str) -> None:
        """Drops an agent with all its credits."""
        self.book.leave(agent)

    def set_agent_usable(self, agent: str, usable: bool) -> None:
        """Sets whether an agent gets work; also ends its probation."""
        state = self.book.states.get(agent)
        if state is not None:
            self.book.set_usable(state, usable)

    def start_probation(self, agent: str) -> None:
        """Lets an ejected agent run one task at a time."""
        state = self.book.states.get(agent)
        if state is not None:
            self.book.set_usable(state, True, on_probation=True)

    def credits_granted(
        self, agent: str, credits: int, lender: str = ""
    ) -> None:
        """Adds free credits: lent by the agent or come back with a batch.

        Args:
            agent: Incarnation; credits of an unknown agent are dropped.
            credits: How many.
            lender: Entry that the agent lent them to, if they come from a
                peer; empty if they come from the agent.
        """
        state = self.book.states.get(agent)
        if state is None or credits <= 0:
            return
        back = 0 if lender else min(state.in_use, credits)
        name = "" if lender == self.entry else lender
        self.book.grant(state, name, credits, back)

    def credits_returned(self, agent: str, credits: int) -> int:
        """Takes out own free credits that go back to the agent.

        Returns:
            How many were free and may be returned.
        """
        state = self.book.states.get(agent)
        if state is None:
            return 0
        return self.book.take(state, "", credits, use=False)

    def free(self, service: str) -> int:
        """Returns the credits that may be spent on a service now."""
        if self.baseline is not None:
            return self.baseline.slots(self.book.states, service)
        sums = self.book.services.get(service)
        return sums.free if sums else 0

    def total(self, service: str) -> int:
        """Returns free and used credits of a service's usable agents."""
        if self.baseline is not None:
            return self.free(service)
        sums = self.book.services.get(service)
        return sums.total if sums else 0

    def pools(self) -> dict[str, str]:
        """Returns the services that share agents, directly or by others.

        Returns:
            By service the name of its pool, for `Admission.set_pools`.
        """
        return self.book.groups()

    def load_reported(self, agent: str, running: int) -> None:
        """Notes the load that an agent reported; only baselines use it."""
        state = self.book.states.get(agent)
        if state is not None:
            state.load_reported = running

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
        pools = self.book.services.get(service)
        if pools is None or tasks <= 0:
            return ()
        self.chooser.end_rests(now_s)
        if self.baseline is not None:
            chosen = self.baseline.assign(
                self.book.states, service, avoid, tasks
            )
            return tuple(
                Assignment(state.agent, "", count, count)
                for state, count in chosen
            )
        chosen = self.chooser.spend(pools, min(credits, tasks), avoid, now_s)
        if not chosen:
            return ()
        spent = sum(count for _, _, count in chosen)
        run_s = self.run_times.run_time_s(kind)
        sent = batching.tasks_now(tasks, spent, len(chosen), pools.slots, run_s)
        parts = [count for _, _, count in chosen]
        if sent > spent:
            speeds = [
                count / state.notable_slowness for state, _, count in chosen
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
        """Learns from the run time of a completed task.

        Failed tasks must not be reported: an agent that fails at once would
        look fast.
        """
        ratio = self.run_times.observe(kind, run_s)
        state = self.book.states.get(agent)
        if state is not None:
            state.learn(ratio)

    def run_time_s(self, kind: str) -> float:
        """Returns the learned mean run time of a kind in seconds."""
        return self.run_times.run_time_s(kind)

    def declare_run_time(self, kind: str, run_time_s: float) -> None:
        """Sets the declared run time as the first guess for a kind."""
        self.run_times.declare_run_time(kind, run_time_s)

    def next_ask(
        self, now_s: float, peers_free: Mapping[str, int], waiting: int = 0
    ) -> lending.Ask | None:
        """Returns which peer to ask for credits, or None.

        To be called while work waits.

        Args:
            now_s: Monotonic time in seconds.
            peers_free: Free credits per connected peer, as last heard.
            waiting: Tasks that wait, if known.
        """
        self.chooser.end_rests(now_s)
        self.entries = len(peers_free) + 1
        return self.asking.next_ask(
            now_s, self.book.free, self.book.total, peers_free, waiting
        )

    def lend(
        self, credits: int, entry: str = "", now_s: float = 0.0
    ) -> tuple[messages.LentCredits, ...]:
        """Takes out credits for a peer that asked.

        Args:
            credits: How many the peer asked for.
            entry: The peer. If it is given and nothing can be lent, the ask
                is kept for `lend_deferred`, and needs no answer now.
            now_s: Monotonic time in seconds.

        Returns:
            At most half of the free credits, or what exceeds this entry's
            even share if that is more; may be empty.
        """
        wanted = min(credits, self._lendable(waiting=0))
        if wanted <= 0 and entry:
            self.owing.add(entry, credits, now_s)
        return self._lend(wanted)

    def lend_deferred(
        self, now_s: float, waiting: int
    ) -> tuple[str, tuple[messages.LentCredits, ...]] | None:
        """Takes out credits for the oldest ask that could not be met.

        To be called when credits came free, before they are granted, until
        it returns None.

        Args:
            now_s: Monotonic time in seconds.
            waiting: Tasks that wait at this entry.

        Returns:
            The peer and its credits.
        """
        ask = self.owing.first(now_s)
        if ask is None:
            return None
        wanted = min(ask.credits, self._lendable(waiting))
        if wanted <= 0:
            return None
        self.owing.forget(ask.entry)
        return ask.entry, self._lend(wanted)

    def credits_borrowed(
        self, lent: Iterable[messages.LentCredits], entry: str = ""
    ) -> tuple[messages.LentCredits, ...]:
        """Takes in credits of a peer.

        Args:
            lent: The credits; empty if the peer has none.
            entry: The peer, empty if not known.

        Returns:
            Credits of agents that are not connected here; they are to be
            lent back to the peer.
        """
        lent = tuple(lent)
        count = sum(item.credits for item in lent)
        if entry:
            self.asking.answered(entry, count)
        else:
            self.asking.answered_by_any(count)
        return self.take_back(lent)

    def take_back(
        self, lent: Iterable[messages.LentCredits]
    ) -> tuple[messages.LentCredits, ...]:
        """Makes credits free here that answer no ask.

        For credits that could not be sent to a peer.

        Args:
            lent: The credits.

        Returns:
            Credits of agents that are not connected here.
        """
        unknown = []
        for item in lent:
            if item.agent in self.book.states:
                self.credits_granted(item.agent, item.credits, item.lender)
            else:
                unknown.append(item)
        return tuple(unknown)

    def entry_left(self, entry: str) -> None:
        """Drops free credits that a terminated peer had lent.

        The agents lend them anew; spending them here would end in a refusal.
        """
        self.asking.forget(entry)
        self.owing.forget(entry)
        for state in self.book.states.values():
            if entry in state.credits:
                self.book.take(state, entry, state.credits[entry], use=False)

    def _lendable(self, waiting: int) -> int:
        """Returns how many credits may be lent now."""
        share = self.book.slots / min(self.entries, ENTRIES_PER_AGENT)
        return lending.lendable(self.book.free, self.book.total, share, waiting)

    def _lend(self, credits: int) -> tuple[messages.LentCredits, ...]:
        """Takes out free credits, each time of the richer of two agents."""
        lent = []
        while credits > 0:
            pair = self.book.lendable.two_random((), self.rng)
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
