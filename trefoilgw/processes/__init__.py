"""The frame of a program on the users' platform."""

from trefoilgw.processes.core import run

__all__ = ["run"]
