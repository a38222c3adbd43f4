"""An entry's place in the roster, kept by compare-and-swap.

Any entry may add itself and remove peers that are gone. A write without an
answer is never repeated as it is: the roster is read first, and what is
missing in it is written on top of what was read.
"""

import logging
import math
import random
import time
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw import keyvalue as platform
from trefoilgw.findings import core as findings
from trefoilgw.messages import core as messages
from trefoilgw.registry import counters
from trefoilgw.registry import paths
from trefoilgw.registry import rosters

# A peer is removed after this silence, judged by a process that was itself
# awake for as long.
SILENCE_S = 10.0
# A list of lease keys older than this is not used to remove a peer.
PRESENT_LIMIT_S = 3.0
# An epoch ends after this time even if the entries stay the same. Without an
# end, the tombstones of own keys would fill the home's table for good.
EPOCH_S = 300.0
# Entries that saw the epoch begin together do not all write its end.
EPOCH_JITTER_S = 30.0
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 5.0
# Entries that start together race for the roster; the rest is left to the
# next poll.
SWAP_ATTEMPTS = 8
LEAVE_ATTEMPTS = 4

log = logging.getLogger(__name__)


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns a delay with full jitter before the next attempt.

    Full jitter keeps entries that failed together from coming back together
    (Brooker, "Exponential Backoff and Jitter", 2015).

    Args:
        attempt: Attempts that failed so far, from 1.
        rng: Source of jitter.
    """
    ceiling_s = RETRY_BASE_S * 2 ** min(attempt, 10)
    return rng.uniform(0.0, min(RETRY_LIMIT_S, ceiling_s))


@attrs.define(eq=False)
class RosterKeeper:
    """Reads and writes the roster for one entry.

    Attributes:
        client: Client of the platform.
        own: The entry.
        counts: Counters of the registry.
        is_silent: Called with an incarnation; returns whether its peer
            stream was silent for `SILENCE_S`.
        on_roster: Called as ``on_roster(roster, read_s)``.
        rng: Source of jitter.
        now: Monotonic clock in seconds.
        sleep: Waits between attempts.
        roster: The roster known here.
        revision: The service's revision of it, 0 if there is none.
        read_s: Monotonic time before it was read last, None if never.
        highest_epoch: Highest epoch ever seen here.
        awake_since_s: When this process started or resumed.
        leaving: True once this entry is to stay out of the roster.
        epoch_ends_s: When this entry ends the epoch unless it sees another
            one before.
    """

    client: platform.Client
    own: messages.RosterEntry
    counts: counters.Counts
    is_silent: Callable[[str], bool]
    on_roster: Callable[[rosters.Roster, float], None]
    rng: random.Random = attrs.field(factory=random.Random)
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = eventlet.sleep
    roster: rosters.Roster = attrs.field(factory=rosters.Roster)
    revision: int = 0
    read_s: float | None = None
    highest_epoch: int = 0
    awake_since_s: float = 0.0
    leaving: bool = False
    epoch_ends_s: float = math.inf

    def take(
        self, value: platform.KeyValue | platform.Missing, read_s: float
    ) -> bool:
        """Takes the roster as read.

        Args:
            value: What the roster's key holds.
            read_s: Monotonic time before it was asked for.

        Returns:
            False if it can't be used; it is not overwritten then.
        """
        if isinstance(value, platform.Missing):
            self.revision = 0
            self.roster = rosters.Roster()
            self.read_s = read_s
            return True
        parsed = rosters.parse_roster(value.data)
        if isinstance(parsed, findings.Finding):
            log.error("roster can't be read", extra={"error": parsed.text})
            return False
        self._adopt(parsed, value.mod_revision, read_s)
        return True

    def repair(self, present: set[str], present_s: float) -> bool:
        """Brings the stored roster to what it should be.

        Args:
            present: Lease keys that are there.
            present_s: Monotonic time before they were asked for.

        Returns:
            False if it is to be tried again soon.
        """
        for attempt in range(SWAP_ATTEMPTS):
            if attempt:
                self.sleep(backoff_s(attempt, self.rng))
            if self.leaving:
                return False
            gone = self._gone(present, present_s)
            wanted = self.roster.with_changes(
                (self.own,), gone, self.highest_epoch
            )
            timed = wanted is self.roster
            if timed:
                # After a lost race, the winner's epoch has just begun.
                if self.now() < self.epoch_ends_s:
                    return True
                wanted = self.roster.advanced(self.highest_epoch)
            match self._swap(wanted):
                case platform.Committed():
                    self.counts.removed_entries += len(gone)
                    self.counts.timed_epochs += timed
                    log.info(
                        "roster written",
                        extra={"epoch": wanted.epoch, "removed": gone},
                    )
                    return True
                case platform.Conflict():
                    continue
            return False
        return False

    def leave(self) -> bool:
        """Removes this entry from the roster.

        Returns:
            False if the platform did not confirm it.
        """
        self.leaving = True
        for attempt in range(LEAVE_ATTEMPTS):
            if attempt:
                self.sleep(backoff_s(attempt, self.rng))
            read_s = self.now()
            found = self.client.get(paths.ROSTER_KEY)
            if not isinstance(found, platform.KeyValue | platform.Missing):
                continue
            if not self.take(found, read_s):
                return False
            wanted = self.roster.with_changes(
                leaving=(self.own.incarnation,),
                epoch_floor=self.highest_epoch,
            )
            if wanted is self.roster:
                return True
            if isinstance(self._swap(wanted), platform.Committed):
                return True
        return False

    def _gone(self, present: set[str], present_s: float) -> list[str]:
        """Returns the peers whose lease lapsed and whose stream is silent.

        Either alone proves nothing: leases lapse while the platform is down,
        and a stream is silent while a link is cut. A list of leases from
        before a pause or a long wait proves nothing either.
        """
        now_s = self.now()
        if now_s - self.awake_since_s < SILENCE_S:
            return []
        if now_s - present_s > PRESENT_LIMIT_S:
            return []
        return [
            name
            for name in self.roster.incarnations
            if name != self.own.incarnation
            and paths.entry_key(name) not in present
            and self.is_silent(name)
        ]

    def _swap(self, wanted: rosters.Roster):
        """Writes a roster if the stored one is still the one known here."""
        read_s = self.now()
        held = self.revision
        result = self.client.txn(
            [platform.Compare(paths.ROSTER_KEY, held)],
            [platform.Put(paths.ROSTER_KEY, rosters.encode_roster(wanted))],
        )
        match result:
            case platform.Committed(revision=revision):
                self.counts.swaps += 1
                if not self.overtaken(held, revision):
                    self._adopt(wanted, revision, read_s)
            case platform.Conflict():
                self.counts.lost_races += 1
                value = result.value
                revision = getattr(value, "mod_revision", 0)
                if not self.overtaken(held, revision) and not self.take(
                    value, read_s
                ):
                    return platform.Unavailable("roster can't be read", False)
            case platform.Unavailable(may_have_taken_effect=True):
                self.counts.lost_answers += 1
        return result

    def overtaken(self, held: int, revision: int) -> bool:
        """Returns whether the watch delivered a newer roster meanwhile.

        Args:
            held: Revision known here before the call.
            revision: Revision that the call's answer speaks of.
        """
        return self.revision != held and self.revision > revision

    def _adopt(
        self, roster: rosters.Roster, revision: int, read_s: float
    ) -> None:
        """Takes a roster over and tells the entry."""
        if roster.epoch < self.highest_epoch:
            log.error(
                "roster went back",
                extra={"epoch": roster.epoch, "seen": self.highest_epoch},
            )
        if roster.epoch > self.highest_epoch:
            jitter_s = self.rng.uniform(0.0, EPOCH_JITTER_S)
            self.epoch_ends_s = self.now() + EPOCH_S + jitter_s
        self.highest_epoch = max(self.highest_epoch, roster.epoch)
        self.roster = roster
        self.revision = revision
        self.read_s = read_s
        self.on_roster(roster, read_s)
