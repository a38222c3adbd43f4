"""An entry's connection to the platform: lease, roster and configuration.

The entry holds a lease key, adds itself to the roster by compare-and-swap and
watches all keys of the system. It also polls the keys every few seconds,
because a watch can stop delivering without an error. Serving requests does not
depend on this module: while the platform is down, the entry continues with its
last configuration and roster.

Callbacks of the entry apply each configuration and roster.
"""

import logging
import random
import time
from collections.abc import Callable

import attrs
import eventlet
from eventlet import event
from eventlet import semaphore

from trefoilgw import keyvalue
from trefoilgw.keyvalue import watches
from trefoilgw.messages import core as messages
from trefoilgw.records import core as records
from trefoilgw.registry import counters
from trefoilgw.registry import leases
from trefoilgw.registry import members
from trefoilgw.registry import paths
from trefoilgw.registry import rosters
from trefoilgw.timers import core as timers

POLL_INTERVAL_S = 5.0
# Each interval varies by up to this share in both directions.
POLL_JITTER_SHARE = 0.2
# A watch is restarted if it has not delivered a change this long after a poll
# read it.
WATCH_DELIVERY_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Registry:
    """Keeps an entry's lease, roster and configuration up to date.

    Callbacks run in the registry's greenthreads and must not block.

    Attributes:
        client: Client of the platform.
        own: Roster entry of this process, with the addresses at which others
            reach it.
        timers: Timer service of the process.
        on_configuration: Called as ``on_configuration(revision, document)``
            with each document read, including old ones; the callee validates
            it and accepts only a higher revision.
        on_roster: Called as ``on_roster(roster, read_s)`` after each read and
            each change; `read_s` is the monotonic time at which the last read
            began.
        is_silent: Called with an incarnation; returns whether no message
            arrived on its peer stream for `members.REMOVAL_SILENCE_S`.
        rng: Source of jitter.
        now: Monotonic clock in seconds.
        sleep: Waits between attempts of a compare-and-swap.
        counts: Counters of this registry.
    """

    client: keyvalue.Client
    own: messages.RosterEntry
    timers: timers.TimerService
    on_configuration: Callable[[int, bytes], None]
    on_roster: Callable[[rosters.Roster, float], None]
    is_silent: Callable[[str], bool]
    rng: random.Random = attrs.field(factory=random.Random)
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = eventlet.sleep
    counts: counters.Counts = attrs.field(factory=counters.Counts)
    _lease_manager: leases.LeaseManager = attrs.field(init=False)
    _roster_manager: members.RosterManager = attrs.field(init=False)
    _config_revision: int = 0
    # Revisions by key: last delivered by the watch, and last read by a poll.
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
        self._lease_manager = leases.LeaseManager(
            self.client, self.own, self.counts
        )
        self._roster_manager = members.RosterManager(
            self.client,
            self.own,
            self.counts,
            self.is_silent,
            self.on_roster,
            self.rng,
            self.now,
            self.sleep,
            running_since_s=self.now(),
        )

    @property
    def roster(self) -> rosters.Roster:
        """The last known roster; epoch 0 if none was read."""
        return self._roster_manager.roster

    @property
    def roster_read_s(self) -> float | None:
        """Monotonic time at which the last roster read began, None if never."""
        return self._roster_manager.read_s

    def start(self) -> None:
        """Starts the greenthread that polls."""
        self.timers.on_pause(self.handle_pause)
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ends the greenthread and the watch; the lease then expires."""
        if self._thread is not None:
            self._thread.kill()
        if self._timer is not None:
            self._timer.cancel()
        self._end_watch()

    def handle_pause(self, gap_s: float) -> None:
        """Polls at once after a pause of this process, to renew the lease.

        Args:
            gap_s: Length of the pause in seconds.
        """
        log.warning("paused", extra={"gap_s": round(gap_s, 1)})
        self._roster_manager.running_since_s = self.now()
        self.wake()

    def wake(self) -> None:
        """Makes the next poll start now."""
        if not self._wake.ready():
            self._wake.send()

    def poll(self) -> bool:
        """Renews the lease, reads the keys and corrects the roster if needed.

        Returns:
            False if a part failed and should be retried soon.
        """
        with self._lock:
            if self._roster_manager.leaving:
                return True
            self.counts.polls += 1
            complete = self._poll()
            self.counts.failed_polls += not complete
        return complete

    def leave(self) -> bool:
        """Removes this entry from the roster, revokes its lease and stops.

        Returns:
            False if the platform did not confirm the removal; peers remove the
            entry once its lease has expired.
        """
        # Set before the lock is acquired, so that a running poll aborts.
        self._roster_manager.leaving = True
        with self._lock:
            left = self._roster_manager.leave()
            self._lease_manager.revoke()
        self.stop()
        return left

    def _run(self) -> None:
        """Polls until stopped."""
        while not self._roster_manager.leaving:
            try:
                complete = self.poll()
            except Exception:
                log.exception("poll failed")
                complete = False
            self._failures = 0 if complete else self._failures + 1
            self._timer = self.timers.after(self._next_delay_s(), self.wake)
            self._wake.wait()
            self._wake = event.Event()
            self._timer.cancel()

    def _next_delay_s(self) -> float:
        """Returns the seconds until the next poll."""
        if self._failures:
            return members.backoff_s(self._failures, self.rng)
        return POLL_INTERVAL_S * self.rng.uniform(
            1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE
        )

    def _poll(self) -> bool:
        """Polls once, with the lock held; see `poll`."""
        leased = self._lease_manager.ensure_held()
        known_revision = self._roster_manager.revision
        read_s = self.now()
        pages = self.client.read_all(
            [
                keyvalue.Read(paths.ROSTER_KEY),
                keyvalue.Read(paths.CONFIG_KEY, keys_only=True),
                keyvalue.Read(
                    paths.ENTRIES_PREFIX, prefix=True, keys_only=True
                ),
            ]
        )
        if not isinstance(pages, tuple):
            return False
        roster, config, entries = (page.items for page in pages)
        if not self._apply_roster(
            _single_value(roster), known_revision, read_s
        ):
            return False
        fetched = self._fetch_configuration(_single_value(config))
        self._check_watch(pages[0].revision)
        lease_keys = {item.key for item in entries}
        if leased and self._lease_manager.key not in lease_keys:
            leased = self._lease_manager.write_key()
        return (
            leased
            and self._roster_manager.repair(lease_keys, read_s)
            and fetched
        )

    def _apply_roster(
        self,
        value: keyvalue.KeyValue | keyvalue.Missing,
        known_revision: int,
        read_s: float,
    ) -> bool:
        """Applies the roster that a poll read unless the watch was faster.

        Args:
            value: Value of the roster's key.
            known_revision: Revision known here before the read.
            read_s: Monotonic time at which the read began.

        Returns:
            False if the roster can't be parsed.
        """
        revision = getattr(value, "mod_revision", 0)
        if self._roster_manager.is_superseded(known_revision, revision):
            return True
        return self._roster_manager.apply_value(value, read_s)

    def _fetch_configuration(
        self, value: keyvalue.KeyValue | keyvalue.Missing
    ) -> bool:
        """Reads the configuration if its revision changed.

        Returns:
            False if the read failed.
        """
        if isinstance(value, keyvalue.Missing):
            return True
        if value.mod_revision == self._config_revision:
            return True
        found = self.client.get(paths.CONFIG_KEY)
        if isinstance(found, keyvalue.KeyValue):
            self._apply_configuration(found)
        return isinstance(found, keyvalue.KeyValue | keyvalue.Missing)

    def _apply_configuration(self, value: keyvalue.KeyValue) -> None:
        """Passes a document to `on_configuration` if it has a revision."""
        self._config_revision = value.mod_revision
        revision = records.document_revision(value.data)
        if revision:
            self.on_configuration(revision, value.data)
        else:
            log.error("configuration has no revision")

    def _check_watch(self, revision: int) -> None:
        """Starts the watch, or restarts it if it missed changes.

        Args:
            revision: Revision of the key-value service at this poll.
        """
        watch = self._watch
        now_s = self.now()
        if watch is not None and watch.active:
            if now_s - self._expected_s < WATCH_DELIVERY_TIMEOUT_S:
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
            log.warning("watch missed changes", extra={"keys": missed})
            self._end_watch()
        self._delivered = self._revisions()
        self._expected = dict(self._delivered)
        self._expected_s = now_s
        self._watch = self.client.watch(
            paths.PREFIX,
            self._on_watch_event,
            self._on_watch_lost,
            revision + 1,
        )

    def _revisions(self) -> dict[str, int]:
        """Returns the last known revision of each watched key."""
        return {
            paths.CONFIG_KEY: self._config_revision,
            paths.ROSTER_KEY: self._roster_manager.revision,
        }

    def _end_watch(self) -> None:
        """Cancels the watch if there is one."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _on_watch_event(
        self, change: watches.Changed | watches.Deleted
    ) -> None:
        """Applies a configuration or roster that the watch delivers."""
        if isinstance(change, watches.Deleted):
            return  # Polls find expired leases; records are never deleted.
        value = change.value
        if value.key not in self._delivered:
            return
        self._delivered[value.key] = value.mod_revision
        if value.mod_revision <= self._revisions().get(value.key, 0):
            return
        if value.key == paths.CONFIG_KEY:
            self._apply_configuration(value)
        elif value.key == paths.ROSTER_KEY:
            self._roster_manager.apply_value(value, self.roster_read_s)

    def _on_watch_lost(self, reason: str) -> None:
        """Schedules a poll, with jitter, that starts a new watch."""
        self.counts.lost_watches += 1
        log.info("watch lost", extra={"reason": reason})
        self.timers.after(members.backoff_s(1, self.rng), self.wake)


def _single_value(
    items: tuple[keyvalue.KeyValue, ...],
) -> keyvalue.KeyValue | keyvalue.Missing:
    """Returns the single value of a read, or `Missing`."""
    return items[0] if items else keyvalue.Missing()
