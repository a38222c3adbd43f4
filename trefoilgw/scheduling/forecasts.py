"""How long a submission would wait for room.

Load pattern: callers that come all at once after an outage of the whole site.
No run has ended yet, so the runners report no freed room, and most of them
have not heard of their targets. What is certainly about to come counts too.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from trefoilgw.scheduling import admission
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners

# A runner that has joined hears of its target within this time.
JOINING_S = 0.4


@attrs.frozen
class Forecast:
    """A predicted wait and what it rests on.

    Attributes:
        wait_s: Seconds until the last task of the job has room.
        ahead_millicores: Room that more urgent waiting work needs.
        rate: Room that is freed a second, in millicores.
    """

    wait_s: float
    ahead_millicores: int
    rate: float


@attrs.define(eq=False)
class Forecaster:
    """Predicts waits from the state of one scheduler.

    Attributes:
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        runner_views: Runners by name.
        arrivals: Rates of admitted work by queue.
    """

    waiting_jobs: Sequence[jobs.Job]
    runner_views: Mapping[str, runners.RunnerView]
    arrivals: Mapping[str, admission.ArrivalRate]

    def predict(
        self,
        job: jobs.Job,
        admitted: Iterable[jobs.Job],
        schedulers: int,
        now_s: float,
    ) -> Forecast:
        """Predicts the wait of a new job.

        Args:
            job: The job, not yet in the line.
            admitted: All jobs of this scheduler.
            schedulers: How many schedulers share the runners.
            now_s: Current time.
        """
        service = job.spec.queue.service
        offering = [x for x in self.runner_views.values() if x.offers(service)]
        sound = [x for x in offering if not x.suspect]
        ahead = self._waiting_ahead(job) + _rivals_ahead(job, offering)
        rate = _freed_rate(sound, admitted, now_s)
        needed = ahead + job.waiting_millicores()
        if not ahead:
            needed -= _fitting_millicores(job, sound)
        needed -= self._joining_millicores(offering, now_s)
        slack_s = job.latest_start_s - now_s
        urgent = schedulers * sum(
            x.rate(now_s)
            for x in self.arrivals.values()
            if x.slack_s < slack_s / 2
        )
        wait_s = admission.predicted_wait_s(needed, rate, urgent)
        return Forecast(wait_s, ahead, rate)

    def _waiting_ahead(self, job: jobs.Job) -> int:
        """Returns the room for the waiting work that goes before a job."""
        service = job.spec.queue.service
        return sum(
            x.waiting_millicores()
            for x in self.waiting_jobs
            if x.rank < job.rank and x.spec.queue.service == service
        )

    def _joining_millicores(
        self, known: Sequence[runners.RunnerView], now_s: float
    ) -> int:
        """Returns the room of the runners that have just joined.

        Args:
            known: Runners of the service; the others are taken to be like
                them.
            now_s: Current time.
        """
        joining = sum(
            x.connected and not x.usable and now_s - x.joined_s < JOINING_S
            for x in self.runner_views.values()
        )
        if not known or not joining:
            return 0
        capacity = sum(x.report.capacity.cpu_millicores for x in known)
        return joining * capacity // len(known)


def _rivals_ahead(job: jobs.Job, views: Iterable[runners.RunnerView]) -> int:
    """Returns the room that more urgent work of other schedulers needs."""
    newest = max(views, key=lambda x: x.last_report_s, default=None)
    if newest is None:
        return 0
    return sum(newest.report.competing_cpu[: job.urgency + 1])


def _fitting_millicores(
    job: jobs.Job, views: Iterable[runners.RunnerView]
) -> int:
    """Returns the room of the tasks that fit into free room now."""
    room = [x.free() for x in views]
    fitting = 0
    for task in job.tasks:
        demand = task.spec.demand
        for index, free in enumerate(room):
            if demand.fits_in(free):
                room[index] = free.minus(demand)
                fitting += task.millicores
                break
    return fitting


def _freed_rate(
    views: Sequence[runners.RunnerView],
    admitted: Iterable[jobs.Job],
    now_s: float,
) -> float:
    """Returns the room that is freed a second, in millicores.

    A runner that has not been known for as long as rates are averaged may
    have started a moment ago. Its rate is at least that of runs like the ones
    that this scheduler has sent.
    """
    settled_s = now_s - admission.RATE_WINDOW_S
    share = 0.0
    if any(x.joined_s > settled_s for x in views):
        share = _ended_share(admitted)
    freed = 0.0
    for view in views:
        least = share * view.used() if view.joined_s > settled_s else 0.0
        freed += max(view.report.freed_cpu, least)
    capacity = sum(x.report.capacity.cpu_millicores for x in views)
    return max(freed, capacity / admission.LONGEST_MEAN_RUN_S)


def _ended_share(admitted: Iterable[jobs.Job]) -> float:
    """Returns the share of the room in use that is freed a second."""
    used = 0.0
    freed = 0.0
    for job in admitted:
        for task in job.sent():
            used += task.millicores
            freed += task.millicores / max(task.expected_s, 0.01)
    return freed / used if used else 0.0
