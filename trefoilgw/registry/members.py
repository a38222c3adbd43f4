"""Updates of the roster by compare-and-swap.

Any entry may add itself and remove dead peers. A write without an answer is
never repeated unchanged: the entry reads the roster again and writes only the
changes that are missing in it.
"""

import logging
import math
import random
import time
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw import keyvalue
from trefoilgw.findings import core as findings
from trefoilgw.messages import core as messages
from trefoilgw.registry import counters
from trefoilgw.registry import paths
from trefoilgw.registry import rosters

# A peer is removed after this time without messages from it, if this process
# itself ran without a pause for as long.
REMOVAL_SILENCE_S = 10.0
# No peer is removed because of a list of lease keys older than this.
MAX_LEASE_KEYS_AGE_S = 3.0
# An epoch ends after this time even if the entries stay the same. Otherwise the
# tombstones of caller-chosen keys would accumulate in the home's table forever.
EPOCH_LIFETIME_S = 300.0
# Random addition to the lifetime, so that entries that saw the epoch begin at
# the same time do not all write the next one.
MAX_EPOCH_JITTER_S = 30.0
BASE_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0
# Entries that start together compete to write the roster; after this many
# attempts an entry waits for its next poll.
MAX_SWAP_ATTEMPTS = 8
MAX_LEAVE_ATTEMPTS = 4

