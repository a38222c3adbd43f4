"""Health of a target, derived from the outcome and progress of its runs.

Load patterns: a target that fails all runs immediately always has free
capacity and attracts all waiting work; one whose runs stall or are slow stays
full; one that goes down and up by turns loses its runs each time. All of them
pass their status checks. No report of a target about itself ends a suspicion:
only the outcome of a probe does.
"""

import collections
import enum
import math
import statistics

import attrs

from trefoilgw.room import probation

# Consecutive failed runs, each of a different job, that make a target suspect.
# Jobs that can never succeed fail everywhere, so each job counts once.
FAILED_JOBS_LIMIT = 3
# Outcomes within this time also make a target suspect that fails only a part
# of its runs: as many failed jobs, if they are this share of all outcomes.
RECENT_S = 1.0
FAILED_SHARE = 1.0 / 3.0
# Bounds the remembered outcomes of a target with many short runs.
MAX_RECENT = 64
# Losses of a target within `probation.FLAP_MEMORY_S` from which it flaps. One
# alone is a restart.
FLAP_LOSSES = 2
# Runs that must be stalled at the same time, while no other progresses.
STALLED_RUNS_LIMIT = 2
# A run is stalled if its progress, which has a resolution of 1%, has not
# increased for this time plus this share of its expected run time.
STALL_S = 0.2
STALL_SHARE = 0.1


# Speed, relative to the target's usual one, below which it counts as slow, and
# from which it has recovered. Expected run times are often 1.3 times too short,
# which must not count as slow.
SLOW_SPEED = 0.4
RECOVERED_SPEED = 0.6
# Jobs needed for a median speed of the target. The expected run time of a job
# may be wrong by a factor of three, equally for all of its runs.
MIN_SPEED_JOBS = 3
# The speed of runs below this age or progress is not significant.
MIN_SPEED_AGE_S = 0.1
MIN_SPEED_PROGRESS = 0.03
# The speed of a run is measured over the latest part of it, at least this long
# and at least this share of its expected run time, as a target lists progress
# in percent. Over the whole run a target that turns slow would long seem sound.
SPEED_WINDOW_S = 0.4
SPEED_WINDOW_SHARE = 0.1
# Least usual speed of a target; a slower one is slow, not of a slow kind.
MIN_USUAL_SPEED = 0.5
# A run is restarted elsewhere if the rest of it takes more than this many times
# as long as a whole run on a healthy target.
RESTART_GAIN = 1.5


class SuspectReason(enum.Enum):
    """Why a target is used for probes only."""

    NONE = "none"
    FAILING = "failing"
    STALLED = "stalled"
    SLOW = "slow"
    FLAPPING = "flapping"


def stall_limit_s(expected_s: float) -> float:
    """Returns the time without progress after which a run is stalled.

    Args:
        expected_s: Expected run time in seconds.
    """
    return STALL_S + STALL_SHARE * max(0.0, expected_s)


@attrs.frozen
class RunProgress:
    """Progress of one run against its expected run time.

    Attributes:
        job: Key of its job.
        elapsed_s: Seconds since its start.
        expected_s: Expected run time in seconds.
        progress: Share of its work that is done, 0 to 1.
        window_s: Seconds of the latest part of it, over which its speed is
            measured; 0 for all of it.
        window_progress: Share of its work that was done in that part.
    """

    job: str
    elapsed_s: float
    expected_s: float
    progress: float
    window_s: float = 0.0
    window_progress: float = 0.0

    @property
    def conclusive(self) -> bool:
        """Whether the run is far enough on for its speed to be significant."""
        return (
            self.elapsed_s >= MIN_SPEED_AGE_S
            and self.progress >= MIN_SPEED_PROGRESS
            and 0.0 < self.expected_s < math.inf
        )

    @property
    def relative_speed(self) -> float:
        """Work done per second lately, relative to the expected rate."""
        if self.window_s > 0.0:
            return self.window_progress * self.expected_s / self.window_s
        return self.progress * self.expected_s / self.elapsed_s

    def restart_is_faster(self, target_speed: float) -> bool:
        """Returns whether a restart on a healthy target would end sooner.

        Args:
            target_speed: Relative speed of the target that it runs on.
        """
        return 1.0 - self.progress > RESTART_GAIN * target_speed


