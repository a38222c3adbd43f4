"""Filter: gives waiting work places at agents."""

from trefoilgw.admission import work
from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.entry import job_events
from trefoilgw.jobs import model as jobs
from trefoilgw.messages import core as messages
from trefoilgw.outcomes import core as outcomes

# Time after which work is offered again that only agents were free for which
# had struck it before.
AVOIDED_DELAY_S = 0.02


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Turns free credits into batches to send, for all services.

    The work placed is that which is next by admission, which need not be the
    job of this exchange.
    """
    if exchange.request is not None and not exchange.is_new:
        return
    now_s = host.read_clock()
    for service in host.services:
        while host.admission.waiting(service):
            free = host.placement.free(service)
            if free <= 0:
                break
            step = host.admission.next(
                free, host.placement.total(service), now_s, service
            )
            if step is None:
                break
            _carry_out(host, exchange, step, now_s)
        if host.admission.waiting(service):
            ask(host, now_s)


def _carry_out(
    host: hosts.Host, exchange: exchanges.Exchange, step, now_s: float
) -> None:
    """Adds the batches that follow from a decision of admission."""
    job = host.table.running.get(step.job)
    match step:
        case work.Dropped(refused=refused):
            host.queued.pop(step.job, None)
            if job is not None:
                result = host.table.withdraw(job, refused, now_s)
                host.follow(result, now_s)
        case work.Grant(credits=credits, tasks=tasks):
            if job is None or not job.waiting:
                host.admission.started(step.job, 0, now_s)
                host.queued.pop(step.job, None)
            else:
                exchange.sendings += _assign(
                    host, exchange, job, credits, tasks, now_s
                )
        case _:
            raise TypeError(f"unknown decision {step!r}")


def _assign(
    host: hosts.Host,
    exchange: exchanges.Exchange,
    job: jobs.Job,
    credits: int,
    tasks: int,
    now_s: float,
) -> list[exchanges.Sending]:
    """Returns the batches for credits that were granted to a job."""
    waiting = _without_place(exchange, job)
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
        _set_aside(host, job, now_s)
        return []
    sendings = []
    for part in places:
        indices = tuple(waiting[: part.tasks])
        waiting = waiting[part.tasks :]
        sendings.append(
            exchanges.Sending(
                job, part.agent, part.lender, indices, part.concurrency
            )
        )
    spent = sum(part.concurrency for part in places)
    sent = sum(part.tasks for part in places)
    host.admission.started(job.id, spent, now_s, sent)
    left = host.queued.get(job.id, 0) - sent
    if left > 0:
        host.queued[job.id] = left
    else:
        host.queued.pop(job.id, None)
        if waiting:
            job_events.offer_later(host, job, 0.0)
    return sendings


def _without_place(exchange: exchanges.Exchange, job: jobs.Job) -> list[int]:
    """Returns the waiting tasks that got no place in this pass."""
    if not exchange.sendings:
        return job.waiting
    placed = {
        index
        for sending in exchange.sendings
        if sending.job is job
        for index in sending.indices
    }
    return [index for index in job.waiting if index not in placed]


def _set_aside(host: hosts.Host, job: jobs.Job, now_s: float) -> None:
    """Takes a job out of the queue that no agent with credits may get."""
    host.admission.started(job.id, 0, now_s, 0)
    host.admission.remove(job.id)
    host.queued.pop(job.id, None)
    others = [
        agent
        for agent, session in host.agents.items()
        if job.kind.service in session.hello.services
        and agent not in job.refusing_agents
    ]
    if others:
        job_events.offer_later(host, job, AVOIDED_DELAY_S)
        return
    # Every agent has struck these tasks, and a struck task never starts.
    result = host.table.abandon_tasks(
        job, tuple(job.waiting), outcomes.Reason.NO_TARGET, now_s
    )
    host.follow(result, now_s)


def ask(host: hosts.Host, now_s: float) -> None:
    """Asks a peer for credits, if one has many more."""
    free = {name: peer.free_credits for name, peer in host.peers.items()}
    waiting = host.admission.waiting_jobs
    wish = host.placement.next_ask(now_s, free, waiting)
    if wish is not None:
        peer = host.peers[wish.entry]
        host.send(peer.stream, messages.CreditAsk(wish.credits))
