"""Model of one central queue for all slots of a fleet, as a baseline.

Tasks start in order of arrival, each on the first slot that becomes free, and
messages take no time. The difference to measured response times is what a
dispatcher of several processes adds.
"""

import heapq

from trefoilgw.load import arrivals
from trefoilgw.load import results


def simulate(
    plan: tuple[arrivals.Arrival, ...], slots: int
) -> results.FlowResult:
    """Returns the response times of a plan under a central queue.

    Args:
        plan: Arrivals in order of time.
        slots: Number of slots of the whole fleet.

    Returns:
        The response times, with every job counted as complete.
    """
    free_at_s = [0.0] * slots
    measured = results.FlowResult("model", "central-queue", False)
    for arrival in plan:
        ended_s = arrival.at_s
        for run_ms in arrival.run_ms:
            start_s = max(arrival.at_s, heapq.heappop(free_at_s))
            heapq.heappush(free_at_s, start_s + run_ms / 1000)
            ended_s = max(ended_s, start_s + run_ms / 1000)
        measured.record_response(ended_s - arrival.at_s, arrival.ideal_s(slots))
        measured.counts["complete"] += 1
    return measured
