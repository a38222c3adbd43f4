"""Capacity that a scheduler can count on right after a loss of all hosts.

Load pattern: all processes have started again and all callers submit at once.
Most targets have not reported yet, no run has ended, so that no rate of freed
capacity is known, and every scheduler sees the same free capacity before the
work of the others shows in it. What is admitted beyond the capacity is late or
is rejected after a long wait.

While that lasts, a scheduler counts on its share of the free capacity (on all
of it for a first job), on the targets that will report in time at the rate at
which others have reported, and on the expected ends of its own runs. It rejects
the rest on arrival, and also jobs that it has admitted and that can't start in
time any more.
"""

import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import admission
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# Targets report every 1.5 s. One that has missed two reports is not expected.
MAX_JOINING_S = 3.2
# Run times of a queue are taken to differ from the expected one by up to this
# share, so the ends of runs that started together are spread.
RUN_TIME_SPREAD = 0.5
# Lower bound of expected run times, which are divisors.
MIN_EXPECTED_S = 0.01
# Expected ends are grouped by the remaining time in steps of this length.
END_STEP_S = 0.05
# Time after a target's first report by which a later one has shown the first
# starts of all schedulers: the reports to each of eight are 0.4 s apart.
SHARING_S = 0.4
# Number of steps in which the arrival of targets is integrated.
JOINING_STEPS = 8
# Halvings of the interval in which a wait is searched.
WAIT_STEPS = 16


@attrs.frozen
class Joined:
    """When a runner became usable.

    Attributes:
        incarnation: Incarnation of the runner.
        joined_s: Time of its connection.
        usable_s: Time of the first report that showed it usable.
    """

    incarnation: str
    joined_s: float
    usable_s: float


@attrs.define(eq=False)
class JoiningTimes:
    """When runners have become usable after they connected.

    A runner that connects again is not new: its target is known, and so is what
    runs there.

    Attributes:
        joined: What is known of the runners that have been usable, by name.
    """

    joined: dict[str, Joined] = attrs.field(factory=dict)

    def reported(self, view: runners.RunnerView, now_s: float) -> None:
        """Records the first report of a runner that shows it usable."""
        if view.usable and self._find(view) is None:
            self.joined[view.name] = Joined(
                view.incarnation, view.joined_s, now_s
            )

    def _find(self, view: runners.RunnerView) -> Joined | None:
        """Returns what is known of a runner, None before it was usable."""
        found = self.joined.get(view.name)
        same = found is not None and found.incarnation == view.incarnation
        return found if same else None

    def is_joining(self, view: runners.RunnerView, now_s: float) -> bool:
        """Returns whether the first report of a runner's target is awaited."""
        return (
            view.connected
            and not view.evacuated
            and self._find(view) is None
            and now_s - view.joined_s < MAX_JOINING_S
        )

    def is_new(self, view: runners.RunnerView, now_s: float) -> bool:
        """Returns whether too little is known of a runner's rates."""
        found = self._find(view)
        if found is None:
            return self.is_joining(view, now_s)
        return now_s - found.usable_s < admission.RATE_WINDOW_S

    def shows_others(self, view: runners.RunnerView, now_s: float) -> bool:
        """Returns whether what others have started shows in the reports.

        The first report of a target reaches all schedulers at once. Each may
        use its share of the free capacity until later reports, which are sent
        if something has changed, show what the others have left.
        """
        found = self._find(view)
        return found is not None and now_s - found.usable_s >= SHARING_S

    def is_recovering(
        self, views: Iterable[runners.RunnerView], now_s: float
    ) -> bool:
        """Returns whether most of the connected runners are new."""
        known = [x for x in views if x.connected and not x.evacuated]
        new = sum(self.is_new(x, now_s) for x in known)
        return 2 * new > len(known)

    def rate(self, views: Iterable[runners.RunnerView], now_s: float) -> float:
        """Returns the rate at which an awaited report arrives, per second.

        It is the number of the reports that have arrived, divided by the time
        that the runners have waited for them in all: the maximum likelihood
        estimate if the waits are exponential.
        """
        reports = 0
        waited_s = 0.0
        for view in views:
            found = self._find(view)
            joined_s = view.joined_s if found is None else found.joined_s
            if not view.connected or now_s - joined_s >= MAX_JOINING_S:
                continue
            reports += found is not None
            until_s = now_s if found is None else found.usable_s
            waited_s += until_s - joined_s
        if not reports:
            return 0.0
        return reports / waited_s if waited_s > 0.0 else math.inf