log = logging.getLogger(__name__)


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the seconds before the next attempt, with full jitter.

    Full jitter keeps entries that failed at the same time from retrying at the
    same time (Brooker, "Exponential Backoff and Jitter", 2015).

    Args:
        attempt: Attempts that failed so far, from 1.
        rng: Source of jitter.
    """
    ceiling_s = BASE_RETRY_DELAY_S * 2 ** min(attempt, 10)
    return rng.uniform(0.0, min(MAX_RETRY_DELAY_S, ceiling_s))


@attrs.define(eq=False)
class RosterManager:
    """Reads and writes the roster for one entry.

    Attributes:
        client: Client of the platform.
        own: Roster entry of this process.
        counts: Counters of the registry.
        is_silent: Called with an incarnation; returns whether no message
            arrived on its peer stream for `REMOVAL_SILENCE_S`.
        on_roster: Called as ``on_roster(roster, read_s)`` whenever a roster was
            read, written or delivered by the watch, but not if the key is
            missing.
        rng: Source of jitter.
        now: Monotonic clock in seconds.
        sleep: Waits between attempts.
        roster: The last known roster.
        revision: Revision of its key at the key-value service, 0 if none.
        read_s: Monotonic time at which the last read of it began, None if it
            was never read.
        highest_epoch: Highest epoch that this process has seen.
        running_since_s: Monotonic time at which this process started or
            resumed from a pause.
        leaving: True once this entry must stay out of the roster.
        epoch_ends_s: Monotonic time at which this entry ends the epoch unless
            another entry does so before.
    """

    client: keyvalue.Client
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
    running_since_s: float = 0.0
    leaving: bool = False
    epoch_ends_s: float = math.inf

    def apply_value(
        self, value: keyvalue.KeyValue | keyvalue.Missing, read_s: float
    ) -> bool:
        """Replaces the known roster by the one that was read.

        Args:
            value: Value of the roster's key.
            read_s: Monotonic time at which the read began.

        Returns:
            False if the document can't be parsed; the stored and the known
            roster are then left unchanged.
        """
        if isinstance(value, keyvalue.Missing):
            self.revision = 0
            self.roster = rosters.Roster()
            self.read_s = read_s
            return True
        parsed = rosters.parse_roster(value.data)
        if isinstance(parsed, findings.Finding):
            log.error("roster can't be read", extra={"error": parsed.text})
            return False
        self._set_roster(parsed, value.mod_revision, read_s)
        return True

    def repair(self, lease_keys: set[str], lease_keys_read_s: float) -> bool:
        """Writes the roster if it must change.

        Adds this entry, removes dead peers, and otherwise starts a new epoch if
        the time of the current one is over.

        Args:
            lease_keys: Lease keys that exist at the key-value service.
            lease_keys_read_s: Monotonic time at which their read began.

        Returns:
            False if the write failed and should be retried soon.
        """
        for attempt in range(MAX_SWAP_ATTEMPTS):
            if attempt:
                self.sleep(backoff_s(attempt, self.rng))
            if self.leaving:
                return False
            dead_peers = self._find_dead_peers(lease_keys, lease_keys_read_s)
            wanted = self.roster.with_changes(
                (self.own,), dead_peers, self.highest_epoch
            )
            unchanged = wanted is self.roster
            if unchanged:
                # After a lost race the epoch of the winner has just begun.
                if self.now() < self.epoch_ends_s:
                    return True
                wanted = self.roster.next_epoch(self.highest_epoch)
            match self._compare_and_swap(wanted):
                case keyvalue.Committed():
                    self.counts.removed_entries += len(dead_peers)
                    self.counts.timed_epochs += unchanged
                    log.info(
                        "roster written",
                        extra={"epoch": wanted.epoch, "removed": dead_peers},
                    )
                    return True
                case keyvalue.Conflict():
                    continue
            return False
        return False

    def leave(self) -> bool:
        """Removes this entry from the roster.

        Returns:
            False if the platform did not confirm it.
        """
        self.leaving = True
        for attempt in range(MAX_LEAVE_ATTEMPTS):
            if attempt:
                self.sleep(backoff_s(attempt, self.rng))
            read_s = self.now()
            found = self.client.get(paths.ROSTER_KEY)
            if not isinstance(found, keyvalue.KeyValue | keyvalue.Missing):
                continue
            if not self.apply_value(found, read_s):
                return False
            wanted = self.roster.with_changes(
                leaving=(self.own.incarnation,),
                highest_epoch=self.highest_epoch,
            )
            if wanted is self.roster:
                return True
            if isinstance(self._compare_and_swap(wanted), keyvalue.Committed):
                return True
        return False

    def _find_dead_peers(
        self, lease_keys: set[str], lease_keys_read_s: float
    ) -> list[str]:
        """Returns the peers whose lease expired and whose stream is silent.

        Neither sign suffices alone: leases expire while the platform is down,
        and a stream is silent while a network link is cut. A list of lease keys
        that was read before a pause or a long wait is not used either.
        """
        now_s = self.now()
        if now_s - self.running_since_s < REMOVAL_SILENCE_S:
            return []
        if now_s - lease_keys_read_s > MAX_LEASE_KEYS_AGE_S:
            return []
        return [
            name
            for name in self.roster.incarnations
            if name != self.own.incarnation
            and paths.entry_key(name) not in lease_keys
            and self.is_silent(name)
        ]

    def _compare_and_swap(self, wanted: rosters.Roster):
        """Writes a roster if the stored one is still the known one.

        Returns:
            Result of the transaction. After a conflict the stored roster is
            the known one, unless the watch delivered a newer one; the result is
            `Unavailable` if the stored roster can't be parsed.
        """
        read_s = self.now()
        known_revision = self.revision
        result = self.client.txn(
            [keyvalue.Compare(paths.ROSTER_KEY, known_revision)],
            [keyvalue.Put(paths.ROSTER_KEY, rosters.encode_roster(wanted))],
        )
        match result:
            case keyvalue.Committed(revision=revision):
                self.counts.swaps += 1
                if not self.is_superseded(known_revision, revision):
                    self._set_roster(wanted, revision, read_s)
            case keyvalue.Conflict():
                self.counts.lost_races += 1
                value = result.value
                revision = getattr(value, "mod_revision", 0)
                if not self.is_superseded(
                    known_revision, revision
                ) and not self.apply_value(value, read_s):
                    return keyvalue.Unavailable("roster can't be read", False)
            case keyvalue.Unavailable(may_have_taken_effect=True):
                self.counts.lost_answers += 1
        return result

    def is_superseded(self, known_revision: int, revision: int) -> bool:
        """Returns whether the watch delivered a newer roster during a call.

        Args:
            known_revision: Revision known here before the call.
            revision: Revision of the roster in the call's answer.
        """
        return self.revision != known_revision and self.revision > revision

    def _set_roster(
        self, roster: rosters.Roster, revision: int, read_s: float
    ) -> None:
        """Sets the known roster and calls `on_roster`."""
        if roster.epoch < self.highest_epoch:
            log.error(
                "roster epoch decreased",
                extra={"epoch": roster.epoch, "seen": self.highest_epoch},
            )
        if roster.epoch > self.highest_epoch:
            jitter_s = self.rng.uniform(0.0, MAX_EPOCH_JITTER_S)
            self.epoch_ends_s = self.now() + EPOCH_LIFETIME_S + jitter_s
        self.highest_epoch = max(self.highest_epoch, roster.epoch)
        self.roster = roster
        self.revision = revision
        self.read_s = read_s
        self.on_roster(roster, read_s)
