"""Failure domains that the operators have evacuated."""

from trefoilgw.evacuation.core import Adopted
from trefoilgw.evacuation.core import DomainChange
from trefoilgw.evacuation.core import EvacuatedDomains
from trefoilgw.evacuation.core import Ignored
from trefoilgw.evacuation.warming import WarmUp

__all__ = ["Adopted", "DomainChange", "EvacuatedDomains", "Ignored", "WarmUp"]
