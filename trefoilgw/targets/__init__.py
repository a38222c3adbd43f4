"""HTTP client for the target on an agent's host."""

from trefoilgw.targets.core import Call
from trefoilgw.targets.core import Client
from trefoilgw.targets.core import MAX_RESULT_BYTES

__all__ = ["Call", "Client", "MAX_RESULT_BYTES"]
