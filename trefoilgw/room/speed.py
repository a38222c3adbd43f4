"""How fast a target is, learned from the runs that ended there.

A runner sees all ends at its target, a scheduler only those of its own runs.
The estimate is the mean logarithm of actual over expected run times. Expected
times come from the schedulers, which learn them from the same ends, so only
differences between targets have a meaning; `scheduling.speeds` takes them.

Load pattern: targets of one service differ in speed by a factor of two and
more, and a target's speed changes within a second.
"""

import math
from collections import OrderedDict

import attrs

from trefoilgw.work import slowness

# Time constant of the exponential decay of old runs.
DECAY_TIME_S = 30.0
# The same for the runs that show a change of speed.
RECENT_TIME_S = 1.0
# The mean of the recent runs replaces that of the old ones if they differ by
# this logarithm, a ratio of 1.65, and by this many standard errors.
CHANGE = 0.5
CHANGE_ERRORS = 3.0
MIN_RECENT_JOBS = 4.0
# Standard deviation of the logarithm of a run's ratio that is assumed before
# any run, and the number of jobs that it counts like. The mean is shrunk
# towards the expected time as if so many jobs had run at the expected speed.
INITIAL_DEVIATION = 0.35
PRIOR_JOBS = 4.0
# Standard error up to which an estimate is reported at first, and from which
# it is no longer reported. The gap keeps it from coming and going.
MAX_FIRST_ERROR = 0.06
MAX_ERROR = 0.24
# Share of a step by which the estimate must leave the reported one.
CHANGE_STEPS = 0.75
# Decayed number of jobs below which nothing is known.
FORGOTTEN_JOBS = 0.1
# Interval between updates; schedulers get reports about as often.
UPDATE_INTERVAL_S = 0.2
# Jobs that are remembered to recognize further runs of the same job.
REMEMBERED_JOBS = 64
# Bound of the ratio of a single run, and of its reciprocal.
MAX_RUN_RATIO = 8.0


@attrs.define
class _Mean:
    """Exponentially decaying mean of logarithms.

    Attributes:
        decay_time_s: Time constant of the decay.
        weight: Decayed number of jobs.
        total: Decayed sum of the values.
        squares: Decayed sum of their squares.
    """

    decay_time_s: float
    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, value: float, weight: float) -> None:
        """Adds a value."""
        self.weight += weight
        self.total += weight * value
        self.squares += weight * value * value

    def decay(self, elapsed_s: float) -> None:
        """Lets the values age."""
        factor = math.exp(-elapsed_s / self.decay_time_s)
        self.weight *= factor
        self.total *= factor
        self.squares *= factor

    @property
    def value(self) -> float:
        """The mean."""
        return self.total / self.weight if self.weight else 0.0

    @property
    def error(self) -> float:
        """Standard error of the mean; infinite without values."""
        if self.weight <= 0.0:
            return math.inf
        scatter = max(0.0, self.squares - self.total * self.value)
        prior = PRIOR_JOBS * INITIAL_DEVIATION**2
        variance = (scatter + prior) / (self.weight + PRIOR_JOBS)
        return math.sqrt(variance / self.weight)


@attrs.define
class SpeedEstimate:
    """Estimate of a target's slowness.

    Attributes:
        all_runs: Mean over the runs of about the last `DECAY_TIME_S`.
        recent_runs: Mean over those of about the last `RECENT_TIME_S`.
        code: The reported wire form.
        decayed_s: Time of the last decay.
        invalid_runs: Number of runs with an odd expected or actual time.
    """

    all_runs: _Mean = attrs.field(factory=lambda: _Mean(DECAY_TIME_S))
    recent_runs: _Mean = attrs.field(factory=lambda: _Mean(RECENT_TIME_S))
    code: int = slowness.UNKNOWN
    decayed_s: float = 0.0
    invalid_runs: int = 0
    _jobs: OrderedDict[str, int] = attrs.field(factory=OrderedDict)

    @property
    def log_slowness(self) -> float:
        """Logarithm of actual over expected run time, shrunk towards 0."""
        mean = self.all_runs
        return mean.total / (mean.weight + PRIOR_JOBS)

    @property
    def speed(self) -> float:
        """Speed relative to the expected one."""
        return math.exp(-self.log_slowness)

    @property
    def error(self) -> float:
        """Standard error of the logarithm; infinite without runs."""
        return self.all_runs.error

    def record(self, job: str, run_s: float, expected_s: float) -> bool:
        """Adds a run that was done.

        Args:
            job: Key of its job. All runs of a job share the error of its
                expected time, so the n-th one counts 1/n.
            run_s: Run time in seconds.
            expected_s: Expected run time in seconds.

        Returns:
            False if a time is not positive and finite; the run is ignored.
        """
        if not (0.0 < run_s < math.inf and 0.0 < expected_s < math.inf):
            self.invalid_runs += 1
            return False
        ratio = min(MAX_RUN_RATIO, max(1.0 / MAX_RUN_RATIO, run_s / expected_s))
        runs = self._jobs.pop(job, 0) + 1
        self._jobs[job] = runs
        if len(self._jobs) > REMEMBERED_JOBS:
            self._jobs.popitem(last=False)
        value = math.log(ratio)
        self.all_runs.add(value, 1.0 / runs)
        self.recent_runs.add(value, 1.0 / runs)
        return True

    def tick(self, now_s: float) -> bool:
        """Lets old runs age and updates the reported code.

        Returns:
            False if nothing was done, as `UPDATE_INTERVAL_S` is not over.
        """
        elapsed_s = max(0.0, now_s - self.decayed_s)
        if elapsed_s < UPDATE_INTERVAL_S:
            return False
        self.decayed_s = now_s
        self.all_runs.decay(elapsed_s)
        self.recent_runs.decay(elapsed_s)
        if self.all_runs.weight < FORGOTTEN_JOBS:
            self.code = slowness.UNKNOWN
            return True
        self._adopt_change()
        self._update_code()
        return True

    def forget(self) -> None:
        """Forgets all runs, as after a time in which the target was bad."""
        self.all_runs = _Mean(DECAY_TIME_S)
        self.recent_runs = _Mean(RECENT_TIME_S)
        self.code = slowness.UNKNOWN

    def _adopt_change(self) -> None:
        """Drops the old runs if the recent ones show another speed."""
        recent, known = self.recent_runs, self.all_runs
        if recent.weight < MIN_RECENT_JOBS:
            return
        step = abs(recent.value - known.value)
        if step > max(CHANGE, CHANGE_ERRORS * recent.error):
            known.weight = recent.weight
            known.total = recent.total
            known.squares = recent.squares

    def _update_code(self) -> None:
        """Updates the reported code if the estimate has clearly left it."""
        error = self.error
        if self.code == slowness.UNKNOWN:
            if error <= MAX_FIRST_ERROR:
                self.code = slowness.to_code(self.log_slowness)
            return
        if error > MAX_ERROR:
            self.code = slowness.UNKNOWN
            return
        reported = (self.code - slowness.NORMAL) * slowness.STEP
        # The reported value is bounded, the estimate may lie beyond.
        wanted = slowness.to_code(self.log_slowness)
        step = abs(self.log_slowness - reported)
        if step > max(CHANGE_STEPS * slowness.STEP, error):
            self.code = wanted
