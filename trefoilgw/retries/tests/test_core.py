"""Tests of the retry budget and the backoff."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw.retries import core as retries


class BackoffTest(unittest.TestCase):
    def test_upper_limit_of_each_attempt(self):
        """Without growing delays, retries would keep an agent overloaded."""
        cases = ((-1, 0.005), (0, 0.005), (1, 0.01), (5, 0.16), (6, 0.2))
        for attempt, limit_s in (*cases, (1000, 0.2)):
            with self.subTest(attempt=attempt):
                rng = random.Random(1)
                waits = [retries.backoff_s(attempt, rng) for _ in range(500)]
                self.assertLessEqual(max(waits), limit_s)
                self.assertGreater(max(waits), 0.95 * limit_s)
                self.assertLess(min(waits), 0.05 * limit_s)


class RetryBudgetTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("first", "retry")),
                st.integers(1, 310),
                st.floats(0.0, 5.0),
            ),
            max_size=60,
        )
    )
    def test_retries_are_bounded(self, steps):
        """Unlimited retries would multiply an overload."""
        budget = retries.RetryBudget()
        now_s = start_s = 50.0
        first = spent = 0
        budget.record_first_attempts("c", now_s, 0)
        for action, tasks, wait_s in steps:
            now_s += wait_s
            if action == "first":
                budget.record_first_attempts("c", now_s, tasks)
                first += tasks
            elif budget.allow("c", now_s, tasks):
                spent += tasks
            bound = 3.0 * (now_s - start_s + 1.0) + 0.1 * first
            self.assertLessEqual(spent, bound + 1e-6)

    def test_balance_is_bounded(self):
        """A customer idle for a day must not accumulate unlimited retries."""
        budget = retries.RetryBudget()
        self.assertTrue(budget.allow("c", 0.0))
        allowed = sum(budget.allow("c", 86400.0) for _ in range(1000))
        self.assertEqual(retries.MAX_BURST_RETRIES, allowed)

    def test_customers_have_separate_budgets(self):
        """Retries of one customer must not use another customer's budget."""
        budget = retries.RetryBudget()
        while budget.allow("loud", 1.0):
            pass
        self.assertTrue(budget.allow("quiet", 1.0))

    def test_minimum_rate_is_available(self):
        """A customer without first attempts must still get 3 retries/s."""
        budget = retries.RetryBudget()
        while budget.allow("c", 0.0):
            pass
        got = sum(budget.allow("c", 0.1 * step) for step in range(1, 101))
        self.assertGreaterEqual(got, 29)


if __name__ == "__main__":
    unittest.main()
