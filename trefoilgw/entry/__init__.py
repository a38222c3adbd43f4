"""The entry: the process that accepts jobs over HTTP from callers."""

from trefoilgw.entry.core import Entry
from trefoilgw.entry.core import FILTERS

__all__ = ["Entry", "FILTERS"]
