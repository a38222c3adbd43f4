"""Which entries an agent connects to.

Pure functions over the roster and the seeds. Dialing is up to
`trefoilgw.agent.connections`.
"""

import hashlib
from collections.abc import Collection
from collections.abc import Iterable

from trefoilgw.messages import core as messages

# At the size of two years on, a full mesh of agents and entries would cost
# more control traffic than the target of 21 KB/s a node.
ENTRIES_PER_AGENT = 4


def rendezvous_weight(agent: str, entry: str) -> int:
    """Returns the weight of a pair for rendezvous hashing.

    Notes:
        Highest random weight, Thaler and Ravishankar 1998: an entry that joins
        or leaves moves only the agents that it gains or loses.
    """
    text = f"{agent}/{entry}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def assigned_entries(
    agent: str,
    entries: Iterable[messages.RosterEntry],
    unreachable: frozenset[str] = frozenset(),
) -> tuple[messages.RosterEntry, ...]:
    """Returns the entries that an agent keeps a stream to.

    Args:
        agent: Incarnation of the agent.
        entries: The roster.
        unreachable: Addresses that do not answer. They stay assigned, so that
            they are dialed on, and the next entries are assigned as well.

    Returns:
        The first `ENTRIES_PER_AGENT` reachable entries by weight, and the
        unreachable ones before them.
    """
    by_name = {entry.incarnation: entry for entry in entries}
    down = {
        name
        for name, entry in by_name.items()
        if entry.stream_address in unreachable
    }
    names = _first_reachable(agent, by_name, down, ENTRIES_PER_AGENT)
    return tuple(by_name[name] for name in names)


def select_seeds(
    agent: str,
    seeds: Iterable[str],
    unreachable: frozenset[str],
    limit: int = ENTRIES_PER_AGENT,
) -> list[str]:
    """Returns the seeds to dial, chosen as `assigned_entries` chooses entries."""
    return _first_reachable(agent, seeds, unreachable, limit)


def _first_reachable(
    agent: str, names: Iterable[str], down: Collection[str], limit: int
) -> list[str]:
    """Returns names by weight until enough of them are not down."""
    ranked = sorted(
        names, key=lambda name: rendezvous_weight(agent, name), reverse=True
    )
    chosen = []
    for name in ranked:
        if limit <= 0:
            break
        chosen.append(name)
        limit -= name not in down
    return chosen
