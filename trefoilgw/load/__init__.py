"""Open-loop load generator with its own view of what callers were told."""

from trefoilgw.load.results import Results
from trefoilgw.load.scenario import Scenario

__all__ = ["Results", "Scenario"]
