"""Which work is refused, and why."""

import attrs

from trefoilgw.admission import flows
from trefoilgw.admission import work
from trefoilgw.outcomes import core as outcomes

# Jobs that may wait at one entry. A flow may use as much as is still free,
# so one flow alone leaves half of the room to the others (dynamic threshold:
# Choudhury and Hahne, 1998).
QUEUE_LIMIT_JOBS = 10_000
# If nothing of a flow ran for so long, its learned run time may be outdated
# and refuses no work.
LEARNED_VALID_S = 5.0
RETRY_AFTER_LEAST_S = 0.1
RETRY_AFTER_LIMIT_S = 5.0
# Fractional part of the golden ratio: its multiples spread evenly over the
# interval from 0 to 1.
GOLDEN = 0.6180339887


def refuse_new(
    item: work.WorkItem,
    flow: flows.FlowState,
    waiting_jobs: int,
    retry: bool,
    now_s: float,
) -> outcomes.Refused | None:
    """Returns why a new job is refused, or None.

    Args:
        item: The job.
        flow: Its flow.
        waiting_jobs: Jobs that wait at this entry.
        retry: True if it was accepted before; then only its deadline counts.
        now_s: Monotonic time in seconds.
    """
    wait_s = 0.0
    own_s = 0.0
    if flow.pool.total > 0:
        credits = max(flow.pool.fair(flow), flow.held)
        own_work_s = item.tasks * item.run_time_s
        own_s = own_work_s / credits
        # A job is delayed by any other one by no more than its own work.
        wait_s = min(flow.work_s, flow.jobs * own_work_s) / credits
    if _misses_deadline(item, flow, now_s, wait_s):
        return outcomes.Refused(
            outcomes.Reason.DEADLINE,
            not_run=True,
            detail="the deadline is before the expected end",
        )
    if retry:
        return None
    if flow.jobs >= QUEUE_LIMIT_JOBS - waiting_jobs:
        return _overload("too many jobs wait", wait_s)
    if not flow.jobs or not flow.above_share:
        return None
    if flow.controller.refuses(wait_s, own_s):
        return _overload(f"the queue delay would be {wait_s:.2f} s", wait_s)
    return None


def refuse_waiting(
    flow: flows.FlowState,
    state: flows.JobState,
    now_s: float,
) -> outcomes.Refused | None:
    """Returns why a job is dropped as it comes to the head, or None."""
    if _misses_deadline(state.item, flow, now_s, 0.0):
        return outcomes.Refused(
            outcomes.Reason.DEADLINE,
            not_run=not state.started,
            detail="the deadline is before the expected end",
        )
    if state.delay_checked:
        return None
    state.delay_checked = True
    waited_s = now_s - state.queued_s
    credits = max(flow.pool.fair(flow), flow.held)
    own_s = state.tasks * state.item.run_time_s / credits
    drop = flow.controller.should_drop(waited_s, own_s, now_s)
    if not drop or flow.jobs < 2 or not flow.above_share:
        return None
    wait_s = flow.work_s / credits
    return _overload(f"the queue delay was {waited_s:.2f} s", wait_s)


def spread(refused: outcomes.Refused, number: int) -> outcomes.Refused:
    """Spreads `retry_after_s`, so that callers don't come back together.

    Args:
        refused: The refusal.
        number: How many there were; sets the factor, 1 to 2.
    """
    if refused.retry_after_s is None:
        return refused
    factor = 1.0 + (number * GOLDEN) % 1.0
    return attrs.evolve(refused, retry_after_s=refused.retry_after_s * factor)


def _misses_deadline(
    item: work.WorkItem,
    flow: flows.FlowState,
    now_s: float,
    wait_s: float,
) -> bool:
    """Tells whether a job would end late.

    The run time counts only while the flow's tasks run and teach it: else
    one bad time would refuse all work for good.
    """
    if now_s >= item.deadline_s:
        return True
    learned = flow.held or now_s - flow.finished_s < LEARNED_VALID_S
    run_s = item.run_time_s if learned else 0.0
    return now_s + wait_s + run_s > item.deadline_s


def _overload(detail: str, wait_s: float) -> outcomes.Refused:
    """Returns a refusal with the time until the queue is short again."""
    retry_s = min(RETRY_AFTER_LIMIT_S, max(RETRY_AFTER_LEAST_S, wait_s))
    return outcomes.Refused(
        outcomes.Reason.OVERLOAD,
        not_run=True,
        detail=detail,
        retry_after_s=retry_s,
    )
