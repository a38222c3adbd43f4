"""Idempotency keys and their permanent homes."""

from trefoilgw.keys.core import AcceptedEpochs
from trefoilgw.keys.core import format_key
from trefoilgw.keys.core import home_of
from trefoilgw.keys.core import OwnKey
from trefoilgw.keys.core import parse_key
from trefoilgw.keys.core import RosterView
from trefoilgw.keys.core import Ticket
from trefoilgw.keys.core import Windows

__all__ = [
    "AcceptedEpochs",
    "OwnKey",
    "RosterView",
    "Ticket",
    "Windows",
    "format_key",
    "home_of",
    "parse_key",
]
