"""Runs batches on the slots of a target and grants credits to entries."""

from trefoilgw.slots.actions import GrantCredits
from trefoilgw.slots.actions import SendDone
from trefoilgw.slots.actions import SendLeaving
from trefoilgw.slots.actions import StartTask
from trefoilgw.slots.actions import StopTask
from trefoilgw.slots.actions import TaskRef
from trefoilgw.slots.core import Slots
from trefoilgw.slots.credits import CreditBook
from trefoilgw.slots.execution import Counters

__all__ = [
    "Counters",
    "CreditBook",
    "GrantCredits",
    "SendDone",
    "SendLeaving",
    "Slots",
    "StartTask",
    "StopTask",
    "TaskRef",
]
