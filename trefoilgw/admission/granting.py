"""Granting of credits to flows, and reclaiming of credits from them.

This module implements the rules of guaranteed shares; `core` keeps the flows.
"""

import math

from trefoilgw.admission import flows
from trefoilgw.admission import pools
from trefoilgw.admission import work

# Fraction of all credits that a flooding flow leaves free once it holds more
# than its guaranteed share. Flows that don't flood leave no such reserve: in a
# trial at 85% load without a flood, a reserve for all flows above their share
# only lengthened queues and made the p99 of response time relative to the ideal
# 2.1 times as high.
RESERVED_SHARE = 0.1
# Longest batch of a flow above its share while other flows are active, so that
# its credits are returned soon.
CONTENDED_BATCH_S = 0.25
# Reclaimed credits that were not returned within this time are reclaimed again.
RECLAIM_TIMEOUT_S = 1.0
# Maximum number of flows to reclaim from per call, starting with the flow that
# holds the most credits per weight.
MAX_RECLAIM_FLOWS = 4


def reserved_credits(flow: flows.FlowState) -> int:
    """Returns the credits that a flow must leave free above its share."""
    return round(RESERVED_SHARE * flow.pool.total) if flow.flooding else 0


def choose_flow(pool: pools.Pool) -> flows.FlowState | None:
    """Returns the flow that is served next, or None if none may be served.

    Notes:
        Flows below their guaranteed share come first: the first one in fair
        queueing order or, if that flow has its share, the one that holds the
        least. The credits that they leave go to flows that don't flood, and
        only then to flooding flows. So a flooding flow gets its guaranteed
        share and the credits that no other flow demands.
    """
    first = pool.first_by_tag()
    if first is None or pool.within_share(first):
        return first
    underserved = pool.first_by_least_held()
    if underserved is not None and pool.within_share(underserved):
        return underserved
    not_flooding = pool.first_not_flooding()
    if not_flooding is not None:
        return not_flooding
    return first if pool.free > reserved_credits(first) else None


def grant(
    flow: flows.FlowState, state: flows.JobState, available_credits: int
) -> work.Grant:
    """Returns a grant of at least one credit.

    Args:
        flow: The chosen flow.
        state: Next job of the flow.
        available_credits: Credits that the customer may still spend, at
            least 1.
    """
    pool = flow.pool
    share = pool.guaranteed_share(flow)
    free = pool.free - reserved_credits(flow)
    if flow.held < share:
        free = max(free, min(pool.free, math.ceil(share - flow.held)))
    if pool.waiting_weight > flow.weight * (1.0 + 1e-9):
        fraction = flow.weight / pool.waiting_weight
        free = max(1, math.ceil(free * fraction))
    credits = min(state.tasks, free, available_credits)
    tasks = state.tasks
    if flow.held + credits > share and pool.contended(flow):
        run_s = max(state.item.run_time_s, 1e-3)
        tasks_per_credit = max(1, int(CONTENDED_BATCH_S / run_s))
        tasks = min(tasks, tasks_per_credit * credits)
    return work.Grant(state.item.job, credits, tasks)


def reclaim(pool: pools.Pool, now_s: float) -> list[work.Reclaim]:
    """Returns credits to reclaim for the waiting flow that holds the least.

    Reclaims at most what this flow lacks to its fair share, from flows above
    theirs, and records it in the pool.
    """
    if now_s - pool.reclaimed_s > RECLAIM_TIMEOUT_S:
        pool.reclaimed = 0
    underserved = pool.first_by_least_held()
    if underserved is None:
        return []
    missing = int(pool.fair_share(underserved)) - underserved.held
    missing = min(underserved.tasks, missing) - pool.reclaimed
    reclaims: list[work.Reclaim] = []
    popped = []
    while missing > 0 and len(popped) < MAX_RECLAIM_FLOWS:
        donor = pool.first_by_most_held()
        if donor is None or donor is underserved:
            break
        excess = donor.held - math.ceil(pool.fair_share(donor))
        if excess <= 0:
            break
        reclaimed = _reclaim_from(donor, min(excess, missing), reclaims)
        missing -= reclaimed
        pool.reclaimed += reclaimed
        pool.reclaimed_s = now_s
        popped.append(pool.pop_most_held())
    pool.restore_most_held(popped)
    return reclaims


def _reclaim_from(
    donor: flows.FlowState, wanted: int, reclaims: list[work.Reclaim]
) -> int:
    """Reclaims credits from a flow, oldest jobs first.

    Args:
        donor: Flow to reclaim from.
        wanted: Credits wanted.
        reclaims: List that the reclaims are appended to.

    Returns:
        Credits reclaimed, at most `wanted`.
    """
    reclaimed = 0
    while donor.reclaimable_jobs and reclaimed < wanted:
        state = next(iter(donor.reclaimable_jobs.values()))
        count = min(state.reclaimable_credits, wanted - reclaimed)
        donor.mark_reclaimed(state, count)
        reclaims.append(work.Reclaim(state.item.job, count))
        reclaimed += count
    return reclaimed
