"""Sends waiting tasks to runners: to free capacity, and into their offers.

A task goes at once to a runner whose last report shows room for it. Otherwise
it waits, and the runners are told of it by bids; the offers that answer them
are filled in order of urgency.

An unexpected error in the choice for one job concerns that job only: what was
planned for it is taken back, it is given up, and the others are placed.
"""

import logging
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import bidding
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import placing
from trefoilgw.scheduling import runners
from trefoilgw.scheduling import speeds
from trefoilgw.work import core as work

# Number of waiting jobs that don't fit after which placement stops. Until then
# less urgent jobs may use the remaining capacity.
MAX_SKIPPED_JOBS = 4

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Dispatcher:
    """Sends the waiting tasks of one scheduler.

    Attributes:
        domain: Failure domain of the scheduler.
        waiting_jobs: Jobs with waiting tasks, most urgent first.
        runner_views: Runners by name.
        rng: Source of random choices.
        send_message: Sends a message to a runner, given its name.
        alive_until_s: Returns until when this process has certainly not been
            paused, given the current time.
        give_up: Ends a waiting job for which no runner can be chosen.
        bid_urgency: Most urgent class of the last bids, None while nothing
            waits.
        bids_updated_s: Time of the last update of the bids.
        rotation: Changes from job to job, so that the bids of little work
            are spread over the runners.
        fleet_speeds: Relative speeds of the targets.
    """

    domain: str
    waiting_jobs: list[jobs.Job]
    runner_views: Mapping[str, runners.RunnerView]
    rng: random.Random
    send_message: Callable[[str, object], None]
    alive_until_s: Callable[[float], float]
    give_up: Callable[[jobs.Job], None]
    bid_urgency: int | None = None
    bids_updated_s: float = 0.0
    rotation: int = 0
    fleet_speeds: speeds.FleetSpeeds = attrs.field(factory=speeds.FleetSpeeds)

    def place(
        self,
        now_s: float,
        views: Iterable[runners.RunnerView] | None = None,
    ) -> None:
        """Sends waiting tasks to runners with free capacity, then bids.

        Args:
            now_s: Current time.
            views: Runners to consider, None for all.
        """
        if not self.waiting_jobs:
            self._send_bids(now_s)
            return
        batches: dict[str, dict[jobs.Job, list[jobs.Task]]] = {}
        with_capacity = [
            x
            for x in views or self.runner_views.values()
            if x.usable and x.has_capacity()
        ]
        skipped = 0
        for job in list(self.waiting_jobs) if with_capacity else ():
            if skipped >= MAX_SKIPPED_JOBS:
                break
            accepting = [
                x for x in with_capacity if x.accepts(job.urgency, now_s)
            ]
            try:
                planned, whole = self._plan(job, accepting, now_s)
            except Exception:
                self._give_up_after_error(job)
                continue
            skipped += not whole
            for task, view in planned:
                self._mark_sent(job, task, view, now_s)
                batches.setdefault(view.name, {}).setdefault(job, []).append(
                    task
                )
        for name, batch in batches.items():
            self._send_batch(self.runner_views[name], batch, 0, now_s)
        self._send_bids(now_s)

    def _plan(
        self,
        job: jobs.Job,
        views: Sequence[runners.RunnerView],
        now_s: float,
    ) -> tuple[list[tuple[jobs.Task, runners.RunnerView]], bool]:
        """Chooses runners for the waiting tasks of a job.

        The views count what the tasks need as used.

        Args:
            job: The job.
            views: Candidate runners.
            now_s: Current time.

        Returns:
            Tasks and their runners, and whether these are all waiting tasks.
            A job that may start as a whole only gets all or none.

        Raises:
            Exception: Any unexpected error; the views are as before.
        """
        planned = []
        probed: dict[str, float] = {}
        fastest = self.fleet_speeds.fastest_at(job.spec.queue.service)
        whole = False
        try:
            for task in job.waiting():
                view = placing.choose_runner(
                    views,
                    task,
                    placing.time_left_of(job, task, fastest, now_s),
                    job.spec.queue.service,
                    self.domain,
                    now_s,
                    self.rng,
                )
                if view is None:
                    break
                view.add_unreported(task.spec.demand)
                probed.setdefault(view.name, view.probed_s)
                if view.suspect:
                    view.probed_s = now_s
                planned.append((task, view))
            else:
                whole = True
        except Exception:
            _take_back(planned, probed)
            raise
        if not whole and job.is_held:
            _take_back(planned, probed)
            planned = []
        return planned, whole

    def _give_up_after_error(self, job: jobs.Job) -> None:
        """Logs the present exception and ends the job that it concerns.

        The error would most likely come again with each attempt to place it.
        """
        log.exception("job can't be placed", extra={"job": job.key})
        self.give_up(job)

    def _mark_sent(
        self,
        job: jobs.Job,
        task: jobs.Task,
        view: runners.RunnerView,
        now_s: float,
    ) -> None:
        """Updates the state of a task that is sent to a runner."""
        task.state = jobs.TaskState.SENT
        task.runner = view.name
        task.incarnation = view.incarnation
        task.sent_s = now_s
        task.attempts += 1
        job.started = True
        if view.suspect:
            view.probed_s = now_s
        if not job.waiting():
            self.waiting_jobs.remove(job)

    def _send_batch(
        self,
        view: runners.RunnerView,
        batch: dict[jobs.Job, list[jobs.Task]],
        offer: int,
        now_s: float,
    ) -> None:
        """Sends tasks to a runner in one message.

        Args:
            view: The runner.
            batch: Tasks by job; empty if an offer is declined.
            offer: Number of the offer that this answers, 0 if none.
            now_s: Current time.
        """
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
                        x.error,
                        job.latest_start_s - now_s,
                        view.slow_as_others,
                    )
                    for x in tasks
                ),
            )
            for job, tasks in batch.items()
        )
        alive_s = view.renew_by_order(self.alive_until_s(now_s))
        order = messages.StartRuns(offer, groups, alive_s)
        # The runner counts them too, so only a message that goes out counts.
        view.starts_sent += 1
        self.send_message(view.name, order)

    def capacity_offered(
        self, name: str, offer: messages.Offer, now_s: float
    ) -> None:
        """Fills the capacity that a runner reserved, most urgent jobs first.

        An offer that no task can use is declined with an empty message.
        """
        view = self.runner_views[name]
        remaining = offer.room.demand
        batch: dict[jobs.Job, list[jobs.Task]] = {}
        for job in list(self.waiting_jobs):
            if not view.serves(job.spec.queue.service):
                continue
            if job.urgency > offer.urgency:
                continue
            try:
                usable = self._usable_tasks(job, view, now_s)
                chosen, rest = _fill(usable, offer, name, remaining)
            except Exception:
                self._give_up_after_error(job)
                continue
            if job.is_held and len(chosen) < len(job.waiting()):
                continue
            remaining = rest
            for task in chosen:
                self._mark_sent(job, task, view, now_s)
                batch.setdefault(job, []).append(task)
            if remaining.cpu_millicores <= 0 < offer.room.cpu_millicores:
                break
        self._send_batch(view, batch, offer.number, now_s)
        if not batch:
            view.drop_bids(offer.urgency, keep_more_urgent=offer.backfill)
        self._send_bids(now_s)

    def _usable_tasks(
        self, job: jobs.Job, view: runners.RunnerView, now_s: float
    ) -> list[jobs.Task]:
        """Returns the waiting tasks that may use what a runner offers."""
        fastest = self.fleet_speeds.fastest_at(job.spec.queue.service)
        return [
            x
            for x in job.waiting()
            if placing.may_fill(
                view, x, placing.time_left_of(job, x, fastest, now_s)
            )
        ]

    def _send_bids(self, now_s: float) -> None:
        """Updates the bids at the runners if the waiting work has changed."""
        first = self.waiting_jobs[0].urgency if self.waiting_jobs else None
        interval_s = bidding.update_interval_s(len(self.runner_views))
        if first is None and self.bid_urgency is None:
            return
        if now_s - self.bids_updated_s < interval_s and not (
            bidding.is_due_at_once(first, self.bid_urgency)
        ):
            return
        self.bid_urgency = first
        self.bids_updated_s = now_s
        usable = [x for x in self.runner_views.values() if x.usable]
        services = {x.report.service for x in usable}
        for service in services:
            bid = bidding.make_bid(self.waiting_jobs, service, now_s)
            views = [x for x in usable if x.report.service == service]
            for view in bidding.select_bidders(views, bid, self.rotation):
                if bidding.must_send(view, bid, now_s):
                    view.bid = bid
                    view.bid_sent_s = now_s
                    self.send_message(view.name, bid)


def _take_back(
    planned: Iterable[tuple[jobs.Task, runners.RunnerView]],
    probed: Mapping[str, float],
) -> None:
    """Undoes what a plan has changed in the views.

    Args:
        planned: Tasks and their runners, in the order in which they were added.
        probed: When each of the runners had its last probe before.
    """
    for _, view in reversed(list(planned)):
        view.remove_last_unreported()
        view.probed_s = probed[view.name]


def _fill(
    tasks: Iterable[jobs.Task],
    offer: messages.Offer,
    runner: str,
    remaining: work.Demand,
) -> tuple[list[jobs.Task], work.Demand]:
    """Returns the tasks that an offer has room for, and the rest of its room.

    Args:
        tasks: Waiting tasks of a job.
        offer: The offer, which may limit the run times.
        runner: Name of the runner.
        remaining: Room that is left of the offer.
    """
    chosen = []
    for task in tasks:
        demand = task.spec.demand
        if (
            runner not in task.excluded_runners
            and demand.fits_in(remaining)
            and task.ends_within(offer.run_limit_s, offer.least_error)
        ):
            remaining = remaining.minus(demand)
            chosen.append(task)
    return chosen, remaining
