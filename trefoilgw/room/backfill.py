"""Backfilling: small work in the room that a large task can't use yet.

The most urgent task that does not fit gets a reservation: the time by which
the runs at the target will surely have left enough room for it. Less urgent
work may start before it only if it surely ends by then, or uses room that is
left over beside the task. The algorithm is EASY backfilling (Lifka 1995, "The
ANL/IBM SP scheduling system"; Mu'alem and Feitelson 2001, "Utilization,
predictability, workloads, and user runtime estimates in scheduling the IBM SP2
with backfilling"), with quantiles in place of the limits that its users state.

Load pattern: large and small tasks wait at a target with room for a few large
ones. If the small ones may start at any time, the large ones starve; if they
must wait, the room that accumulates for a large one stays unused.
"""

import math
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room import owners
from trefoilgw.room import runs as room_runs
from trefoilgw.work import core as work
from trefoilgw.work import run_limits

# Time in which an offer is answered and its runs are started.
ANSWER_TIME_S = 0.005
# Time until the end of a run that is being stopped is known.
STOP_TIME_S = 0.25
# Weight of a new run in the moving averages of `ObservedRunTimes`.
RUN_WEIGHT = 0.05
# Bounds the logarithm of the ratio of a single run.
MAX_LOG_RATIO = 2.0
# Progress from which on it tells the run time better than the estimate.
MIN_PROGRESS = 0.1
# Assumed error of the logarithm of a run time that progress tells.
PROGRESS_ERROR = 0.1


@attrs.frozen
class BlockedTask:
    """The most urgent waiting task, for which there is no room.

    Attributes:
        owner: Incarnation of its scheduler.
        urgency: Urgency class of its bid.
        latest_start_s: Time by which it should start.
        demand: Capacity that it needs.
    """

    owner: str
    urgency: int
    latest_start_s: float
    demand: work.Demand


@attrs.frozen
class Reservation:
    """What is reserved for a blocked task.

    Attributes:
        start_s: Time by which there is surely room for it.
        extra: Capacity that is free now, and that it leaves free then.
    """

    start_s: float
    extra: work.Demand


@attrs.define
class ObservedRunTimes:
    """Actual over expected run times at one target.

    Attributes:
        log_ratio: Moving average of the logarithm of the ratio.
        error: Moving average of the absolute deviation from it.
    """

    log_ratio: float = 0.0
    error: float = 0.0

    @property
    def ratio(self) -> float:
        """Typical ratio of actual to expected run times."""
        return math.exp(self.log_ratio)

    def record(self, run_s: float, expected_s: float) -> None:
        """Updates the averages with a run that is done."""
        least_s = run_limits.MIN_EXPECTED_S
        log_ratio = math.log(max(run_s, least_s) / max(expected_s, least_s))
        step = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        step -= self.log_ratio
        self.log_ratio += RUN_WEIGHT * step
        self.error += RUN_WEIGHT * (abs(step) - self.error)

    def limit_s(
        self, expected_s: float, error: float, elapsed_s: float = 0.0
    ) -> float:
        """Returns the time by which a run has surely ended, from its start."""
        return run_limits.run_limit_s(
            expected_s * self.ratio, max(error, self.error), elapsed_s
        )

    def ends_by_s(self, run: room_runs.Run, now_s: float) -> float:
        """Returns the time by which a run has surely ended.

        The result is kept until it has passed or the run has made progress.
        """
        if run.state is room_runs.RunState.STOPPING:
            return now_s + STOP_TIME_S
        if (
            now_s < run.ends_by_s
            and run.progress < run.estimated_progress + MIN_PROGRESS
        ):
            return run.ends_by_s
        elapsed_s = max(0.0, now_s - run.requested_s)
        run.estimated_progress = run.progress
        if run.progress >= MIN_PROGRESS:
            worked_s = run.last_progress_s - run.requested_s
            limit_s = run_limits.run_limit_s(
                worked_s / run.progress, PROGRESS_ERROR, elapsed_s
            )
        else:
            limit_s = self.limit_s(
                run.order.expected_s, run.order.error, elapsed_s
            )
        run.ends_by_s = run.requested_s + limit_s
        return run.ends_by_s


