"""Decisions of a scheduler: admission, queueing and placement of jobs."""

from trefoilgw.scheduling.actions import Answer
from trefoilgw.scheduling.actions import Completed
from trefoilgw.scheduling.actions import Failed
from trefoilgw.scheduling.actions import Rejected
from trefoilgw.scheduling.actions import SendMessage
from trefoilgw.scheduling.actions import Unfinished
from trefoilgw.scheduling.core import Scheduler

__all__ = [
    "Answer",
    "Completed",
    "Failed",
    "Rejected",
    "Scheduler",
    "SendMessage",
    "Unfinished",
]
