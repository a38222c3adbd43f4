"""Adapter between the platform's interfaces and the product's types.

This is the only package that knows the platform's names, paths, headers and
body formats. It makes no decisions and holds no state besides connections.
"""

from trefoilgw.platform.callers import Application
from trefoilgw.platform.reports import ReportsApplication
from trefoilgw.platform.store import Store
from trefoilgw.platform.targets import TargetClient

__all__ = ["Application", "ReportsApplication", "Store", "TargetClient"]
