"""Whether the tasks of a waiting job can all start in time, taken as one unit.

Load pattern: more jobs of several tasks than room. If room goes to whichever
task fits, many jobs have some tasks running and wait for the others, all end
late, and none of them can be rejected any more. A job that has not started
therefore gets no first task if its last one would start too late, unless all
its tasks fit at once; and it is rejected once its last task is expected to
start after `Job.reject_after_s`.
"""

import math
from collections.abc import Iterable

import attrs

from trefoilgw.scheduling import forecasts
from trefoilgw.scheduling import jobs

# Interval between reviews of the waiting jobs; rates are averaged over 1 s.
REVIEW_INTERVAL_S = 0.1


@attrs.define
class Reviews:
    """Reviews of the waiting jobs at an interval.

    Attributes:
        reviewed_s: Time of the last review.
    """

    reviewed_s: float = -math.inf

    def is_due(self, now_s: float) -> bool:
        """Returns whether a review is due, and notes its time."""
        if now_s - self.reviewed_s < REVIEW_INTERVAL_S:
            return False
        self.reviewed_s = now_s
        return True


def review(
    predicted: Iterable[tuple[jobs.Job, forecasts.Forecast]], now_s: float
) -> list[tuple[jobs.Job, forecasts.Forecast]]:
    """Updates which jobs may start by parts, and returns those to reject.

    Args:
        predicted: Waiting jobs, with the wait until their last task has room.
        now_s: Current time.

    Returns:
        The jobs that have not started and can't end in time any more.
    """
    too_late = []
    for job, forecast in predicted:
        if job.started or job.may_have_run:
            continue
        last_start_s = now_s + forecast.wait_s
        job.whole_only = (
            len(job.tasks) > 1 and last_start_s > job.latest_start_s
        )
        if last_start_s > job.reject_after_s:
            too_late.append((job, forecast))
    return too_late
