"""Client of the platform's key-value service."""

from trefoilgw.keyvalue.core import Client
from trefoilgw.keyvalue.values import Committed
from trefoilgw.keyvalue.values import Compare
from trefoilgw.keyvalue.values import Conflict
from trefoilgw.keyvalue.values import Delete
from trefoilgw.keyvalue.values import KeyValue
from trefoilgw.keyvalue.values import Lease
from trefoilgw.keyvalue.values import Missing
from trefoilgw.keyvalue.values import Page
from trefoilgw.keyvalue.values import Put
from trefoilgw.keyvalue.values import Read
from trefoilgw.keyvalue.values import Rejected
from trefoilgw.keyvalue.values import Unavailable

__all__ = [
    "Client",
    "Committed",
    "Compare",
    "Conflict",
    "Delete",
    "KeyValue",
    "Lease",
    "Missing",
    "Page",
    "Put",
    "Read",
    "Rejected",
    "Unavailable",
]
