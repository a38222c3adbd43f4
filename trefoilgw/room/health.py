"""Health of a target, derived from the outcome and progress of its runs.

Load patterns: a target that fails all runs immediately always has free
capacity and attracts all waiting work; one whose runs stall or are slow stays
full. Both kinds pass their status checks.
"""

import enum
import statistics

import attrs

# Consecutive failed runs, each of a different job, that make a target suspect.
# Jobs that can never succeed fail everywhere, so each job counts once.
FAILED_JOBS_LIMIT = 3
# Runs that must be stalled at the same time, while no other progresses.
STALLED_RUNS_LIMIT = 2
# A run is stalled if its progress, which has a resolution of 1%, has not
# increased for this time plus this share of its expected run time.
STALL_S = 0.2
STALL_SHARE = 0.1


# Speed, relative to the expected one, below which a target counts as slow, and
# from which it has recovered. Half of the targets are 1.3 times slower than
# expected, which must not count as slow.
SLOW_SPEED = 0.4
RECOVERED_SPEED = 0.6
# Jobs needed for a median speed of the target. The expected run time of a job
# may be wrong by a factor of three, equally for all of its runs.
MIN_SPEED_JOBS = 3
# The speed of runs below this age or progress is not significant.
MIN_SPEED_AGE_S = 0.1
MIN_SPEED_PROGRESS = 0.03
# A run is restarted elsewhere if the rest of it takes more than this many times
# as long as a whole run on a healthy target.
RESTART_GAIN = 1.5


class SuspectReason(enum.Enum):
    """Why a target is used for probes only."""

    NONE = "none"
    FAILING = "failing"
    STALLED = "stalled"
    SLOW = "slow"


def stall_limit_s(expected_s: float) -> float:
    """Returns the time without progress after which a run is stalled.

    Args:
        expected_s: Expected run time in seconds.
    """
    return STALL_S + STALL_SHARE * expected_s


@attrs.frozen
class RunProgress:
    """Progress of one run against its expected run time.

    Attributes:
        job: Key of its job.
        elapsed_s: Seconds since its start.
        expected_s: Expected run time in seconds.
        progress: Share of its work that is done, 0 to 1.
    """

    job: str
    elapsed_s: float
    expected_s: float
    progress: float

    @property
    def conclusive(self) -> bool:
        """Whether the run is far enough on for its speed to be significant."""
        return (
            self.elapsed_s >= MIN_SPEED_AGE_S
            and self.progress >= MIN_SPEED_PROGRESS
        )

    @property
    def relative_speed(self) -> float:
        """Work done per second, relative to the expected rate."""
        return self.progress * self.expected_s / self.elapsed_s

    def restart_is_faster(self, target_speed: float) -> bool:
        """Returns whether a restart on a healthy target would end sooner.

        Args:
            target_speed: Relative speed of the target that it runs on.
        """
        total_s = self.elapsed_s / self.progress
        rest_s = total_s - self.elapsed_s
        return rest_s > RESTART_GAIN * total_s * target_speed


@attrs.define
class TargetHealth:
    """Health of a target, updated with the results of its runs.

    Attributes:
        suspect_reason: Why it is used for probes only.
        failed_jobs: Jobs whose runs failed since the last success.
        relative_speed: Work done per second, relative to the expected rate;
            the median over jobs at the last update with enough of them. It is
            not updated while the target is suspect for being slow.
    """

    suspect_reason: SuspectReason = SuspectReason.NONE
    failed_jobs: set[str] = attrs.field(factory=set)
    relative_speed: float = 1.0

    @property
    def suspect(self) -> bool:
        """Whether the target is used for probes only."""
        return self.suspect_reason is not SuspectReason.NONE

    def record_success(self) -> None:
        """Records a successful run, which clears the failures."""
        self.failed_jobs.clear()
        if self.suspect_reason is SuspectReason.FAILING:
            self.suspect_reason = SuspectReason.NONE

    def record_failure(self, job: str) -> None:
        """Records a failed run of a job.

        The target becomes suspect after `FAILED_JOBS_LIMIT` different jobs.
        """
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= FAILED_JOBS_LIMIT:
            self.suspect_reason = SuspectReason.FAILING

    def update_stalls(self, stalled: int, progressing: int) -> None:
        """Updates the state with the number of stalled and progressing runs."""
        if progressing and self.suspect_reason is SuspectReason.STALLED:
            self.suspect_reason = SuspectReason.NONE
        elif stalled >= STALLED_RUNS_LIMIT and not progressing:
            self.suspect_reason = SuspectReason.STALLED

    def update_speed(self, runs: list[RunProgress]) -> None:
        """Updates the state with the speed of the active runs."""
        jobs = {x.job: x.relative_speed for x in runs if x.conclusive}
        speeds = list(jobs.values())
        if self.suspect_reason is SuspectReason.SLOW:
            if speeds and statistics.median(speeds) >= RECOVERED_SPEED:
                self.suspect_reason = SuspectReason.NONE
        elif len(speeds) >= MIN_SPEED_JOBS:
            self.relative_speed = statistics.median(speeds)
            if self.relative_speed < SLOW_SPEED:
                self.suspect_reason = SuspectReason.SLOW
