"""Findings of validation, each with its place, reported together."""

from trefoilgw.findings.core import Finding
from trefoilgw.findings.core import render

__all__ = ["Finding", "render"]
