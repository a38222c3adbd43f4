"""Jobs for a service whose targets are all in doubt.

A target in doubt is trusted again only after tasks have passed there as probes.

Load pattern: all targets of a service fail, stall or are slow at the same time,
while jobs come at the usual rate. Nothing can be predicted of the targets. If
all jobs were rejected, there would be no probe, and the doubts would outlast
their cause for ever; if all were admitted, many would be answered late. Each
target that awaits a probe therefore counts as room for one task, and the other
jobs are rejected at once.
"""

from collections.abc import Collection
from collections.abc import Iterable

from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# The end of the doubts can't be predicted. Callers that return this often get
# served soon after it and are few meanwhile.
RETRY_AFTER_S = 1.0


def all_in_doubt(
    views: Iterable[runners.RunnerView], service: str
) -> list[runners.RunnerView]:
    """Returns the usable runners of a service if they are all in doubt.

    Args:
        views: All runners.
        service: Name of the service.

    Returns:
        An empty list if a runner is not in doubt, or if there is none.
    """
    serving = []
    for view in views:
        if view.serves(service):
            if not view.suspect:
                return []
            serving.append(view)
    return serving


def probing_jobs(
    waiting_jobs: Iterable[jobs.Job], doubted: Iterable[runners.RunnerView]
) -> list[jobs.Job]:
    """Returns the waiting jobs whose tasks are the next probes.

    Args:
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        doubted: Runners of a service, all in doubt.
    """
    awaiting = [x for x in doubted if x.awaits_probe]
    found = []
    probes = 0
    for job in waiting_jobs:
        if probes >= len(awaiting):
            break
        count = _count_probes(job, awaiting)
        probes += count
        if count:
            found.append(job)
    return found


def may_probe(
    job: jobs.Job,
    waiting_jobs: Iterable[jobs.Job],
    doubted: Iterable[runners.RunnerView],
) -> bool:
    """Returns whether a new job can supply a probe beside the waiting ones.

    Jobs that are held don't count, as they don't bid.

    Args:
        job: The job, not yet among the waiting jobs.
        waiting_jobs: Jobs with waiting tasks.
        doubted: Runners of its service, all in doubt.
    """
    awaiting = [x for x in doubted if x.awaits_probe]
    if not _count_probes(job, awaiting):
        return False
    service = job.spec.queue.service
    probes = sum(
        _count_probes(x, awaiting)
        for x in waiting_jobs
        if x.spec.queue.service == service and not x.is_held
    )
    return probes < len(awaiting)


def _count_probes(
    job: jobs.Job, awaiting: Collection[runners.RunnerView]
) -> int:
    """Returns how many waiting tasks of a job may run at one of some runners.

    Args:
        job: The job.
        awaiting: Runners that await a probe.
    """
    return sum(
        any(
            x.name not in task.excluded_runners
            and task.spec.demand.fits_in(x.free())
            for x in awaiting
        )
        for task in job.waiting()
    )
