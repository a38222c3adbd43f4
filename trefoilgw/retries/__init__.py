"""Retry budget per customer and backoff between attempts."""

from trefoilgw.retries.core import backoff_s
from trefoilgw.retries.core import RetryBudget

__all__ = ["RetryBudget", "backoff_s"]
