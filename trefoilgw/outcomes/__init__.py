"""Fates of tasks and refusals of requests, with reason codes."""

from trefoilgw.outcomes.core import Completed
from trefoilgw.outcomes.core import Failed
from trefoilgw.outcomes.core import Fate
from trefoilgw.outcomes.core import NotRun
from trefoilgw.outcomes.core import Reason
from trefoilgw.outcomes.core import Refused
from trefoilgw.outcomes.core import Unknown

__all__ = [
    "Completed",
    "Failed",
    "Fate",
    "NotRun",
    "Reason",
    "Refused",
    "Unknown",
]
