"""Run times learned per queue.

Callers declare run times that are about 40% off. The expected time of a task
is a linear regression of the logarithm of the run time on that of the declared
time, updated with each run; run times of one queue spread like a lognormal
distribution, so that logarithms weigh a run of twice and of half the time
alike.
"""

import math

import attrs

# Expected run time of a queue about which nothing is known.
FIRST_GUESS_S = 0.4
# Weight of a new run once enough were seen.
WEIGHT = 0.01
# The declared time alone is believed until this many runs were seen.
WARM_UP_RUNS = 20
SHORTEST_S = 0.001


@attrs.define
class QueueTimes:
    """Moving moments of the logarithms of declared and measured times."""

    runs: int = 0
    declared_mean: float = 0.0
    measured_mean: float = 0.0
    declared_variance: float = 0.0
    covariance: float = 0.0

    def observe(self, declared_s: float, run_s: float) -> None:
        """Takes in one run."""
        declared = math.log(max(declared_s, SHORTEST_S))
        measured = math.log(max(run_s, SHORTEST_S))
        self.runs += 1
        weight = max(WEIGHT, 1.0 / self.runs)
        declared_step = declared - self.declared_mean
        self.declared_mean += weight * declared_step
        declared_rest = declared - self.declared_mean
        self.measured_mean += weight * (measured - self.measured_mean)
        self.declared_variance += weight * (
            declared_step * declared_rest - self.declared_variance
        )
        measured_rest = measured - self.measured_mean
        self.covariance += weight * (
            declared_step * measured_rest - self.covariance
        )

    def expected_s(self, declared_s: float) -> float:
        """Returns the expected run time in seconds."""
        slope = 0.0
        if self.declared_variance > 0.0:
            slope = self.covariance / self.declared_variance
        slope = min(1.0, max(0.0, slope))
        declared = math.log(max(declared_s, SHORTEST_S))
        return math.exp(
            self.measured_mean + slope * (declared - self.declared_mean)
        )


@attrs.define
class RunTimes:
    """Learned run times by queue."""

    queues: dict[str, QueueTimes] = attrs.field(factory=dict)

    def observe(self, queue: str, declared_s: float, run_s: float) -> None:
        """Takes in one run that ended as done."""
        times = self.queues.setdefault(queue, QueueTimes())
        times.observe(declared_s or FIRST_GUESS_S, run_s)

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Returns the expected run time of a task in seconds."""
        known = self.queues.get(queue)
        declared_s = declared_s or FIRST_GUESS_S
        if known is None or known.runs < WARM_UP_RUNS:
            return declared_s
        return known.expected_s(declared_s)
