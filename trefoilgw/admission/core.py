"""Admission control: queueing, refusal and granting of credits to jobs.

`Admission` keeps the queues of this entry and decides which job is served
next and how many credits it may spend. `placement` chooses the agents.
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

# Delay after which a flow is served again if no agent was found for its job.
PLACEMENT_RETRY_S = 0.005


@attrs.define
class Admission:
    """Admission controller of one entry: its queues, quotas and shares.

    Attributes:
        customer_states: Quota and running-task limit by customer.
        plan: Flow weights and quota shares from the configuration.
        all_pools: Credit pools with their flows in service order.
        jobs: Jobs that wait or hold credits, by key.
        waiting_jobs: Number of jobs that wait.
        unplaced: Flows for whose job no agent was found, with the time at
            which they are served again, earliest first.
        peers: Peer entries that share the quotas.
        refusals: Number of refusals so far; sets the spread of
            `retry_after_s`.
        reported_s: When demand was last reported, None before the first
            report.

    Notes:
        Every call costs O(log flows) or O(log jobs of the flow), except
        `configure`, `set_pools` and the reports of demand.
    """

    customer_states: dict[str, customers.CustomerState] = attrs.field(
        factory=dict
    )
    plan: weights.Plan = attrs.field(factory=weights.Plan)
    all_pools: pools.Pools = attrs.field(factory=pools.Pools)
    jobs: dict[str, flows.JobState] = attrs.field(factory=dict)
    waiting_jobs: int = 0
    unplaced: dict[flows.FlowState, float] = attrs.field(factory=dict)
    peers: set[str] = attrs.field(factory=set)
    refusals: int = 0
    reported_s: float | None = None

    def configure(self, configuration, now_s: float) -> None:
        """Applies the customers and kinds of a `records.Configuration`.

        Queued work stays queued and gets its new weight.
        """
        self.plan = weights.plan_weights(configuration)
        for record in configuration.customers:
            self.customer_states[record.name] = customers.configure_customer(
                self.customer_states.get(record.name),
                record,
                self.plan.quota_shares[record.name],
                self.peers,
                now_s,
            )
        for flow in self.all_pools.flow_states.values():
            flow.weight = self.plan.weights.get(flow.flow, flow.weight)
        self._rebuild()

    def set_pools(self, names: Mapping[str, str]) -> None:
        """Sets which services share agents and so compete for credits.

        Call it with `Placement.pools()` when agents join or leave.

        Args:
            names: Pool name by service. Services without a name share one
                pool.
        """
        if names != self.all_pools.pool_names:
            self.all_pools.pool_names = dict(names)
            self._rebuild()

    def offer(
        self, item: work.WorkItem, now_s: float, retry: bool = False
    ) -> work.Queued | outcomes.Refused:
        """Queues a job or refuses it.

        Args:
            item: The job. A job that already waits is left unchanged.
            now_s: Monotonic time in seconds.
            retry: True for tasks that were accepted before and that an agent
                gave back without starting them. They are neither charged to
                the quota again nor refused for overload.

        Returns:
            `Queued`, or `Refused` with ``not_run`` True and the reason
            `deadline`, `quota` or `overload`.
        """
        previous = self.jobs.get(item.job)
        if previous is not None and previous.waiting:
            return work.Queued(item.job)
        flow = self._flow_state(item)
        retry = retry or previous is not None
        customer = self.customer_states.get(item.customer)
        refused = refusing.check_new_job(
            item, flow, self.waiting_jobs, retry, now_s
        )
        if customer is not None and not retry:
            refused = customer.charge(item, now_s, refused)
        if refused is None or refused.reason is outcomes.Reason.OVERLOAD:
            work_s = item.tasks * item.run_time_s
            flow.pool.add_demand(flow, work_s, now_s)
        if refused is not None:
            self._forget_idle(flow)
            self.refusals += 1
            return refusing.spread_retry_after(refused, self.refusals)
        self._enqueue(item, previous, flow, now_s)
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
            total_credits: Free credits plus the credits in use.
            now_s: Monotonic time in seconds.
            service: Name of the service.

        Returns:
            A `Grant` for the next job, which may need another service of the
            same pool; `started` must be called for it before the next call.
            A `Dropped` if the job was refused and removed from its queue.
            None if no job can be served.
        """
        pool = self.all_pools.pool_of(service)
        pool.free = free_credits
        pool.total = total_credits
        pool.update_fair_level(now_s)
        self._retry_unplaced(now_s)
        while free_credits > 0:
            flow = granting.choose_flow(pool)
            if flow is None:
                return None
            state = flow.head()
            customer = self.customer_states.get(flow.flow.customer)
            if customer is not None and customer.available_credits <= 0:
                customer.park(flow)
                continue
            refused = refusing.check_waiting_job(flow, state, now_s)
            if refused is not None:
                self._remove_waiting(flow, state)
                self.refusals += 1
                refused = refusing.spread_retry_after(refused, self.refusals)
                return work.Dropped(state.item.job, refused)
            available_credits = (
                state.tasks if customer is None else customer.available_credits
            )
            return granting.grant(flow, state, available_credits)
        return None

    def started(
        self, job: str, credits: int, now_s: float, tasks: int | None = None
    ) -> None:
        """Records what was sent for a grant.

        Args:
            job: Key of the job.
            credits: Credits spent.
            now_s: Monotonic time in seconds.
            tasks: Tasks sent; None means all that waited. 0 means that no
                agent was found: the flow is parked for 5 ms or until
                `remove`.
        """
        state = self.jobs.get(job)
        if state is None or not state.waiting:
            return
        flow = state.flow
        sent = state.tasks if tasks is None else min(tasks, state.tasks)
        if sent <= 0:
            self.unplaced.pop(flow, None)
            self.unplaced[flow] = now_s + PLACEMENT_RETRY_S
            flow.pool.park(flow, True)
            return
        flow.pool.charge(flow, sent * state.item.run_time_s)
        flow.dequeue_sent(state, sent)
        flow.hold(state, credits, sent)
        flow.pool.reclaimed = max(0, flow.pool.reclaimed - credits)
        state.started = state.started or credits > 0
        customer = self.customer_states.get(state.item.customer)
        if customer is not None:
            customer.running += credits
        if not state.waiting:
            self._count_dequeued(state)
        flow.pool.update_flow(flow)

    def finished(
        self,
        customer: str,
        kind: str,
        credits: int,
        run_s: float,
        now_s: float,
        job: str = "",
    ) -> None:
        """Records credits that a batch of a job returned.

        Args:
            customer: Name of the customer.
            kind: Name of the kind.
            credits: Credits returned.
            run_s: Mean run time of the reported tasks in seconds, 0 if none
                ran.
            now_s: Monotonic time in seconds.
            job: Key of the job. If empty, the credits are taken from the
                oldest jobs of the flow.
        """
        customer_state = self.customer_states.get(customer)
        if customer_state is not None:
            customer_state.running = max(0, customer_state.running - credits)
        for flow in self._possible_holders(work.Flow(customer, kind), job):
            count = min(credits, flow.held)
            credits -= count
            for state in flow.release(count, job):
                if not state.waiting:
                    self.jobs.pop(state.item.job, None)
            if run_s > 0.0:
                flow.last_finished_s = now_s
            flow.pool.update_held(flow)
            self._forget_idle(flow)
        if customer_state is not None:
            customer_state.unpark()

    def reclaim(self, now_s: float) -> tuple[work.Reclaim, ...]:
        """Returns the running jobs that should give back credits.

        In each pool, credits are reclaimed from flows that hold more than
        their fair share among the active flows, for one waiting flow that
        holds less than its share. Call it while work waits.
        """
        reclaims: list[work.Reclaim] = []
        for pool in self.all_pools.by_name.values():
            reclaims += granting.reclaim(pool, now_s)
        return tuple(reclaims)

    def remove(self, job: str) -> None:
        """Removes a job that ended or was canceled from its queue."""
        state = self.jobs.get(job)
        if state is None or not state.waiting:
            return
        flow = state.flow
        self._remove_waiting(flow, state)
        if self.unplaced.pop(flow, None) is not None:
            flow.pool.park(flow, False)

    def waiting(self, service: str) -> int:
        """Returns the number of tasks that wait for a service."""
        return self.all_pools.pool_of(service).tasks[service]

    def collect_demand(
        self, now_s: float
    ) -> tuple[messages.CustomerDemand, ...]:
        """Returns the demand of all customers for the `Usage` message.

        Called once a second. Starts a new measuring interval and updates
        this entry's shares of the quotas and limits.
        """
        elapsed_s = customers.MIN_DEMAND_INTERVAL_S
        if self.reported_s is not None:
            elapsed_s = max(elapsed_s, now_s - self.reported_s)
        self.reported_s = now_s
        demands = []
        for name, customer in self.customer_states.items():
            demands.append(customer.report_demand(name, elapsed_s))
            customer.update_own_share(self.peers, now_s)
        return tuple(demands)

    def update_peer_usage(
        self,
        entry: str,
        demands: Iterable[messages.CustomerDemand],
        now_s: float,
    ) -> None:
        """Records the demand of a peer and updates the affected shares.

        A new peer gets its share of every quota at once.
        """
        by_name = {demand.customer: demand for demand in demands}
        is_new = entry not in self.peers
        self.peers.add(entry)
        for name, customer in self.customer_states.items():
            if name in by_name:
                customer.peer_demands[entry] = by_name[name]
            elif customer.peer_demands.pop(entry, None) is None and not is_new:
                continue
            customer.update_own_share(self.peers, now_s)

    def remove_peer(self, entry: str, now_s: float | None = None) -> None:
        """Removes a peer; its share of the quotas goes to the others."""
        self.peers.discard(entry)
        for customer in self.customer_states.values():
            customer.peer_demands.pop(entry, None)
            customer.update_own_share(self.peers, now_s)

    def _rebuild(self) -> None:
        """Rebuilds all pools and makes parked flows eligible again."""
        self.unplaced.clear()
        for customer in self.customer_states.values():
            customer.parked.clear()
        self.all_pools.rebuild(self.plan.service_weights)

    def _possible_holders(
        self, flow: work.Flow, job: str
    ) -> list[flows.FlowState]:
        """Returns the states of a flow in which a job may hold credits.

        They are the states at all services if the job is unknown.
        """
        state = self.jobs.get(job)
        if state is not None and state.item.flow == flow:
            return [state.flow]
        services = self.plan.service_weights.keys() | self.all_pools.pool_names
        states = [
            self.all_pools.flow_states.get((flow, name)) for name in services
        ]
        return [state for state in states if state is not None]

    def _flow_state(self, item: work.WorkItem) -> flows.FlowState:
        """Returns the state of an item's flow, creating it if needed."""
        key = (item.flow, item.service)
        flow = self.all_pools.flow_states.get(key)
        if flow is None:
            weight = self.plan.weights.get(item.flow) or item.weight
            weight = max(weights.MIN_WEIGHT, weight)
            pool = self.all_pools.pool_of(item.service)
            flow = flows.FlowState(item.flow, item.service, pool, weight)
            self.all_pools.flow_states[key] = flow
        return flow

    def _forget_idle(self, flow: flows.FlowState) -> None:
        """Deletes an idle flow that is not in the configuration."""
        if flow.flow not in self.plan.weights:
            self.all_pools.forget_idle(flow)

    def _enqueue(
        self,
        item: work.WorkItem,
        previous: flows.JobState | None,
        flow: flows.FlowState,
        now_s: float,
    ) -> None:
        """Queues a job, taking over credits that `previous` still holds."""
        state = flows.JobState(item, flow, now_s, item.tasks)
        if previous is not None:
            state.credits = previous.credits
            state.reclaimable_credits = previous.reclaimable_credits
            state.started = state.delay_checked = True
            flow.replace_job(state)
        was_empty = not flow.jobs
        if was_empty:
            flow.pool.set_start_tag(flow)
        flow.enqueue(state, next(flow.pool.sequence))
        self.jobs[item.job] = state
        self.waiting_jobs += 1
        if was_empty:
            flow.pool.update_flow(flow)
        else:
            flow.pool.update_sums(flow)

    def _remove_waiting(
        self, flow: flows.FlowState, state: flows.JobState
    ) -> None:
        """Removes a waiting job from its queue."""
        flow.dequeue(state)
        self._count_dequeued(state)
        flow.pool.update_flow(flow)
        self._forget_idle(flow)

    def _count_dequeued(self, state: flows.JobState) -> None:
        """Counts a job as dequeued; forgets it if it holds no credits."""
        self.waiting_jobs -= 1
        if not state.credits:
            self.jobs.pop(state.item.job, None)

    def _retry_unplaced(self, now_s: float) -> None:
        """Unparks the unplaced flows whose retry time has come."""
        while self.unplaced:
            flow, retry_at_s = next(iter(self.unplaced.items()))
            if now_s < retry_at_s:
                return
            del self.unplaced[flow]
            flow.pool.park(flow, False)
