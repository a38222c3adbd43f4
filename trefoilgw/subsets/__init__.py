"""Choice of the hosts that a process keeps streams to."""

from trefoilgw.subsets.core import first_reachable
from trefoilgw.subsets.core import Member
from trefoilgw.subsets.core import rendezvous_weight
from trefoilgw.subsets.core import select_members
from trefoilgw.subsets.core import select_peers
from trefoilgw.subsets.core import stream_count

__all__ = [
    "Member",
    "first_reachable",
    "rendezvous_weight",
    "select_members",
    "select_peers",
    "stream_count",
]
