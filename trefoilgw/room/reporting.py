"""Which schedulers are told of a target's capacity, and when.

Load pattern: each start and each end changes what is free. Reports of every
change to all schedulers would outnumber the starts, but a scheduler that takes
a free target for busy rejects jobs that could be served.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room import owners
from trefoilgw.work import core as work
from trefoilgw.work import rates

# Mean interval between a target's capacity reports, over all schedulers.
REPORT_SPACING_S = 0.05
# While schedulers bid for capacity, it is offered to them at once, and each
# gets reports at this interval at most.
BIDDING_REPORT_INTERVAL_S = 0.2
# Least interval between reports that go along with the ends of runs. Without
# them a scheduler would reject jobs for lack of capacity that is free.
END_REPORT_INTERVAL_S = 0.05
# Rendezvous hashing alone gives equal schedulers numbers of runners that differ
# by up to about this ratio. Their demand counts as it is.
EVEN_REACH_RATIO = 2.0
MAX_REACH_RATIO = 8.0


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


def is_news(
    report: messages.CapacityReport, last: messages.CapacityReport | None
) -> bool:
    """Returns whether a report differs from the last one that was sent.

    What was started for the others alone is no reason for a report. It changes
    with each start and decays as long as the rate of freed CPU, which is one.
    Neither is the target's slowness: while it has runs, there is soon another
    report.
    """
    if last is None:
        return True
    same = attrs.evolve(
        report, others_started=last.others_started, slowness=last.slowness
    )
    return same != last


def competing_cpu(
    known: Iterable[owners.Owner], reader: owners.Owner
) -> tuple[int, ...]:
    """Returns the CPU that the other schedulers wait for.

    Args:
        known: All schedulers.
        reader: The scheduler that gets the report and is left out.

    Returns:
        Millicores by urgency class, up to the last class with any.

    Notes:
        The reader takes the mean over its runners. A scheduler with more
        runners than the reader gets part of its capacity elsewhere, and one
        with fewer bids at only some of the reader's, so its demand counts in
        the ratio of their reaches.
    """
    totals: list[int] = []
    for owner in known:
        if owner.name == reader.name or owner.retiring:
            continue
        ratio = _reach_ratio(reader, owner)
        for bid in owner.bids:
            missing = bid.urgency + 1 - len(totals)
            totals.extend([0] * missing)
            millicores = bid.total_demand.cpu_millicores
            if ratio != 1.0:
                millicores = round(ratio * millicores)
            totals[bid.urgency] += millicores
    return tuple(totals)


def _reach_ratio(reader: owners.Owner, other: owners.Owner) -> float:
    """Returns the runners of one scheduler for each of another one.

    Numbers that differ a little, or that are not known, count as equal.
    """
    if reader.reach <= 0 or other.reach <= 0:
        return 1.0
    ratio = reader.reach / other.reach
    if 1.0 / EVEN_REACH_RATIO <= ratio <= EVEN_REACH_RATIO:
        return 1.0
    return min(MAX_REACH_RATIO, max(1.0 / MAX_REACH_RATIO, ratio))


def others_started(
    known: Iterable[owners.Owner], reader: owners.Owner
) -> tuple[int, ...]:
    """Returns the rates at which CPU is started for the other schedulers."""
    return rates.steps_of(x.started for x in known if x.name != reader.name)
