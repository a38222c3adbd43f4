"""Selection of the runner for a task."""

from collections.abc import Iterable

from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# Relative run times are rounded to multiples of this; smaller differences are
# noise.
SPEED_STEP = 0.2
# Interval at which a suspect runner gets one task, to detect its recovery.
PROBE_INTERVAL_S = 1.0
# Slack that a task needs to serve as a probe, since a probe may fail late.
MIN_PROBE_SLACK_S = 0.5


def choose_runner(
    views: Iterable[runners.RunnerView],
    task: jobs.Task,
    slack_s: float,
    service: str,
    domain: str,
    now_s: float,
) -> runners.RunnerView | None:
    """Returns the best runner with capacity for a task, or None.

    A suspect runner that is due for a probe comes first if the task may serve
    as one; otherwise suspect runners are not used.

    Args:
        views: Candidate runners.
        task: The task.
        slack_s: Seconds until the task should start.
        service: Service that must run it.
        domain: Failure domain of the scheduler; its runners win ties, since
            others cause traffic between failure domains.
        now_s: Current time.
    """
    fitting = [
        x
        for x in views
        if x.serves(service)
        and x.name not in task.excluded_runners
        and task.spec.demand.fits_in(x.free())
    ]
    healthy = [x for x in fitting if not x.suspect]
    probes = [
        x
        for x in fitting
        if x.suspect and now_s - x.probed_s >= PROBE_INTERVAL_S
    ]
    if probes and not task.excluded_runners and slack_s >= MIN_PROBE_SLACK_S:
        return probes[0]
    return min(healthy, key=lambda x: _preference(x, domain), default=None)


def _preference(view: runners.RunnerView, domain: str) -> tuple[int, bool, int]:
    """Returns the sort key of a runner; the lowest is preferred.

    Fast runners come first, then those in the failure domain of the
    scheduler, then those with the most free capacity.
    """
    steps = round((view.slowness - 1.0) / SPEED_STEP)
    is_remote = view.domain != domain
    return steps, is_remote, -view.free().cpu_millicores
