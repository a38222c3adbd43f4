"""Cutting a job into batches.

Decides how many tasks go out now and how they are split; `core` picks the
agents.
"""

import math
from collections.abc import Sequence

# Processing of one more batch at the entry: its decisions, two messages and
# the bookkeeping of its answer.
BATCH_COST_S = 0.00015
# Share of a job's finish time that its batches may cost.
BATCH_COST_SHARE = 0.008
# But a batch gets at most so many times its share of the tasks, or one credit
# would run them one after the other long after the rest is done.
LEAST_SHARES = 16
# With this share of all credits at hand, waiting for the rest gains nothing.
NEARLY_ALL_SHARE = 0.9


def least_tasks(slots: int, run_time_s: float) -> int:
    """Returns how many tasks a batch of a large job should have at least.

    Args:
        slots: Slots that the job could use in time.
        run_time_s: Expected run time of a task in seconds.

    Notes:
        A job of n tasks ends after ``n * run_time_s / slots`` at best. With
        b tasks a batch, its n / b batches cost the entry `BATCH_COST_S` each.
    """
    finish_s_per_task = max(run_time_s, 1e-3) / slots
    return math.ceil(BATCH_COST_S / (BATCH_COST_SHARE * finish_s_per_task))


def tasks_now(
    tasks: int, credits: int, batches: int, slots: int, run_time_s: float
) -> int:
    """Returns how many of a job's waiting tasks to send with some credits.

    Args:
        tasks: Waiting tasks, at least 1.
        credits: Credits to spend, at least 1.
        batches: Batches that they make, at least 1.
        slots: Slots of all agents, whose credits may come free or be lent.
        run_time_s: Expected run time of a task in seconds.

    Returns:
        From 1 to `tasks`.

    Notes:
        Guided self-scheduling (Polychronopoulos and Kuck, 1987): a processor
        that becomes free takes its share of the remaining work, here
        ``tasks * credits / slots``. The rest waits for credits that come free
        later, so that a job that starts on few credits doesn't finish on
        those few alone. The cost of a batch bounds how small the parts get.
    """
    if tasks <= credits or credits >= NEARLY_ALL_SHARE * slots:
        return tasks
    share = math.ceil(tasks * credits / slots)
    least = batches * least_tasks(slots, run_time_s)
    least = min(least, LEAST_SHARES * share)
    return min(tasks, max(share, least, credits))


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
