"""Which entries an agent connects to.

Pure functions over the roster and the seeds. Dialing is up to
`trefoilgw.agent.connections`.
"""

import hashlib
from collections.abc import Iterable

from trefoilgw.messages import core as messages

# At the size of two years on, a full mesh of agents and entries would cost
# more control traffic than the target of 21 KB/s a node.
ENTRIES_PER_AGENT = 4


def weight(agent: str, entry: str) -> int:
    """Returns the weight of a pair for rendezvous hashing.

    Notes:
        Highest random weight, Thaler and Ravishankar 1998: an entry that joins
        or leaves moves only the agents that it gains or loses.
    """
    text = f"{agent}/{entry}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def assigned(
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
    ranked = sorted(
        entries,
        key=lambda entry: weight(agent, entry.incarnation),
        reverse=True,
    )
    chosen = []
    reachable = 0
    for entry in ranked:
        if reachable == ENTRIES_PER_AGENT:
            break
        chosen.append(entry)
        reachable += entry.stream_address not in unreachable
    return tuple(chosen)
