"""Findings of checks, collected with their place and reported together."""

from trefoilgw.findings.core import Finding
from trefoilgw.findings.core import render

__all__ = ["Finding", "render"]
