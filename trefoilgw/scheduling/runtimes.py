"""Estimation of run times per queue.

Two inputs predict the run time of a task. Callers declare a run time, which is
about 40% off. They also state how long they wait for the answer, and callers
of longer work wait longer. A linear regression for each input is updated with
every run. The one for the declared time uses logarithms, since the run times of
a queue follow roughly a lognormal distribution. The estimate comes from the
regression with the smaller recent error.
"""

import math

import attrs

from trefoilgw.work import run_limits

# Assumed run time if the caller declares none.
DEFAULT_RUN_S = 0.4
# Weight of a new run in the moving averages; the first runs weigh more.
RUN_WEIGHT = 0.01
# The declared time is used unchanged until this many runs were observed.
WARM_UP_RUNS = 20
MIN_RUN_S = 0.001
# A longer declared time counts as this one. Squares and exponentials of much
# longer ones have no floating-point value.
MAX_DECLARED_S = 86_400.0
# Mean error of the logarithm that is assumed before any run was observed.
INITIAL_ERROR = run_limits.TYPICAL_ERROR
# Ratio of the two estimates above which the waiting time is ignored: a caller
# that submits again has less time left, which says nothing about the run time.
MAX_ESTIMATE_RATIO = 3.0


@attrs.frozen
class Estimate:
    """An estimated run time.

    Attributes:
        run_s: Expected run time in seconds.
        error: Mean absolute error of the logarithm of such estimates.
    """

    run_s: float
    error: float


@attrs.define
class Regression:
    """Linear regression of y on x with exponentially weighted averages.

    Attributes:
        runs: Number of observed pairs.
        error: Mean absolute error of the logarithm of the predictions.
    """

    runs: int = 0
    error: float = INITIAL_ERROR
    _mean_x: float = 0.0
    _mean_y: float = 0.0
    _variance_x: float = 0.0
    _covariance: float = 0.0

    def observe(self, x: float, y: float) -> None:
        """Updates the averages with one pair."""
        self.runs += 1
        weight = max(RUN_WEIGHT, 1.0 / self.runs)
        step_x = x - self._mean_x
        self._mean_x += weight * step_x
        rest_x = x - self._mean_x
        self._mean_y += weight * (y - self._mean_y)
        self._variance_x += weight * (step_x * rest_x - self._variance_x)
        rest_y = y - self._mean_y
        self._covariance += weight * (step_x * rest_y - self._covariance)

    def record_error(self, predicted_s: float, run_s: float) -> None:
        """Updates the error with a predicted and an actual run time."""
        ratio = max(predicted_s, MIN_RUN_S) / max(run_s, MIN_RUN_S)
        self.error += RUN_WEIGHT * (abs(math.log(ratio)) - self.error)

    def predict(self, x: float) -> float:
        """Returns the expected y for x, with a slope limited to 0 to 1."""
        slope = 0.0
        if self._variance_x > 0.0:
            slope = self._covariance / self._variance_x
        slope = min(1.0, max(0.0, slope))
        return self._mean_y + slope * (x - self._mean_x)


@attrs.define
class QueueTimes:
    """Run time regressions of one queue.

    Attributes:
        by_declared: Logarithm of the run time by that of the declared time.
        by_caller_wait: Run time by the time that the caller waits, in seconds.
    """

    by_declared: Regression = attrs.field(factory=Regression)
    by_caller_wait: Regression = attrs.field(factory=Regression)

    def observe(
        self, declared_s: float, caller_wait_s: float | None, run_s: float
    ) -> None:
        """Updates the regressions with one completed run.

        A waiting time that contradicts the declared time is ignored.
        """
        from_declared = self._from_declared(declared_s)
        from_wait = self._from_caller_wait(caller_wait_s)
        if self.by_declared.runs >= WARM_UP_RUNS:
            self.by_declared.record_error(from_declared, run_s)
        self.by_declared.observe(
            math.log(max(declared_s, MIN_RUN_S)),
            math.log(max(run_s, MIN_RUN_S)),
        )
        if caller_wait_s is None:
            return
        if from_wait is not None:
            if _disagree(from_wait, from_declared):
                return
            self.by_caller_wait.record_error(from_wait, run_s)
        self.by_caller_wait.observe(caller_wait_s, run_s)

    def estimate(
        self, declared_s: float, caller_wait_s: float | None
    ) -> Estimate:
        """Returns the estimate of the regression with the smaller error."""
        if self.by_declared.runs < WARM_UP_RUNS:
            return Estimate(declared_s, INITIAL_ERROR)
        from_declared = self._from_declared(declared_s)
        from_wait = self._from_caller_wait(caller_wait_s)
        if (
            from_wait is None
            or _disagree(from_wait, from_declared)
            or self.by_caller_wait.error >= self.by_declared.error
        ):
            return Estimate(from_declared, self.by_declared.error)
        return Estimate(from_wait, self.by_caller_wait.error)

    def _from_declared(self, declared_s: float) -> float:
        """Returns the run time estimated from the declared one."""
        x = math.log(max(declared_s, MIN_RUN_S))
        return math.exp(self.by_declared.predict(x))

    def _from_caller_wait(self, caller_wait_s: float | None) -> float | None:
        """Returns the run time estimated from the caller's waiting time.

        Returns None if it is unknown or too few runs were observed.
        """
        if caller_wait_s is None or self.by_caller_wait.runs < WARM_UP_RUNS:
            return None
        return max(MIN_RUN_S, self.by_caller_wait.predict(caller_wait_s))


def _usable_declared_s(declared_s: float) -> float:
    """Returns a declared run time, within bounds and never 0."""
    return min(MAX_DECLARED_S, declared_s) or DEFAULT_RUN_S


def _disagree(one_s: float, other_s: float) -> bool:
    """Returns whether two estimates differ by too large a factor."""
    ratio = max(one_s, MIN_RUN_S) / max(other_s, MIN_RUN_S)
    return not 1.0 / MAX_ESTIMATE_RATIO <= ratio <= MAX_ESTIMATE_RATIO


@attrs.define
class RunTimes:
    """Run time estimation for all queues.

    Attributes:
        queues: Regressions by name of the queue.
    """

    queues: dict[str, QueueTimes] = attrs.field(factory=dict)

    def observe(
        self,
        queue: str,
        declared_s: float,
        run_s: float,
        caller_wait_s: float | None = None,
    ) -> None:
        """Updates the regressions of a queue with one completed run."""
        times = self.queues.setdefault(queue, QueueTimes())
        times.observe(_usable_declared_s(declared_s), caller_wait_s, run_s)

    def estimate(
        self, queue: str, declared_s: float, caller_wait_s: float | None = None
    ) -> Estimate:
        """Returns the estimated run time of a task.

        Args:
            queue: Name of the task's queue.
            declared_s: Run time declared by the caller, 0 if none.
            caller_wait_s: How long the caller waits, None if unknown.
        """
        declared_s = _usable_declared_s(declared_s)
        known = self.queues.get(queue)
        if known is None:
            return Estimate(declared_s, INITIAL_ERROR)
        return known.estimate(declared_s, caller_wait_s)
