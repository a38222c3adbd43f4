"""Whether a submission can still be served in time.

Load pattern: bursts of long or of urgent work at one to three times the room.
Work that is admitted and then served late earns little and takes the room of
work that could have been served in time, so what can't start in time is
rejected when it arrives.

Freed room goes to the most urgent work of all schedulers. The wait is thus the
room that all more urgent work needs, divided by the rate at which room is
freed everywhere; the runners report both. It is not in room times run time:
while long runs fill the room, little of it comes free, however much work they
are. More urgent work that is yet to come goes first as well; its rate is
learned.
"""

import math

import attrs

# Time over which rates are learned.
RATE_WINDOW_S = 1.0
# Longest wait that is predicted; a caller comes back before that.
MAX_PREDICTED_WAIT_S = 30.0
# Room is freed at least at the rate of runs that last this long on average.
MAX_MEAN_RUN_S = 2.0
# Urgent work to come is not expected to take more than this share of the room
# that comes free: below full load it takes all of it only now and then.
MAX_URGENT_SHARE = 0.75
# Weight of a new job in the mean slack of its queue.
SLACK_WEIGHT = 0.05


@attrs.define
class ArrivalRate:
    """Rate at which admitted work of one queue asks for room.

    Attributes:
        millicores: Room asked for, decaying.
        since_s: Time of the last decay.
        slack_s: Mean slack of its jobs in seconds.
    """

    millicores: float = 0.0
    since_s: float = 0.0
    slack_s: float = 0.0

    def record(self, millicores: int, slack_s: float, now_s: float) -> None:
        """Notes an admitted job."""
        self.decay(now_s)
        self.millicores += millicores
        self.slack_s += SLACK_WEIGHT * (slack_s - self.slack_s)

    def decay(self, now_s: float) -> None:
        """Lets old arrivals count less."""
        elapsed_s = max(0.0, now_s - self.since_s)
        self.millicores *= math.exp(-elapsed_s / RATE_WINDOW_S)
        self.since_s = now_s

    def rate(self, now_s: float) -> float:
        """Returns the room asked for a second, in millicores."""
        self.decay(now_s)
        return self.millicores / RATE_WINDOW_S


def predict_wait_s(millicores: float, rate: float, urgent_rate: float) -> float:
    """Returns the seconds until all of some work has got room.

    Args:
        millicores: Room for the work ahead and the job itself.
        rate: Room that is freed a second, in millicores.
        urgent_rate: Part of it that more urgent work to come will take.
    """
    if millicores <= 0.0:
        return 0.0
    left = rate - min(urgent_rate, MAX_URGENT_SHARE * rate)
    if left <= 0.0:
        return MAX_PREDICTED_WAIT_S
    return min(MAX_PREDICTED_WAIT_S, millicores / left)
