"""Value types of jobs, tasks, queues, capacity and targets."""

from trefoilgw.work.core import Configuration
from trefoilgw.work.core import Demand
from trefoilgw.work.core import Ending
from trefoilgw.work.core import Evidence
from trefoilgw.work.core import JobSpec
from trefoilgw.work.core import Queue
from trefoilgw.work.core import Target
from trefoilgw.work.core import TaskSpec

__all__ = [
    "Configuration",
    "Demand",
    "Ending",
    "Evidence",
    "JobSpec",
    "Queue",
    "Target",
    "TaskSpec",
]
