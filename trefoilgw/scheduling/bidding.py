"""Bids, with which a scheduler reports its waiting work to the runners.

Load pattern: work waits at all schedulers of a large fleet. Bids to all runners
after each change would take more time than the work. The rate of bids is
therefore limited by the number of runners, and little work bids at some of the
runners only, as in the batch sampling of Sparrow (Ousterhout et al. 2013).
"""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners
from trefoilgw.work import core as work

# Minimum interval between bids to a runner, except for the first bid of some
# waiting work and its withdrawal.
BID_INTERVAL_S = 0.02
# Mean interval between updates of the bids, over all runners.
BID_SPACING_S = 0.002
# Runners at which work bids at least, and for each waiting task.
MIN_BID_RUNNERS = 4
BID_RUNNERS_PER_TASK = 3


def make_bid(
    waiting_jobs: Iterable[jobs.Job], service: str, now_s: float
) -> messages.Bid:
    """Returns the bid for the capacity of a service.

    Jobs that start as a whole only are left out: an offer of room for some of
    their tasks is of no use.

    Args:
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        service: Name of the service.
        now_s: Current time.
    """
    demands: dict[int, messages.WaitingDemand] = {}
    for job in waiting_jobs:
        if job.spec.queue.service != service or job.is_held:
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
            waiting[0].expected_s,
            waiting[0].error,
        )
    return messages.Bid(tuple(demands.values()))


def update_interval_s(runner_count: int) -> float:
    """Returns the least interval between updates of the bids in seconds."""
    return max(BID_INTERVAL_S, BID_SPACING_S * runner_count)


def is_due_at_once(urgency: int | None, previous: int | None) -> bool:
    """Returns whether bids must be updated without waiting for the interval.

    Args:
        urgency: Urgency class of the most urgent waiting job, None if none
            waits.
        previous: The same at the last update.
    """
    if urgency is None or previous is None:
        return urgency != previous
    return urgency < previous


def select_bidders(
    views: Sequence[runners.RunnerView], bid: messages.Bid, rotation: int
) -> list[runners.RunnerView]:
    """Returns the runners that get a bid.

    Those that have one already keep getting updates, and the withdrawal.

    Args:
        views: Usable runners of the service.
        bid: The bid.
        rotation: Changes from job to job, so that the load of the bids is
            spread over the runners.
    """
    selected = [x for x in views if x.bid.demands]
    wanted = max(MIN_BID_RUNNERS, BID_RUNNERS_PER_TASK * _task_count(bid))
    missing = min(wanted, len(views)) - len(selected)
    if not bid.demands or missing <= 0:
        return selected
    others = [x for x in views if not x.bid.demands]
    start = rotation % len(others)
    others = others[start:] + others[:start]
    # A target in doubt offers nothing until its next probe is due.
    others.sort(key=lambda x: x.suspect and not x.awaits_probe)
    return selected + others[:missing]


def _task_count(bid: messages.Bid) -> int:
    """Returns about how many tasks a bid is for."""
    return sum(
        -(-x.wanted.cpu_millicores // max(1, x.room.cpu_millicores))
        for x in bid.demands
    )


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
        and a.expected_s == b.expected_s
        and abs(a.slack_s - elapsed_s - b.slack_s) < BID_INTERVAL_S
        for a, b in zip(old.demands, new.demands, strict=True)
    )
