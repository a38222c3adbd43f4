"""The clock on which leases and timeouts are measured."""

import time


def boottime() -> float:
    """Returns seconds of a steady clock that counts suspensions.

    The monotonic clock stands still while a host is suspended, so that a
    process would wake up with leases that have lapsed for everyone else.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
