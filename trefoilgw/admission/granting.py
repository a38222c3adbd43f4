"""How many credits go to which flow, and which are taken back.

`core` keeps the flows; this module holds the rules of guaranteed shares.
"""

import math

from trefoilgw.admission import flows
from trefoilgw.admission import work

# Share of the credits that flows above their share leave free.
RESERVED_SHARE = 0.1
# A flow above its share gets batches of at most this duration while others
# are active, so that its credits come back soon.
CONTENDED_BATCH_S = 0.25
# Credits asked back that have not come by then are asked for again.
RECLAIM_TIMEOUT_S = 1.0
# Flows looked at for credits to take back, the one with the most first.
RECLAIM_FLOWS = 4


def reserved(queue: flows.ServiceQueue) -> int:
    """Returns the credits that flows above their share leave free."""
    return round(RESERVED_SHARE * queue.total)


def choose(queue: flows.ServiceQueue) -> flows.FlowState | None:
    """Returns the flow that is served next.

    Notes:
        Fair queueing decides among flows within their share. A flow within
        its share goes before any flow above it, and finds the reserved
        credits if there are no others.
    """
    first = queue.first_by_tag()
    if first is None or queue.within_share(first):
        return first
    needy = queue.first_by_need()
    if needy is not None and queue.within_share(needy):
        return needy
    return first if queue.free > reserved(queue) else None


def grant(
    queue: flows.ServiceQueue,
    flow: flows.FlowState,
    state: flows.JobState,
    room: int,
) -> work.Grant:
    """Returns a grant of at least one credit.

    Args:
        queue: Queue of the service.
        flow: The chosen flow.
        state: Its next job.
        room: Credits that the customer may still spend, at least 1.
    """
    share = queue.guaranteed(flow)
    free = queue.free - reserved(queue)
    if flow.held < share:
        free = max(free, min(queue.free, math.ceil(share - flow.held)))
    others = queue.waiting_weight - flow.weight
    if others > 1e-9:
        part = flow.weight / queue.waiting_weight
        free = max(1, math.ceil(free * part))
    credits = min(state.tasks, free, room)
    tasks = state.tasks
    if flow.held + credits > share and queue.contended(flow):
        run_s = max(state.item.run_time_s, 1e-3)
        rounds = max(1, int(CONTENDED_BATCH_S / run_s))
        tasks = min(tasks, rounds * credits)
    return work.Grant(state.item.job, credits, tasks)


def reclaim(queue: flows.ServiceQueue, now_s: float) -> list[work.Reclaim]:
    """Returns credits to ask back for the flow that needs them most."""
    if now_s - queue.reclaimed_s > RECLAIM_TIMEOUT_S:
        queue.reclaimed = 0
    needy = queue.first_by_need()
    if needy is None:
        return []
    missing = int(queue.fair(needy)) - needy.held
    missing = min(needy.tasks, missing) - queue.reclaimed
    found: list[work.Reclaim] = []
    passed = []
    while missing > 0 and len(passed) < RECLAIM_FLOWS:
        donor = queue.first_by_excess()
        if donor is None or donor is needy:
            break
        excess = donor.held - math.ceil(queue.fair(donor))
        if excess <= 0:
            break
        taken = _ask_back(donor, min(excess, missing), found)
        missing -= taken
        queue.reclaimed += taken
        queue.reclaimed_s = now_s
        passed.append(queue.skip_excess())
    queue.restore_excess(passed)
    return found


def _ask_back(
    donor: flows.FlowState, wanted: int, found: list[work.Reclaim]
) -> int:
    """Asks credits of long batches back, those of the oldest jobs first."""
    taken = 0
    while donor.long and taken < wanted:
        state = next(iter(donor.long.values()))
        count = min(state.long_credits, wanted - taken)
        donor.ask_back(state, count)
        found.append(work.Reclaim(state.item.job, count))
        taken += count
    return taken
