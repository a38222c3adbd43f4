"""A scheduler's decisions about the jobs of its callers.

The state machine takes submissions, reports of runners and the passing of
time, and leaves actions for the program to carry out. A task is sent to a
runner with free room at once; otherwise it waits, and the scheduler bids for
room that comes free. At any time at most one attempt at a task can run.
"""

import bisect
import logging

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import admission
from trefoilgw.scheduling import bidding
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import placing
from trefoilgw.scheduling import runners
from trefoilgw.scheduling import runtimes
from trefoilgw.work import core as work
from trefoilgw.work import urgency

# Jobs behind the first one that doesn't fit which may use what is left.
BACKFILL_JOBS_LIMIT = 4
# Skipped in run numbers when a target has seen higher ones: the clocks of
# hosts may be seconds apart.
RUN_NUMBER_SKIP = 60_000
# Part of the slack that is not planned with, for each unit of the error of
# expected run times: of jobs that start at the very end of their slack half
# would be late. Even with exact run times some is left for slow targets.
CAUTION = 1.2
PLANNED_SHARE_LIMIT = 0.7
RETRY_AFTER_LEAST_S = 0.1
# Reason of a runner that keeps its room for more urgent work, and how long a
# scheduler waits for its offer before it tries again.
HEADROOM = "headroom"
KEPT_S = 0.1
# Reasons of a runner that has stopped a run so that another may run it.
MOVED = frozenset({"stalled", "slow"})

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Scheduler:
    """State of one scheduler.

    Attributes:
        domain: Its failure domain.
        scheduler_count: How many schedulers share the runners, itself included.
        admitted: Jobs that have not ended, by key.
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        runner_views: Runners by name.
        times: Learned run times.
        arrivals: Rates of admitted work by queue.
        uncertain: When the last ping of a runner was answered that is gone
            but whose runs may go on, by its name and incarnation.
        forecaster: Predicts how long a job would wait.
        pending: Actions not yet taken by the program.
    """

    domain: str
    scheduler_count: int = 1
    admitted: dict[str, jobs.Job] = attrs.field(factory=dict)
    waiting_jobs: list[jobs.Job] = attrs.field(factory=list)
    runner_views: dict[str, runners.RunnerView] = attrs.field(factory=dict)
    times: runtimes.RunTimes = attrs.field(factory=runtimes.RunTimes)
    arrivals: dict[str, admission.ArrivalRate] = attrs.field(factory=dict)
    uncertain: dict[tuple[str, str], float] = attrs.field(factory=dict)
    forecaster: forecasts.Forecaster = attrs.field(init=False)
    pending: list = attrs.field(factory=list)
    _order: int = 0

    def __attrs_post_init__(self):
        self.forecaster = forecasts.Forecaster(
            self.waiting_jobs, self.runner_views, self.arrivals
        )

    def take_actions(self) -> list:
        """Returns and forgets the pending actions."""
        taken, self.pending = self.pending, []
        return taken

    # Submissions.

    def submit(
        self, spec: work.JobSpec, first_run: int, now_s: float
    ) -> jobs.Job | actions.Rejected:
        """Admits or rejects a job.

        Args:
            spec: The job.
            first_run: Number for its first attempts, above all numbers that
                attempts at its tasks had before.
            now_s: Current time.
        """
        known = self.admitted.get(spec.key)
        if known is not None:
            return known
        job = self._job_of(spec, first_run, now_s)
        slack_s = job.latest_start_s - now_s
        if not any(
            x.offers(spec.queue.service) for x in self.runner_views.values()
        ):
            return actions.Rejected("no_target", 1.0)
        forecast = self.forecaster.predict(
            job, self.admitted.values(), self.scheduler_count, now_s
        )
        if forecast.wait_s > slack_s:
            return actions.Rejected(
                "overload",
                max(RETRY_AFTER_LEAST_S, forecast.wait_s - slack_s),
                forecast.wait_s,
                slack_s,
                forecast.ahead_millicores,
                forecast.rate,
            )
        job.predicted_wait_s = forecast.wait_s
        arrivals = self.arrivals.setdefault(
            spec.queue.name, admission.ArrivalRate(slack_s=slack_s)
        )
        arrivals.record(job.waiting_millicores(), slack_s, now_s)
        self.admitted[job.key] = job
        bisect.insort(self.waiting_jobs, job, key=lambda x: x.rank)
        self._place(now_s)
        return job

    def _job_of(
        self, spec: work.JobSpec, first_run: int, now_s: float
    ) -> jobs.Job:
        """Returns the state of a new job."""
        queue = spec.queue
        estimates = [
            self.times.estimate(queue.name, x.declared_s, spec.caller_wait_s)
            for x in spec.tasks
        ]
        tasks = [
            jobs.Task(task, estimate.run_s, first_run)
            for task, estimate in zip(spec.tasks, estimates, strict=True)
        ]
        longest = max(estimates, key=lambda x: x.run_s)
        longest_s = longest.run_s
        planned = min(PLANNED_SHARE_LIMIT, 1.0 - CAUTION * longest.error)
        slack_s = (queue.stretch - 1.0) * longest_s + queue.latency_s
        self._order += 1
        return jobs.Job(
            spec=spec,
            tasks=tasks,
            order=self._order,
            expected_s=longest_s,
            latest_start_s=now_s + max(0.0, planned) * slack_s,
            hopeless_s=now_s + slack_s,
            urgency=urgency.urgency_class(slack_s),
            admitted_s=now_s,
        )

    def cancel(self, key: str) -> bool:
        """Ends a job whose caller no longer wants it."""
        job = self.admitted.get(key)
        if job is None:
            return False
        self._drop(job)
        return True

    def _drop(self, job: jobs.Job) -> None:
        """Forgets a job and stops its runs."""
        del self.admitted[job.key]
        self._leave_line(job)
        for task in job.sent():
            self._stop(task)

    def _leave_line(self, job: jobs.Job) -> None:
        """Takes a job out of the waiting line."""
        if job in self.waiting_jobs:
            self.waiting_jobs.remove(job)

    def _stop(self, task: jobs.Task) -> None:
        """Asks for the end of a task's attempt."""
        ref = messages.RunRef(task.spec.name, task.run)
        self._tell(task.runner, messages.StopRuns((ref,)))

    def _answer(self, job: jobs.Job, outcome: actions.Outcome) -> None:
        """Ends a job with an answer."""
        self._drop(job)
        self.pending.append(actions.Answer(job, outcome))

    # Runners.

    def runner_joined(
        self, name: str, incarnation: str, domain: str, now_s: float
    ) -> None:
        """Notes a new stream from a runner."""
        view = self.runner_views.get(name)
        if view is None:
            view = runners.RunnerView(name, incarnation, domain)
            self.runner_views[name] = view
        view.join(incarnation, now_s)

    def runner_disconnected(self, name: str) -> None:
        """Notes that a runner's stream broke; its runs may go on."""
        view = self.runner_views.get(name)
        if view is not None:
            view.connected = False
            self.uncertain[name, view.incarnation] = view.renewed_s

    def reconcile_runs(
        self, name: str, message: messages.ActiveRuns, now_s: float
    ) -> None:
        """Compares a runner's runs with the tasks that were sent to it."""
        held = {(x.task, x.run) for x in message.runs}
        known = set()
        incarnation = self.runner_views[name].incarnation
        self.uncertain.pop((name, incarnation), None)
        for job, task in self._sent_to(name, incarnation):
            key = (task.spec.name, task.run)
            known.add(key)
            if key not in held:
                self._wait_again(job, task)
        unknown = tuple(messages.RunRef(*x) for x in sorted(held - known))
        if unknown:
            self._tell(name, messages.StopRuns(unknown))
        self._place(now_s)

    def runner_pinged(self, name: str, sent_s: float, now_s: float) -> None:
        """Renews the scheduler's authority at a runner."""
        view = self.runner_views[name]
        view.renewed_s = now_s
        self._tell(name, messages.RunnerPong(sent_s))

    def capacity_reported(
        self, name: str, report: messages.CapacityReport, now_s: float
    ) -> None:
        """Takes a runner's report and uses the room."""
        view = self.runner_views[name]
        view.reported(report)
        view.last_report_s = now_s
        self._place(now_s)

    def run_ended(
        self, name: str, message: messages.RunEnded, now_s: float
    ) -> None:
        """Takes the end of an attempt."""
        found = self._find(message.task, message.run)
        if found is None:
            return
        job, task = found
        match work.Ending(message.ending):
            case work.Ending.DONE:
                self._task_done(name, job, task, message.run_s)
            case work.Ending.FAILED:
                self._task_failed(name, job, task)
            case work.Ending.NOT_RUN:
                self._task_refused(name, job, task, message.reason, now_s)
            case work.Ending.STOPPED | work.Ending.LOST:
                if message.reason in MOVED:
                    task.barred.add(name)
                self._wait_again(job, task)
        self._place(now_s)

    def _find(self, name: str, run: int) -> tuple[jobs.Job, jobs.Task] | None:
        """Returns the task whose latest attempt this is."""
        job = self.admitted.get(name.partition(".")[0])
        if job is None:
            return None
        for task in job.tasks:
            if task.spec.name == name and task.run == run:
                return (
                    (job, task) if task.state is jobs.TaskState.SENT else None
                )
        return None

    def _task_done(
        self, name: str, job: jobs.Job, task: jobs.Task, run_s: float
    ) -> None:
        """Notes a success and answers once all tasks are done."""
        task.state = jobs.TaskState.DONE
        queue = job.spec.queue.name
        view = self.runner_views.get(name)
        if view is not None:
            view.learn(run_s, task.expected_s)
            self.times.observe(
                queue,
                task.spec.declared_s,
                run_s / view.slowness,
                job.spec.caller_wait_s,
            )
        if all(x.state is jobs.TaskState.DONE for x in job.tasks):
            self._answer(job, actions.Completed())

    def _task_failed(self, name: str, job: jobs.Job, task: jobs.Task) -> None:
        """Notes a failure; the job fails with the last allowed one."""
        task.failures += 1
        task.barred.add(name)
        self._wait_again(job, task)
        if task.failures >= job.spec.queue.attempts_limit:
            self._answer(job, actions.Failed(task.spec.name))

    def _task_refused(
        self,
        name: str,
        job: jobs.Job,
        task: jobs.Task,
        reason: str,
        now_s: float,
    ) -> None:
        """Notes that an attempt never ran."""
        view = self.runner_views.get(name)
        if view is not None and reason == HEADROOM:
            view.keep_from(job.urgency, now_s + KEPT_S)
        elif view is not None:
            view.blocked = True
        self._wait_again(job, task)
        if reason == "old":
            task.run += RUN_NUMBER_SKIP

    def _wait_again(self, job: jobs.Job, task: jobs.Task) -> None:
        """Puts a task back into the waiting line."""
        task.state = jobs.TaskState.WAITING
        task.run += 1
        if len(task.barred) >= len(self.runner_views):
            task.barred.clear()
        if job not in self.waiting_jobs:
            bisect.insort(self.waiting_jobs, job, key=lambda x: x.rank)

    # Placement.

    def _place(self, now_s: float) -> None:
        """Sends waiting tasks to runners with free room, then bids."""
        batches: dict[str, dict[jobs.Job, list[jobs.Task]]] = {}
        roomy = [
            x for x in self.runner_views.values() if x.usable and x.has_room()
        ]
        skipped = 0
        for job in list(self.waiting_jobs) if roomy else ():
            if skipped >= BACKFILL_JOBS_LIMIT:
                break
            service = job.spec.queue.service
            slack_s = job.latest_start_s - now_s
            willing = [x for x in roomy if x.takes(job.urgency, now_s)]
            for task in job.waiting():
                view = placing.choose(
                    willing,
                    task,
                    slack_s,
                    service,
                    self.domain,
                    now_s,
                )
                if view is None:
                    skipped += 1
                    break
                self._mark_sent(job, task, view, now_s)
                view.unseen.append((view.sends + 1, task.spec.demand))
                batches.setdefault(view.name, {}).setdefault(job, []).append(
                    task
                )
        for name, batch in batches.items():
            self._send(self.runner_views[name], batch, 0)
        self._bid(now_s)

    def _mark_sent(
        self,
        job: jobs.Job,
        task: jobs.Task,
        view: runners.RunnerView,
        now_s: float,
    ) -> None:
        """Notes that a task goes to a runner."""
        task.state = jobs.TaskState.SENT
        task.runner = view.name
        task.incarnation = view.incarnation
        task.sent_s = now_s
        task.attempts += 1
        job.started = True
        if view.suspect:
            view.probed_s = now_s
        if not job.waiting():
            self._leave_line(job)

    def _send(
        self,
        view: runners.RunnerView,
        batch: dict[jobs.Job, list[jobs.Task]],
        offer: int,
    ) -> None:
        """Sends attempts to a runner in one message."""
        view.sends += 1
        groups = tuple(
            messages.RunGroup(
                job.spec.payload,
                tuple(
                    messages.RunOrder(
                        x.spec.name,
                        x.run,
                        messages.Room.of(x.spec.demand),
                        x.expected_s,
                        job.urgency,
                    )
                    for x in tasks
                ),
            )
            for job, tasks in batch.items()
        )
        self._tell(view.name, messages.StartRuns(offer, groups))

    def capacity_offered(
        self, name: str, offer: messages.Offer, now_s: float
    ) -> None:
        """Uses room that a runner reserved, in order of urgency."""
        view = self.runner_views[name]
        left = offer.room.demand
        batch: dict[jobs.Job, list[jobs.Task]] = {}
        for job in list(self.waiting_jobs):
            if not view.offers(job.spec.queue.service):
                continue
            if job.urgency > offer.urgency:
                continue
            for task in job.waiting():
                demand = task.spec.demand
                if name in task.barred or not demand.fits_in(left):
                    continue
                left = left.minus(demand)
                self._mark_sent(job, task, view, now_s)
                batch.setdefault(job, []).append(task)
            if left.cpu_millicores <= 0:
                break
        self._send(view, batch, offer.number)
        self._bid(now_s)

    def _bid(self, now_s: float) -> None:
        """Tells the runners what waits."""
        bids: dict[str, messages.Bid] = {}
        for view in self.runner_views.values():
            if not view.usable:
                continue
            service = view.report.service
            if service not in bids:
                bids[service] = bidding.bid_for(
                    self.waiting_jobs, service, now_s
                )
            bid = bids[service]
            if bidding.is_news(view, bid, now_s):
                view.bid = bid
                view.bid_s = now_s
                self._tell(view.name, bid)

    # Time.

    def tick(self, now_s: float) -> None:
        """Does what is due; call it every few tens of milliseconds."""
        self._give_up_uncertain(now_s)
        self._reject_hopeless(now_s)
        self._place(now_s)

    def _give_up_uncertain(self, now_s: float) -> None:
        """Places tasks again whose attempts have certainly ended."""
        for key, renewed_s in list(self.uncertain.items()):
            if now_s - renewed_s < runners.UNCERTAIN_S:
                continue
            del self.uncertain[key]
            lost = self._sent_to(*key)
            for job, task in lost:
                self._wait_again(job, task)
            log.warning(
                "runner given up",
                extra={
                    "runner": key[0],
                    "incarnation": key[1],
                    "silent_s": round(now_s - renewed_s, 3),
                    "tasks": [task.spec.name for _, task in lost],
                },
            )
            view = self.runner_views.get(key[0])
            if view is not None and not view.connected:
                del self.runner_views[key[0]]

    def _sent_to(
        self, name: str, incarnation: str
    ) -> list[tuple[jobs.Job, jobs.Task]]:
        """Returns the tasks whose latest attempt went to a runner."""
        return [
            (job, task)
            for job in self.admitted.values()
            for task in job.sent()
            if task.runner == name and task.incarnation == incarnation
        ]

    def _reject_hopeless(self, now_s: float) -> None:
        """Rejects jobs that have not run and can't start in time."""
        for job in list(self.waiting_jobs):
            if not job.started and now_s > job.hopeless_s:
                self._answer(
                    job, actions.Rejected("deadline", RETRY_AFTER_LEAST_S)
                )

    def _tell(self, runner: str, message: object) -> None:
        """Queues a message to a runner."""
        self.pending.append(actions.SendMessage(runner, message))
