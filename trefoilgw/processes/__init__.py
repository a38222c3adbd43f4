"""Startup, signals and shutdown of programs on the users' platform."""

from trefoilgw.processes.core import run

__all__ = ["run"]
