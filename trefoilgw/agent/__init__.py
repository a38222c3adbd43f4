"""The agent, a process that runs next to each target and calls it."""

__all__ = []
