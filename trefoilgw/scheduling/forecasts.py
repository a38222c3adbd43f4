"""Prediction of the time that a submission would wait for capacity.

Load pattern: after an outage of the whole site all callers submit at once. No
run has ended yet, so the runners report no freed capacity, and most of them
have no report of their targets yet. While most of the runners are new, the
prediction is that of `recovering`; later, it still includes the capacity of
single runners that have just connected and the runs that are expected to end.
While all targets of a service are in doubt, `probing` tells which jobs need not
wait.
"""

import itertools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from trefoilgw.scheduling import admission
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import probing
from trefoilgw.scheduling import recovering
from trefoilgw.scheduling import runners
from trefoilgw.work import rates
from trefoilgw.work import urgency as urgencies

# A single runner that has just connected is expected to report its target in
# this time, as one that connects again does. `recovering` has its own limit for
# runners that have all just started.
MAX_JOINING_S = 0.4
# Rates of other schedulers that differ from the own one by less than this
# count as equal. The rates of a second fluctuate by as much.
EVEN_RATE_RATIO = 1.5


@attrs.frozen
class Forecast:
    """A predicted wait and the figures that it is based on.

    Attributes:
        wait_s: Seconds until the last task of the job has capacity.
        ahead_millicores: Capacity needed by more urgent waiting work.
        rate: Capacity freed per second, in millicores.
        in_doubt: Whether nothing can be predicted, as all targets are in doubt
            and the job is none of those for the next probes.
    """

    wait_s: float
    ahead_millicores: int
    rate: float
    in_doubt: bool = False


# Forecasts while all targets of a service are in doubt.
_NEXT_PROBE = Forecast(0.0, 0, 0.0)
_IN_DOUBT = Forecast(admission.MAX_PREDICTED_WAIT_S, 0, 0.0, True)


