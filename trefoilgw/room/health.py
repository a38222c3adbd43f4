"""Whether a target still does what it is told.

Load pattern: a target that fails everything at once is always free and draws
all waiting work; one on which tasks stand still keeps its room filled. Both
pass their status checks.
"""

import attrs

# Failed runs in a row, each of another job, that make a target suspect. Jobs
# that can never be done fail everywhere, so runs of one job count once.
FAILED_JOBS_LIMIT = 3
# A run counts as standing still after this many times its expected time.
OVERDUE_FACTOR = 3.0
OVERDUE_EXTRA_S = 0.5
# Runs that must stand still, and their least share of all runs.
OVERDUE_RUNS_LIMIT = 3
OVERDUE_SHARE = 0.5


@attrs.define
class Health:
    """Judges a target by the endings of its runs.

    Attributes:
        suspect: True while it is used for probes only.
        failed_jobs: Jobs whose runs failed since the last success.
    """

    suspect: bool = False
    failed_jobs: set[str] = attrs.field(factory=set)

    def done(self) -> None:
        """Notes a success."""
        self.failed_jobs.clear()
        self.suspect = False

    def failed(self, job: str) -> None:
        """Notes a failed run of a job."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) >= FAILED_JOBS_LIMIT:
            self.suspect = True

    def check_progress(self, elapsed: list[tuple[float, float]]) -> None:
        """Suspects a target on which most runs stand still.

        Args:
            elapsed: Elapsed and expected seconds of each run.
        """
        overdue = sum(
            run_s > OVERDUE_FACTOR * expected_s + OVERDUE_EXTRA_S
            for run_s, expected_s in elapsed
        )
        if overdue >= max(OVERDUE_RUNS_LIMIT, OVERDUE_SHARE * len(elapsed)):
            self.suspect = True
