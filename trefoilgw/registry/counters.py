"""Counters of the registry, for metrics and status."""

import attrs


@attrs.define(eq=False)
class Counts:
    """What the registry did since the start.

    Attributes:
        polls: Polls begun.
        failed_polls: Polls after which something was left to try again.
        leases: Leases taken.
        lost_leases: Leases that lapsed while this entry ran.
        swaps: Rosters written.
        timed_epochs: Rosters written only because the epoch was old.
        lost_races: Rosters not written because another entry was first.
        lost_answers: Roster writes whose effect was unknown at first.
        removed_entries: Peers removed from the roster.
        lost_watches: Watches that ended.
        silent_watches: Watches given up because they did not deliver.
    """

    polls: int = 0
    failed_polls: int = 0
    leases: int = 0
    lost_leases: int = 0
    swaps: int = 0
    timed_epochs: int = 0
    lost_races: int = 0
    lost_answers: int = 0
    removed_entries: int = 0
    lost_watches: int = 0
    silent_watches: int = 0
