"""Retry budget per customer and backoff between attempts.

Only tasks that are known not to have run are retried; this module decides how
many and when, not which. It keeps no record of tasks.
"""

import random

import attrs

# Share of first attempts that may be retried.
BUDGET_SHARE = 0.1
# Retries a second that a customer with little traffic may always make.
MINIMUM_RETRIES_S = 3.0
# Retries that may be saved up. One agent that leaves can hand back a few
# batches of 28 tasks (310 tasks over 11 agents) at once.
BURST_RETRIES = 100.0

BACKOFF_FIRST_S = 0.005
BACKOFF_LIMIT_S = 0.2
# Doublings after which the backoff has reached its limit for certain.
BACKOFF_DOUBLINGS = 16


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns how long to wait before a retry, with full jitter.

    Args:
        attempt: Retries made before this one, from 0.
        rng: Source of jitter.

    Returns:
        Seconds, uniform from 0 to 5 ms doubled `attempt` times, at most
        200 ms.

    Notes:
        Source: "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
        Full jitter spreads retries of one cause over the whole interval.
    """
    doublings = min(max(attempt, 0), BACKOFF_DOUBLINGS)
    limit_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**doublings)
    return rng.uniform(0.0, limit_s)


@attrs.define
class Budget:
    """Retries that one customer may still make.

    Attributes:
        retries: Balance at `updated_s`, from 0 to `BURST_RETRIES`.
        updated_s: When the balance was last brought up to date.
    """

    retries: float
    updated_s: float

    def earn(self, now_s: float, retries: float) -> None:
        """Adds `retries` and what the time since the last call earned."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        earned = retries + elapsed_s * MINIMUM_RETRIES_S
        self.retries = min(BURST_RETRIES, self.retries + earned)
        self.updated_s = max(self.updated_s, now_s)


@attrs.define
class RetryBudget:
    """Bounds retries to 10% of first attempts plus 3 a second per customer.

    A budget keeps retries from multiplying the load of an overload that
    caused them.

    Attributes:
        budgets: Balance per customer.
    """

    budgets: dict[str, Budget] = attrs.field(factory=dict)

    def record_first_attempts(
        self, customer: str, now_s: float, tasks: int = 1
    ) -> None:
        """Records first attempts.

        Args:
            customer: Name.
            now_s: Monotonic time in seconds.
            tasks: How many tasks are sent for the first time.
        """
        self._budget(customer, now_s).earn(now_s, tasks * BUDGET_SHARE)

    def allow(self, customer: str, now_s: float, tasks: int = 1) -> bool:
        """Spends the retry of `tasks` tasks if the budget allows all of them.

        Returns:
            True if the retry may be made; False leaves the budget as it is.
        """
        budget = self._budget(customer, now_s)
        budget.earn(now_s, 0.0)
        if budget.retries < tasks:
            return False
        budget.retries -= tasks
        return True

    def _budget(self, customer: str, now_s: float) -> Budget:
        """Returns a customer's budget; a new one has one second's minimum."""
        budget = self.budgets.get(customer)
        if budget is None:
            budget = Budget(MINIMUM_RETRIES_S, now_s)
            self.budgets[customer] = budget
        return budget
