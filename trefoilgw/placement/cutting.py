"""Cutting a job into batches.

Decides how many tasks go out now and how they are split; `core` picks the
agents.
"""

import math
from collections.abc import Sequence

# Cost of one more batch: two one-way latencies of 0.5 ms, and 32 us of CPU
# for request and acknowledgement at both ends (measured, see design.md).
MESSAGE_COST_S = 0.0011
# A batch should run at least so many times longer than its messages take.
MESSAGE_COST_FACTOR = 20.0
# With this share of all credits at hand, waiting for the rest gains nothing.
NEARLY_ALL_SHARE = 0.9


def tasks_now(
    tasks: int, credits: int, total_credits: int, run_time_s: float
) -> int:
    """Returns how many of a job's waiting tasks to send with some credits.

    Args:
        tasks: Waiting tasks, at least 1.
        credits: Credits to spend, at least 1.
        total_credits: Credits that could come free in time.
        run_time_s: Expected run time of a task in seconds, 0 if unknown.

    Returns:
        From 1 to `tasks`.

    Notes:
        Guided self-scheduling (Polychronopoulos and Kuck, 1987): a processor
        that becomes free takes its share of the remaining work, here
        ``tasks * credits / total_credits``. The rest waits for credits that
        come free later, so that a job that starts on few credits doesn't
        finish on those few alone. The cost of messages sets the least
        number of rounds per batch.
    """
    if tasks <= credits:
        return tasks
    if credits >= NEARLY_ALL_SHARE * total_credits:
        return tasks
    share = math.ceil(tasks * credits / max(1, total_credits))
    rounds = 1
    if run_time_s > 0.0:
        least_s = MESSAGE_COST_FACTOR * MESSAGE_COST_S
        rounds = max(1, math.ceil(least_s / run_time_s))
    return min(tasks, max(share, rounds * credits))


def split(tasks: int, speeds: Sequence[float]) -> list[int]:
    """Splits tasks among batches in proportion to their speed.

    Args:
        tasks: At least one per batch.
        speeds: Concurrency over slowness of each batch, positive.

    Returns:
        Tasks per batch, at least 1 each; the largest remainders get the
        tasks left over by rounding down.
    """
    spare = tasks - len(speeds)
    unit = spare / sum(speeds)
    exact = [unit * speed for speed in speeds]
    parts = [int(part) for part in exact]
    order = sorted(range(len(speeds)), key=lambda i: parts[i] - exact[i])
    for index in order[: spare - sum(parts)]:
        parts[index] += 1
    return [part + 1 for part in parts]
