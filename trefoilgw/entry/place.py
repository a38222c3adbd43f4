"""Filter: assigns waiting work to agents."""

from trefoilgw.admission import work
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.entry import job_events
from trefoilgw.jobs import model as jobs
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# Delay before work is offered again if the only agents with free credits had
# refused it before.
REOFFER_DELAY_S = 0.02


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Plans batches for the free credits of all services.

    Admission chooses the work, which need not be the job of this exchange. If
    work still waits afterwards, credits are requested from a peer.
    """
    if exchange.request is not None and not exchange.is_new:
        return
    now_s = host.read_clock()
    for service in host.services:
        while host.admission.waiting(service):
            free = host.placement.free(service)
            if free <= 0:
                break
            decision = host.admission.next(
                free, host.placement.total(service), now_s, service
            )
            if decision is None:
                break
            _apply_decision(host, exchange, decision, now_s)
        if host.admission.waiting(service):
            request_credits(host, now_s)


def _apply_decision(
    host: hosts.Host, exchange: exchanges.Exchange, decision, now_s: float
) -> None:
    """Applies a decision of admission: plans batches or drops the job."""
    job = host.table.running.get(decision.job)
    match decision:
        case work.Dropped(refused=refused):
            host.queued_tasks.pop(decision.job, None)
            if job is not None:
                result = host.table.withdraw(job, refused, now_s)
                host.handle_job_event(result, now_s)
        case work.Grant(credits=credits, tasks=tasks):
            if job is None or not job.waiting:
                host.admission.started(decision.job, 0, now_s)
                host.queued_tasks.pop(decision.job, None)
            else:
                exchange.planned_batches += _plan_batches(
                    host, exchange, job, credits, tasks, now_s
                )
        case _:
            raise TypeError(f"unknown decision {decision!r}")


def _plan_batches(
    host: hosts.Host,
    exchange: exchanges.Exchange,
    job: jobs.Job,
    credits: int,
    tasks: int,
    now_s: float,
) -> list[exchanges.PlannedBatch]:
    """Returns batches for the credits that were granted to a job.

    Tells admission what was placed. Returns no batch if no agent is suitable.
    """
    waiting = _unplaced_tasks(exchange, job)
    tasks = min(tasks, len(waiting))
    places = host.placement.place(
        job.kind.service,
        tasks,
        credits,
        job.refusing_agents,
        now_s,
        job.kind.name,
    )
    if not places:
        _dequeue_unplaceable(host, job, now_s)
        return []
    planned_batches = []
    for place in places:
        indices = tuple(waiting[: place.tasks])
        waiting = waiting[place.tasks :]
        planned_batches.append(
            exchanges.PlannedBatch(
                job, place.agent, place.lender, indices, place.concurrency
            )
        )
    spent = sum(place.concurrency for place in places)
    sent = sum(place.tasks for place in places)
    host.admission.started(job.id, spent, now_s, sent)
    tasks_left = host.queued_tasks.get(job.id, 0) - sent
    if tasks_left > 0:
        host.queued_tasks[job.id] = tasks_left
    else:
        host.queued_tasks.pop(job.id, None)
        if waiting:
            job_events.schedule_offer(host, job, 0.0)
    return planned_batches


def _unplaced_tasks(exchange: exchanges.Exchange, job: jobs.Job) -> list[int]:
    """Returns the waiting tasks of a job that this pass did not place."""
    if not exchange.planned_batches:
        return job.waiting
    placed = {
        index
        for planned in exchange.planned_batches
        if planned.job is job
        for index in planned.indices
    }
    return [index for index in job.waiting if index not in placed]


def _dequeue_unplaceable(host: hosts.Host, job: jobs.Job, now_s: float) -> None:
    """Dequeues a job whose tasks no agent with free credits may get.

    The tasks are offered again later, or abandoned if every agent refused
    them.
    """
    host.admission.started(job.id, 0, now_s, 0)
    host.admission.remove(job.id)
    host.queued_tasks.pop(job.id, None)
    others = [
        agent
        for agent, session in host.agents.items()
        if job.kind.service in session.hello.services
        and agent not in job.refusing_agents
    ]
    if others:
        job_events.schedule_offer(host, job, REOFFER_DELAY_S)
        return
    # Every agent has refused these tasks, and an agent never starts a task
    # that it has refused.
    result = host.table.abandon_tasks(
        job, tuple(job.waiting), outcomes.Reason.NO_TARGET, now_s
    )
    host.handle_job_event(result, now_s)


def request_credits(host: hosts.Host, now_s: float) -> None:
    """Requests credits from a peer that has many more, if there is one."""
    free = {
        incarnation: peer.free_credits
        for incarnation, peer in host.peers.items()
    }
    waiting = host.admission.waiting_jobs
    credit_request = host.placement.next_ask(now_s, free, waiting)
    if credit_request is not None:
        peer = host.peers[credit_request.entry]
        host.send(peer.stream, messages.CreditAsk(credit_request.credits))
