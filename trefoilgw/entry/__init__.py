"""The entry: the thin host that callers reach."""

from trefoilgw.entry.core import Entry
from trefoilgw.entry.core import FILTERS

__all__ = ["Entry", "FILTERS"]
