"""Which bids get the capacity that is free.

Load pattern: all schedulers are short of capacity. It goes to the bid whose
work must start first, and accumulates for it if the work is large.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from trefoilgw.room import owners
from trefoilgw.work import core as work

# Time after which an unanswered offer expires; a round trip takes 2 ms.
OFFER_TIMEOUT_S = 0.1


@attrs.frozen
class Grant:
    """Capacity for one bid.

    Attributes:
        owner: The scheduler.
        urgency: Urgency class of its bid.
        capacity: What to offer.
    """

    owner: owners.Owner
    urgency: int
    capacity: work.Demand


def grants(
    known: Iterable[owners.Owner],
    free: work.Demand,
    reserve_millicores: Callable[[int], int],
    suspect: bool,
    busy: bool,
) -> Iterable[Grant]:
    """Yields what to offer, most urgent bids first.

    A suspect target takes one task at a time: there is an offer for the next
    task only while it has no runs and the bidder has no open offer.

    Args:
        known: All schedulers.
        free: Capacity that is neither in use nor reserved.
        reserve_millicores: Returns the CPU that work of an urgency class must
            leave free.
        suspect: Whether the target is suspect.
        busy: Whether the target has runs.
    """
    bids = [(x, bid) for x in known if not x.retiring for bid in x.bids]
    bids.sort(key=lambda x: x[1].latest_start_s)
    for owner, bid in bids:
        remaining = bid.total_demand.minus(owner.reserved_for(bid.urgency))
        if suspect:
            if busy or owner.reservations:
                return
            remaining = bid.next_demand
        if remaining.cpu_millicores <= 0:
            continue
        if not bid.next_demand.fits_in(free):
            # Freed capacity must accumulate for the most urgent task.
            return
        reserve = work.Demand(reserve_millicores(bid.urgency))
        usable = free.minus(reserve)
        if not bid.next_demand.fits_in(usable):
            continue
        capacity = work.Demand(
            min(remaining.cpu_millicores, usable.cpu_millicores),
            min(max(remaining.memory_mb, 0), usable.memory_mb),
            min(max(remaining.accelerators, 0), usable.accelerators),
        )
        yield Grant(owner, bid.urgency, capacity)
        free = free.minus(capacity)
