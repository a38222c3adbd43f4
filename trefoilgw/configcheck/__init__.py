"""Checks of a configuration before the operators send it."""

from trefoilgw.configcheck.core import check
from trefoilgw.configcheck.core import Document
from trefoilgw.configcheck.core import Result
from trefoilgw.configcheck.differences import compare
from trefoilgw.configcheck.differences import Difference

__all__ = ["Difference", "Document", "Result", "check", "compare"]
