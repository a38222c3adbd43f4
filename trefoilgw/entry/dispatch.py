"""Filter: sends the placed batches to their agents."""

from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.messages import core as messages


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sends what `place` decided."""
    for sending in exchange.sendings:
        _send(host, sending)
    exchange.sendings.clear()


def _send(host: hosts.Host, sending: exchanges.Sending) -> None:
    """Books one batch and sends it."""
    job = sending.job
    kind = job.kind
    now_s = host.read_clock()
    session = host.agents[sending.agent]
    number = host.next_batch()
    tasks = tuple(
        messages.TaskSpec(index, job.payloads[index])
        for index in sending.indices
    )
    host.table.assign_tasks(
        job, number, sending.agent, session.number, sending.indices, now_s
    )
    host.in_flight[number] = hosts.InFlight(
        sending.agent,
        job.id,
        job.customer,
        kind.name,
        sending.concurrency,
        len(tasks),
        now_s,
    )
    host.counts.tasks_sent += len(tasks)
    sent = host.send(
        session.stream,
        messages.RunBatch(
            batch=number,
            job=job.id,
            customer=job.customer,
            kind=kind.name,
            service=kind.service,
            concurrency=sending.concurrency,
            lender=sending.lender,
            deadline_s=job.deadline_s - now_s,
            idempotent=job.idempotent,
            tasks=tasks,
        ),
    )
    if not sent:
        host.release(number, None, 0.0, now_s)
        host.follow(host.table.not_sent(number, now_s), now_s)
