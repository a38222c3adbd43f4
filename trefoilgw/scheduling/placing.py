"""Selection of the runner for a task.

Load pattern: several schedulers place work on the same runners, and what they
know of the free capacity is some tens of milliseconds old. If each chose the
best runner, all would choose the same one, and most of the tasks would be
refused. They therefore choose at random, and prefer capacity that is likely to
be free still.
"""

import random
from collections.abc import Iterable

from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# Factor on the weight of runners in the failure domain of the scheduler, since
# others cause traffic between failure domains.
LOCAL_WEIGHT = 2.0
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
    rng: random.Random,
) -> runners.RunnerView | None:
    """Returns a runner with capacity for a task, or None.

    A suspect runner that is due for a probe comes first if the task may serve
    as one; otherwise suspect runners are not used.

    Args:
        views: Candidate runners.
        task: The task.
        slack_s: Seconds until the task should start.
        service: Service that must run it.
        domain: Failure domain of the scheduler.
        now_s: Current time.
        rng: Source of the random choice.
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
    if not healthy:
        return None
    weights = [_weight(x, task.millicores, domain) for x in healthy]
    return rng.choices(healthy, weights)[0]


def _weight(view: runners.RunnerView, millicores: int, domain: str) -> float:
    """Returns the relative probability of a runner.

    Args:
        view: The runner.
        millicores: Processor capacity that the task needs.
        domain: Failure domain of the scheduler.

    Notes:
        With the square of the tasks that fit, a runner with little free
        capacity, which other schedulers are about to fill, is seldom chosen.
        Slow runners are chosen less by the same power.
    """
    fitting_tasks = view.free().cpu_millicores / max(1, millicores)
    weight = (fitting_tasks / view.slowness) ** 2
    return weight * LOCAL_WEIGHT if view.domain == domain else weight
