"""The roster of entries and the keys of the key-value service.

`Registry` is not exported here: `trefoilgw.registry.core` imports eventlet,
which the operator's command does not need.
"""

from trefoilgw.registry.paths import audit_key
from trefoilgw.registry.paths import AUDIT_PREFIX
from trefoilgw.registry.paths import audit_revision
from trefoilgw.registry.paths import CONFIG_KEY
from trefoilgw.registry.paths import ENTRIES_PREFIX
from trefoilgw.registry.paths import entry_key
from trefoilgw.registry.paths import PREFIX
from trefoilgw.registry.paths import ROSTER_KEY
from trefoilgw.registry.rosters import encode_roster
from trefoilgw.registry.rosters import parse_roster
from trefoilgw.registry.rosters import Roster

__all__ = [
    "AUDIT_PREFIX",
    "CONFIG_KEY",
    "ENTRIES_PREFIX",
    "PREFIX",
    "ROSTER_KEY",
    "Roster",
    "audit_key",
    "audit_revision",
    "encode_roster",
    "entry_key",
    "parse_roster",
]
