"""Job table of a home: deduplicates submissions and collects outcomes."""

from trefoilgw.jobs.core import JobTable
from trefoilgw.jobs.model import Accepted
from trefoilgw.jobs.model import Batch
from trefoilgw.jobs.model import BatchLocation
from trefoilgw.jobs.model import Canceled
from trefoilgw.jobs.model import Existing
from trefoilgw.jobs.model import Explanation
from trefoilgw.jobs.model import Job
from trefoilgw.jobs.model import JobEnded
from trefoilgw.jobs.model import Origin
from trefoilgw.jobs.model import RefusedKey
from trefoilgw.jobs.model import RetryTasks
from trefoilgw.jobs.model import State
from trefoilgw.jobs.model import StrikeBatches
from trefoilgw.jobs.model import Tombstone

__all__ = [
    "Accepted",
    "Batch",
    "BatchLocation",
    "Canceled",
    "Existing",
    "Explanation",
    "Job",
    "JobEnded",
    "JobTable",
    "Origin",
    "RefusedKey",
    "RetryTasks",
    "State",
    "StrikeBatches",
    "Tombstone",
]
