"""Whether a target still does what it is told.

Load patterns: a target that fails everything at once is always free and draws
all waiting work; one on which runs stand still or crawl keeps its room filled.
All pass their status checks.
"""

import enum
import statistics

import attrs

# Failed runs in a row, each of another job, that make a target suspect. Jobs
# that can never be done fail everywhere, so runs of one job count once.
FAILED_JOBS_LIMIT = 3
# Runs that must stand still at once, while no other goes on.
STALLED_RUNS_LIMIT = 2
# A run stands still if its progress, which has a resolution of 1%, has not
# grown for this time and this share of its expected time.
STALL_S = 0.2
STALL_SHARE = 0.1


# Pace, relative to the expected one, below which a target counts as slow, and
# above which it is sound again; half of the room's targets are 1.3 times slow.
SLOW_PACE = 0.4
SOUND_PACE = 0.6
# Jobs whose median pace is that of the target. The expected time of a job may
# be off by a factor of three, for all of its runs alike.
PACE_JOBS_LEAST = 3
# Runs younger than this tell nothing of the pace.
PACE_AGE_S = 0.1
PACE_PROGRESS = 0.03
# A run is worth starting anew elsewhere if its rest takes this much longer.
RESTART_GAIN = 1.5


class Doubt(enum.Enum):
    """Why a target is used for probes only."""

    NONE = "none"
    FAILING = "failing"
    STALLED = "stalled"
    SLOW = "slow"


def stall_limit_s(expected_s: float) -> float:
    """Returns the time without progress after which a run stands still."""
    return STALL_S + STALL_SHARE * expected_s


@attrs.frozen
class Pace:
    """How fast one run goes on.

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
    def telling(self) -> bool:
        """Whether the run is old enough to tell the pace."""
        return self.elapsed_s >= PACE_AGE_S and self.progress >= PACE_PROGRESS

    @property
    def relative(self) -> float:
        """Work done a second, relative to the expected rate."""
        return self.progress * self.expected_s / self.elapsed_s

    def restart_pays(self, target_pace: float) -> bool:
        """Returns whether a sound target would end it sooner from the start.

        Args:
            target_pace: Pace of the target that it runs on.
        """
        total_s = self.elapsed_s / self.progress
        rest_s = total_s - self.elapsed_s
        return rest_s > RESTART_GAIN * total_s * target_pace


@attrs.define
class Health:
    """Judges a target by its runs.

    Attributes:
        doubt: Why it is used for probes only.
        failed_jobs: Jobs whose runs failed since the last success.
        pace: Work done a second, relative to what is expected.
    """

    doubt: Doubt = Doubt.NONE
    failed_jobs: set[str] = attrs.field(factory=set)
    pace: float = 1.0

    @property
    def suspect(self) -> bool:
        """Whether the target is used for probes only."""
        return self.doubt is not Doubt.NONE

    def done(self) -> None:
        """Notes a success."""
        self.failed_jobs.clear()
        if self.doubt is Doubt.FAILING:
            self.doubt = Doubt.NONE

    def failed(self, job: str) -> None:
        """Notes a failed run of a job."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= FAILED_JOBS_LIMIT:
            self.doubt = Doubt.FAILING

    def progress(self, stalled: int, going_on: int) -> None:
        """Notes how many runs stand still and how many go on."""
        if going_on and self.doubt is Doubt.STALLED:
            self.doubt = Doubt.NONE
        elif stalled >= STALLED_RUNS_LIMIT and not going_on:
            self.doubt = Doubt.STALLED

    def paced(self, paces: list[Pace]) -> None:
        """Learns from the pace of the runs that go on."""
        jobs = {x.job: x.relative for x in paces if x.telling}
        found = list(jobs.values())
        if self.doubt is Doubt.SLOW:
            if found and statistics.median(found) >= SOUND_PACE:
                self.doubt = Doubt.NONE
        elif len(found) >= PACE_JOBS_LEAST:
            self.pace = statistics.median(found)
            if self.pace < SLOW_PACE:
                self.doubt = Doubt.SLOW