@attrs.define(eq=False)
class Forecaster:
    """Predicts waits from the state of one scheduler.

    Attributes:
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        runner_views: Runners by name.
        arrivals: Arrival rates of admitted jobs by queue.
        admitted_cpu: Rates at which admitted jobs demand CPU, by urgency
            class.
        joining: When runners have become usable after they connected.
    """

    waiting_jobs: Sequence[jobs.Job]
    runner_views: Mapping[str, runners.RunnerView]
    arrivals: Mapping[str, admission.ArrivalRate]
    admitted_cpu: rates.CpuRates = attrs.field(factory=rates.CpuRates)
    joining: recovering.JoiningTimes = attrs.field(
        factory=recovering.JoiningTimes
    )

    def predict(
        self,
        job: jobs.Job,
        admitted: Collection[jobs.Job],
        now_s: float,
    ) -> Forecast:
        """Predicts the wait of a new job.

        Args:
            job: The job, not yet among the waiting jobs.
            admitted: All admitted jobs of this scheduler.
            now_s: Current time.
        """
        if self.is_recovering(now_s):
            forecast = self._predict_recovery(job, admitted, now_s)
        else:
            forecast = self._predict_steady(job, admitted, now_s)
        if forecast.wait_s <= job.latest_start_s - now_s:
            return forecast
        doubted = self._doubted(job.spec.queue.service)
        if not doubted:
            return forecast
        if probing.may_probe(job, self.waiting_jobs, doubted):
            return _NEXT_PROBE
        return _IN_DOUBT

    def _doubted(self, service: str) -> list[runners.RunnerView]:
        """Returns the runners of a service if they are all in doubt."""
        return probing.all_in_doubt(self.runner_views.values(), service)

    def _predict_steady(
        self, job: jobs.Job, admitted: Collection[jobs.Job], now_s: float
    ) -> Forecast:
        """Predicts the wait of a new job from the freed capacity."""
        service = job.spec.queue.service
        serving = [x for x in self.runner_views.values() if x.serves(service)]
        healthy = [x for x in serving if not x.suspect]
        ahead = self._waiting_ahead(job) + _other_demand_ahead(job, serving)
        rate = _freed_rate(healthy, admitted, now_s)
        needed = ahead + job.waiting_millicores()
        if not ahead:
            needed -= _fitting_millicores(job, healthy)
        needed -= self._joining_millicores(serving, now_s)
        slack_s = job.latest_start_s - now_s
        own_rate = sum(
            x.rate(now_s)
            for x in self.arrivals.values()
            if x.slack_s < slack_s / 2
        )
        urgent_rate = self._urgent_rate(job.urgency, own_rate, serving)
        wait_s = admission.predict_wait_s(needed, rate, urgent_rate)
        return Forecast(wait_s, ahead, rate)

    def predict_waiting(
        self, admitted: Collection[jobs.Job], now_s: float
    ) -> Iterable[tuple[jobs.Job, Forecast]]:
        """Predicts the waits of all waiting jobs in one pass.

        More urgent work that may still arrive is left out, and all free
        capacity counts as if it fitted: a job is given up by its wait.

        Args:
            admitted: All admitted jobs of this scheduler.
            now_s: Current time.
        """
        for service in {x.spec.queue.service for x in self.waiting_jobs}:
            serving = [
                x for x in self.runner_views.values() if x.serves(service)
            ]
            if not serving:
                # They may all connect again within the slack of the jobs.
                continue
            healthy = [x for x in serving if not x.suspect]
            rate = _freed_rate(healthy, admitted, now_s)
            others = _other_demand_by_class(serving)
            available = self._joining_millicores(serving, now_s)
            available += sum(max(0, x.free().cpu_millicores) for x in healthy)
            next_probes = self._next_probes(service)
            ahead = 0
            for job in self.waiting_jobs:
                if job.spec.queue.service != service:
                    continue
                before = ahead + others[job.urgency]
                ahead += job.waiting_millicores()
                needed = before + job.waiting_millicores() - available
                wait_s = admission.predict_wait_s(needed, rate, 0.0)
                if healthy or wait_s <= 0.0:
                    yield job, Forecast(wait_s, before, rate)
                else:
                    yield job, _NEXT_PROBE if job in next_probes else _IN_DOUBT

    def _next_probes(self, service: str) -> list[jobs.Job]:
        """Returns the waiting jobs for probes of targets all in doubt."""
        doubted = self._doubted(service)
        waiting = [
            x for x in self.waiting_jobs if x.spec.queue.service == service
        ]
        return probing.probing_jobs(waiting, doubted) if doubted else []

    def is_recovering(self, now_s: float) -> bool:
        """Returns whether too little is known of most of the runners."""
        return self.joining.is_recovering(self.runner_views.values(), now_s)

    def _predict_recovery(
        self, job: jobs.Job, admitted: Collection[jobs.Job], now_s: float
    ) -> Forecast:
        """Predicts the wait of a new job while most of the runners are new."""
        ahead = self._waiting_ahead(job)
        supply = self._supply(
            job.spec.queue.service, admitted, job.expected_s, now_s
        )
        wait_s = supply.wait_s(ahead + job.waiting_millicores())
        return Forecast(wait_s, ahead, supply.within(1.0))

    def _supply(
        self,
        service: str,
        admitted: Collection[jobs.Job],
        default_run_s: float,
        now_s: float,
    ) -> recovering.Supply:
        """Returns the capacity of a service that can be counted on."""
        return recovering.make_supply(
            service,
            tuple(self.runner_views.values()),
            self.joining,
            admitted,
            default_run_s,
            now_s,
        )

    def late_jobs(
        self, admitted: Collection[jobs.Job], now_s: float
    ) -> list[tuple[jobs.Job, Forecast]]:
        """Returns admitted jobs that can't start in time, with their waits.

        There are none unless most of the runners are new.
        """
        if not self.waiting_jobs or not self.is_recovering(now_s):
            return []
        found = []
        for service in {x.spec.queue.service for x in self.waiting_jobs}:
            waiting = [
                x for x in self.waiting_jobs if x.spec.queue.service == service
            ]
            supply = self._supply(service, admitted, 0.0, now_s)
            next_probes = self._next_probes(service)
            for job, needed in recovering.late_jobs(waiting, supply, now_s):
                if job in next_probes:
                    continue
                forecast = Forecast(
                    supply.wait_s(needed),
                    needed - job.waiting_millicores(),
                    supply.within(1.0),
                )
                found.append((job, forecast))
        return found

    def _urgent_rate(
        self,
        urgency: int,
        own_rate: float,
        serving: Sequence[runners.RunnerView],
    ) -> float:
        """Returns the rate at which all schedulers admit more urgent work.

        The runners report what they have lately started for the others. While
        that is about what as many equal schedulers would have started, they
        are taken for equal.

        Args:
            urgency: Urgency class of the job.
            own_rate: Rate of this scheduler in millicores per second.
            serving: Runners of the service.
        """
        count = _scheduler_count(serving)
        measured = _others_started_rate(urgency, serving)
        if measured is None:
            return count * own_rate
        own_classes_rate = self.admitted_cpu.below(urgency)
        if own_classes_rate <= 0.0:
            return own_rate + measured
        expected = (count - 1.0) * own_classes_rate
        even = EVEN_RATE_RATIO * min(measured, expected) >= max(
            measured, expected
        )
        if even:
            return count * own_rate
        return own_rate * (1.0 + measured / own_classes_rate)

    def _waiting_ahead(self, job: jobs.Job) -> int:
        """Returns the capacity needed by this scheduler's work before a job."""
        service = job.spec.queue.service
        return sum(
            x.waiting_millicores()
            for x in self.waiting_jobs
            if x.rank < job.rank and x.spec.queue.service == service
        )

    def _joining_millicores(
        self, known: Sequence[runners.RunnerView], now_s: float
    ) -> int:
        """Returns the capacity of the runners that have just connected.

        Args:
            known: Runners of the service. The new ones are assumed to have
                the same mean capacity.
            now_s: Current time.
        """
        joining = sum(
            x.connected
            and not x.evacuated
            and not x.usable
            and now_s - x.joined_s < MAX_JOINING_S
            for x in self.runner_views.values()
        )
        if not known or not joining:
            return 0
        capacity = sum(x.report.capacity.cpu_millicores for x in known)
        return joining * capacity // len(known)


