"""What a scheduler tells the runners of its waiting work."""

from collections.abc import Iterable

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners
from trefoilgw.work import core as work

# Bids that differ only in figures are sent no more often than this.
BID_EVERY_S = 0.02


def bid_for(
    line: Iterable[jobs.Job], service: str, now_s: float
) -> messages.Bid:
    """Returns the bid for room of a service.

    Args:
        line: Jobs with waiting tasks, most urgent first.
        service: The service.
        now_s: Current time.
    """
    demands: dict[int, messages.WaitingDemand] = {}
    for job in line:
        if job.spec.queue.service != service:
            continue
        waiting = job.waiting()
        wanted = work.total(x.spec.demand for x in waiting)
        known = demands.get(job.urgency)
        if known is not None:
            total = messages.Room.of(known.wanted.demand.plus(wanted))
            demands[job.urgency] = attrs.evolve(known, wanted=total)
            continue
        demands[job.urgency] = messages.WaitingDemand(
            job.urgency,
            round(job.latest_start_s - now_s, 3),
            messages.Room.of(waiting[0].spec.demand),
            messages.Room.of(wanted),
        )
    return messages.Bid(tuple(demands.values()))


def is_news(view: runners.RunnerView, bid: messages.Bid, now_s: float) -> bool:
    """Returns whether a runner must be told of a bid."""
    if not bid.demands or not view.bid.demands:
        return bool(bid.demands or view.bid.demands)
    elapsed_s = now_s - view.bid_s
    return elapsed_s >= BID_EVERY_S and not _same(view.bid, bid, elapsed_s)


def _same(old: messages.Bid, new: messages.Bid, elapsed_s: float) -> bool:
    """Returns whether what a runner knows of a bid is still right."""
    if len(old.demands) != len(new.demands):
        return False
    return all(
        a.urgency == b.urgency
        and a.room == b.room
        and a.wanted == b.wanted
        and abs(a.slack_s - elapsed_s - b.slack_s) < BID_EVERY_S
        for a, b in zip(old.demands, new.demands, strict=True)
    )
