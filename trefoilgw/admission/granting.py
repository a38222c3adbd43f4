"""How many credits go to which flow, and which are taken back.

`core` keeps the flows; this module holds the rules of guaranteed shares.
"""

import math

from trefoilgw.admission import flows
from trefoilgw.admission import pools
from trefoilgw.admission import work

# Share of the credits that floods leave free above their share. At
# 85% load without a flood the reserve would only make queues longer: with one
# for all flows above their share, the trial's p99 of response against ideal
# was 2.1 times as high.
RESERVED_SHARE = 0.1
# A flow above its share gets batches of at most this duration while others
# are active, so that its credits come back soon.
CONTENDED_BATCH_S = 0.25
# Credits asked back that have not come by then are asked for again.
RECLAIM_TIMEOUT_S = 1.0
# Flows looked at for credits to take back, the one with the most first.
MAX_RECLAIM_FLOWS = 4


def reserved_credits(flow: flows.FlowState) -> int:
    """Returns the credits that a flow above its share leaves free."""
    return round(RESERVED_SHARE * flow.pool.total) if flow.flooding else 0


def choose_flow(pool: pools.Pool) -> flows.FlowState | None:
    """Returns the flow that is served next.

    Notes:
        Fair queueing decides among flows within their guaranteed share. What
        they leave goes to flows that don't flood, and only then to those that
        do: a flood gets its guaranteed share and what nobody else asks for.
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
        state: Its next job.
        available_credits: Credits that the customer may still spend, at
            least 1.
    """
    pool = flow.pool
    share = pool.guaranteed_share(flow)
    free = pool.free - reserved_credits(flow)
    if flow.held < share:
        free = max(free, min(pool.free, math.ceil(share - flow.held)))
    if pool.waiting_weight > flow.weight * (1.0 + 1e-9):
        part = flow.weight / pool.waiting_weight
        free = max(1, math.ceil(free * part))
    credits = min(state.tasks, free, available_credits)
    tasks = state.tasks
    if flow.held + credits > share and pool.contended(flow):
        run_s = max(state.item.run_time_s, 1e-3)
        tasks_per_credit = max(1, int(CONTENDED_BATCH_S / run_s))
        tasks = min(tasks, tasks_per_credit * credits)
    return work.Grant(state.item.job, credits, tasks)


def reclaim(pool: pools.Pool, now_s: float) -> list[work.Reclaim]:
    """Returns credits to ask back for the flow that needs them most."""
    if now_s - pool.reclaimed_s > RECLAIM_TIMEOUT_S:
        pool.reclaimed = 0
    underserved = pool.first_by_least_held()
    if underserved is None:
        return []
    missing = int(pool.fair_share(underserved)) - underserved.held
    missing = min(underserved.tasks, missing) - pool.reclaimed
    found: list[work.Reclaim] = []
    passed = []
    while missing > 0 and len(passed) < MAX_RECLAIM_FLOWS:
        donor = pool.first_by_most_held()
        if donor is None or donor is underserved:
            break
        excess = donor.held - math.ceil(pool.fair_share(donor))
        if excess <= 0:
            break
        taken = _reclaim_from(donor, min(excess, missing), found)
        missing -= taken
        pool.reclaimed += taken
        pool.reclaimed_s = now_s
        passed.append(pool.pop_most_held())
    pool.restore_most_held(passed)
    return found


def _reclaim_from(
    donor: flows.FlowState, wanted: int, found: list[work.Reclaim]
) -> int:
    """Asks credits of long batches back, those of the oldest jobs first."""
    taken = 0
    while donor.reclaimable_jobs and taken < wanted:
        state = next(iter(donor.reclaimable_jobs.values()))
        count = min(state.reclaimable_credits, wanted - taken)
        donor.mark_reclaimed(state, count)
        found.append(work.Reclaim(state.item.job, count))
        taken += count
    return taken
