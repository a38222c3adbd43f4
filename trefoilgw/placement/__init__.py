"""Credits, batching, lending among entries and learned run times."""

from trefoilgw.placement.baselines import Policy
from trefoilgw.placement.core import Assignment
from trefoilgw.placement.core import Placement
from trefoilgw.placement.lending import Ask

__all__ = ["Ask", "Assignment", "Placement", "Policy"]
