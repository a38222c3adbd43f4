"""Chooses the hosts that a process keeps streams to.

Load pattern: hundreds of runners and tens of schedulers. If every runner kept
a stream to every scheduler, pings and capacity reports would grow with the
product of both and use up the hosts' processors before the first task. Each
runner therefore keeps streams to a few schedulers, and each scheduler to a few
others. All functions are pure; callers dial the selected addresses.
"""

import hashlib
import math
from collections.abc import Collection
from collections.abc import Iterable

import attrs

# Schedulers that a runner keeps a stream to. Freed capacity is given to the
# most urgent work of this many schedulers, whose subsets overlap.
SCHEDULERS_PER_RUNNER = 8
# With fewer runners than this, a scheduler waits noticeably longer for
# capacity than the fleet as a whole would make it wait.
MIN_RUNNERS_PER_SCHEDULER = 24
# Streams that a scheduler opens to its successors in the ring of addresses,
# which keep the graph connected, and to others, which keep it shallow.
SUCCESSOR_STREAMS = 2
SHORTCUT_STREAMS = 2


@attrs.frozen
class Member:
    """A host that streams can be opened to.

    Attributes:
        address: ``ip:port`` that accepts streams.
        domain: Failure domain, empty if unknown.
    """

    address: str
    domain: str


def rendezvous_weight(chooser: str, candidate: str) -> int:
    """Returns the weight of a candidate in rendezvous hashing.

    Notes:
        Highest random weight, Thaler and Ravishankar 1998: if a candidate
        joins or leaves, only the choosers that it gains or loses are
        reassigned.
    """
    text = f"{chooser}/{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def first_reachable(
    chooser: str, names: Iterable[str], down: Collection[str], limit: int
) -> list[str]:
    """Returns names by descending weight until `limit` of them are not down.

    Names that are down and precede the last one stay selected, so that dialing
    them continues.
    """
    ranked = sorted(
        names, key=lambda name: rendezvous_weight(chooser, name), reverse=True
    )
    return _take_reachable(ranked, down, limit)


def _take_reachable(
    ranked: Iterable[str], down: Collection[str], limit: int
) -> list[str]:
    """Returns the first names until `limit` of them are not down."""
    chosen = []
    for name in ranked:
        if limit <= 0:
            break
        chosen.append(name)
        limit -= name not in down
    return chosen


def select_members(
    chooser: Member,
    members: Iterable[Member],
    down: Collection[str],
    limit: int,
) -> set[str]:
    """Returns the addresses of the members to keep streams to.

    Half of them are in the chooser's failure domain, since traffic between
    domains is expensive. The others are elsewhere, so that work of a domain
    that is overloaded or lost reaches the rest of the fleet. Either half is
    filled up from the other one.

    Args:
        chooser: The host that chooses.
        members: The candidates.
        down: Addresses that do not answer. They stay selected, and the next
            ones are selected in addition.
        limit: Number of reachable members to select.
    """
    local = {x.address for x in members if x.domain == chooser.domain}
    remote = {x.address for x in members} - local
    reachable_remote = len(remote.difference(down))
    local_limit = max(math.ceil(limit / 2), limit - reachable_remote)
    chosen = first_reachable(chooser.address, local, down, local_limit)
    remote_limit = limit - len(set(chosen).difference(down))
    chosen += first_reachable(chooser.address, remote, down, remote_limit)
    return set(chosen)


def stream_count(
    member_count: int, stream_count: int, mean_choosers: float
) -> int:
    """Returns the number of members that each chooser should select.

    If few choosers share many members, `SCHEDULERS_PER_RUNNER` streams of each
    would leave some members without any. The number of choosers is estimated
    from the members' own counts.

    Args:
        member_count: Number of known members.
        stream_count: Number of open streams of this chooser.
        mean_choosers: Mean number of choosers that are connected to the
            members at the other end of these streams.
    """
    if not member_count or not stream_count or mean_choosers <= 0.0:
        return SCHEDULERS_PER_RUNNER
    choosers = mean_choosers * member_count / stream_count
    needed = math.ceil(MIN_RUNNERS_PER_SCHEDULER * member_count / choosers)
    return max(SCHEDULERS_PER_RUNNER, min(needed, member_count))


def select_peers(
    own: str, addresses: Iterable[str], down: Collection[str]
) -> set[str]:
    """Returns the peers that one of them opens streams to.

    As long as all know the same addresses, the streams connect all peers, also
    while some of them are down.

    Args:
        own: Address of the peer that chooses.
        addresses: Addresses of all peers.
        down: Addresses that do not answer.
    """
    others = sorted(set(addresses) - {own})
    ring = [x for x in others if x > own] + [x for x in others if x < own]
    chosen = _take_reachable(ring, down, SUCCESSOR_STREAMS)
    rest = set(others).difference(chosen)
    return set(chosen) | set(first_reachable(own, rest, down, SHORTCUT_STREAMS))
