"""Selection of the configuration revision in force at a process."""

from trefoilgw.rollout.core import Accept
from trefoilgw.rollout.core import Ignore
from trefoilgw.rollout.core import Rollout

__all__ = ["Accept", "Ignore", "Rollout"]
