"""Counters of the registry, exported as metrics."""

import attrs


@attrs.define(eq=False)
class Counts:
    """Counts of events since the process started.

    Attributes:
        polls: Polls started.
        failed_polls: Polls of which a part failed and had to be retried.
        leases: Leases granted.
        lost_leases: Leases that expired while this entry ran.
        swaps: Rosters written.
        timed_epochs: Rosters written only because the epoch's time was over.
        lost_races: Roster writes rejected because another entry wrote first.
        lost_answers: Roster writes without an answer, whose effect is unknown
            until the next read.
        removed_entries: Peers removed from the roster.
        lost_watches: Watches that ended unexpectedly.
        silent_watches: Watches canceled because they missed changes.
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
