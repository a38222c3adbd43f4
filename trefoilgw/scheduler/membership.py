"""Which schedulers exist, and how they tell each other and the runners.

Every scheduler reads the store's list and passes on only what has changed, in
at most a few messages a second, over a sparse graph of streams. A scheduler
that the list lacks, since it can't reach the store, announces itself. The
weight of a scheduler travels with its record and its announcements.
"""

import logging
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.membership import schedulers
from trefoilgw.messages import runs
from trefoilgw.scheduler import peers as scheduler_peers
from trefoilgw.subsets import core as subsets

# Changes within this time are passed on in one message.
PUBLICATION_INTERVAL_S = 0.25

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Membership:
    """Known schedulers, and the streams to some of them.

    Attributes:
        record: What this scheduler says about itself.
        peers: Streams that this scheduler has opened.
        broadcast: Sends a message to all peers and runners.
        now: Clock in seconds.
        seeds: Addresses to dial while no other scheduler is known.
        registered: Whether the store's list holds this scheduler.
        known: Known schedulers.
        unpublished: Addresses whose records are to be passed on.
        announced_s: Time of the last own announcement.
    """

    record: runs.SchedulerRecord
    peers: scheduler_peers.Peers
    broadcast: Callable[[object], None]
    now: Callable[[], float]
    seeds: frozenset[str] = frozenset()
    registered: bool = False
    known: schedulers.KnownSchedulers = attrs.field(
        factory=schedulers.KnownSchedulers
    )
    unpublished: set[str] = attrs.field(factory=set)
    announced_s: float | None = None

    def set_registered(self, registered: bool) -> None:
        """Records whether the store's list holds this scheduler."""
        self.registered = registered

    def set_weight(self, weight: int) -> None:
        """Changes the weight of this scheduler.

        It is passed on with its record, or with its next announcement.
        """
        issued_ms = max(int(time.time() * 1000), self.record.weight_ms + 1)
        self.record = attrs.evolve(
            self.record, weight=weight, weight_ms=issued_ms
        )

    def list_read(
        self, listed: Iterable[runs.SchedulerRecord], revision: int
    ) -> None:
        """Merges the store's list."""
        before = self._known_records()
        changed = self.known.merge_list(listed, revision, self.now())
        self._records_changed(changed, before)

    def handle(self, message: object) -> bool:
        """Merges a message of a peer; returns False if it is of another kind.

        What is new is passed on.
        """
        match message:
            case runs.SchedulerRecords(records=records):
                before = self._known_records()
                changed = self.known.merge_records(records, self.now())
                self._records_changed(changed, before)
            case runs.SchedulerAnnouncement():
                if self.known.merge_announcement(message, self.now()):
                    self.broadcast(message)
            case _:
                return False
        return True

    def _known_records(self) -> dict[str, runs.SchedulerRecord]:
        """Returns the newest records by address."""
        return {address: x.record for address, x in self.known.known.items()}

    def _records_changed(
        self,
        changed: Iterable[runs.SchedulerRecord],
        before: Mapping[str, runs.SchedulerRecord],
    ) -> None:
        """Schedules changed records for publication and logs them.

        Changes of the weight alone are logged by the scheduler that makes them.

        Args:
            changed: Records that have changed.
            before: The earlier records by address.
        """
        for record in changed:
            self.unpublished.add(record.address)
            known = before.get(record.address)
            if (
                known is not None
                and known.present == record.present
                and known.incarnation == record.incarnation
            ):
                continue
            log.info(
                "scheduler listed" if record.present else "scheduler unlisted",
                extra={
                    "address": record.address,
                    "incarnation": record.incarnation,
                    "revision": record.revision,
                    "weight": record.weight,
                },
            )

    def update(self) -> None:
        """Passes on changes and selects the peers.

        Call it every `PUBLICATION_INTERVAL_S`.
        """
        now_s = self.now()
        self.known.expire(now_s)
        self._update_own_weight(now_s)
        self._publish()
        self._announce(now_s)
        members = set(self.known.members(now_s))
        if not self.peers.streams:
            members |= self.seeds
        selected = subsets.select_peers(
            self.record.address, members, self.peers.down(now_s)
        )
        self.peers.set_addresses(selected)

    def _update_own_weight(self, now_s: float) -> None:
        """Schedules the own record for publication with a changed weight.

        The store's list may be read between two changes, and holds the weight
        with which this scheduler has registered.
        """
        known = self.known.known.get(self.record.address)
        if known is None or not known.record.present:
            return
        record = attrs.evolve(
            known.record,
            weight=self.record.weight,
            weight_ms=self.record.weight_ms,
        )
        if (
            record.incarnation == self.record.incarnation
            and self.known.merge_records((record,), now_s)
        ):
            self.unpublished.add(record.address)

    def _publish(self) -> None:
        """Sends the unpublished records to peers and runners."""
        records = [
            self.known.known[x].record
            for x in sorted(self.unpublished)
            if x in self.known.known
        ]
        self.unpublished.clear()
        if records:
            self.broadcast(runs.SchedulerRecords(tuple(records)))

    def _announce(self, now_s: float) -> None:
        """Announces this scheduler while the store's list lacks it."""
        if self.registered or (
            self.announced_s is not None
            and now_s - self.announced_s < schedulers.ANNOUNCEMENT_INTERVAL_S
        ):
            return
        self.announced_s = now_s
        announcement = runs.SchedulerAnnouncement(
            self.record.address,
            self.record.domain,
            self.record.incarnation,
            int(time.time() * 1000),
            self.record.weight,
        )
        self.known.merge_announcement(announcement, now_s)
        self.broadcast(announcement)
