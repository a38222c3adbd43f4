"""Assignment of tasks to agents by credits, with lending among entries."""

from trefoilgw.placement.baselines import Policy
from trefoilgw.placement.core import Assignment
from trefoilgw.placement.core import Placement
from trefoilgw.placement.lending import Ask

__all__ = ["Ask", "Assignment", "Placement", "Policy"]
