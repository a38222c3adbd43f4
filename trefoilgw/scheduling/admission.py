"""Whether a submission can still be served in time.

Load pattern: bursts of long or of urgent work at one to three times the room.
Work that is admitted and then served late earns little and takes the room of
work that could have been served in time, so what can't start in time is
rejected when it arrives.

The wait is predicted from the work ahead and from the rate at which this
scheduler lately got room while work waited, which reflects what the others
take. More urgent work that is yet to come goes first as well; its rate is
learned per queue.
"""

import math

import attrs

# Time over which rates are learned.
RATE_WINDOW_S = 1.5
# The fair share counts like this many seconds of measured backlog.
PRIOR_S = 0.5
# Longest wait that is predicted; a caller comes back before that.
WAIT_LIMIT_S = 30.0


@attrs.define
class GrantRate:
    """Rate at which room was got while work waited.

    Attributes:
        granted: Work that got room, in millicore-seconds, decaying.
        backlog_s: Seconds with waiting work, decaying alike.
    """

    granted: float = 0.0
    backlog_s: float = 0.0

    def record(self, work: float) -> None:
        """Notes work that got room while other work waited."""
        self.granted += work

    def pass_time(self, elapsed_s: float) -> None:
        """Notes a time with waiting work."""
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self.granted *= decay
        self.backlog_s = self.backlog_s * decay + elapsed_s

    def millicores(self, share: float) -> float:
        """Returns the rate in millicore-seconds a second.

        Args:
            share: Rate to expect where nothing was measured.
        """
        return (self.granted + share * PRIOR_S) / (self.backlog_s + PRIOR_S)


@attrs.define
class ArrivalRate:
    """Rate of admitted work of one queue.

    Attributes:
        work: Admitted work in millicore-seconds, decaying.
        since_s: Time of the last decay.
        slack_s: Mean slack of its jobs in seconds.
    """

    work: float = 0.0
    since_s: float = 0.0
    slack_s: float = 0.0

    def record(self, work: float, slack_s: float, now_s: float) -> None:
        """Notes an admitted job."""
        self.decay(now_s)
        self.work += work
        self.slack_s += 0.05 * (slack_s - self.slack_s)

    def decay(self, now_s: float) -> None:
        """Lets old work count less."""
        elapsed_s = max(0.0, now_s - self.since_s)
        self.work *= math.exp(-elapsed_s / RATE_WINDOW_S)
        self.since_s = now_s

    def millicores(self, now_s: float) -> float:
        """Returns the rate in millicore-seconds a second."""
        self.decay(now_s)
        return self.work / RATE_WINDOW_S


def predicted_wait_s(work: float, rate: float, urgent_rate: float) -> float:
    """Returns the seconds until all of some work has got room.

    Args:
        work: Work ahead and of the job itself, in millicore-seconds.
        rate: Rate at which room is got, in millicore-seconds a second.
        urgent_rate: Part of it that more urgent work to come will take.
    """
    if work <= 0.0:
        return 0.0
    left = rate - urgent_rate
    if left <= 0.0:
        return WAIT_LIMIT_S
    return min(WAIT_LIMIT_S, work / left)
