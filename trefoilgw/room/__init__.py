"""Capacity of one target: which schedulers may use it, and what runs there."""

from trefoilgw.room.actions import SendMessage
from trefoilgw.room.actions import Start
from trefoilgw.room.actions import Stop
from trefoilgw.room.core import CapacityAllocator

__all__ = ["CapacityAllocator", "SendMessage", "Start", "Stop"]
