"""Reclaims credits of large batches for flows below their fair share."""

from trefoilgw.entry import host as hosts
from trefoilgw.messages import core as messages


def apply(host: hosts.Host) -> None:
    """Lowers the concurrency of batches as admission requests it."""
    now_s = host.read_clock()
    for reclaim in host.admission.reclaim(now_s):
        job = host.table.running.get(reclaim.job)
        if job is not None:
            _shrink_batches(host, job.open_batches, reclaim.credits, now_s)


def _shrink_batches(
    host: hosts.Host, batches: set, credits: int, now_s: float
) -> None:
    """Reclaims credits of the batches of one job, the largest batch first.

    Each batch keeps one credit, so that it makes progress. The credits count
    as released immediately; they become free as tasks of the batch end.
    """
    held = [(n, host.in_flight[n]) for n in batches if n in host.in_flight]
    held.sort(key=lambda item: -item[1].credits)
    for number, batch in held:
        count = min(credits, batch.credits - 1)
        session = host.agents.get(batch.agent)
        if count <= 0 or session is None:
            continue
        credits -= count
        host.release_credits(number, count, 0.0, now_s)
        host.send(session.stream, messages.Resize(number, batch.credits))
