"""Refusal of jobs for deadlines, full queues and queue delay."""

import attrs

from trefoilgw.admission import flows
from trefoilgw.admission import work
from trefoilgw.outcomes import core as outcomes

# Maximum number of waiting jobs at one entry. A flow may have at most as many
# waiting jobs as there are unused places, so that one flow alone leaves half of
# them to the others (dynamic threshold: Choudhury and Hahne, 1998).
MAX_WAITING_JOBS = 10_000
# If no task of a flow ran for this long, its learned run time may be outdated
# and is not a reason for refusal.
RUN_TIME_VALID_S = 5.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
# Fractional part of the golden ratio. The fractional parts of its multiples are
# evenly distributed between 0 and 1.
GOLDEN_RATIO_FRACTION = 0.6180339887


def check_new_job(
    item: work.WorkItem,
    flow: flows.FlowState,
    waiting_jobs: int,
    retry: bool,
    now_s: float,
) -> outcomes.Refused | None:
    """Returns the refusal of a new job, or None if it may be queued.

    Args:
        item: The job.
        flow: Flow of the job.
        waiting_jobs: Number of jobs that wait at this entry.
        retry: True if it was accepted before; then only its deadline is
            checked.
        now_s: Monotonic time in seconds.
    """
    wait_s = 0.0
    job_duration_s = 0.0
    if flow.pool.total > 0:
        credits = max(flow.pool.fair_share(flow), flow.held)
        job_work_s = item.tasks * item.run_time_s
        job_duration_s = job_work_s / credits
        # Within a flow, each other job delays this one by at most this job's
        # own work.
        wait_s = min(flow.work_s, flow.jobs * job_work_s) / credits
    if _misses_deadline(item, flow, now_s, wait_s):
        return outcomes.Refused(
            outcomes.Reason.DEADLINE,
            not_run=True,
            detail="the deadline is before the expected end",
        )
    if retry:
        return None
    if flow.jobs >= MAX_WAITING_JOBS - waiting_jobs:
        return _overload_refusal("too many jobs wait", wait_s)
    if not flow.jobs or not flow.above_share:
        return None
    if flow.delay_controller.should_refuse(wait_s, job_duration_s):
        return _overload_refusal(
            f"the queue delay would be {wait_s:.2f} s", wait_s
        )
    return None


def check_waiting_job(
    flow: flows.FlowState,
    state: flows.JobState,
    now_s: float,
) -> outcomes.Refused | None:
    """Returns the refusal of the job at the head of a flow, or None.

    The queue delay of a job is checked only once. A job that was requeued
    while it held credits is exempt from this check.
    """
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
    credits = max(flow.pool.fair_share(flow), flow.held)
    job_duration_s = state.tasks * state.item.run_time_s / credits
    drop = flow.delay_controller.should_drop(waited_s, job_duration_s, now_s)
    if not drop or flow.jobs < 2 or not flow.above_share:
        return None
    wait_s = flow.work_s / credits
    return _overload_refusal(f"the queue delay was {waited_s:.2f} s", wait_s)


def spread_retry_after(
    refused: outcomes.Refused, number: int
) -> outcomes.Refused:
    """Spreads `retry_after_s`, so that callers don't retry all at once.

    Args:
        refused: The refusal.
        number: Sequence number of the refusal; sets the factor by which
            `retry_after_s` is multiplied, 1 to 2.
    """
    if refused.retry_after_s is None:
        return refused
    factor = 1.0 + (number * GOLDEN_RATIO_FRACTION) % 1.0
    return attrs.evolve(refused, retry_after_s=refused.retry_after_s * factor)


def _misses_deadline(
    item: work.WorkItem,
    flow: flows.FlowState,
    now_s: float,
    wait_s: float,
) -> bool:
    """Returns whether a job would end after its deadline.

    The learned run time is used only while tasks of the flow run and update
    it. Otherwise one run time that was learned too high would refuse all
    work of the flow permanently.
    """
    if now_s >= item.deadline_s:
        return True
    learned = flow.held or now_s - flow.last_finished_s < RUN_TIME_VALID_S
    run_s = item.run_time_s if learned else 0.0
    return now_s + wait_s + run_s > item.deadline_s


def _overload_refusal(detail: str, wait_s: float) -> outcomes.Refused:
    """Returns a refusal for overload.

    The caller may retry when the queue is expected to be short again.

    Args:
        detail: Text for the caller.
        wait_s: Expected queue delay in seconds; sets `retry_after_s` within
            its limits.
    """
    retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return outcomes.Refused(
        outcomes.Reason.OVERLOAD,
        not_run=True,
        detail=detail,
        retry_after_s=retry_s,
    )
