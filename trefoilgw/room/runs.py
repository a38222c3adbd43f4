"""Attempts that use the capacity of a target."""

import enum
import math
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room import health
from trefoilgw.work import core as work


class RunState(enum.Enum):
    """State of an attempt that uses capacity."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One attempt that uses capacity.

    Attributes:
        owner: Incarnation of the scheduler that asked for it.
        order: The request to start it.
        demand: Capacity that it uses until it has certainly ended.
        state: Whether it is starting, running or being stopped.
        requested_s: Time of the request.
        progress: Share of its work that is done, 0 to 1.
        last_progress_s: Time of the last increase of `progress`.
        marks: Times and progress of two earlier listings, for its latest speed;
            empty in the first part of the run.
        reason: Why it is being stopped, for the scheduler and for logs; empty
            if the scheduler asked for that or if it is not being stopped.
        ends_by_s: Time by which it will surely have ended, as last estimated.
        estimated_progress: Its progress at that estimate.
    """

    owner: str
    order: messages.RunOrder
    demand: work.Demand
    state: RunState
    requested_s: float
    progress: float = 0.0
    last_progress_s: float = 0.0
    reason: str = ""
    ends_by_s: float = -math.inf
    estimated_progress: float = 0.0
    marks: tuple[tuple[float, float], ...] = ()

    @property
    def key(self) -> tuple[str, int]:
        """Task and number of the attempt."""
        return self.order.task, self.order.run

    @property
    def job(self) -> str:
        """Key of its job, the first part of the task name."""
        return self.order.task.partition(".")[0]

    def measured(self, now_s: float) -> health.RunProgress:
        """Returns its progress in the time since it was requested."""
        window_s = window_progress = 0.0
        if len(self.marks) == 2:
            at_s, progress = self.marks[0]
            window_s = now_s - at_s
            window_progress = self.progress - progress
        return health.RunProgress(
            self.job,
            max(now_s - self.requested_s, 1e-6),
            self.order.expected_s,
            self.progress,
            window_s,
            window_progress,
        )

    def update_marks(self, now_s: float) -> None:
        """Notes the present progress once the last mark is old enough.

        The older of the two marks thus lies one to two windows back.
        """
        last_s = self.marks[-1][0] if self.marks else self.requested_s
        window_s = health.speed_window_s(self.order.expected_s)
        if now_s - last_s >= window_s:
            self.marks = (*self.marks[-1:], (now_s, self.progress))


def update_progress(
    runs: Mapping[tuple[str, int], Run],
    progress: Mapping[tuple[str, int], float],
    now_s: float,
) -> tuple[list[Run], int]:
    """Updates the progress of running attempts.

    Args:
        runs: Attempts by task and number.
        progress: Share of work done, 0 to 1, by task and number.
        now_s: Current time.

    Returns:
        The attempts that have stalled, and the number of those that have made
        progress.
    """
    stalled = []
    progressing = 0
    for key, share in progress.items():
        run = runs.get(key)
        if run is None or run.state is not RunState.RUNNING:
            continue
        run.update_marks(now_s)
        if share > run.progress:
            run.progress = share
            run.last_progress_s = now_s
            progressing += 1
            continue
        limit_s = health.stall_limit_s(run.order.expected_s)
        if now_s - run.last_progress_s > limit_s:
            stalled.append(run)
    return stalled, progressing


def find_slow(
    runs: Iterable[Run], target_health: health.TargetHealth, now_s: float
) -> list[Run]:
    """Returns the runs of a slow target that would end sooner elsewhere.

    Updates the relative speed of the target first. Runs of schedulers that know
    no faster target go on.
    """
    running = [
        (run, run.measured(now_s))
        for run in runs
        if run.state is RunState.RUNNING
    ]
    target_health.update_speed([progress for _, progress in running])
    if target_health.suspect_reason is not health.SuspectReason.SLOW:
        return []
    return [
        run
        for run, progress in running
        if progress.conclusive
        and not run.order.may_be_slow
        and progress.restart_is_faster(target_health.relative_speed)
    ]


def make_end(
    order: messages.RunOrder,
    ending: work.Ending,
    reason: str,
    run_s: float,
    evidence: work.Evidence,
    target: work.Target | None,
) -> messages.RunEnded:
    """Returns the message that reports the end of an attempt.

    Args:
        order: The request to start it.
        ending: How it ended.
        reason: Why, for the scheduler and for logs.
        run_s: Run time in seconds.
        evidence: Why it can no longer work.
        target: The target that it was meant for, None if there is none.
    """
    return messages.RunEnded(
        order.task,
        order.run,
        str(ending),
        reason,
        run_s,
        str(evidence),
        target.instance if target else "",
        target.started_ms if target else 0,
    )
