"""The agent, the process beside each target."""

__all__ = []
