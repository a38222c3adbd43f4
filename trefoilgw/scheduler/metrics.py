"""Metrics of a scheduler."""

import attrs

from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.scheduler import decision_log
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.work import core as work


@attrs.define(eq=False)
class SchedulerMetrics:
    """Metrics of one scheduler; queue labels come from the configuration.

    Attributes:
        registry: The metrics that are served.
        answered: Admitted jobs that were answered, by queue and outcome.
        rejected: Jobs rejected at admission or while they waited.
        requests_rejected: Requests that do not describe a valid job.
        job_seconds: Seconds from admission to answer.
        not_done: Attempts that did not complete their task.
        repeated: Tasks that were placed again, by the evidence that their
            earlier run can no longer work.
        run_seconds: Run times in seconds, as measured by the runners.
    """

    registry: metrics.Registry = attrs.field(factory=metrics.Registry)
    answered: metrics.Counter = attrs.field(init=False)
    rejected: metrics.Counter = attrs.field(init=False)
    requests_rejected: metrics.Counter = attrs.field(init=False)
    job_seconds: metrics.Histogram = attrs.field(init=False)
    not_done: metrics.Counter = attrs.field(init=False)
    repeated: metrics.Counter = attrs.field(init=False)
    run_seconds: metrics.Histogram = attrs.field(init=False)

    def __attrs_post_init__(self):
        registry = self.registry
        self.answered = registry.counter(
            "jobs_answered", "Admitted jobs answered", "queue", "outcome"
        )
        self.rejected = registry.counter(
            "jobs_rejected", "Jobs that never ran", "queue", "reason"
        )
        self.requests_rejected = registry.counter(
            "requests_rejected", "Requests that are no valid job", "reason"
        )
        self.job_seconds = registry.histogram(
            "job_seconds", "Seconds from admission to answer", "queue"
        )
        self.not_done = registry.counter(
            "runs_not_done", "Attempts that did nothing", "ending", "reason"
        )
        self.repeated = registry.counter(
            "tasks_repeated", "Tasks that were placed again", "evidence"
        )
        self.run_seconds = registry.histogram(
            "run_seconds", "Seconds of runs done"
        )

    def job_rejected(self, queue: str, reason: str) -> None:
        """Counts a rejected job."""
        self.rejected.add(1, queue, reason)

    def job_ended(
        self, job: jobs.Job, outcome: actions.Outcome, now_s: float
    ) -> None:
        """Records the outcome and the duration of an admitted job."""
        queue = job.spec.queue.name
        self.answered.add(1, queue, decision_log.outcome_name(outcome))
        self.job_seconds.observe(now_s - job.admitted_s, queue)
        if isinstance(outcome, actions.Rejected):
            self.job_rejected(queue, outcome.reason)

    def run_ended(self, ended: runs.RunEnded) -> None:
        """Records the run time of a done task; counts any other ending."""
        if ended.ending == work.Ending.DONE:
            self.run_seconds.observe(ended.run_s)
        else:
            self.not_done.add(1, ended.ending, ended.reason)

    def task_repeated(self, end: jobs.RunEnd) -> None:
        """Counts a task that is placed again, and the end of its attempt."""
        self.repeated.add(1, str(end.evidence))
        self.not_done.add(1, str(end.ending), end.reason)

    def register_gauges(self, scheduler: scheduling.Scheduler) -> None:
        """Registers gauges that are read from the scheduler's state."""
        registry = self.registry
        registry.observable_gauge(
            "jobs_admitted",
            "Jobs without an answer",
            metrics.unlabeled(lambda: len(scheduler.admitted)),
        )
        registry.observable_gauge(
            "waiting_millicores",
            "Room that waiting tasks need",
            lambda: _waiting_millicores(scheduler),
            "urgency",
        )
        registry.observable_gauge(
            "jobs_held",
            "Waiting jobs that may start as a whole only",
            metrics.unlabeled(
                lambda: sum(x.is_held for x in scheduler.waiting_jobs)
            ),
        )
        registry.observable_gauge(
            "runners",
            "Runners by what they are used for",
            lambda: _runner_states(scheduler),
            "state",
        )
        registry.observable_gauge(
            "target_speed_ratio",
            "Ratio of the fastest to the slowest target",
            lambda: [
                metrics.Sample(ratio, (service,))
                for service, ratio in scheduler.fleet_speeds.spread.items()
            ],
            "service",
        )
        registry.observable_gauge(
            "targets_uneven",
            "Whether runs are placed by the speeds of the targets",
            lambda: [
                metrics.Sample(
                    service in scheduler.fleet_speeds.uneven, (service,)
                )
                for service in scheduler.fleet_speeds.spread
            ],
            "service",
        )


def _waiting_millicores(
    scheduler: scheduling.Scheduler,
) -> list[metrics.Sample]:
    """Returns the millicores that waiting tasks need, by urgency."""
    demand: dict[str, int] = {}
    for job in scheduler.waiting_jobs:
        name = str(job.urgency)
        demand[name] = demand.get(name, 0) + job.waiting_millicores()
    return [metrics.Sample(value, (name,)) for name, value in demand.items()]


def _runner_states(scheduler: scheduling.Scheduler) -> list[metrics.Sample]:
    """Returns the number of usable, suspect and unusable runners."""
    counts = {"usable": 0, "suspect": 0, "unusable": 0}
    for view in scheduler.runner_views.values():
        if not view.usable:
            counts["unusable"] += 1
        elif view.suspect:
            counts["suspect"] += 1
        else:
            counts["usable"] += 1
    return [metrics.Sample(value, (name,)) for name, value in counts.items()]
