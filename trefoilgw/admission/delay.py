"""CoDel controller of the queue delay of one flow.

Decides which waiting jobs are dropped and when new jobs are refused; `core`
drops and refuses them. The algorithm is CoDel, RFC 8289, sections 4 and 5.
"""

import math

import attrs

TARGET_S = 0.05
INTERVAL_S = 0.5
# RFC 8289 recommends an interval of 10 times the target. A larger target
# lengthens the interval in proportion.
INTERVAL_TO_TARGET = INTERVAL_S / TARGET_S
# Expected wait, in targets, up to which an overloaded flow accepts new jobs.
# With a standing queue of less than one target, the controller would leave its
# dropping state and accept the flood again for a whole interval.
OVERLOAD_TARGETS = 2.0
# RFC 8289, section 5.4: a dropping state that begins within 16 intervals of
# the last one resumes at the drop rate at which that one ended.
RESUME_INTERVALS = 16.0


def target_s(job_duration_s: float) -> float:
    """Returns the target queue delay of a job in seconds.

    Args:
        job_duration_s: Time that the job's own tasks take on the credits of
            its flow, in seconds.

    Notes:
        A job of 310 tasks occupies its flow for seconds. The jobs behind it
        wait that long without any overload, so the target is 50 ms more than
        the duration of the job itself.
    """
    return TARGET_S + job_duration_s


@attrs.define
class QueueDelay:
    """CoDel controller of one flow.

    Attributes:
        above_since_s: When the delay first exceeded the target, None while it
            is below.
        dropping: True in the dropping state.
        drop_next_s: Time of the next drop.
        drops: Drop count of the current dropping state; sets the drop rate.
        last_drops: `drops` at the start of the dropping state.
    """

    above_since_s: float | None = None
    dropping: bool = False
    drop_next_s: float = 0.0
    drops: int = 0
    last_drops: int = 0

    def reset(self) -> None:
        """Resets the controller once no job of the flow waits."""
        self.above_since_s = None
        self.dropping = False

    def should_drop(
        self, waited_s: float, job_duration_s: float, now_s: float
    ) -> bool:
        """Returns whether to drop a job that reached the head of the queue.

        Updates the state of the controller; call it once per job.

        Args:
            waited_s: Seconds since the job was queued.
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
        """Returns whether to refuse a new job instead of queueing it.

        Outside the dropping state, jobs are accepted up to an expected wait
        of one interval. In the dropping state they are accepted only up to
        `OVERLOAD_TARGETS` targets, which keeps the queue from running empty.
        """
        target = target_s(job_duration_s)
        if self.dropping:
            return expected_wait_s > OVERLOAD_TARGETS * target
        return expected_wait_s > INTERVAL_TO_TARGET * target

    def _is_standing(
        self, waited_s: float, target: float, interval: float, now_s: float
    ) -> bool:
        """Returns whether the delay was above the target for an interval."""
        if waited_s < target:
            self.above_since_s = None
            return False
        if self.above_since_s is None:
            self.above_since_s = now_s
        return now_s - self.above_since_s >= interval

    def _start_dropping(self, interval: float, now_s: float) -> None:
        """Enters the dropping state."""
        new_drops = self.drops - self.last_drops
        recent = now_s - self.drop_next_s < RESUME_INTERVALS * interval
        self.drops = new_drops if recent and new_drops > 1 else 1
        self.last_drops = self.drops
        self.dropping = True
        self.drop_next_s = now_s + interval / math.sqrt(self.drops)
