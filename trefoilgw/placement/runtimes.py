"""Estimates of the run time of each kind of task."""

import attrs

# Weight of a new sample in the moving average after the warm-up. Run times of
# a kind vary by a factor of 100, so a single sample must have little effect.
SAMPLE_WEIGHT = 0.02
# Number of initial samples over which the arithmetic mean is used instead.
WARM_UP_SAMPLES = 50
# Run time in seconds assumed for a kind without a declared run time or sample.
DEFAULT_RUN_TIME_S = 0.4


@attrs.define
class RunTime:
    """Estimated run time of one kind.

    Attributes:
        mean_s: Mean run time in seconds.
        samples: Number of measured run times; 0 while the mean is the declared
            or default value.
    """

    mean_s: float = DEFAULT_RUN_TIME_S
    samples: int = 0

    def observe(self, run_s: float) -> None:
        """Adds a measured run time in seconds to the mean."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        if self.samples > WARM_UP_SAMPLES:
            weight = SAMPLE_WEIGHT
        self.mean_s += weight * (run_s - self.mean_s)


@attrs.define
class RunTimes:
    """Estimated run times of all kinds.

    Attributes:
        kinds: Estimate by kind.
    """

    kinds: dict[str, RunTime] = attrs.field(factory=dict)

    def declare_run_time(self, kind: str, run_time_s: float) -> None:
        """Sets the initial estimate of a kind.

        Has no effect once a run time of the kind was measured, or if
        `run_time_s` is not positive.
        """
        run_time = self.kinds.setdefault(kind, RunTime())
        if not run_time.samples and run_time_s > 0.0:
            run_time.mean_s = run_time_s

    def observe(self, kind: str, run_s: float) -> float:
        """Adds a measured run time to the mean of its kind.

        Returns:
            Ratio of the run time to the mean before it; 1 for the first
            sample of a kind.
        """
        run_time = self.kinds.setdefault(kind, RunTime())
        ratio = run_s / run_time.mean_s if run_time.samples else 1.0
        run_time.observe(run_s)
        return ratio

    def run_time_s(self, kind: str) -> float:
        """Returns the estimated mean run time of a kind in seconds."""
        run_time = self.kinds.get(kind)
        return run_time.mean_s if run_time else DEFAULT_RUN_TIME_S
