"""Bids, with which a scheduler reports its waiting work to the runners."""

from collections.abc import Iterable

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners
from trefoilgw.work import core as work

# Minimum interval between bids to a runner, except for the first bid of some
# waiting work and its withdrawal.
BID_INTERVAL_S = 0.02


def make_bid(
    waiting_jobs: Iterable[jobs.Job], service: str, now_s: float
) -> messages.Bid:
    """Returns the bid for the capacity of a service.

    Args:
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        service: Name of the service.
        now_s: Current time.
    """
    demands: dict[int, messages.WaitingDemand] = {}
    for job in waiting_jobs:
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


def must_send(
    view: runners.RunnerView, bid: messages.Bid, now_s: float
) -> bool:
    """Returns whether a bid must be sent to a runner now."""
    if not bid.demands or not view.bid.demands:
        return bool(bid.demands or view.bid.demands)
    elapsed_s = now_s - view.bid_sent_s
    return elapsed_s >= BID_INTERVAL_S and not _is_current(
        view.bid, bid, elapsed_s
    )


def _is_current(old: messages.Bid, new: messages.Bid, elapsed_s: float) -> bool:
    """Returns whether the last bid still describes the waiting work.

    Args:
        old: Last bid that was sent.
        new: Bid for the present waiting work.
        elapsed_s: Seconds since the last bid, by which its slack has shrunk.
    """
    if len(old.demands) != len(new.demands):
        return False
    return all(
        a.urgency == b.urgency
        and a.room == b.room
        and a.wanted == b.wanted
        and abs(a.slack_s - elapsed_s - b.slack_s) < BID_INTERVAL_S
        for a, b in zip(old.demands, new.demands, strict=True)
    )
