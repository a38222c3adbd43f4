"""Authenticated message streams over TCP between the processes."""

from trefoilgw.streams.core import dial
from trefoilgw.streams.core import DialError
from trefoilgw.streams.core import listen
from trefoilgw.streams.core import Listener
from trefoilgw.streams.core import parse_address
from trefoilgw.streams.core import Stream

__all__ = [
    "DialError",
    "Listener",
    "Stream",
    "dial",
    "listen",
    "parse_address",
]
