"""Translation between the platform's messages and the product's types.

The only package that knows the platform's names, paths, headers and body
forms. It decides nothing and keeps no state but connections.
"""

from trefoilgw.platform.callers import Application
from trefoilgw.platform.reports import ReportsApplication
from trefoilgw.platform.store import Store
from trefoilgw.platform.targets import TargetClient

__all__ = ["Application", "ReportsApplication", "Store", "TargetClient"]
