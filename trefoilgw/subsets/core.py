"""Chooses the hosts that a process keeps streams to.

Load pattern: hundreds of runners and tens of schedulers. If every runner kept
a stream to every scheduler, pings and capacity reports would grow with the
product of both and use up the hosts' processors before the first task. Each
runner therefore keeps streams to a few schedulers, and each scheduler to a few
others. Hosts differ in processors by a factor of four and callers are spread
unevenly, so schedulers have weights, by which they get more or fewer runners.
All functions are pure; the programs dial the selected addresses.
"""

import hashlib
import math
import types
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

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
# Bounds of the weights that count, in thousandths of a core. A wrong figure of
# one host must not move the streams of the whole fleet.
MIN_WEIGHT = 100
MAX_WEIGHT = 16_000
# Weight of a host of one core, and of one whose processors are unknown.
UNIT_WEIGHT = 1_000
# Expected number of runners that weights leave to each scheduler. Hashing gives
# one scheduler in forty fewer than this by two standard deviations, which are
# 12, so that it still has about `MIN_RUNNERS_PER_SCHEDULER`.
FLOOR_RUNNERS = 36
# Steps of the share that weights can't take from a scheduler. It depends on an
# estimate, and each change of it moves streams.
FLOOR_STEPS = 16
NO_WEIGHTS: Mapping[str, float] = types.MappingProxyType({})


@attrs.frozen
class Member:
    """A host that streams can be opened to.

    Attributes:
        address: ``ip:port`` that accepts streams.
        domain: Failure domain, empty if unknown.
        weight: Relative number of streams that it asks for, 0 if unknown.
    """

    address: str
    domain: str
    weight: int = 0


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
    chooser: str,
    names: Iterable[str],
    down: Collection[str],
    limit: int,
    weights: Mapping[str, float] = NO_WEIGHTS,
) -> list[str]:
    """Returns names by descending rank until `limit` of them are not down.

    Names that are down and precede the last one stay selected, so that dialing
    them continues.

    Args:
        chooser: The host that chooses.
        names: The candidates.
        down: Names that do not answer.
        limit: Number of names to select that are not down.
        weights: Positive weights; 1 for names without one.
    """
    candidates = list(names)
    if len({weights.get(x, 1.0) for x in candidates}) <= 1:
        ranked = sorted(
            candidates,
            key=lambda name: rendezvous_weight(chooser, name),
            reverse=True,
        )
    else:
        ranked = sorted(
            candidates,
            key=lambda name: _weighted_rank(
                chooser, name, weights.get(name, 1.0)
            ),
            reverse=True,
        )
    return _take_reachable(ranked, down, limit)


def _weighted_rank(
    chooser: str, candidate: str, weight: float
) -> tuple[float, int]:
    """Returns the rank of a candidate in weighted rendezvous hashing.

    Notes:
        Logarithmic method, Schindelhauer and Schomaker 2005: with a hash that
        is uniform in (0, 1), the candidate with the largest weight over the
        negative logarithm wins with a probability in proportion to its weight.
        A change of one weight changes the place of that candidate only. With
        equal weights the order is that of `rendezvous_weight`.
    """
    number = rendezvous_weight(chooser, candidate)
    uniform = (number + 0.5) / 2.0**64
    # The quotient is rounded to 1 for the largest numbers.
    distance = max(-math.log(uniform), 2.0**-64)
    return weight / distance, number


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
    weights: Mapping[str, float] = NO_WEIGHTS,
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
        weights: Weights in force by address, as of `selection_weights`; 1 for
            members without one.
    """
    local = {x.address for x in members if x.domain == chooser.domain}
    remote = {x.address for x in members} - local
    reachable_remote = len(remote.difference(down))
    local_limit = max(math.ceil(limit / 2), limit - reachable_remote)
    chosen = first_reachable(chooser.address, local, down, local_limit, weights)
    remote_limit = limit - len(set(chosen).difference(down))
    chosen += first_reachable(
        chooser.address, remote, down, remote_limit, weights
    )
    return set(chosen)


def host_weight(processors: float) -> int:
    """Returns the weight of a host; `UNIT_WEIGHT` if the figure is odd.

    Args:
        processors: Cores that its scheduler may use.

    >>> host_weight(0.516), host_weight(0.0), host_weight(1e300)
    (516, 1000, 16000)
    """
    if not processors > 0.0:
        return UNIT_WEIGHT
    bounded = min(MAX_WEIGHT, max(MIN_WEIGHT, UNIT_WEIGHT * processors))
    return round(bounded)


def floor_share(mean_choosers: float) -> float:
    """Returns the share of its choosers that each member keeps in any case.

    It leaves `FLOOR_RUNNERS` of them to the member with the smallest weight. It
    is 1, so that all weights count as equal, if members have no more than that,
    or if the number is unknown.

    Args:
        mean_choosers: Mean number of choosers of the members.
    """
    if mean_choosers <= FLOOR_RUNNERS:
        return 1.0
    share = FLOOR_RUNNERS / mean_choosers
    return math.ceil(FLOOR_STEPS * share) / FLOOR_STEPS


def selection_weights(
    chooser: Member, members: Iterable[Member], floor: float
) -> dict[str, float]:
    """Returns weights for `select_members`, with a mean of 1.

    Members of the chooser's domain and the others are selected separately, so
    the mean is 1 in either group. Members of unknown weight get the mean.

    Args:
        chooser: The host that chooses.
        members: The candidates.
        floor: Least weight, from 0 to 1, as of `floor_share`.
    """
    groups: dict[bool, list[Member]] = {True: [], False: []}
    for member in members:
        groups[member.domain == chooser.domain].append(member)
    weights: dict[str, float] = {}
    for group in groups.values():
        known = [_bounded(x.weight) for x in group if x.weight > 0]
        if len(set(known)) <= 1:
            weights.update((x.address, 1.0) for x in group)
            continue
        mean = sum(known) / len(known)
        relative = {
            x.address: _bounded(x.weight) / mean if x.weight > 0 else 1.0
            for x in group
        }
        scale = _scale_above_floor(list(relative.values()), floor)
        for address, weight in relative.items():
            weights[address] = max(floor, scale * weight)
    return weights


def _scale_above_floor(weights: list[float], floor: float) -> float:
    """Returns the factor that leaves a mean of 1 once all reach the floor.

    Args:
        weights: Positive weights with a mean of 1.
        floor: Least weight, from 0 to 1.
    """
    ascending = sorted(weights)
    for count in range(len(ascending)):
        # As many of the smallest ones are raised to the floor.
        rest = sum(ascending[count:])
        scale = (len(ascending) - count * floor) / rest
        if scale * ascending[count] >= floor:
            return scale
    return floor / ascending[-1]


def _bounded(weight: int) -> int:
    """Returns a weight within the bounds."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


def mean_choosers(counts: Iterable[tuple[int, float]]) -> float:
    """Returns an estimate of the mean number of choosers of all members.

    Args:
        counts: Number of choosers of each member that this chooser has a
            stream to, and its weight in the selection. Members of large weight
            are in such a sample more often, so they count for less.
    """
    pairs = list(counts)
    total = sum(1.0 / weight for _, weight in pairs)
    if not total:
        return 0.0
    return sum(count / weight for count, weight in pairs) / total


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
