"""Division of a job into batches.

Computes how many tasks to send now and how to divide them among batches;
`core` selects the agents.
"""

import math
from collections.abc import Sequence

# CPU time of the entry for one more batch: its scheduling decisions, two
# messages and the accounting of its answer.
BATCH_COST_S = 0.00015
# Upper bound of the overhead of all batches of a job, as a fraction of the
# job's completion time.
BATCH_COST_SHARE = 0.008
# Upper bound of a batch's size, as a multiple of its proportional share of the
# tasks. It takes precedence over the overhead bound: otherwise a single credit
# would run many tasks in sequence long after the other batches have finished.
MAX_SHARE_MULTIPLE = 16
# Fraction of all slots for which credits must be available to send all tasks
# at once. Above it, waiting for the remaining credits gains nothing.
NEARLY_ALL_SHARE = 0.9


def min_batch_tasks(slots: int, run_time_s: float) -> int:
    """Returns the minimum size of a batch that keeps its overhead small.

    Args:
        slots: Number of slots that the job could eventually use.
        run_time_s: Expected run time of a task in seconds.

    Notes:
        A job of n tasks takes at least ``n * run_time_s / slots``. With b
        tasks per batch, each of its n / b batches costs the entry
        `BATCH_COST_S`.
    """
    finish_s_per_task = max(run_time_s, 1e-3) / slots
    return math.ceil(BATCH_COST_S / (BATCH_COST_SHARE * finish_s_per_task))


def tasks_to_send(
    tasks: int, credits: int, batches: int, slots: int, run_time_s: float
) -> int:
    """Returns how many of a job's waiting tasks to send now.

    Args:
        tasks: Number of waiting tasks, at least 1.
        credits: Number of credits to spend, at least 1.
        batches: Number of batches that use these credits, at least 1.
        slots: Slots of all agents. Their credits may become free or be
            borrowed later.
        run_time_s: Expected run time of a task in seconds.

    Returns:
        Number of tasks, from 1 to `tasks`.

    Notes:
        Guided self-scheduling (Polychronopoulos and Kuck, 1987): a processor
        that becomes idle takes its share of the remaining work, here
        ``tasks * credits / slots``. The other tasks wait for credits that
        become free later; otherwise a job that starts with few credits would
        run on those few until its end. The overhead per batch sets a lower
        bound to the size of a batch.
    """
    if tasks <= credits or credits >= NEARLY_ALL_SHARE * slots:
        return tasks
    share = math.ceil(tasks * credits / slots)
    min_tasks = batches * min_batch_tasks(slots, run_time_s)
    min_tasks = min(min_tasks, MAX_SHARE_MULTIPLE * share)
    return min(tasks, max(share, min_tasks, credits))


def split(tasks: int, speeds: Sequence[float]) -> list[int]:
    """Divides tasks among batches in proportion to their speed.

    Args:
        tasks: Number of tasks, at least one per batch.
        speeds: Speed of each batch, which is its concurrency divided by the
            slowness of its agent; positive.

    Returns:
        Number of tasks of each batch, at least 1. Shares are rounded down,
        and the tasks left over go to the batches with the largest remainders.
    """
    spare = tasks - len(speeds)
    unit = spare / sum(speeds)
    exact = [unit * speed for speed in speeds]
    parts = [int(part) for part in exact]
    order = sorted(range(len(speeds)), key=lambda i: parts[i] - exact[i])
    for index in order[: spare - sum(parts)]:
        parts[index] += 1
    return [part + 1 for part in parts]
