"""Metrics of a scheduler."""

import attrs

from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.scheduler import lines
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.work import core as work


@attrs.define(eq=False)
class SchedulerMetrics:
    """Counts of one scheduler; queues come from the configuration.

    Attributes:
        registry: All metrics.
        answered: Admitted jobs with an answer.
        rejected: Jobs rejected at once or after a wait.
        requests_rejected: Requests that are no valid job.
        job_seconds: From admission to answer.
        not_done: Attempts that have not done their task.
        run_seconds: Run times as the runners measured them.
    """

    registry: metrics.Registry = attrs.field(factory=metrics.Registry)
    answered: metrics.Counter = attrs.field(init=False)
    rejected: metrics.Counter = attrs.field(init=False)
    requests_rejected: metrics.Counter = attrs.field(init=False)
    job_seconds: metrics.Histogram = attrs.field(init=False)
    not_done: metrics.Counter = attrs.field(init=False)
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
        self.run_seconds = registry.histogram(
            "run_seconds", "Seconds of runs done"
        )

    def job_rejected(self, queue: str, reason: str) -> None:
        """Counts a job that was rejected."""
        self.rejected.add(1, queue, reason)

    def job_ended(
        self, job: jobs.Job, outcome: actions.Outcome, now_s: float
    ) -> None:
        """Counts the end of an admitted job."""
        queue = job.spec.queue.name
        self.answered.add(1, queue, lines.outcome_name(outcome))
        self.job_seconds.observe(now_s - job.admitted_s, queue)
        if isinstance(outcome, actions.Rejected):
            self.job_rejected(queue, outcome.reason)

    def run_ended(self, ended: runs.RunEnded) -> None:
        """Counts the end of an attempt."""
        if ended.ending == work.Ending.DONE:
            self.run_seconds.observe(ended.run_s)
        else:
            self.not_done.add(1, ended.ending, ended.reason)

    def read_from(self, decisions: scheduling.Scheduler) -> None:
        """Adds what the decisions keep by themselves."""
        registry = self.registry
        registry.observable_gauge(
            "jobs_admitted",
            "Jobs without an answer",
            metrics.unlabeled(lambda: len(decisions.admitted)),
        )
        registry.observable_gauge(
            "waiting_millicores",
            "Room that waiting tasks need",
            lambda: _waiting(decisions),
            "urgency",
        )
        registry.observable_gauge(
            "runners",
            "Runners by what they are used for",
            lambda: _runners(decisions),
            "state",
        )


def _waiting(decisions: scheduling.Scheduler) -> list[metrics.Sample]:
    """Returns the room that waits, by class of urgency."""
    found: dict[str, int] = {}
    for job in decisions.waiting_jobs:
        name = str(job.urgency)
        found[name] = found.get(name, 0) + job.waiting_millicores()
    return [metrics.Sample(value, (name,)) for name, value in found.items()]


def _runners(decisions: scheduling.Scheduler) -> list[metrics.Sample]:
    """Returns how many runners are usable, suspect and unusable."""
    found = {"usable": 0, "suspect": 0, "unusable": 0}
    for view in decisions.runner_views.values():
        if not view.usable:
            found["unusable"] += 1
        elif view.suspect:
            found["suspect"] += 1
        else:
            found["usable"] += 1
    return [metrics.Sample(value, (name,)) for name, value in found.items()]
