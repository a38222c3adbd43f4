"""The timer service that the parts of a process subscribe to."""

from trefoilgw.timers.core import Timer
from trefoilgw.timers.core import TimerService

__all__ = ["Timer", "TimerService"]