def _scheduler_count(views: Sequence[runners.RunnerView]) -> float:
    """Returns how many schedulers share a runner on average."""
    if not views:
        return 1.0
    return max(1.0, sum(x.report.schedulers for x in views) / len(views))


def _others_started_rate(
    urgency: int, views: Sequence[runners.RunnerView]
) -> float | None:
    """Returns the rate at which more urgent work of others is started.

    Runners of an earlier release don't report it and count like the mean of
    those that do.

    Args:
        urgency: Work of lower classes counts.
        views: Runners of the service.

    Returns:
        Millicores per second, None if no runner reports it.
    """
    steps = [x.report.others_started for x in views if x.report.others_started]
    if not steps:
        return None
    total = sum(rates.from_step(y) for x in steps for y in x[:urgency])
    return total * len(views) / len(steps)


def _other_demand_ahead(
    job: jobs.Job, views: Sequence[runners.RunnerView]
) -> int:
    """Returns the capacity needed by other schedulers' work before a job.

    A report lists all waiting work of the other schedulers of a runner, by
    urgency class, in the ratio of their numbers of runners to that of this
    scheduler. The mean over the runners is the demand that this scheduler
    competes with. Work of the job's own class is included.
    """
    if not views:
        return 0
    demand = sum(sum(x.report.competing_cpu[: job.urgency + 1]) for x in views)
    return demand // len(views)


def _other_demand_by_class(views: Sequence[runners.RunnerView]) -> list[int]:
    """Returns what `_other_demand_ahead` is for a job of each class."""
    totals = [0] * urgencies.CLASS_COUNT
    for view in views:
        for index, millicores in enumerate(view.report.competing_cpu):
            totals[index] += millicores
    count = max(1, len(views))
    return [x // count for x in itertools.accumulate(totals)]


def _fitting_millicores(
    job: jobs.Job, views: Iterable[runners.RunnerView]
) -> int:
    """Returns the capacity needed by those tasks that can start now."""
    free_capacity = [x.free() for x in views]
    fitting = 0
    for task in job.tasks:
        demand = task.spec.demand
        for index, free in enumerate(free_capacity):
            if demand.fits_in(free):
                free_capacity[index] = free.minus(demand)
                fitting += task.millicores
                break
    return fitting


def _freed_rate(
    views: Sequence[runners.RunnerView],
    admitted: Iterable[jobs.Job],
    now_s: float,
) -> float:
    """Returns the capacity freed per second, in millicores.

    A runner that has been connected for less than the averaging window may have
    just started, so that its reported rate is still too low. Its rate is then
    assumed to be at least the one expected of runs like those that this
    scheduler has sent.
    """
    window_start_s = now_s - admission.RATE_WINDOW_S
    completion_rate = 0.0
    if any(x.joined_s > window_start_s for x in views):
        completion_rate = _completion_rate(admitted)
    freed = 0.0
    for view in views:
        least = (
            completion_rate * view.used()
            if view.joined_s > window_start_s
            else 0.0
        )
        freed += max(view.report.freed_cpu, least)
    capacity = sum(x.report.capacity.cpu_millicores for x in views)
    return max(freed, capacity / admission.MAX_MEAN_RUN_S)


def _completion_rate(admitted: Iterable[jobs.Job]) -> float:
    """Returns the share of the used capacity that is freed per second.

    It is computed from the expected run times of the tasks sent to runners.
    """
    used = 0.0
    freed = 0.0
    for job in admitted:
        for task in job.sent():
            used += task.millicores
            freed += task.millicores / max(task.expected_s, 0.01)
    return freed / used if used else 0.0
