"""The clock by which leases and timeouts are measured."""

import time


def boottime() -> float:
    """Returns seconds of a monotonic clock that includes suspensions.

    ``CLOCK_MONOTONIC`` stops while a host is suspended. A process that used it
    would, after the resume, still hold leases that have expired for all others.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
