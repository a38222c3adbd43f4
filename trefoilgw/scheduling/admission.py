"""Wait prediction for admission control.

Load pattern: bursts of long or of urgent work at one to three times the
capacity. A job that is admitted and then served late has little value and
takes capacity from jobs that could be served in time, so a job that can't
start in time is rejected on arrival.

Freed capacity goes to the most urgent work of all schedulers. The predicted
wait is therefore the capacity needed by all more urgent work, divided by the
rate at which capacity is freed on all runners; the runners report both. Work
is measured in capacity, not in capacity times run time: while long runs occupy
the capacity, little of it is freed, no matter how much work they represent.
More urgent jobs that arrive later also go first; their arrival rate is
estimated.
"""

import math

import attrs

# Time constant of the exponential decay of arrival rates; the runners average
# the rate of freed capacity over the same time.
RATE_WINDOW_S = 1.0
# Upper bound of predicted waits; callers retry before that.
MAX_PREDICTED_WAIT_S = 30.0
# The rate of freed capacity is assumed to be at least that of runs with this
# mean duration.
MAX_MEAN_RUN_S = 2.0
# Maximum share of the freed capacity that future urgent work is expected to
# take: below full load it takes all of it only occasionally.
MAX_URGENT_SHARE = 0.75
# Weight of a new job in the moving average of its queue's slack.
SLACK_WEIGHT = 0.05


@attrs.define
class ArrivalRate:
    """Decaying rate at which the admitted jobs of one queue demand capacity.

    Attributes:
        millicores: Exponentially decayed sum of the demanded capacity.
        decayed_s: Time of the last decay.
        slack_s: Moving average of the slack of the jobs in seconds.
    """

    millicores: float = 0.0
    decayed_s: float = 0.0
    slack_s: float = 0.0

    def record(self, millicores: int, slack_s: float, now_s: float) -> None:
        """Adds an admitted job to the rate and to the mean slack."""
        self.decay(now_s)
        self.millicores += millicores
        self.slack_s += SLACK_WEIGHT * (slack_s - self.slack_s)

    def decay(self, now_s: float) -> None:
        """Decays the sum to the current time."""
        elapsed_s = max(0.0, now_s - self.decayed_s)
        self.millicores *= math.exp(-elapsed_s / RATE_WINDOW_S)
        self.decayed_s = now_s

    def rate(self, now_s: float) -> float:
        """Returns the capacity demanded per second, in millicores."""
        self.decay(now_s)
        return self.millicores / RATE_WINDOW_S


def predict_wait_s(millicores: float, rate: float, urgent_rate: float) -> float:
    """Returns the predicted seconds until some work has all its capacity.

    Args:
        millicores: Capacity for the work ahead and the job itself.
        rate: Capacity freed per second, in millicores.
        urgent_rate: Part of the rate that more urgent future work will take.
    """
    if millicores <= 0.0:
        return 0.0
    available_rate = rate - min(urgent_rate, MAX_URGENT_SHARE * rate)
    if available_rate <= 0.0:
        return MAX_PREDICTED_WAIT_S
    return min(MAX_PREDICTED_WAIT_S, millicores / available_rate)
