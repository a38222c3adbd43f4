"""State machine of a scheduler for the jobs of its callers.

Its inputs are submissions, messages of runners and the current time; its
outputs are actions for the program to carry out. A task is sent at once to a
runner with free capacity. If there is none, it waits, and the scheduler bids
for capacity that is freed. At most one attempt at a task can run at any time.
"""

import bisect
import logging
import random

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import admission
from trefoilgw.scheduling import batches
from trefoilgw.scheduling import capacities
from trefoilgw.scheduling import dispatching
from trefoilgw.scheduling import evacuating
from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import lateness as scheduling_lateness
from trefoilgw.scheduling import planning
from trefoilgw.scheduling import probing
from trefoilgw.scheduling import runners
from trefoilgw.scheduling import runtimes
from trefoilgw.scheduling import slowdowns
from trefoilgw.scheduling import speeds
from trefoilgw.work import core as work
from trefoilgw.work import rates

# Added to the run number when a target has seen a higher one. Run numbers start
# at the wall clock in milliseconds, and clocks of hosts may be seconds apart.
RUN_NUMBER_SKIP = 60_000
MIN_RETRY_AFTER_S = 0.1
# Time after which a job that failed with an unexpected error may be submitted
# again. It may be the cause, so it should not come back at once.
ERROR_RETRY_AFTER_S = 1.0
# Refusal reasons of a runner that keeps its free capacity for more urgent work,
# and the time that the scheduler waits for an offer before it retries.
HEADROOM_REASONS = frozenset({"headroom", "reserved"})
HEADROOM_RETRY_S = 0.1
# A pause of the process that is longer may have made callers send their jobs to
# other schedulers.
MAX_PAUSE_S = 1.0
# Reasons for which a runner stops a run so that another runner can repeat it.
RESCHEDULING_REASONS = frozenset({"stalled", "slow"})
# Ends that no runner reports: of a runner that is given up, and of an order
# that its runner does not have after it has connected again. The runner has
# never received it if it would still know of its end, else it may have ended.
GIVEN_UP = jobs.RunEnd(
    work.Ending.LOST, "runner_given_up", work.Evidence.LEASE_EXPIRED
)
NOT_RECEIVED = jobs.RunEnd(
    work.Ending.NOT_RUN, "not_received", work.Evidence.NOT_RUN
)
NOT_HELD = jobs.RunEnd(
    work.Ending.LOST, "not_held", work.Evidence.LEASE_EXPIRED
)

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Scheduler:
    """State of one scheduler.

    Attributes:
        domain: Failure domain of the scheduler.
        admitted: Jobs that have not ended, by key.
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        runner_views: Runners by name.
        run_times: Run time estimation.
        arrivals: Arrival rates of admitted jobs by queue.
        evacuated: Evacuated failure domains.
        admitted_cpu: Rates at which admitted jobs demand CPU.
        lost_runners: Time of the last renewal of the authority at each
            disconnected runner whose runs may still go on, by its name and
            incarnation.
        largest_targets: Capacities of the targets that were reported lately.
        forecaster: Predicts how long a job would wait.
        reviews: When the waiting jobs were reviewed.
        lateness: How late the process handles what arrives.
        fleet_speeds: Relative speeds of the targets.
        common_slowdowns: Services whose targets are slow together.
        dispatcher: Sends the waiting tasks to the runners.
        handled_s: Time of the last tick but one, before which everything that
            had happened has been handled.
        pending_actions: Actions not yet taken by the program.
        rng: Source of random choices.
    """

    domain: str
    admitted: dict[str, jobs.Job] = attrs.field(factory=dict)
    waiting_jobs: list[jobs.Job] = attrs.field(factory=list)
    runner_views: dict[str, runners.RunnerView] = attrs.field(factory=dict)
    run_times: runtimes.RunTimes = attrs.field(factory=runtimes.RunTimes)
    arrivals: dict[str, admission.ArrivalRate] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    admitted_cpu: rates.CpuRates = attrs.field(factory=rates.CpuRates)
    lost_runners: dict[tuple[str, str], float] = attrs.field(factory=dict)
    largest_targets: capacities.LargestTargets = attrs.field(
        factory=capacities.LargestTargets
    )
    fleet_speeds: speeds.FleetSpeeds = attrs.field(factory=speeds.FleetSpeeds)
    common_slowdowns: slowdowns.CommonSlowdowns = attrs.field(
        factory=slowdowns.CommonSlowdowns
    )
    forecaster: forecasts.Forecaster = attrs.field(init=False)
    reviews: batches.Reviews = attrs.field(factory=batches.Reviews)
    lateness: scheduling_lateness.Lateness = attrs.field(
        factory=scheduling_lateness.Lateness
    )
    dispatcher: dispatching.Dispatcher = attrs.field(init=False)
    handled_s: float = 0.0
    pending_actions: list = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=random.Random)
    _order: int = 0
    _ticked_s: float = 0.0

    def __attrs_post_init__(self):
        self.forecaster = forecasts.Forecaster(
            self.waiting_jobs,
            self.runner_views,
            self.arrivals,
            self.admitted_cpu,
        )
        self.dispatcher = dispatching.Dispatcher(
            self.domain,
            self.waiting_jobs,
            self.runner_views,
            self.rng,
            self._send_message,
            self._alive_until_s,
            self._give_up_unplaceable,
            fleet_speeds=self.fleet_speeds,
        )

    def take_actions(self) -> list:
        """Returns the pending actions and clears them."""
        taken, self.pending_actions = self.pending_actions, []
        return taken

    # Submissions.

    def submit(
        self, spec: work.JobSpec, first_run: int, now_s: float
    ) -> jobs.Job | actions.Rejected:
        """Admits or rejects a job.

        A job whose key is already admitted is not admitted again; the existing
        job is returned.

        Args:
            spec: The job.
            first_run: Run number of the first attempts at its tasks, higher
                than those of all earlier attempts.
            now_s: Current time.
        """
        known = self.admitted.get(spec.key)
        if known is not None:
            known.abandoned_after_s = max(
                known.abandoned_after_s, planning.abandoned_after_s(spec, now_s)
            )
            return known
        refusal = self._refuse_too_large(spec, now_s)
        if refusal is not None:
            return refusal
        self._order += 1
        self.dispatcher.rotation = self._order
        job = planning.make_job(
            spec, first_run, self._order, self.run_times, now_s
        )
        slack_s = job.latest_start_s - now_s
        if not any(
            x.serves(spec.queue.service) for x in self.runner_views.values()
        ):
            if self._is_evacuated(spec.queue.service):
                return evacuating.REJECTED
            return actions.Rejected("no_target", 1.0)
        forecast = self.forecaster.predict(job, self.admitted.values(), now_s)
        wait_s = forecast.wait_s + self.lateness.delay_s
        if wait_s > slack_s:
            return _overload(forecast, slack_s, self.lateness.delay_s)
        job.predicted_wait_s = forecast.wait_s
        arrivals = self.arrivals.setdefault(
            spec.queue.name, admission.ArrivalRate(slack_s=slack_s)
        )
        arrivals.record(job.waiting_millicores(), slack_s, now_s)
        self.admitted_cpu.record(job.urgency, job.waiting_millicores())
        self.admitted[job.key] = job
        bisect.insort(self.waiting_jobs, job, key=lambda x: x.rank)
        try:
            self.dispatcher.place(now_s)
        except Exception:
            # Its caller gets an error, so nobody waits for it.
            self.cancel(job.key)
            raise
        return job

    def _refuse_too_large(
        self, spec: work.JobSpec, now_s: float
    ) -> actions.Rejected | None:
        """Rejects a job for good if one of its tasks fits in no target."""
        service = spec.queue.service
        for demand in {x.demand for x in spec.tasks}:
            limit = self.largest_targets.exceeded(service, demand, now_s)
            if limit is not None:
                detail = (
                    f"a task needs {demand.cpu_millicores} millicores, "
                    f"{demand.memory_mb} MB and {demand.accelerators} "
                    f"accelerators; targets have at most "
                    f"{limit.cpu_millicores}, {limit.memory_mb} and "
                    f"{limit.accelerators}"
                )
                return actions.Rejected("too_large", None, detail=detail)
        return None

    def cancel(self, key: str) -> bool:
        """Cancels a job; returns False if it is not admitted."""
        job = self.admitted.get(key)
        if job is None:
            return False
        self._remove(job)
        return True

    def _remove(self, job: jobs.Job) -> None:
        """Removes a job and stops its runs."""
        del self.admitted[job.key]
        self._remove_waiting(job)
        for task in job.sent():
            self._stop(task)

    def _remove_waiting(self, job: jobs.Job) -> None:
        """Removes a job from the waiting jobs if it is among them."""
        if job in self.waiting_jobs:
            self.waiting_jobs.remove(job)

    def _stop(self, task: jobs.Task) -> None:
        """Asks the runner to stop the latest attempt at a task.

        Its caller may have left as early as in a pause of this process.
        """
        ref = messages.RunRef(task.spec.name, task.run)
        view = self.runner_views.get(task.runner)
        alive_s = 0.0 if view is None else view.on_runner_clock(self.handled_s)
        order = messages.StopRuns((ref,), alive_s)
        self._send_message(task.runner, order)

    def _answer(self, job: jobs.Job, outcome: actions.Outcome) -> None:
        """Removes a job and queues the answer to its callers."""
        self._remove(job)
        self.pending_actions.append(actions.Answer(job, outcome))

    def _give_up_unplaceable(self, job: jobs.Job) -> None:
        """Answers a job for which the choice of a runner has failed."""
        if job.has_certainly_not_run():
            outcome = actions.Rejected("internal_error", ERROR_RETRY_AFTER_S)
        else:
            outcome = actions.Unfinished("internal_error")
        self._answer(job, outcome)

    # Runners.

    def runner_connected(
        self, name: str, incarnation: str, domain: str, now_s: float
    ) -> None:
        """Handles the opening of a stream by a runner.

        It may have restarted before the end of its earlier stream was noticed.
        If it is the same process, the stream renews the authority there, so
        that its runs may go on, and it tells next which of them do.
        """
        view = self.runner_views.get(name)
        if view is not None and view.incarnation != incarnation:
            self.runner_disconnected(name)
        if view is None:
            view = runners.RunnerView(name, incarnation, domain)
            self.runner_views[name] = view
        view.connect(incarnation, now_s)
        view.evacuated = domain in self.evacuated
        self.lost_runners.pop((name, incarnation), None)

    def runner_disconnected(self, name: str) -> None:
        """Handles the end of a runner's stream; its runs may go on."""
        view = self.runner_views.get(name)
        if view is not None:
            view.connected = False
            self.fleet_speeds.changed = True
            self.lost_runners[name, view.incarnation] = view.renewed_s

    def reconcile_runs(
        self, name: str, message: messages.ActiveRuns, now_s: float
    ) -> None:
        """Reconciles the runs of a runner with the tasks sent to it.

        The runner has sent the ends of the last `ENDS_KEPT_S` before. Tasks
        that it does not have wait again; runs that the scheduler does not know
        are stopped.
        """
        held = {(x.task, x.run) for x in message.runs}
        known = set()
        incarnation = self.runner_views[name].incarnation
        for job, task in jobs.sent_to(
            self.admitted.values(), name, incarnation
        ):
            key = (task.spec.name, task.run)
            known.add(key)
            if key not in held:
                recent = now_s - task.sent_s < messages.ENDS_KEPT_S
                end = NOT_RECEIVED if recent else NOT_HELD
                self._requeue(job, task, end, now_s)
        unknown = tuple(messages.RunRef(*x) for x in sorted(held - known))
        if unknown:
            self._send_message(name, messages.StopRuns(unknown))
        self.dispatcher.place(now_s)

    def runner_pinged(self, name: str, sent_s: float, now_s: float) -> float:
        """Notes that a ping of a runner is answered.

        Args:
            name: Name of the runner.
            sent_s: When the ping was sent, on the runner's clock.
            now_s: Current time.

        Returns:
            Time on the runner's clock from which the answer renews the
            authority.
        """
        self.runner_views[name].pinged(sent_s, now_s)
        return max(0.0, sent_s - (now_s - self._alive_until_s(now_s)))

    def _alive_until_s(self, now_s: float) -> float:
        """Returns until when this process has certainly not been paused.

        After a pause this is before it, until all that happened meanwhile has
        been handled.
        """
        if now_s - self.handled_s <= MAX_PAUSE_S:
            return now_s
        return self.handled_s

    def has_tasks_at(self, name: str) -> bool:
        """Returns whether the latest attempt at some task is at a runner."""
        return any(
            task.runner == name
            for job in self.admitted.values()
            for task in job.sent()
        )

    def capacity_reported(
        self, name: str, report: messages.CapacityReport, now_s: float
    ) -> None:
        """Stores a runner's capacity report and places waiting tasks."""
        view = self.runner_views[name]
        self.fleet_speeds.note_report(view, report)
        last = view.report
        view.update_report(report)
        view.note_report_time(last, now_s)
        view.expire_refusals(now_s)
        self.forecaster.joining.reported(view, now_s)
        self.largest_targets.record(
            report.service, name, report.capacity.demand, now_s
        )
        self._refresh_kept_bid(view)
        # No waiting task fitted in what was known of the other runners.
        self.dispatcher.place(now_s, (view,))

    def _refresh_kept_bid(self, view: runners.RunnerView) -> None:
        """Makes the bids be updated if a runner kept one while not usable."""
        if view.bid.demands and self.dispatcher.bid_urgency is None:
            # It was not usable when the other bids were withdrawn.
            self.dispatcher.bid_urgency = view.bid.demands[0].urgency

    def set_evacuated(self, domains: frozenset[str], now_s: float) -> None:
        """Stops or resumes the use of the runners of failure domains.

        Runs that have started there go on.
        """
        self.evacuated = domains
        self.fleet_speeds.changed = True
        for view in self.runner_views.values():
            view.evacuated = view.domain in domains
            if not view.evacuated:
                self._refresh_kept_bid(view)
        for job in self.waiting_jobs:
            for task in job.waiting():
                self._end_exclusions(task)
        self._reject_evacuated()
        self.dispatcher.place(now_s)

    def _is_evacuated(self, service: str) -> bool:
        """Returns whether a service has runners in evacuated domains only."""
        return evacuating.is_evacuated(self.runner_views.values(), service)

    def _reject_evacuated(self) -> None:
        """Rejects the jobs that have not run and can't while it lasts."""
        if not self.evacuated:
            return
        services = {x.spec.queue.service for x in self.waiting_jobs}
        evacuated = {x for x in services if self._is_evacuated(x)}
        for job in list(self.waiting_jobs) if evacuated else ():
            service = job.spec.queue.service
            if service in evacuated and job.has_certainly_not_run():
                self._answer(job, evacuating.REJECTED)

    def run_ended(
        self, name: str, message: messages.RunEnded, now_s: float
    ) -> jobs.TaskState | None:
        """Handles the end of an attempt; ignores all but the latest one.

        Returns:
            What the end has made of the task: it is done, has failed or waits
            for its next attempt. None if the end is ignored.
        """
        found = jobs.find_sent(self.admitted, message.task, message.run, name)
        if found is None:
            return None
        job, task = found
        end = jobs.RunEnd.of(message)
        match end.ending:
            case work.Ending.DONE:
                self._task_done(name, job, task, message.run_s)
                # The next report tells which capacity is free now.
                return task.state
            case work.Ending.FAILED:
                self._task_failed(name, job, task, end, now_s)
            case work.Ending.NOT_RUN:
                self._task_refused(name, job, task, end, now_s)
            case work.Ending.STOPPED | work.Ending.LOST:
                if end.reason in RESCHEDULING_REASONS:
                    task.excluded_runners.add(name)
                self._requeue(job, task, end, now_s)
        state = task.state
        self.dispatcher.place(now_s)
        return state

    def _task_done(
        self, name: str, job: jobs.Job, task: jobs.Task, run_s: float
    ) -> None:
        """Marks a task as done and answers once all tasks of the job are."""
        task.state = jobs.TaskState.DONE
        queue = job.spec.queue.name
        view = self.runner_views.get(name)
        if view is not None:
            view.learn(run_s, task.expected_s)
            self.run_times.observe(
                queue,
                task.spec.declared_s,
                run_s / view.slowness,
                job.spec.caller_wait_s,
            )
        if all(x.state is jobs.TaskState.DONE for x in job.tasks):
            self._answer(job, actions.Completed())

    def _task_failed(
        self,
        name: str,
        job: jobs.Job,
        task: jobs.Task,
        end: jobs.RunEnd,
        now_s: float,
    ) -> None:
        """Requeues a failed task, or fails its job after the last attempt."""
        task.failures += 1
        if task.failures >= job.spec.queue.attempts_limit:
            task.state = jobs.TaskState.FAILED
            self._answer(job, actions.Failed(task.spec.name))
            return
        task.excluded_runners.add(name)
        self._requeue(job, task, end, now_s)

    def _task_refused(
        self,
        name: str,
        job: jobs.Job,
        task: jobs.Task,
        end: jobs.RunEnd,
        now_s: float,
    ) -> None:
        """Requeues a task that its runner refused to start."""
        view = self.runner_views.get(name)
        if view is not None and end.reason in HEADROOM_REASONS:
            view.refuse_until(job.urgency, now_s + HEADROOM_RETRY_S)
        elif view is not None:
            view.blocked = True
        self._requeue(job, task, end, now_s)
        if end.reason == "old":
            task.run += RUN_NUMBER_SKIP

    def _requeue(
        self,
        job: jobs.Job,
        task: jobs.Task,
        end: jobs.RunEnd,
        now_s: float,
    ) -> None:
        """Makes a task wait for its next attempt.

        The exclusions of runners end once they cover all of them.

        Args:
            job: Its job.
            task: The task.
            end: How its latest attempt ended, and why that can't work any
                longer.
            now_s: Current time.
        """
        self.pending_actions.append(
            actions.Repeated(
                task.spec.name,
                task.run,
                task.runner,
                task.incarnation,
                end,
                now_s - task.sent_s,
            )
        )
        task.state = jobs.TaskState.WAITING
        task.run += 1
        if end.evidence is not work.Evidence.NOT_RUN:
            job.may_have_run = True
        self._end_exclusions(task)
        if job not in self.waiting_jobs:
            bisect.insort(self.waiting_jobs, job, key=lambda x: x.rank)

    def _end_exclusions(self, task: jobs.Task) -> None:
        """Ends a task's exclusions of runners once they cover all of them."""
        if task.excluded_runners and all(
            x.evacuated or x.name in task.excluded_runners
            for x in self.runner_views.values()
        ):
            task.excluded_runners.clear()

    def capacity_offered(
        self, name: str, offer: messages.Offer, now_s: float
    ) -> None:
        """Fills the capacity that a runner reserved, most urgent jobs first."""
        self.dispatcher.capacity_offered(name, offer, now_s)

    # Time.

    def tick(self, now_s: float) -> None:
        """Expires lost runners, rejects overdue jobs and places waiting tasks.

        Must be called every few tens of milliseconds. An unexpected error in
        one part is logged and keeps no other from its work: without the end of
        abandoned jobs, tasks could run twice, and without the note that this
        process is alive all its runs would be stopped.
        """
        for part in (
            self._update_rates,
            self._expire_lost_runners,
            self._end_abandoned,
            self._reject_overdue,
            self._review_waiting,
            self._reject_late,
            self.dispatcher.place,
        ):
            try:
                part(now_s)
            except Exception:
                log.exception("update failed", extra={"part": part.__name__})
        self.handled_s = self._ticked_s
        self._ticked_s = now_s

    def _update_rates(self, now_s: float) -> None:
        """Lets the rates decay and compares the speeds of the targets."""
        self.admitted_cpu.decay(now_s)
        if self.fleet_speeds.changed:
            self.common_slowdowns.update(self.runner_views.values())
            self.fleet_speeds.update(self.runner_views.values())

    def _expire_lost_runners(self, now_s: float) -> None:
        """Requeues tasks of lost runners whose runs have certainly ended."""
        for key, renewed_s in list(self.lost_runners.items()):
            if now_s - renewed_s < runners.RUN_EXPIRY_S:
                continue
            del self.lost_runners[key]
            lost = jobs.sent_to(self.admitted.values(), *key)
            for job, task in lost:
                self._requeue(job, task, GIVEN_UP, now_s)
            log.warning(
                "runner given up",
                extra={
                    "runner": key[0],
                    "incarnation": key[1],
                    "silent_s": round(now_s - renewed_s, 3),
                    "tasks": len(lost),
                },
            )
            view = self.runner_views.get(key[0])
            if view is not None and not view.connected:
                del self.runner_views[key[0]]

    def _end_abandoned(self, now_s: float) -> None:
        """Ends the jobs whose callers can't be waiting any more.

        The end of a caller's connection is not seen if the way to it is cut
        off. The caller may have submitted the job to another scheduler.
        """
        for job in list(self.admitted.values()):
            if now_s > job.abandoned_after_s:
                self._answer(job, actions.Unfinished("caller_wait_over"))

    def _reject_overdue(self, now_s: float) -> None:
        """Rejects jobs that have not started and can't or would end late."""
        self._reject_evacuated()
        for job in list(self.waiting_jobs):
            if not job.started and now_s > job.reject_after_s:
                self._answer(
                    job, actions.Rejected("deadline", MIN_RETRY_AFTER_S)
                )

    def _review_waiting(self, now_s: float) -> None:
        """Rejects jobs whose tasks can't all start in time any more.

        While most runners are new, `_reject_late` decides instead, by what it
        can count on.
        """
        if not self.waiting_jobs or self.forecaster.is_recovering(now_s):
            return
        if not self.reviews.is_due(now_s):
            return
        predicted = self.forecaster.predict_waiting(
            self.admitted.values(), now_s
        )
        for job, forecast in batches.review(predicted, now_s):
            slack_s = max(0.0, job.latest_start_s - now_s)
            self._answer(job, _overload(forecast, slack_s))

    def _reject_late(self, now_s: float) -> None:
        """Rejects admitted jobs for which less capacity came than expected."""
        admitted = self.admitted.values()
        for job, forecast in self.forecaster.late_jobs(admitted, now_s):
            slack_s = job.reject_after_s - now_s
            self._answer(job, _overload(forecast, slack_s))

    def _send_message(self, runner: str, message: object) -> None:
        """Queues a message to a runner as an action."""
        self.pending_actions.append(actions.SendMessage(runner, message))


def _overload(
    forecast: forecasts.Forecast, slack_s: float, delay_s: float = 0.0
) -> actions.Rejected:
    """Returns the rejection of a job that would start too late.

    Args:
        forecast: The predicted wait for capacity.
        slack_s: Seconds until the job must start.
        delay_s: Delay with which this process handles what arrives.
    """
    if forecast.in_doubt:
        return actions.Rejected(
            "in_doubt", probing.RETRY_AFTER_S, slack_s=slack_s
        )
    wait_s = forecast.wait_s + delay_s
    return actions.Rejected(
        "overload" if forecast.wait_s > slack_s else "late",
        max(MIN_RETRY_AFTER_S, wait_s - slack_s),
        wait_s,
        slack_s,
        forecast.ahead_millicores,
        forecast.rate,
    )
