"""Whose work is next, and what is refused.

Admission keeps the queues of this entry. It decides how many credits a job
may spend; where the tasks go is up to `placement`.
"""

from collections.abc import Iterable

import attrs

from trefoilgw.admission import customers
from trefoilgw.admission import flows
from trefoilgw.admission import granting
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
        services: Queue by service.
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
    services: dict[str, flows.ServiceQueue] = attrs.field(factory=dict)
    jobs: dict[str, flows.JobState] = attrs.field(factory=dict)
    waiting_jobs: int = 0
    stuck: dict[
        work.Flow, tuple[float, flows.ServiceQueue, flows.FlowState]
    ] = attrs.field(factory=dict)
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
        for name, service in self.services.items():
            service.configured_weight = self.plan.service_weights.get(name, 0)
            for flow in service.flows.values():
                flow.weight = self.plan.weights.get(flow.flow, flow.weight)
            service.rebuild()

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
        queue = self._queue(item.service)
        flow = self._flow(queue, item)
        retry = retry or known is not None
        customer = self.customer_states.get(item.customer)
        refused = refusing.refuse_new(
            item, queue, flow, self.waiting_jobs, retry, now_s
        )
        if customer is not None and not retry:
            refused = customer.charge(item, now_s, refused)
        if refused is not None:
            self._forget_idle(queue, flow)
            self.refusals += 1
            return refusing.spread(refused, self.refusals)
        self._enqueue(item, known, queue, flow, now_s)
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
            After a `Grant`, `started` must be called before the next call.
            A `Dropped` job is gone.
        """
        queue = self.services.get(service)
        if queue is None:
            return None
        queue.free = free_credits
        queue.total = total_credits
        self._release_stuck(now_s)
        while free_credits > 0:
            flow = granting.choose(queue)
            if flow is None:
                return None
            state = flow.head()
            customer = self.customer_states.get(flow.flow.customer)
            if customer is not None and customer.room <= 0:
                customer.park(queue, flow)
                continue
            refused = refusing.refuse_waiting(queue, flow, state, now_s)
            if refused is not None:
                self._take_out(queue, flow, state)
                self.refusals += 1
                return work.Dropped(
                    state.item.job, refusing.spread(refused, self.refusals)
                )
            room = state.tasks if customer is None else customer.room
            return granting.grant(queue, flow, state, room)
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
        queue = self.services[state.item.service]
        sent = state.tasks if tasks is None else min(tasks, state.tasks)
        if sent <= 0:
            queue.park(flow, True)
            self.stuck.pop(flow.flow, None)
            self.stuck[flow.flow] = (now_s + RETRY_PLACE_S, queue, flow)
            return
        first = queue.first_by_tag()
        if first is not None:
            queue.virtual = max(queue.virtual, first.start_tag)
        flow.sent(state, sent)
        queue.tasks -= sent
        flow.start_tag += sent * state.item.run_time_s / flow.weight
        flow.hold(state, credits, sent)
        state.started = state.started or credits > 0
        queue.reclaimed = max(0, queue.reclaimed - credits)
        known = self.customer_states.get(state.item.customer)
        if known is not None:
            known.running += credits
        if not state.waiting:
            self._left_queue(state)
        queue.changed(flow)

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
        for queue in self._queues_of(job):
            flow = queue.flows.get(work.Flow(customer, kind))
            if flow is None:
                continue
            count = min(credits, flow.held)
            credits -= count
            self._release(queue, flow, count, job)
            if run_s > 0.0:
                flow.finished_s = now_s
        if known is not None:
            known.unpark()

    def reclaim(self, now_s: float) -> tuple[work.Reclaim, ...]:
        """Returns which running jobs should give back credits.

        Credits are asked back from flows above their fair share among the
        active flows, for one flow below its share that waits. To be called
        while work waits.
        """
        found: list[work.Reclaim] = []
        for queue in self.services.values():
            found += granting.reclaim(queue, now_s)
        return tuple(found)

    def remove(self, job: str) -> None:
        """Takes a job that ended or was cancelled out of its queue."""
        state = self.jobs.get(job)
        if state is None or not state.waiting:
            return
        flow = state.flow
        self._take_out(self.services[state.item.service], flow, state)
        if self.stuck.pop(flow.flow, None) is not None:
            self.services[state.item.service].park(flow, False)

    def waiting(self, service: str) -> int:
        """Returns how many tasks wait for a service."""
        queue = self.services.get(service)
        return queue.tasks if queue else 0

    def demand(self, now_s: float) -> tuple[messages.CustomerDemand, ...]:
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

    def peer_usage(
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

    def peer_left(self, entry: str, now_s: float | None = None) -> None:
        """Forgets a peer; its part of the quotas goes to the others."""
        self.entries.discard(entry)
        for customer in self.customer_states.values():
            customer.peers.pop(entry, None)
            customer.split(self.entries, now_s)

    def _queue(self, name: str) -> flows.ServiceQueue:
        """Returns the queue of a service."""
        queue = self.services.get(name)
        if queue is None:
            weight = self.plan.service_weights.get(name, 0.0)
            queue = flows.ServiceQueue(configured_weight=weight)
            self.services[name] = queue
        return queue

    def _queues_of(self, job: str) -> Iterable[flows.ServiceQueue]:
        """Returns the queues in which a job may hold credits."""
        state = self.jobs.get(job)
        if state is not None:
            return (self.services[state.item.service],)
        return tuple(self.services.values())

    def _flow(
        self, queue: flows.ServiceQueue, item: work.WorkItem
    ) -> flows.FlowState:
        """Returns the flow of an item."""
        key = item.flow
        flow = queue.flows.get(key)
        if flow is None:
            weight = self.plan.weights.get(key) or item.weight
            flow = flows.FlowState(key, max(weights.WEIGHT_LEAST, weight))
            queue.flows[key] = flow
        return flow

    def _forget_idle(
        self, queue: flows.ServiceQueue, flow: flows.FlowState
    ) -> None:
        """Deletes an idle flow that the configuration doesn't know."""
        if not flow.active and flow.flow not in self.plan.weights:
            queue.flows.pop(flow.flow, None)

    def _enqueue(
        self,
        item: work.WorkItem,
        known: flows.JobState | None,
        queue: flows.ServiceQueue,
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
        if not flow.jobs:
            flow.start_tag = max(flow.start_tag, queue.virtual)
        flow.push(state, next(queue.order))
        queue.tasks += item.tasks
        self.jobs[item.job] = state
        self.waiting_jobs += 1
        queue.changed(flow)

    def _take_out(
        self,
        queue: flows.ServiceQueue,
        flow: flows.FlowState,
        state: flows.JobState,
    ) -> None:
        """Takes a job out of its queue."""
        queue.tasks -= state.tasks
        flow.drop(state)
        self._left_queue(state)
        queue.changed(flow)
        self._forget_idle(queue, flow)

    def _left_queue(self, state: flows.JobState) -> None:
        """Counts a job as no longer waiting."""
        self.waiting_jobs -= 1
        if not state.credits:
            self.jobs.pop(state.item.job, None)

    def _release(
        self,
        queue: flows.ServiceQueue,
        flow: flows.FlowState,
        credits: int,
        job: str,
    ) -> None:
        """Takes credits back from a flow."""
        for state in flow.release(credits, job):
            if not state.waiting:
                self.jobs.pop(state.item.job, None)
        queue.changed(flow)
        self._forget_idle(queue, flow)

    def _release_stuck(self, now_s: float) -> None:
        """Lets flows be served again whose rest is over."""
        while self.stuck:
            until_s, queue, flow = next(iter(self.stuck.values()))
            if now_s < until_s:
                return
            del self.stuck[flow.flow]
            queue.park(flow, False)
