"""JSON logging, rate-limited for programs that log every decision."""

from trefoilgw.logs.core import configure
from trefoilgw.logs.core import configure_bounded

__all__ = ["configure", "configure_bounded"]
