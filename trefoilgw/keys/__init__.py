"""Idempotency keys and the home entry that each key keeps."""

from trefoilgw.keys.core import AcceptedEpochs
from trefoilgw.keys.core import CallerKey
from trefoilgw.keys.core import format_key
from trefoilgw.keys.core import home_of
from trefoilgw.keys.core import parse_key
from trefoilgw.keys.core import RosterView
from trefoilgw.keys.core import Ticket
from trefoilgw.keys.core import TicketWindows

__all__ = [
    "AcceptedEpochs",
    "CallerKey",
    "RosterView",
    "Ticket",
    "TicketWindows",
    "format_key",
    "home_of",
    "parse_key",
]