def reserve(
    demand: work.Demand,
    free: work.Demand,
    ends: Iterable[tuple[float, work.Demand]],
) -> Reservation | None:
    """Returns the reservation of a task that does not fit now.

    Args:
        demand: Capacity that the task needs.
        free: Capacity that is free now.
        ends: When runs will surely have ended, and what they use.

    Returns:
        None if there is not enough room even after all these ends.
    """
    later = free
    for ends_by_s, freed in sorted(ends, key=lambda x: x[0]):
        if ends_by_s == math.inf:
            break
        later = later.plus(freed)
        if demand.fits_in(later):
            return Reservation(ends_by_s, later.minus(demand).capped(free))
    return None


@attrs.define(eq=False)
class Backfilling:
    """Backfilling at one target.

    The blocked task and its reservation are those of the last look at the
    bids, so they end with the bid, its scheduler or the target.

    Attributes:
        blocked: The blocked task, None if there is none.
        observed: Run times at the target.
        reservations: Number of tasks that were blocked and got a reservation.
        backfilled: Number of runs started before a blocked task.
        blocked_s: Total time in which a task was blocked.
        looked_s: Time of the last look at the bids.
    """

    blocked: BlockedTask | None = None
    observed: ObservedRunTimes = attrs.field(factory=ObservedRunTimes)
    reservations: int = 0
    backfilled: int = 0
    blocked_s: float = 0.0
    looked_s: float = 0.0

    def look(self, now_s: float) -> None:
        """Counts the blocked time, and forgets the blocked task."""
        if self.blocked is not None:
            self.blocked_s += max(0.0, now_s - self.looked_s)
        self.looked_s = now_s
        self.blocked = None

    def block(self, task: BlockedTask, previous: BlockedTask | None) -> None:
        """Notes the blocked task and counts it if it is another one."""
        self.blocked = task
        if previous is None or (previous.owner, previous.urgency) != (
            task.owner,
            task.urgency,
        ):
            self.reservations += 1

    def delays_blocked(
        self,
        order: messages.RunOrder,
        offer: owners.Reservation | None,
        reserve_room: Callable[[work.Demand], Reservation | None],
        now_s: float,
    ) -> bool:
        """Returns whether a run that fits would delay a more urgent task.

        Args:
            order: The run, which would start now.
            offer: The offer that it answers, None if there is none.
            reserve_room: Returns the reservation of a blocked task.
            now_s: Current time.
        """
        if offer is not None:
            return not self._surely_ends(order, offer.ends_by_s, now_s)
        if not self._is_overtaking(order, now_s):
            return False
        reservation = reserve_room(self.blocked.demand)
        if reservation is None:
            return True
        return not (
            order.room.demand.fits_in(reservation.extra)
            or self._surely_ends(order, reservation.start_s, now_s)
        )

    def count_start(
        self,
        order: messages.RunOrder,
        offer: owners.Reservation | None,
        now_s: float,
    ) -> None:
        """Counts a run that has been accepted."""
        if (
            self._is_overtaking(order, now_s)
            if offer is None
            else offer.backfill
        ):
            self.backfilled += 1

    def _is_overtaking(self, order: messages.RunOrder, now_s: float) -> bool:
        """Returns whether a run would start before a task that is overdue.

        Until then, schedulers may use the room that their views show: work
        bids at more targets than it has tasks, so that most reservations end
        without a start, and to keep all that room costs more than it gives.
        """
        if self.blocked is None or now_s < self.blocked.latest_start_s:
            return False
        latest_start_s = now_s + order.slack_s - ANSWER_TIME_S
        return latest_start_s > self.blocked.latest_start_s

    def _surely_ends(
        self, order: messages.RunOrder, ends_by_s: float, now_s: float
    ) -> bool:
        """Returns whether a run that starts now ends by a time."""
        if ends_by_s == math.inf:
            return True
        if order.expected_s <= 0.0:
            return False
        limit_s = self.observed.limit_s(order.expected_s, order.error)
        return now_s + limit_s <= ends_by_s

    def offered_limit(
        self, ends_by_s: float, now_s: float
    ) -> tuple[float, float]:
        """Returns the limit of run times in an offer, and their least error.

        The limit is that on a target of normal speed; 0 is none.
        """
        if ends_by_s == math.inf:
            return 0.0, 0.0
        rest_s = ends_by_s - now_s - ANSWER_TIME_S
        return rest_s / self.observed.ratio, self.observed.error
