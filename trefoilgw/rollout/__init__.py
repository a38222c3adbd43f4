"""Which configuration revision a process has in force."""

from trefoilgw.rollout.core import Accept
from trefoilgw.rollout.core import Ignore
from trefoilgw.rollout.core import Rollout

__all__ = ["Accept", "Ignore", "Rollout"]
