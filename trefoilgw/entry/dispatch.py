"""Filter: sends the planned batches to their agents."""

from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.messages import core as messages


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sends the batches that `place` planned."""
    for planned in exchange.planned_batches:
        _send_batch(host, planned)
    exchange.planned_batches.clear()


def _send_batch(host: hosts.Host, planned: exchanges.PlannedBatch) -> None:
    """Records one batch as in flight and sends it.

    If the stream is closed, the batch is undone as not sent.
    """
    job = planned.job
    kind = job.kind
    now_s = host.read_clock()
    session = host.agents[planned.agent]
    number = host.next_batch_number()
    tasks = tuple(
        messages.TaskSpec(index, job.payloads[index])
        for index in planned.indices
    )
    host.table.assign_tasks(
        job, number, planned.agent, session.number, planned.indices, now_s
    )
    host.in_flight[number] = hosts.BatchInFlight(
        planned.agent,
        job.id,
        job.customer,
        kind.name,
        planned.concurrency,
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
            concurrency=planned.concurrency,
            lender=planned.lender,
            deadline_s=job.deadline_s - now_s,
            idempotent=job.idempotent,
            tasks=tasks,
        ),
    )
    if not sent:
        host.release_credits(number, None, 0.0, now_s)
        host.handle_job_event(host.table.batch_not_sent(number, now_s), now_s)
