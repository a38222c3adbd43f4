"""Control of the queue delay of one flow.

Decides which waiting jobs are dropped, and when new ones are refused; `core`
carries it out. Source: CoDel, RFC 8289, sections 4 and 5.
"""

import math

import attrs

TARGET_S = 0.05
INTERVAL_S = 0.5
# RFC 8289 recommends an interval of 10 times the target; both grow alike.
INTERVAL_TO_TARGET = INTERVAL_S / TARGET_S
# Standing queue, in targets, that a flow keeps while it is overloaded. Below
# one target the controller would leave its dropping state and let the flood
# in again for a whole interval.
OVERLOAD_TARGETS = 2.0
# RFC 8289, section 5.4: a dropping state that follows within 16 intervals
# starts at the rate at which the last one ended.
RESUME_INTERVALS = 16.0


def target_s(job_duration_s: float) -> float:
    """Returns the accepted queue delay of a job.

    Args:
        job_duration_s: Seconds that the job's own tasks take on the credits of
            its flow.

    Notes:
        A job of 310 tasks keeps its flow busy for seconds by itself. Its
        successors wait for that work without any overload, so the target is
        50 ms more than the job itself would take.
    """
    return TARGET_S + job_duration_s


@attrs.define
class QueueDelay:
    """State of the controller.

    Attributes:
        above_since_s: When the delay first exceeded the target, None if it
            is below.
        dropping: True while jobs are dropped.
        drop_next_s: Next drop.
        drops: Drops of this dropping state, sets their rate.
        last_drops: `drops` at the start of the dropping state.
    """

    above_since_s: float | None = None
    dropping: bool = False
    drop_next_s: float = 0.0
    drops: int = 0
    last_drops: int = 0

    def emptied(self) -> None:
        """Records that no job of the flow waits."""
        self.above_since_s = None
        self.dropping = False

    def should_drop(
        self, waited_s: float, job_duration_s: float, now_s: float
    ) -> bool:
        """Tells whether a job is dropped as it leaves the queue.

        Args:
            waited_s: Seconds since it was queued.
            job_duration_s: As for `target_s`.
            now_s: Monotonic time in seconds.
        """
        target = target_s(job_duration_s)
        interval = target * INTERVAL_TO_TARGET
        if not self._is_standing(waited_s, target, interval, now_s):
            self.dropping = False
            return False
        if not self.dropping:
            self._start_dropping(interval, now_s)
            return True
        if now_s < self.drop_next_s:
            return False
        self.drops += 1
        self.drop_next_s += interval / math.sqrt(self.drops)
        return True

    def should_refuse(
        self, expected_wait_s: float, job_duration_s: float
    ) -> bool:
        """Tells whether a new job is refused instead of queued.

        Outside the dropping state a burst of one interval is accepted. In it
        only so much that the queue doesn't run dry.
        """
        target = target_s(job_duration_s)
        if self.dropping:
            return expected_wait_s > OVERLOAD_TARGETS * target
        return expected_wait_s > INTERVAL_TO_TARGET * target

    def _is_standing(
        self, waited_s: float, target: float, interval: float, now_s: float
    ) -> bool:
        """Tells whether the delay was above the target for an interval."""
        if waited_s < target:
            self.above_since_s = None
            return False
        if self.above_since_s is None:
            self.above_since_s = now_s
        return now_s - self.above_since_s >= interval

    def _start_dropping(self, interval: float, now_s: float) -> None:
        """Enters the dropping state."""
        since = self.drops - self.last_drops
        recent = now_s - self.drop_next_s < RESUME_INTERVALS * interval
        self.drops = since if recent and since > 1 else 1
        self.last_drops = self.drops
        self.dropping = True
        self.drop_next_s = now_s + interval / math.sqrt(self.drops)
