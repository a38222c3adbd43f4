"""Run times learned per queue.

Two things tell of a task's run time before it runs. Callers declare a time
that is about 40% off. They also state how long they wait for the answer, and
callers of longer work wait longer. For each a linear regression is updated
with each run, on logarithms for the declared time, since run times of one queue
spread like a lognormal distribution. Whichever was less wrong lately is used.
"""

import math

import attrs

# Expected run time of a queue about which nothing is known.
DEFAULT_RUN_S = 0.4
# Weight of a new run once enough were seen.
WEIGHT = 0.01
# The declared time alone is believed until this many runs were seen.
WARM_UP_RUNS = 20
MIN_RUN_S = 0.001
# Mean error of the logarithm before any run was seen.
INITIAL_ERROR = 0.33
# A caller that submits again has less patience left, which says nothing of the
# run time. It is recognised if the two estimates differ by this factor.
MAX_ESTIMATE_RATIO = 3.0


@attrs.frozen
class Estimate:
    """An expected run time.

    Attributes:
        run_s: Expected run time in seconds.
        error: Mean error of the logarithms of such estimates.
    """

    run_s: float
    error: float


@attrs.define
class Regression:
    """Moving linear regression of one figure on another.

    Attributes:
        runs: Pairs seen.
        error: Mean error of the logarithm of what was predicted.
    """

    runs: int = 0
    error: float = INITIAL_ERROR
    _mean_x: float = 0.0
    _mean_y: float = 0.0
    _variance_x: float = 0.0
    _covariance: float = 0.0

    def observe(self, x: float, y: float) -> None:
        """Takes in one pair."""
        self.runs += 1
        weight = max(WEIGHT, 1.0 / self.runs)
        step_x = x - self._mean_x
        self._mean_x += weight * step_x
        rest_x = x - self._mean_x
        self._mean_y += weight * (y - self._mean_y)
        self._variance_x += weight * (step_x * rest_x - self._variance_x)
        rest_y = y - self._mean_y
        self._covariance += weight * (step_x * rest_y - self._covariance)

    def record_error(self, predicted_s: float, run_s: float) -> None:
        """Compares a run with what was predicted for it."""
        ratio = max(predicted_s, MIN_RUN_S) / max(run_s, MIN_RUN_S)
        self.error += WEIGHT * (abs(math.log(ratio)) - self.error)

    def predict(self, x: float) -> float:
        """Returns the expected second figure."""
        slope = 0.0
        if self._variance_x > 0.0:
            slope = self._covariance / self._variance_x
        slope = min(1.0, max(0.0, slope))
        return self._mean_y + slope * (x - self._mean_x)


@attrs.define
class QueueTimes:
    """What is learned of the run times of one queue.

    Attributes:
        by_declared: Logarithm of run times by that of declared times.
        by_caller_wait: Run times by the time that callers wait, in seconds.
    """

    by_declared: Regression = attrs.field(factory=Regression)
    by_caller_wait: Regression = attrs.field(factory=Regression)

    def observe(
        self, declared_s: float, caller_wait_s: float | None, run_s: float
    ) -> None:
        """Takes in one run."""
        declared = self._from_declared(declared_s)
        stated = self._from_caller_wait(caller_wait_s)
        if self.by_declared.runs >= WARM_UP_RUNS:
            self.by_declared.record_error(declared, run_s)
        self.by_declared.observe(
            math.log(max(declared_s, MIN_RUN_S)),
            math.log(max(run_s, MIN_RUN_S)),
        )
        if caller_wait_s is None:
            return
        if stated is not None:
            if _disagree(stated, declared):
                return
            self.by_caller_wait.record_error(stated, run_s)
        self.by_caller_wait.observe(caller_wait_s, run_s)

    def estimate(
        self, declared_s: float, caller_wait_s: float | None
    ) -> Estimate:
        """Returns the expected run time."""
        if self.by_declared.runs < WARM_UP_RUNS:
            return Estimate(declared_s, INITIAL_ERROR)
        declared = self._from_declared(declared_s)
        stated = self._from_caller_wait(caller_wait_s)
        if (
            stated is None
            or _disagree(stated, declared)
            or self.by_caller_wait.error >= self.by_declared.error
        ):
            return Estimate(declared, self.by_declared.error)
        return Estimate(stated, self.by_caller_wait.error)

    def _from_declared(self, declared_s: float) -> float:
        """Returns the run time expected for a declared one."""
        x = math.log(max(declared_s, MIN_RUN_S))
        return math.exp(self.by_declared.predict(x))

    def _from_caller_wait(self, caller_wait_s: float | None) -> float | None:
        """Returns the run time expected by the caller's patience, if any."""
        if caller_wait_s is None or self.by_caller_wait.runs < WARM_UP_RUNS:
            return None
        return max(MIN_RUN_S, self.by_caller_wait.predict(caller_wait_s))


def _disagree(one_s: float, other_s: float) -> bool:
    """Returns whether two estimates can't be of the same task."""
    ratio = max(one_s, MIN_RUN_S) / max(other_s, MIN_RUN_S)
    return not 1.0 / MAX_ESTIMATE_RATIO <= ratio <= MAX_ESTIMATE_RATIO


@attrs.define
class RunTimes:
    """Learned run times by queue."""

    queues: dict[str, QueueTimes] = attrs.field(factory=dict)

    def observe(
        self,
        queue: str,
        declared_s: float,
        run_s: float,
        caller_wait_s: float | None = None,
    ) -> None:
        """Takes in one run that ended as done."""
        times = self.queues.setdefault(queue, QueueTimes())
        times.observe(declared_s or DEFAULT_RUN_S, caller_wait_s, run_s)

    def estimate(
        self, queue: str, declared_s: float, caller_wait_s: float | None = None
    ) -> Estimate:
        """Returns the expected run time of a task.

        Args:
            queue: Its queue.
            declared_s: What the caller declared, 0 if nothing.
            caller_wait_s: How long the caller waits, None if it doesn't say.
        """
        declared_s = declared_s or DEFAULT_RUN_S
        known = self.queues.get(queue)
        if known is None:
            return Estimate(declared_s, INITIAL_ERROR)
        return known.estimate(declared_s, caller_wait_s)
