"""Selects the entries that an agent connects to.

Pure functions over the roster and the seeds. `trefoilgw.agent.connections`
dials the selected addresses.
"""

from collections.abc import Iterable

from trefoilgw.messages import core as messages
from trefoilgw.subsets import core as subsets

# At the size expected in two years, a full mesh of agents and entries would
# exceed the goal of 21 KB/s of control traffic per node.
ENTRIES_PER_AGENT = 4


def assigned_entries(
    agent: str,
    entries: Iterable[messages.RosterEntry],
    unreachable: frozenset[str] = frozenset(),
) -> tuple[messages.RosterEntry, ...]:
    """Returns the entries that an agent keeps a stream to.

    Args:
        agent: Incarnation of the agent.
        entries: The roster.
        unreachable: Addresses that do not answer. Their entries stay assigned,
            so that dialing continues, and the entries next in weight are
            assigned in addition.

    Returns:
        The `ENTRIES_PER_AGENT` reachable entries of highest weight, and the
        unreachable entries that precede them in weight.
    """
    by_name = {entry.incarnation: entry for entry in entries}
    down = {
        name
        for name, entry in by_name.items()
        if entry.stream_address in unreachable
    }
    names = subsets.first_reachable(agent, by_name, down, ENTRIES_PER_AGENT)
    return tuple(by_name[name] for name in names)


def select_seeds(
    agent: str,
    seeds: Iterable[str],
    unreachable: frozenset[str],
    limit: int = ENTRIES_PER_AGENT,
) -> list[str]:
    """Returns the seeds to dial, selected by weight like the entries."""
    return subsets.first_reachable(agent, seeds, unreachable, limit)
