"""Selection of the runner for a task.

Load pattern: several schedulers place work on the same runners, and what they
know of the free capacity is some tens of milliseconds old. If each chose the
best runner, all would choose the same one, and most of the tasks would be
refused. They therefore choose at random, and prefer capacity that is likely to
be free still.

Where targets differ in speed, a long run with little slack ends in time only at
some of them, and a short run everywhere. Each runner counts by the time that
would be left at the expected end of the run there, so that long runs go where
they end soon and short ones use what remains.
"""

import random
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# Factor on the weight of runners in the failure domain of the scheduler, since
# others cause traffic between failure domains.
LOCAL_WEIGHT = 2.0
# Interval at which a suspect runner gets one task, to detect its recovery.
PROBE_INTERVAL_S = 1.0
# Slack that a task needs to serve as a probe, since a probe may fail late.
MIN_PROBE_SLACK_S = 0.5
# Time that a target awaits a probe from which on any task may serve as one: no
# other may ever come.
PROBE_PATIENCE_S = 4.0


@attrs.define
class TimeLeft:
    """What the choice of a runner needs to know of the time left for a task.

    Attributes:
        slack_s: Seconds until the task should start at a target of mean speed.
        spare_s: Seconds from its expected end at such a target, if it starts
            now, until the end of its job is due.
        fastest: Least slowness of the healthy targets of its service.
    """

    slack_s: float
    spare_s: float
    fastest: float = 1.0

    def spare_at(self, view: runners.RunnerView, task: jobs.Task) -> float:
        """Returns the seconds that would be left at a runner, maybe below 0."""
        return self.spare_s - task.expected_s * (view.slowness - 1.0)

    def should_wait(self, best_spare_s: float, task: jobs.Task) -> bool:
        """Returns whether a task should wait for a faster target.

        It does so only until its latest planned start, and only if it ends
        late at all targets that are free and in time at another one. After
        that any target is better than none.

        Args:
            best_spare_s: Seconds that would be left at the best free target.
            task: The task.
        """
        if best_spare_s > 0.0 or self.slack_s <= 0.0:
            return False
        return self.spare_s - task.expected_s * (self.fastest - 1.0) > 0.0


def time_left_of(
    job: jobs.Job, task: jobs.Task, fastest: float, now_s: float
) -> TimeLeft:
    """Returns the time left for a task.

    Args:
        job: Its job. A task that is shorter than the longest one has more time.
        task: The task.
        fastest: Least slowness of the healthy targets of its service.
        now_s: Current time.
    """
    shorter_s = job.expected_s - task.expected_s
    return TimeLeft(
        job.latest_start_s - now_s,
        job.reject_after_s - now_s + shorter_s,
        fastest,
    )


def choose_runner(
    views: Iterable[runners.RunnerView],
    task: jobs.Task,
    time_left: TimeLeft,
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
        time_left: Time left for the task.
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
        if x.suspect
        and now_s - x.probed_s >= PROBE_INTERVAL_S
        and (
            time_left.slack_s >= MIN_PROBE_SLACK_S or _awaits_any_task(x, now_s)
        )
    ]
    if probes and not task.excluded_runners:
        return probes[0]
    if not healthy:
        return None
    weights = _weights(healthy, task, time_left, domain)
    return rng.choices(healthy, weights)[0] if weights else None


def _awaits_any_task(view: runners.RunnerView, now_s: float) -> bool:
    """Returns whether a target has awaited a probe for long."""
    awaited_s = now_s - view.awaiting_since_s
    return view.awaits_probe and awaited_s >= PROBE_PATIENCE_S


def may_fill(
    view: runners.RunnerView, task: jobs.Task, time_left: TimeLeft
) -> bool:
    """Returns whether a task may use capacity that a runner offers."""
    if view.fleet_slowness is None:
        return True
    return not time_left.should_wait(time_left.spare_at(view, task), task)


def _weights(
    views: Sequence[runners.RunnerView],
    task: jobs.Task,
    time_left: TimeLeft,
    domain: str,
) -> list[float]:
    """Returns the relative probabilities of runners for a task.

    Args:
        views: The runners.
        task: The task.
        time_left: Time left for the task.
        domain: Failure domain of the scheduler.

    Returns:
        An empty list if the task should wait for a faster target. Else at
        least one is above 0.

    Notes:
        The free CPU says nothing of the room for a task that needs none.
        Where targets differ, a runner where the task ends late has no weight
        while there is a better one. Otherwise the square of the time left
        there takes the place of the slowness.
    """
    first = views[0].fleet_slowness
    if first is not None:
        spares_s = [time_left.spare_at(x, task) for x in views]
        best_s = max(spares_s)
        if time_left.should_wait(best_s, task):
            return []
        if best_s > 0.0 and any(x.fleet_slowness != first for x in views):
            return [
                (_fitting_tasks(x, task.millicores) * max(0.0, spare_s)) ** 2
                * (LOCAL_WEIGHT if x.domain == domain else 1.0)
                for x, spare_s in zip(views, spares_s, strict=True)
            ]
    return [_weight(x, task.millicores, domain) for x in views]


def _fitting_tasks(view: runners.RunnerView, millicores: int) -> float:
    """Returns how many tasks fit in the free CPU; 1 if they need none.

    Args:
        view: A runner with capacity for one of them.
        millicores: Processor capacity that each of them needs.
    """
    return view.free().cpu_millicores / millicores if millicores > 0 else 1.0


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
    weight = (_fitting_tasks(view, millicores) / view.slowness) ** 2
    return weight * LOCAL_WEIGHT if view.domain == domain else weight
