"""Room of one target: who may use it, and what runs there."""

from trefoilgw.room.actions import Start
from trefoilgw.room.actions import Stop
from trefoilgw.room.actions import Tell
from trefoilgw.room.core import RoomKeeper

__all__ = ["RoomKeeper", "Start", "Stop", "Tell"]
