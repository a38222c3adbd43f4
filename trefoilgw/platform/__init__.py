"""Client of the platform's key-value service."""

from trefoilgw.platform.core import Client
from trefoilgw.platform.values import Committed
from trefoilgw.platform.values import Compare
from trefoilgw.platform.values import Conflict
from trefoilgw.platform.values import Delete
from trefoilgw.platform.values import Lease
from trefoilgw.platform.values import Missing
from trefoilgw.platform.values import Page
from trefoilgw.platform.values import Put
from trefoilgw.platform.values import Read
from trefoilgw.platform.values import Rejected
from trefoilgw.platform.values import Unavailable
from trefoilgw.platform.values import Value

__all__ = [
    "Client",
    "Committed",
    "Compare",
    "Conflict",
    "Delete",
    "Lease",
    "Missing",
    "Page",
    "Put",
    "Read",
    "Rejected",
    "Unavailable",
    "Value",
]
