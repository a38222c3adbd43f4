"""JSON log lines on standard error."""

from trefoilgw.logs.core import configure

__all__ = ["configure"]
