"""HTTP interface for callers."""

from trefoilgw.callers.core import Application
from trefoilgw.callers.problems import problem
from trefoilgw.callers.protocol import Limits
from trefoilgw.callers.server import HttpServer
from trefoilgw.callers.values import Action
from trefoilgw.callers.values import Reply
from trefoilgw.callers.values import Request

__all__ = [
    "Action",
    "Application",
    "HttpServer",
    "Limits",
    "Reply",
    "Request",
    "problem",
]
