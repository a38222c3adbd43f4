"""Start ledger, session fencing and session leases of an agent."""

from trefoilgw.ledger.core import AlreadyStarted
from trefoilgw.ledger.core import job_id
from trefoilgw.ledger.core import Ledger
from trefoilgw.ledger.core import Receipt
from trefoilgw.ledger.core import Reconciled
from trefoilgw.ledger.core import Started
from trefoilgw.ledger.marks import StartMarks
from trefoilgw.ledger.sessions import LEASE_S
from trefoilgw.ledger.sessions import Sessions

__all__ = [
    "AlreadyStarted",
    "LEASE_S",
    "Ledger",
    "Receipt",
    "Reconciled",
    "Sessions",
    "StartMarks",
    "Started",
    "job_id",
]
