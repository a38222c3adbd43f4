"""Upper limits of run times, from their estimates and the error of these.

The run times of a queue follow roughly a lognormal distribution, so the error
of an estimate is that of its logarithm. Scheduler and runner share the formula,
so that both come to the same result for a run.
"""

import math
import statistics

# Probability that a run ends within its limit.
CERTAINTY = 0.9
# Ratio of the standard deviation of a normal distribution to its mean absolute
# deviation.
DEVIATION_RATIO = math.sqrt(math.pi / 2.0)
# Estimates are never exact: a run time includes the calls of the target.
MIN_ERROR = 0.05
# Error that is assumed of an estimate while nothing is known of it.
TYPICAL_ERROR = 0.33
MIN_EXPECTED_S = 0.001
# Least probability that is told apart from 0, at seven standard deviations.
MIN_SURVIVAL = 1e-12
# A run beyond that is assumed to go on for this share of its age.
OVERDUE_SHARE = 0.1
_NORMAL = statistics.NormalDist()


def run_limit_s(
    expected_s: float, error: float, elapsed_s: float = 0.0
) -> float:
    """Returns the time by which a run has ended, counted from its start.

    Args:
        expected_s: Expected run time in seconds.
        error: Mean absolute error of the logarithm of such estimates.
        elapsed_s: Time that the run has taken so far; it has not ended.

    Notes:
        The probability is that of ending by then, given that the run has not
        ended so far. The limit of a run that overruns its estimate therefore
        moves on, and is never in the past.
    """
    deviation = max(error, MIN_ERROR) * DEVIATION_RATIO
    expected_s = max(expected_s, MIN_EXPECTED_S)
    survival = 1.0
    if elapsed_s > 0.0:
        score = math.log(elapsed_s / expected_s) / deviation
        survival = max(MIN_SURVIVAL, 0.5 * math.erfc(score / math.sqrt(2.0)))
    score = -_NORMAL.inv_cdf((1.0 - CERTAINTY) * survival)
    limit_s = expected_s * math.exp(deviation * score)
    return max(limit_s, elapsed_s * (1.0 + OVERDUE_SHARE))
