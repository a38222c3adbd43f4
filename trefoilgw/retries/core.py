"""Retry budget per customer and backoff between attempts.

This module decides how many tasks may be retried and when. The caller chooses
the tasks, and retries only those that are known not to have run. No record of
tasks is kept here.
"""

import random

import attrs

# Retries that each first attempt adds to a customer's budget.
RETRY_SHARE = 0.1
# Retries per second that a customer may make without any first attempts.
MIN_RETRIES_PER_S = 3.0
# Highest balance of a customer. An agent that leaves can return a few batches
# of 28 tasks (310 tasks over 11 agents) at once.
MAX_BURST_RETRIES = 100.0

# Upper end of the delay before the first retry; it doubles with each retry.
BASE_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.2
# Bound of the exponent; the backoff reaches its limit after fewer doublings.
MAX_BACKOFF_DOUBLINGS = 16


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry, with full jitter.

    Args:
        attempt: Retries made before this one, from 0.
        rng: Source of jitter.

    Returns:
        Seconds, uniformly distributed from 0 to 5 ms doubled `attempt` times,
        at most 200 ms.

    Notes:
        Full jitter spreads retries with a common cause over the whole interval;
        see "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
    """
    doublings = min(max(attempt, 0), MAX_BACKOFF_DOUBLINGS)
    limit_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**doublings)
    return rng.uniform(0.0, limit_s)


@attrs.define
class TokenBucket:
    """Token bucket of one customer's retries.

    Attributes:
        retries: Balance at `updated_s`, from 0 to `MAX_BURST_RETRIES`.
        updated_s: Monotonic time of the last refill.
    """

    retries: float
    updated_s: float

    def refill(self, now_s: float, retries: float) -> None:
        """Adds `retries` and the minimum rate times the elapsed time.

        Args:
            now_s: Monotonic time in seconds.
            retries: Retries to add besides those of the minimum rate.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        refilled = retries + elapsed_s * MIN_RETRIES_PER_S
        self.retries = min(MAX_BURST_RETRIES, self.retries + refilled)
        self.updated_s = max(self.updated_s, now_s)


@attrs.define
class RetryBudget:
    """Limits retries to 10% of first attempts plus 3/s per customer.

    The limit keeps retries from multiplying the load when an overload causes
    them.

    Attributes:
        buckets: Token bucket of each customer, by name.
    """

    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def record_first_attempts(
        self, customer: str, now_s: float, tasks: int = 1
    ) -> None:
        """Adds to a customer's budget for tasks sent for the first time.

        Args:
            customer: Name of the customer.
            now_s: Monotonic time in seconds.
            tasks: Number of these tasks.
        """
        self._bucket(customer, now_s).refill(now_s, tasks * RETRY_SHARE)

    def allow(self, customer: str, now_s: float, tasks: int = 1) -> bool:
        """Spends the retries of several tasks if the budget covers all of them.

        Args:
            customer: Name of the customer.
            now_s: Monotonic time in seconds.
            tasks: Number of tasks to retry.

        Returns:
            True if all may be retried; False if none, and nothing is spent.
        """
        bucket = self._bucket(customer, now_s)
        bucket.refill(now_s, 0.0)
        if bucket.retries < tasks:
            return False
        bucket.retries -= tasks
        return True

    def _bucket(self, customer: str, now_s: float) -> TokenBucket:
        """Returns a customer's bucket; a new one holds one second's minimum."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = TokenBucket(MIN_RETRIES_PER_S, now_s)
            self.buckets[customer] = bucket
        return bucket
