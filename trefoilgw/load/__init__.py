"""Open-loop load generator that checks answers without asking the product."""

from trefoilgw.load.results import Results
from trefoilgw.load.scenario import Scenario

__all__ = ["Results", "Scenario"]
