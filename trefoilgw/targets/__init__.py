"""HTTP calls to the target beside an agent."""

from trefoilgw.targets.core import Call
from trefoilgw.targets.core import Client
from trefoilgw.targets.core import LIMIT_RESULT_BYTES

__all__ = ["Call", "Client", "LIMIT_RESULT_BYTES"]