def speed_window_s(expected_s: float) -> float:
    """Returns the time over which the speed of a run is measured.

    Args:
        expected_s: Expected run time in seconds.
    """
    return max(SPEED_WINDOW_S, SPEED_WINDOW_SHARE * expected_s)


@attrs.frozen
class Outcome:
    """Outcome of a run that has ended.

    Attributes:
        at_s: Time of its end.
        job: Key of its job.
        done: Whether it was done; else it failed or the target refused it.
        relative_speed: Work done per second, relative to the expected rate;
            None if it failed or was too short for its speed to be significant.
    """

    at_s: float
    job: str
    done: bool
    relative_speed: float | None = None


@attrs.define
class TargetHealth:
    """Health of a target, updated with the results of its runs.

    Attributes:
        suspect_reason: Why it is used for probes only.
        failed_jobs: Jobs whose runs failed since the last success.
        relative_speed: Work done per second, relative to the expected rate;
            the median over jobs at the last update with enough of them. It is
            not updated while the target is suspect for being slow.
        usual_speed: Relative speed that it had when it was sound, at most 1. It
            counts as slow by comparison with this.
        now_s: Time of the latest event.
        recent: Outcomes of the last `RECENT_S`.
        probes: When the next probe is due, and when it is trusted.
        probe: Task and number of the latest probe.
        losses_s: Times at which the target was lost lately.
    """

    suspect_reason: SuspectReason = SuspectReason.NONE
    failed_jobs: set[str] = attrs.field(factory=set)
    relative_speed: float = 1.0
    usual_speed: float = 1.0
    now_s: float = 0.0
    recent: collections.deque[Outcome] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT)
    )
    probes: probation.Probation = attrs.field(factory=probation.Probation)
    probe: tuple[str, int] | None = None
    losses_s: list[float] = attrs.field(factory=list)

    @property
    def suspect(self) -> bool:
        """Whether the target is used for probes only."""
        return self.suspect_reason is not SuspectReason.NONE

    def next_life(self) -> "TargetHealth":
        """Returns the health of the target's next life.

        What it has failed is forgotten, but not that it flaps.
        """
        flaps = self.suspect_reason is SuspectReason.FLAPPING
        return TargetHealth(
            SuspectReason.FLAPPING if flaps else SuspectReason.NONE,
            now_s=self.now_s,
            probes=self.probes,
            losses_s=self.losses_s,
        )

    def advance(self, now_s: float) -> None:
        """Notes the current time and forgets old outcomes."""
        self.now_s = max(self.now_s, now_s)
        while self.recent and self.now_s - self.recent[0].at_s > RECENT_S:
            self.recent.popleft()

    def set_usual_speed(self, speed: float) -> None:
        """Sets the speed by which the target is judged, within bounds."""
        if not self.suspect:
            self.usual_speed = min(1.0, max(MIN_USUAL_SPEED, speed))

    def probe_allowed(self) -> bool:
        """Returns whether a probe may start at a suspect target now."""
        return self.now_s >= self.probes.due_s

    def record_start(self, key: tuple[str, int]) -> None:
        """Notes the start of a run, which is a probe if there is a doubt."""
        if self.suspect:
            self.probe = key

    def record_loss(self) -> None:
        """Notes that the target can't be reached or is gone unexpectedly."""
        limit_s = self.now_s - probation.FLAP_MEMORY_S
        self.losses_s = [x for x in self.losses_s if x > limit_s]
        self.losses_s.append(self.now_s)
        self.probe = None
        if len(self.losses_s) >= FLAP_LOSSES:
            self._doubt(SuspectReason.FLAPPING)

    def record_success(
        self, key: tuple[str, int], job: str, run_s: float, expected_s: float
    ) -> None:
        """Records a successful run, which clears the failures.

        A suspicion ends by probes only. Runs that have begun before it may
        still succeed. A probe that was too short for its speed or progress to
        be seen was neither slow nor stalled.

        Args:
            key: Task and number of the run.
            job: Key of its job.
            run_s: Run time in seconds.
            expected_s: Expected run time in seconds.
        """
        self.failed_jobs.clear()
        speed = None
        if run_s >= MIN_SPEED_AGE_S and 0.0 < expected_s < math.inf:
            speed = expected_s / run_s
        self.recent.append(Outcome(self.now_s, job, True, speed))
        if key != self.probe:
            return
        self.probe = None
        match self.suspect_reason:
            case (
                SuspectReason.FAILING
                | SuspectReason.FLAPPING
                | SuspectReason.STALLED
            ):
                self._probe_passed()
            case SuspectReason.SLOW if run_s < MIN_SPEED_AGE_S:
                self._probe_passed()
            case SuspectReason.SLOW if speed is not None:
                self._judge_speed(speed)

    def record_failure(self, key: tuple[str, int], job: str) -> None:
        """Records a failed run of a job.

        The target becomes suspect after `FAILED_JOBS_LIMIT` different jobs, in
        a row or as a large share of the recent outcomes. One that is slow may
        be in use, so its failures count as well.
        """
        if self.suspect and key == self.probe:
            self.probe = None
            self.probes.failed(self.now_s)
        if self.suspect_reason not in (SuspectReason.NONE, SuspectReason.SLOW):
            return
        self.failed_jobs.add(job)
        self.recent.append(Outcome(self.now_s, job, False))
        if len(self.failed_jobs) >= FAILED_JOBS_LIMIT or self._fails_often():
            self._doubt(SuspectReason.FAILING)

    def record_refusal(self, key: tuple[str, int]) -> None:
        """Records a start that the target refused as unhealthy.

        No job is the cause of that, so each refusal counts like a failure of
        another job.
        """
        self.record_failure(key, f"{key[0]} {key[1]}")

    def _fails_often(self) -> bool:
        """Returns whether a large share of the recent outcomes are failures."""
        failed = [x.job for x in self.recent if not x.done]
        return len(set(failed)) >= FAILED_JOBS_LIMIT and len(
            failed
        ) >= FAILED_SHARE * len(self.recent)

    def update_stalls(self, stalled: int, progressing: int) -> None:
        """Updates the state with the number of stalled and progressing runs."""
        if self.suspect_reason is SuspectReason.STALLED:
            if progressing:
                self._probe_passed()
            elif stalled:
                self.probes.failed(self.now_s)
        elif stalled >= STALLED_RUNS_LIMIT and not progressing:
            self._doubt(SuspectReason.STALLED)

    def update_speed(self, runs: list[RunProgress]) -> None:
        """Updates the state with the speed of the active runs.

        If they are of too few jobs, the runs that ended last are added.
        """
        jobs = {x.job: x.relative_speed for x in runs if x.conclusive}
        if self.suspect_reason is SuspectReason.SLOW:
            if jobs:
                self._judge_speed(statistics.median(jobs.values()))
            return
        for outcome in reversed(self.recent):
            if len(jobs) >= MIN_SPEED_JOBS:
                break
            if outcome.relative_speed is not None:
                jobs.setdefault(outcome.job, outcome.relative_speed)
        if len(jobs) >= MIN_SPEED_JOBS:
            self.relative_speed = statistics.median(jobs.values())
            if self.relative_speed < SLOW_SPEED * self.usual_speed:
                self._doubt(SuspectReason.SLOW)

    def _judge_speed(self, speed: float) -> None:
        """Judges a slow target by the speed of a probe."""
        if speed >= RECOVERED_SPEED * self.usual_speed:
            self._probe_passed()
        else:
            self.probes.failed(self.now_s)

    def _doubt(self, reason: SuspectReason) -> None:
        """Begins the use for probes only."""
        if not self.suspect:
            self.probes.begin(self.now_s)
        self.suspect_reason = reason

    def _probe_passed(self) -> None:
        """Ends the use for probes only after enough of them have passed."""
        if self.probes.passed(self.now_s):
            self.suspect_reason = SuspectReason.NONE
            self.failed_jobs.clear()
            # They stem from before the recovery.
            self.recent.clear()
