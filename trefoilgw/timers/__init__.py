"""The timer service of a process, and the clock for leases."""

from trefoilgw.timers.core import Timer
from trefoilgw.timers.core import TimerService

__all__ = ["Timer", "TimerService"]
