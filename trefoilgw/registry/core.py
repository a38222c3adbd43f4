"""An entry's connection to the platform: lease, roster and configuration.

The entry holds a lease key, is in the roster by compare-and-swap, watches all
keys of the system and reads them every few seconds as well, because a watch
can stop without a sign. Nothing here is needed to serve requests: while the
platform is down, the entry goes on with what it has.

What the entry does with a configuration or a roster is up to its callbacks.
"""

import logging
import random
import time
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event
from eventlet import semaphore

from trefoilgw import keyvalue as platform
from trefoilgw.keyvalue import watches
from trefoilgw.messages import core as messages
from trefoilgw.records import core as records
from trefoilgw.registry import counters
from trefoilgw.registry import leases
from trefoilgw.registry import members
from trefoilgw.registry import paths
from trefoilgw.registry import rosters
from trefoilgw.timers import core as timers

POLL_S = 5.0
POLL_JITTER = 0.2
# A watch has this long to deliver a change that a poll has read.
DELIVERY_S = 2.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Registry:
    """The part of an entry that talks to the platform.

    Callbacks run in the registry's greenthreads and must not block.

    Attributes:
        client: Client of the platform.
        own: This entry as others reach it.
        timers: The process's timer service.
        on_configuration: Called as ``on_configuration(revision, document)``
            with each document read, also with old ones; the caller checks
            it and takes only a higher revision.
        on_roster: Called as ``on_roster(roster, read_s)`` after each read and
            each change; `read_s` is the monotonic time before the last read.
        is_silent: Called with an incarnation; returns whether its peer
            stream was silent for `members.SILENCE_S`.
        rng: Source of jitter.
        now: Monotonic clock in seconds.
        sleep: Waits between attempts of a compare-and-swap.
        counts: What happened so far.
    """

    client: platform.Client
    own: messages.RosterEntry
    timers: timers.TimerService
    on_configuration: Callable[[int, bytes], None]
    on_roster: Callable[[rosters.Roster, float], None]
    is_silent: Callable[[str], bool]
    rng: random.Random = attrs.field(factory=random.Random)
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = eventlet.sleep
    counts: counters.Counts = attrs.field(factory=counters.Counts)
    _lease: leases.LeaseKeeper = attrs.field(init=False)
    _members: members.RosterKeeper = attrs.field(init=False)
    _config_revision: int = 0
    # Revisions by key: as the watch delivered them, and as a poll read them.
    _delivered: dict = attrs.field(factory=dict)
    _expected: dict = attrs.field(factory=dict)
    _expected_s: float = 0.0
    _watch: watches.Watch | None = None
    _failures: int = 0
    _timer: timers.Timer | None = None
    _wake: event.Event = attrs.field(factory=event.Event)
    _lock: semaphore.Semaphore = attrs.field(factory=semaphore.Semaphore)
    _thread: object = None

    def __attrs_post_init__(self):
        self._lease = leases.LeaseKeeper(self.client, self.own, self.counts)
        self._members = members.RosterKeeper(
            self.client,
            self.own,
            self.counts,
            self.is_silent,
            self.on_roster,
            self.rng,
            self.now,
            self.sleep,
            awake_since_s=self.now(),
        )

    @property
    def roster(self) -> rosters.Roster:
        """The roster known here; epoch 0 if none was read."""
        return self._members.roster

    @property
    def roster_read_s(self) -> float | None:
        """Monotonic time before the roster was read last, None if never."""
        return self._members.read_s

    def start(self) -> None:
        """Starts the greenthread that keeps everything up to date."""
        self.timers.on_pause(self.paused)
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ends the greenthread and the watch; the lease lapses later."""
        if self._thread is not None:
            self._thread.kill()
        if self._timer is not None:
            self._timer.cancel()
        self._end_watch()

    def paused(self, gap_s: float) -> None:
        """Renews the lease at once after a pause of this process."""
        log.warning("paused", extra={"gap_s": round(gap_s, 1)})
        self._members.awake_since_s = self.now()
        self.wake()

    def wake(self) -> None:
        """Lets the next poll begin now."""
        if not self._wake.ready():
            self._wake.send()

    def poll(self) -> bool:
        """Renews the lease, reads, and repairs the roster if needed.

        Returns:
            False if something is to be tried again soon.
        """
        with self._lock:
            if self._members.leaving:
                return True
            self.counts.polls += 1
            good = self._poll()
            self.counts.failed_polls += not good
        return good

    def leave(self) -> bool:
        """Takes this entry out of the roster, ends its lease and stops.

        Returns:
            False if the platform did not confirm it; the peers remove the
            entry once its lease has lapsed.
        """
        # Set before the lock is free, so that a running poll gives up.
        self._members.leaving = True
        with self._lock:
            left = self._members.leave()
            self._lease.end()
        self.stop()
        return left

    def _run(self) -> None:
        """Polls until stopped."""
        while not self._members.leaving:
            try:
                good = self.poll()
            except Exception:
                log.exception("poll failed")
                good = False
            self._failures = 0 if good else self._failures + 1
            self._timer = self.timers.after(self._delay_s(), self.wake)
            self._wake.wait()
            self._wake = event.Event()
            self._timer.cancel()

    def _delay_s(self) -> float:
        """Returns the seconds until the next poll."""
        if self._failures:
            return members.backoff_s(self._failures, self.rng)
        return POLL_S * self.rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    def _poll(self) -> bool:
        """Does the work of one poll; see `poll`."""
        leased = self._lease.keep()
        held = self._members.revision
        read_s = self.now()
        pages = self.client.read_all(
            [
                platform.Read(paths.ROSTER_KEY),
                platform.Read(paths.CONFIG_KEY, keys_only=True),
                platform.Read(
                    paths.ENTRIES_PREFIX, prefix=True, keys_only=True
                ),
            ]
        )
        if not isinstance(pages, tuple):
            return False
        roster, config, entries = (page.items for page in pages)
        if not self._take_roster(_only(roster), held, read_s):
            return False
        fetched = self._fetch_configuration(_only(config))
        self._check_watch(pages[0].revision)
        present = {item.key for item in entries}
        if leased and self._lease.key not in present:
            leased = self._lease.put_key()
        return leased and self._members.repair(present, read_s) and fetched

    def _take_roster(
        self,
        value: platform.KeyValue | platform.Missing,
        held: int,
        read_s: float,
    ) -> bool:
        """Takes the roster that a poll read, unless the watch was faster."""
        revision = getattr(value, "mod_revision", 0)
        if self._members.overtaken(held, revision):
            return True
        return self._members.take(value, read_s)

    def _fetch_configuration(
        self, value: platform.KeyValue | platform.Missing
    ) -> bool:
        """Reads the document if it changed; returns False on failure."""
        if isinstance(value, platform.Missing):
            return True
        if value.mod_revision == self._config_revision:
            return True
        found = self.client.get(paths.CONFIG_KEY)
        if isinstance(found, platform.KeyValue):
            self._take_configuration(found)
        return isinstance(found, platform.KeyValue | platform.Missing)

    def _take_configuration(self, value: platform.KeyValue) -> None:
        """Hands a document to the entry."""
        self._config_revision = value.mod_revision
        revision = records.document_revision(value.data)
        if revision:
            self.on_configuration(revision, value.data)
        else:
            log.error("configuration has no revision")

    def _check_watch(self, revision: int) -> None:
        """Starts the watch, or restarts one that does not deliver.

        Args:
            revision: The service's revision at this poll.
        """
        watch = self._watch
        now_s = self.now()
        if watch is not None and watch.active:
            if now_s - self._expected_s < DELIVERY_S:
                return
            missed = [
                key
                for key, expected in self._expected.items()
                if self._delivered.get(key, 0) < expected
            ]
            if not missed:
                self._expected = self._revisions()
                self._expected_s = now_s
                return
            self.counts.silent_watches += 1
            log.warning("watch is silent", extra={"keys": missed})
            self._end_watch()
        self._delivered = self._revisions()
        self._expected = dict(self._delivered)
        self._expected_s = now_s
        self._watch = self.client.watch(
            paths.PREFIX, self._on_event, self._on_lost, revision + 1
        )

    def _revisions(self) -> dict[str, int]:
        """Returns the revisions of the keys as known here."""
        return {
            paths.CONFIG_KEY: self._config_revision,
            paths.ROSTER_KEY: self._members.revision,
        }

    def _end_watch(self) -> None:
        """Ends the watch if there is one."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _on_event(self, change: watches.Changed | watches.Deleted) -> None:
        """Takes over what the watch delivers."""
        if isinstance(change, watches.Deleted):
            return  # Polls see lapsed leases; records are never deleted.
        value = change.value
        if value.key not in self._delivered:
            return
        self._delivered[value.key] = value.mod_revision
        if value.mod_revision <= self._revisions().get(value.key, 0):
            return
        if value.key == paths.CONFIG_KEY:
            self._take_configuration(value)
        elif value.key == paths.ROSTER_KEY:
            self._members.take(value, self.roster_read_s)

    def _on_lost(self, reason: str) -> None:
        """Lets a poll start a new watch, soon and with jitter."""
        self.counts.lost_watches += 1
        log.info("watch lost", extra={"reason": reason})
        self.timers.after(members.backoff_s(1, self.rng), self.wake)


def _only(
    items: tuple[platform.KeyValue, ...],
) -> platform.KeyValue | platform.Missing:
    """Returns the one key that was read."""
    return items[0] if items else platform.Missing()