@attrs.frozen
class Supply:
    """Capacity that one scheduler can count on for the tasks of a service.

    Attributes:
        free: Its share of the free capacity, in millicores.
        joining: Number of runners whose targets have not reported yet.
        joining_millicores: Its share of the capacity of each of them.
        joining_rate: Rate at which each of them reports, per second.
        ends: Capacity of its runs in millicores by the expected remaining time
            in steps of `END_STEP_S`.
        mean_run_s: Mean run time of its work.
        freed_rate: Its share of the measured rate of freed capacity, in
            millicores per second.
    """

    free: float
    joining: int
    joining_millicores: float
    joining_rate: float
    ends: Mapping[int, int]
    mean_run_s: float
    freed_rate: float = 0.0

    def within(self, time_s: float) -> float:
        """Returns the millicores that tasks can start on within a time.

        Capacity counts each time that it becomes free.
        """
        freed = sum(
            millicores * self._turnover(step * END_STEP_S, time_s)
            for step, millicores in self.ends.items()
        )
        freed += self.free * self._turnover(self.mean_run_s, time_s)
        measured = self.freed_rate * time_s
        return self.free + self._joined(time_s) + max(freed, measured)

    def _turnover(self, remaining_s: float, time_s: float) -> float:
        """Returns how many runs end on some capacity within a time.

        Args:
            remaining_s: Expected time to the end of the first run.
            time_s: The time.
        """
        end = RUN_TIME_SPREAD - remaining_s / self.mean_run_s
        return max(0.0, end + time_s / self.mean_run_s) - max(0.0, end)

    def _joined(self, time_s: float) -> float:
        """Returns the millicores of targets that report within a time."""
        if not self.joining or not self.joining_rate:
            return 0.0
        total = 0.0
        before = 0.0
        for step in range(1, JOINING_STEPS + 1):
            at_s = time_s * step / JOINING_STEPS
            count = self._joined_count(at_s)
            uses = 1.0 + self._turnover(self.mean_run_s, time_s - at_s)
            total += (count - before) * uses
            before = count
        return total * self.joining_millicores

    def _joined_count(self, time_s: float) -> float:
        """Returns how many targets report within a time at least.

        It is the expected number less its standard deviation.
        """
        share = 1.0 - math.exp(-self.joining_rate * time_s)
        expected = self.joining * share
        return max(0.0, expected - math.sqrt(expected * (1.0 - share)))

    def wait_s(self, millicores: float) -> float:
        """Returns the seconds until some work has all its capacity."""
        if millicores <= self.free:
            return 0.0
        low_s, high_s = 0.0, admission.MAX_PREDICTED_WAIT_S
        if self.within(high_s) < millicores:
            return high_s
        for _ in range(WAIT_STEPS):
            middle_s = (low_s + high_s) / 2
            if self.within(middle_s) < millicores:
                low_s = middle_s
            else:
                high_s = middle_s
        return high_s


def make_supply(
    service: str,
    views: Sequence[runners.RunnerView],
    joining: JoiningTimes,
    admitted: Collection[jobs.Job],
    default_run_s: float,
    now_s: float,
) -> Supply:
    """Returns the capacity that a scheduler can count on.

    Args:
        service: The service.
        views: All runners.
        joining: When they have become usable.
        admitted: All admitted jobs of the scheduler.
        default_run_s: Mean run time if nothing is admitted.
        now_s: Current time.
    """
    usable = [x for x in views if x.usable]
    serving = [x for x in usable if x.report.service == service]
    ends, mean_run_s = _expected_ends(service, admitted, default_run_s, now_s)
    # The share limits the sum of the work, not the size of a single job.
    idle = not any(x.spec.queue.service == service for x in admitted)
    free = 0.0
    for view in serving:
        if view.suspect:
            continue
        if idle or joining.shows_others(view, now_s):
            free += view.free().cpu_millicores
        else:
            free += _free_share(view)
    capacity = sum(_share(x, x.report.capacity) for x in serving)
    freed_rate = sum(
        x.report.freed_cpu / max(1, x.report.schedulers) for x in serving
    )
    return Supply(
        free,
        sum(joining.is_joining(x, now_s) for x in views),
        # The new ones are taken for runners like those that are known.
        capacity / len(usable) if usable else 0.0,
        joining.rate(views, now_s),
        ends,
        mean_run_s,
        freed_rate,
    )


def _share(view: runners.RunnerView, capacity: messages.Room) -> float:
    """Returns an equal share of some capacity of a runner, in millicores."""
    return capacity.cpu_millicores / max(1, view.report.schedulers)


def _free_share(view: runners.RunnerView) -> float:
    """Returns the own share of the free capacity, less what was sent since."""
    if view.blocked:
        return 0.0
    sent = sum(x.cpu_millicores for _, x in view.unreported_demands)
    free = min(
        _share(view, view.report.free) - sent, view.free().cpu_millicores
    )
    return max(0.0, free)


def _expected_ends(
    service: str,
    admitted: Iterable[jobs.Job],
    default_run_s: float,
    now_s: float,
) -> tuple[dict[int, int], float]:
    """Returns the expected ends of the runs, and the mean run time of all work.

    Returns:
        Millicores by the remaining time in steps, and seconds.
    """
    ends: dict[int, int] = {}
    millicores = 0
    work_s = 0.0
    for job in admitted:
        if job.spec.queue.service != service:
            continue
        for task in job.tasks:
            if task.state not in (jobs.TaskState.WAITING, jobs.TaskState.SENT):
                continue
            millicores += task.millicores
            work_s += task.millicores * task.expected_s
            if task.state is jobs.TaskState.SENT:
                remaining_s = task.sent_s + task.expected_s - now_s
                step = round(max(0.0, remaining_s) / END_STEP_S)
                ends[step] = ends.get(step, 0) + task.millicores
    mean_run_s = work_s / millicores if millicores else default_run_s
    return ends, max(MIN_EXPECTED_S, mean_run_s)


def late_jobs(
    waiting: Iterable[jobs.Job], supply: Supply, now_s: float
) -> list[tuple[jobs.Job, float]]:
    """Returns the jobs that can't start before they are rejected as overdue.

    Args:
        waiting: Waiting jobs of one service, most urgent first.
        supply: Capacity that the scheduler can count on.
        now_s: Current time.

    Returns:
        Jobs that have certainly not run, with the millicores that would have
        to become free until their start.
    """
    found = []
    needed = 0
    for job in waiting:
        own = job.waiting_millicores()
        slack_s = max(0.0, job.reject_after_s - now_s)
        fits = supply.within(slack_s) >= needed + own
        if fits or job.started or not job.has_certainly_not_run():
            needed += own
        else:
            found.append((job, needed + own))
    return found
