"""Quotas, fair queueing, guaranteed shares and control of queue delay."""

from trefoilgw.admission.core import Admission
from trefoilgw.admission.work import Dropped
from trefoilgw.admission.work import Flow
from trefoilgw.admission.work import Grant
from trefoilgw.admission.work import Queued
from trefoilgw.admission.work import Reclaim
from trefoilgw.admission.work import WorkItem

__all__ = [
    "Admission",
    "Dropped",
    "Flow",
    "Grant",
    "Queued",
    "Reclaim",
    "WorkItem",
]
