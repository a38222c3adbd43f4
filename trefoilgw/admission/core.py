"""Whose work is next, and what is refused.

Admission keeps the queues of this entry. It decides how many credits a job
may spend; where the tasks go is up to `placement`.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.admission import customers
from trefoilgw.admission import flows
from trefoilgw.admission import granting
from trefoilgw.admission import pools
from trefoilgw.admission import refusing
from trefoilgw.admission import weights
from trefoilgw.admission import work
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# A flow for whose job no agent was found is tried again after this time.
RETRY_PLACE_S = 0.005


@attrs.define
class Admission:
    """Queues, quotas and shares of this entry.

    Attributes:
        customer_states: Quota and limit by customer.
        plan: Weights from the configuration.
        all_pools: Flows and the order in which they are served.
        jobs: Jobs that wait or hold credits.
        waiting_jobs: Jobs that wait.
        stuck: Flows whose job found no agent, in the order of time.
        entries: Peers that share the quotas.
        refusals: Refusals so far; spreads `retry_after_s`.
        reported_s: When demand was last reported, None before the first.

    Notes:
        Every call costs O(log flows) or O(log jobs of the flow), but for
        `configure` and the reports of demand.
    """

    customer_states: dict[str, customers.CustomerState] = attrs.field(
        factory=dict
    )
    plan: weights.Plan = attrs.field(factory=weights.Plan)
    all_pools: pools.Pools = attrs.field(factory=pools.Pools)
    jobs: dict[str, flows.JobState] = attrs.field(factory=dict)
    waiting_jobs: int = 0
    stuck: dict[flows.FlowState, float] = attrs.field(factory=dict)
    entries: set[str] = attrs.field(factory=set)
    refusals: int = 0
    reported_s: float | None = None

    def configure(self, configuration, now_s: float) -> None:
        """Takes over the customers and kinds of a `records.Configuration`.

        Work in the queues stays there, with its new weight.
        """
        self.plan = weights.plan(configuration)
        for record in configuration.customers:
            self.customer_states[record.name] = customers.configured(
                self.customer_states.get(record.name),
                record,
                self.plan.parts[record.name],
                self.entries,
                now_s,
            )
        for flow in self.all_pools.states.values():
            flow.weight = self.plan.weights.get(flow.flow, flow.weight)
        self._rebuild()

    def set_pools(self, names: Mapping[str, str]) -> None:
        """Sets which services share agents and so compete for credits.

        To be called with `Placement.pools()` when agents join or leave.

        Args:
            names: Pool by service. Services not named share one pool.
        """
        if names != self.all_pools.names:
            self.all_pools.names = dict(names)
            self._rebuild()

    def offer(
        self, item: work.WorkItem, now_s: float, retry: bool = False
    ) -> work.Queued | outcomes.Refused:
        """Queues a job or refuses it.

        Args:
            item: The job. One that waits already is left as it is.
            now_s: Monotonic time in seconds.
            retry: True for tasks that were accepted before and struck by an
                agent; they are neither charged to the quota again nor
                refused for overload.

        Returns:
            `Queued`, or `Refused` with a true not run: `deadline`, `quota`
            or `overload`.
        """
        known = self.jobs.get(item.job)
        if known is not None and known.waiting:
            return work.Queued(item.job)
        flow = self._flow(item)
        retry = retry or known is not None
        customer = self.customer_states.get(item.customer)
        refused = refusing.refuse_new(
            item, flow, self.waiting_jobs, retry, now_s
        )
        if customer is not None and not retry:
            refused = customer.charge(item, now_s, refused)
        if refused is None or refused.reason is outcomes.Reason.OVERLOAD:
            work_s = item.tasks * item.run_time_s
            flow.pool.demanded(flow, work_s, now_s)
        if refused is not None:
            self._forget_idle(flow)
            self.refusals += 1
            return refusing.spread(refused, self.refusals)
        self._enqueue(item, known, flow, now_s)
        return work.Queued(item.job)

    def next(
        self,
        free_credits: int,
        total_credits: int,
        now_s: float,
        service: str,
    ) -> work.Grant | work.Dropped | None:
        """Returns the next decision for a service, or None.

        Args:
            free_credits: Credits of the service that may be spent now.
            total_credits: Those and the ones in use.
            now_s: Monotonic time in seconds.
            service: Name.

        Returns:
            After a `Grant`, `started` must be called before the next call;
            its job may need another service of the same pool. A `Dropped`
            job is gone.
        """
        pool = self.all_pools.of(service)
        pool.free = free_credits
        pool.total = total_credits
        pool.judge(now_s)
        self._release_stuck(now_s)
        while free_credits > 0:
            flow = granting.choose(pool)
            if flow is None:
                return None
            state = flow.head()
            customer = self.customer_states.get(flow.flow.customer)
            if customer is not None and customer.room <= 0:
                customer.park(flow)
                continue
            refused = refusing.refuse_waiting(flow, state, now_s)
            if refused is not None:
                self._take_out(flow, state)
                self.refusals += 1
                refused = refusing.spread(refused, self.refusals)
                return work.Dropped(state.item.job, refused)
            room = state.tasks if customer is None else customer.room
            return granting.grant(flow, state, room)
        return None

    def started(
        self, job: str, credits: int, now_s: float, tasks: int | None = None
    ) -> None:
        """Records what was sent for a grant.

        Args:
            job: Key.
            credits: Credits spent.
            now_s: Monotonic time in seconds.
            tasks: Tasks sent; None means all that waited. 0 means that no
                agent was found: the flow rests for 5 ms or until `remove`.
        """
        state = self.jobs.get(job)
        if state is None or not state.waiting:
            return
        flow = state.flow
        sent = state.tasks if tasks is None else min(tasks, state.tasks)
        if sent <= 0:
            self.stuck.pop(flow, None)
            self.stuck[flow] = now_s + RETRY_PLACE_S
            flow.pool.park(flow, True)
            return
        flow.pool.charge(flow, sent * state.item.run_time_s)
        flow.sent(state, sent)
        flow.hold(state, credits, sent)
        flow.pool.reclaimed = max(0, flow.pool.reclaimed - credits)
        state.started = state.started or credits > 0
        known = self.customer_states.get(state.item.customer)
        if known is not None:
            known.running += credits
        if not state.waiting:
            self._left_queue(state)
        flow.pool.changed(flow)

    def finished(
        self,
        customer: str,
        kind: str,
        credits: int,
        run_s: float,
        now_s: float,
        job: str = "",
    ) -> None:
        """Records credits that came back with a batch of a job.

        Args:
            customer: Name.
            kind: Name.
            credits: Credits that came back.
            run_s: Mean run time of the tasks reported, 0 if none ran.
            now_s: Monotonic time in seconds.
            job: Key of the job. If empty, the flow's oldest jobs are taken.
        """
        known = self.customer_states.get(customer)
        if known is not None:
            known.running = max(0, known.running - credits)
        for flow in self._holders(work.Flow(customer, kind), job):
            count = min(credits, flow.held)
            credits -= count
            for state in flow.release(count, job):
                if not state.waiting:
                    self.jobs.pop(state.item.job, None)
            if run_s > 0.0:
                flow.finished_s = now_s
            flow.pool.held_changed(flow)
            self._forget_idle(flow)
        if known is not None:
            known.unpark()

    def reclaim(self, now_s: float) -> tuple[work.Reclaim, ...]:
        """Returns which running jobs should give back credits.

        Credits are asked back from flows above their fair share among the
        active flows, for one flow below its share that waits. To be called
        while work waits.
        """
        found: list[work.Reclaim] = []
        for pool in self.all_pools.by_name.values():
            found += granting.reclaim(pool, now_s)
        return tuple(found)

    def remove(self, job: str) -> None:
        """Takes a job that ended or was cancelled out of its queue."""
        state = self.jobs.get(job)
        if state is None or not state.waiting:
            return
        flow = state.flow
        self._take_out(flow, state)
        if self.stuck.pop(flow, None) is not None:
            flow.pool.park(flow, False)

    def waiting(self, service: str) -> int:
        """Returns how many tasks wait for a service."""
        return self.all_pools.of(service).tasks[service]

    def collect_demand(
        self, now_s: float
    ) -> tuple[messages.CustomerDemand, ...]:
        """Returns the demand of all customers, once a second, for `Usage`.

        It also renews this entry's parts of the quotas.
        """
        elapsed_s = customers.DEMAND_INTERVAL_S
        if self.reported_s is not None:
            elapsed_s = max(elapsed_s, now_s - self.reported_s)
        self.reported_s = now_s
        demands = []
        for name, customer in self.customer_states.items():
            demands.append(customer.report(name, elapsed_s))
            customer.split(self.entries, now_s)
        return tuple(demands)

    def update_peer_usage(
        self,
        entry: str,
        demands: Iterable[messages.CustomerDemand],
        now_s: float,
    ) -> None:
        """Takes in a peer's demand; a new peer shares all quotas at once."""
        by_name = {demand.customer: demand for demand in demands}
        is_new = entry not in self.entries
        self.entries.add(entry)
        for name, customer in self.customer_states.items():
            if name in by_name:
                customer.peers[entry] = by_name[name]
            elif customer.peers.pop(entry, None) is None and not is_new:
                continue
            customer.split(self.entries, now_s)

    def remove_peer(self, entry: str, now_s: float | None = None) -> None:
        """Forgets a peer; its part of the quotas goes to the others."""
        self.entries.discard(entry)
        for customer in self.customer_states.values():
            customer.peers.pop(entry, None)
            customer.split(self.entries, now_s)

    def _rebuild(self) -> None:
        """Rebuilds all orders; flows that were set aside may go on."""
        self.stuck.clear()
        for customer in self.customer_states.values():
            customer.parked.clear()
        self.all_pools.rebuild(self.plan.service_weights)

    def _holders(self, flow: work.Flow, job: str) -> list[flows.FlowState]:
        """Returns the states of a flow in which a job may hold credits."""
        state = self.jobs.get(job)
        if state is not None and state.item.flow == flow:
            return [state.flow]
        services = self.plan.service_weights.keys() | self.all_pools.names
        states = [self.all_pools.states.get((flow, name)) for name in services]
        return [state for state in states if state is not None]

    def _flow(self, item: work.WorkItem) -> flows.FlowState:
        """Returns the state of an item's flow."""
        key = (item.flow, item.service)
        flow = self.all_pools.states.get(key)
        if flow is None:
            weight = self.plan.weights.get(item.flow) or item.weight
            weight = max(weights.WEIGHT_LEAST, weight)
            pool = self.all_pools.of(item.service)
            flow = flows.FlowState(item.flow, item.service, pool, weight)
            self.all_pools.states[key] = flow
        return flow

    def _forget_idle(self, flow: flows.FlowState) -> None:
        """Deletes an idle flow that the configuration doesn't know."""
        if flow.flow not in self.plan.weights:
            self.all_pools.forget_idle(flow)

    def _enqueue(
        self,
        item: work.WorkItem,
        known: flows.JobState | None,
        flow: flows.FlowState,
        now_s: float,
    ) -> None:
        """Puts a job into its queue; `known` still holds credits."""
        state = flows.JobState(item, flow, now_s, item.tasks)
        if known is not None:
            state.credits = known.credits
            state.long_credits = known.long_credits
            state.started = state.delay_checked = True
            flow.adopt(state)
        begins = not flow.jobs
        if begins:
            flow.pool.begin(flow)
        flow.push(state, next(flow.pool.order))
        self.jobs[item.job] = state
        self.waiting_jobs += 1
        if begins:
            flow.pool.changed(flow)
        else:
            flow.pool.count(flow)

    def _take_out(self, flow: flows.FlowState, state: flows.JobState) -> None:
        """Takes a job out of its queue."""
        flow.drop(state)
        self._left_queue(state)
        flow.pool.changed(flow)
        self._forget_idle(flow)

    def _left_queue(self, state: flows.JobState) -> None:
        """Counts a job as no longer waiting."""
        self.waiting_jobs -= 1
        if not state.credits:
            self.jobs.pop(state.item.job, None)

    def _release_stuck(self, now_s: float) -> None:
        """Lets flows be served again whose rest is over."""
        while self.stuck:
            flow, until_s = next(iter(self.stuck.items()))
            if now_s < until_s:
                return
            del self.stuck[flow]
            flow.pool.park(flow, False)
