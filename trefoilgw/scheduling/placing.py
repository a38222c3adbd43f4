"""Where a task runs."""

from collections.abc import Iterable

from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# Differences in speed below this factor don't count: they are noise.
SPEED_STEP = 0.2
# A suspect runner gets one task in this time to see whether it has recovered.
PROBE_EVERY_S = 1.0
# A probe may take so long to fail that only tasks with time to spare serve.
PROBE_SLACK_S = 0.5


def choose(
    views: Iterable[runners.RunnerView],
    task: jobs.Task,
    slack_s: float,
    service: str,
    domain: str,
    now_s: float,
) -> runners.RunnerView | None:
    """Returns the runner with room for a task, or None.

    Args:
        views: All runners.
        task: The task.
        slack_s: Seconds until the task should start.
        service: Service that must run it.
        domain: Failure domain of the scheduler; equal runners in others cost
            traffic between failure domains.
        now_s: Current time.
    """
    fitting = [
        x
        for x in views
        if x.offers(service)
        and x.name not in task.barred
        and task.spec.demand.fits_in(x.free())
    ]
    sound = [x for x in fitting if not x.suspect]
    probes = [
        x for x in fitting if x.suspect and now_s - x.probed_s >= PROBE_EVERY_S
    ]
    if probes and not task.barred and slack_s >= PROBE_SLACK_S:
        return probes[0]
    return min(sound, key=lambda x: _cost(x, domain), default=None)


def _cost(view: runners.RunnerView, domain: str) -> tuple[int, bool, int]:
    """Returns the order of preference among runners with room."""
    steps = round((view.slowness - 1.0) / SPEED_STEP)
    far = view.domain != domain
    return steps, far, -view.free().cpu_millicores
