"""Which bids get the capacity that is free.

Load pattern: all schedulers are short of capacity. It goes to the bid whose
work must start first, and accumulates for it if the work is large. Until then
less urgent work gets what it can use without a delay of that work.
"""

import math
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from trefoilgw.room import backfill
from trefoilgw.room import headroom
from trefoilgw.room import owners
from trefoilgw.work import core as work

# Time after which an unanswered offer expires; a round trip takes 2 ms.
OFFER_TIMEOUT_S = 0.1
# Time after its latest start from which on a task is not kept waiting for the
# sake of headroom. A job that has not started is rejected before, so that this
# bounds the wait of the last tasks of a job that can't be rejected any more.
MAX_OVERDUE_S = 1.0


@attrs.frozen
class Grant:
    """Capacity for one bid.

    Attributes:
        owner: The scheduler.
        urgency: Urgency class of its bid.
        capacity: What to offer.
        backfill: Whether a more urgent task is blocked.
        ends_by_s: Time by which the runs must surely end.
    """

    owner: owners.Owner
    urgency: int
    capacity: work.Demand
    backfill: bool = False
    ends_by_s: float = math.inf


@attrs.frozen
class OfferInputs:
    """What the offers depend on besides the bids.

    Attributes:
        capacity: Capacity of the target.
        free: Capacity that is neither in use nor reserved.
        reserve_millicores: Returns the CPU that work of an urgency class must
            leave free.
        suspect: Whether the target is suspect. It then takes one task at a
            time: there is an offer for the next task only while a probe is
            allowed and the bidder has no open offer.
        probe_blocked: Whether a suspect target may get no probe now.
        reserve: Returns the reservation of a task that does not fit.
        now_s: Current time.
    """

    capacity: work.Demand
    free: work.Demand
    reserve_millicores: Callable[[int], int]
    suspect: bool
    probe_blocked: bool
    reserve: Callable[[work.Demand], backfill.Reservation | None]
    now_s: float


def grants(
    known: Iterable[owners.Owner],
    inputs: OfferInputs,
    backfilling: backfill.Backfilling,
) -> Iterable[Grant]:
    """Yields what to offer, most urgent bids first.

    The first bid whose task does not fit is noted as blocked. A task that is
    larger than the target blocks nothing.

    Args:
        known: All schedulers.
        inputs: What the offers depend on besides.
        backfilling: Gets the blocked task.
    """
    previous = backfilling.blocked
    backfilling.look(inputs.now_s)
    free = inputs.free
    now_s = inputs.now_s
    bids = [(x, bid) for x in known if x.may_bid(now_s) for bid in x.bids]
    bids.sort(key=lambda x: x[1].latest_start_s)
    for index, (owner, bid) in enumerate(bids):
        remaining = bid.total_demand.minus(owner.reserved_for(bid.urgency))
        if inputs.suspect:
            if inputs.probe_blocked or owner.reservations:
                return
            remaining = bid.next_demand
        elif owner.covers(bid):
            continue
        if not bid.next_demand.fits_in(free):
            if not bid.next_demand.fits_in(inputs.capacity):
                continue
            # Freed capacity must accumulate for the most urgent task.
            backfilling.block(
                backfill.BlockedTask(
                    owner.name,
                    bid.urgency,
                    bid.latest_start_s,
                    bid.next_demand,
                ),
                previous,
            )
            if not inputs.suspect:
                yield from _backfill(
                    bids[index + 1 :],
                    free,
                    inputs,
                    bid.next_demand,
                    backfilling.observed,
                )
            return
        usable = headroom.usable(free, inputs.reserve_millicores(bid.urgency))
        if bid.next_demand.fits_in(usable):
            capacity = _share(remaining, usable)
        elif now_s - bid.latest_start_s >= MAX_OVERDUE_S:
            capacity = bid.next_demand
        else:
            continue
        yield Grant(owner, bid.urgency, capacity)
        free = free.minus(capacity)


def _share(remaining: work.Demand, usable: work.Demand) -> work.Demand:
    """Returns the capacity to offer of what is usable."""
    return work.Demand(
        min(remaining.cpu_millicores, usable.cpu_millicores),
        min(max(remaining.memory_mb, 0), usable.memory_mb),
        min(max(remaining.accelerators, 0), usable.accelerators),
    )


def _backfill(
    bids: Iterable[tuple[owners.Owner, owners.Bid]],
    free: work.Demand,
    inputs: OfferInputs,
    blocked: work.Demand,
    observed: backfill.ObservedRunTimes,
) -> Iterable[Grant]:
    """Yields what to offer to the bids that are less urgent than a blocked one.

    The reservation is computed once there is a bid that could use it.
    """
    reservation = None
    for owner, bid in bids:
        if not bid.next_demand.fits_in(free):
            continue
        if owner.covers(bid):
            continue
        remaining = bid.total_demand.minus(owner.reserved_for(bid.urgency))
        usable = headroom.usable(free, inputs.reserve_millicores(bid.urgency))
        if not bid.next_demand.fits_in(usable):
            continue
        if reservation is None:
            reservation = inputs.reserve(blocked)
            if reservation is None:
                return
            extra = reservation.extra
        ends_by_s = math.inf
        if bid.next_demand.fits_in(extra):
            usable = usable.capped(extra)
        elif _ends_in_time(bid, reservation, observed, inputs.now_s):
            ends_by_s = reservation.start_s
        else:
            continue
        capacity = _share(remaining, usable)
        yield Grant(owner, bid.urgency, capacity, True, ends_by_s)
        free = free.minus(capacity)
        if ends_by_s == math.inf:
            extra = extra.minus(capacity)
        extra = extra.capped(free)


def _ends_in_time(
    bid: owners.Bid,
    reservation: backfill.Reservation,
    observed: backfill.ObservedRunTimes,
    now_s: float,
) -> bool:
    """Returns whether the most urgent task of a bid ends before a reservation.

    It starts only once its scheduler has answered the offer.
    """
    if bid.expected_s <= 0.0:
        return False
    limit_s = observed.limit_s(bid.expected_s, bid.error)
    return now_s + backfill.ANSWER_TIME_S + limit_s <= reservation.start_s
