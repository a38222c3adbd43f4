"""Plans a job: by when it must start, and what it is expected to take."""

import math

from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runtimes
from trefoilgw.work import core as work
from trefoilgw.work import urgency

# Share of the slack held in reserve for each unit of the error of expected run
# times: half of the jobs that start at the very end of their slack would be
# late. Even with exact run times some slack is reserved for slow targets.
SLACK_RESERVE_PER_ERROR = 1.2
MAX_PLANNED_SLACK_SHARE = 0.7
# Time after the end of its caller's wait in which a job is still answered. Well
# below the time after which callers submit a job again.
CALLER_GRACE_S = 0.3


def make_job(
    spec: work.JobSpec,
    first_run: int,
    order: int,
    run_times: runtimes.RunTimes,
    now_s: float,
) -> jobs.Job:
    """Returns the state of a new job.

    Args:
        spec: The job as submitted.
        first_run: Run number of the first attempts at its tasks.
        order: Sequence number of the admission.
        run_times: Run time estimation.
        now_s: Current time.
    """
    queue = spec.queue
    estimates = [
        run_times.estimate(queue.name, x.declared_s, spec.caller_wait_s)
        for x in spec.tasks
    ]
    tasks = [
        jobs.Task(task, estimate.run_s, first_run, error=estimate.error)
        for task, estimate in zip(spec.tasks, estimates, strict=True)
    ]
    longest = max(estimates, key=lambda x: x.run_s)
    longest_s = longest.run_s
    planned_share = min(
        MAX_PLANNED_SLACK_SHARE,
        1.0 - SLACK_RESERVE_PER_ERROR * longest.error,
    )
    slack_s = (queue.stretch - 1.0) * longest_s + queue.latency_s
    return jobs.Job(
        spec=spec,
        tasks=tasks,
        order=order,
        expected_s=longest_s,
        latest_start_s=now_s + max(0.0, planned_share) * slack_s,
        reject_after_s=now_s + slack_s,
        urgency=urgency.urgency_class(slack_s),
        admitted_s=now_s,
        abandoned_after_s=abandoned_after_s(spec, now_s),
    )


def abandoned_after_s(spec: work.JobSpec, now_s: float) -> float:
    """Returns when the caller of a job submitted now waits no longer."""
    if spec.caller_wait_s is None:
        return math.inf
    return now_s + spec.caller_wait_s + CALLER_GRACE_S
