"""Which schedulers are told of a target's capacity, and when.

Load pattern: each start and each end changes what is free. Reports of every
change to all schedulers would outnumber the starts, but a scheduler that takes
a free target for busy rejects jobs that could be served.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from trefoilgw.room import owners
from trefoilgw.work import core as work

# Mean interval between a target's capacity reports, over all schedulers.
REPORT_SPACING_S = 0.05
# While schedulers bid for capacity, it is offered to them at once, and each
# gets reports at this interval at most.
BIDDING_REPORT_INTERVAL_S = 0.2
# Least interval between reports that go along with the ends of runs. Without
# them a scheduler would reject jobs for lack of capacity that is free.
END_REPORT_INTERVAL_S = 0.05


def due_owners(
    connected: Sequence[owners.Owner],
    usable: bool,
    suspect: bool,
    free: work.Demand,
    now_s: float,
) -> list[owners.Owner]:
    """Returns the schedulers that are due for a report.

    Args:
        connected: Schedulers with an open stream.
        usable: Whether the target may be used.
        suspect: Whether the target is suspect.
        free: Capacity that is neither in use nor reserved.
        now_s: Current time.
    """
    interval_s = REPORT_SPACING_S * len(connected)
    if any(x.bids for x in connected):
        interval_s = max(interval_s, BIDDING_REPORT_INTERVAL_S)
    return [
        x
        for x in connected
        if now_s - x.reported_s >= interval_s
        or x.is_misled(usable, suspect, free)
        or (x.run_ended and now_s - x.reported_s >= END_REPORT_INTERVAL_S)
    ]


def competing_cpu(known: Iterable[owners.Owner], name: str) -> tuple[int, ...]:
    """Returns the CPU that the other schedulers wait for.

    Args:
        known: All schedulers.
        name: Incarnation of the scheduler that is left out.

    Returns:
        Millicores by urgency class, up to the last class with any.
    """
    totals: list[int] = []
    for owner in known:
        if owner.name == name or owner.retiring:
            continue
        for bid in owner.bids:
            missing = bid.urgency + 1 - len(totals)
            totals.extend([0] * missing)
            totals[bid.urgency] += bid.total_demand.cpu_millicores
    return tuple(totals)
