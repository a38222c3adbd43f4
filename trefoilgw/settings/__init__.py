"""Settings of the programs, loaded from TOML files."""

from trefoilgw.settings.core import AgentSettings
from trefoilgw.settings.core import EntrySettings
from trefoilgw.settings.core import load_agent
from trefoilgw.settings.core import load_entry
from trefoilgw.settings.core import load_operator
from trefoilgw.settings.core import OperatorSettings

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "OperatorSettings",
    "load_agent",
    "load_entry",
    "load_operator",
]
