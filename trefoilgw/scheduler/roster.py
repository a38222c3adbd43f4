"""Discovery of schedulers through the store.

Each scheduler registers itself in a key under a lease, and reads all such keys
periodically. Only schedulers that start depend on the list: all others keep
what they know while the store is unavailable.
"""

import json
import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.keyvalue import values
from trefoilgw.messages import runs
from trefoilgw.platform import fields
from trefoilgw.platform import store as platform_store
from trefoilgw.streams import core as streams

KEY_PREFIX = "trefoilgw/schedulers/"
SCHEMA_VERSION = 1
# Records are passed on to all processes; no host or domain has a longer name.
MAX_TEXT_CHARACTERS = 200
LEASE_S = 9.0
REFRESH_S = 3.0
# Delay before the next attempt while the own key is not registered, and
# between the first reads, when other schedulers may start at the same time.
RETRY_S = 0.7
STARTING_READS = 6

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Roster:
    """Registers this scheduler in the store and lists all others.

    Attributes:
        store: The store.
        name: Name of this scheduler's host.
        record: What this scheduler registers about itself.
        on_list_read: Called with the records of all listed schedulers and the
            revision of the store after each complete read.
        on_registered: Called with whether the list holds this scheduler, as
            far as it is known, after each attempt.
        lease: Lease of the own key, None while it is not registered.
        reads: Number of complete reads.
    """

    store: platform_store.Store
    name: str
    record: runs.SchedulerRecord
    on_list_read: Callable[[list[runs.SchedulerRecord], int], None]
    on_registered: Callable[[bool], None]
    lease: values.Lease | None = None
    reads: int = 0

    @property
    def key(self) -> str:
        """Key that holds the record of this scheduler."""
        return KEY_PREFIX + self.name

    def run(self) -> None:
        """Keeps the key registered and reads the list, forever.

        Run it in a greenthread of its own.
        """
        while True:
            done = False
            try:
                done = self._renew_registration() and self._read_list()
            except Exception:
                log.exception("roster update failed")
            self.on_registered(self.lease is not None)
            starting = self.reads < STARTING_READS
            eventlet.sleep(REFRESH_S if done and not starting else RETRY_S)

    def deregister(self) -> None:
        """Ends the lease, which deletes the own key."""
        if self.lease is not None:
            answer = self.store.end_lease(self.lease)
            log.info("left the roster", extra={"answer": str(answer)})

    def _renew_registration(self) -> bool:
        """Renews the lease, or writes the own key under a new one.

        Returns:
            Whether the own key is registered, as far as the store tells.
        """
        if self.lease is not None:
            answer = self.store.keep_alive(self.lease)
            if isinstance(answer, values.Lease):
                return True
            if not isinstance(answer, values.Missing):
                return False
            log.warning("roster lease lapsed")
            self.lease = None
        granted = self.store.grant_lease(LEASE_S)
        if not isinstance(granted, values.Lease):
            return False
        data = encode_record(self.record)
        put = values.Put(self.key, data, granted.lease_id)
        answer = self.store.txn((), (put,))
        if not isinstance(answer, values.Committed):
            # If the key was written although the outcome is unknown, it
            # expires: this lease is not renewed.
            return False
        self.lease = granted
        return True

    def _read_list(self) -> bool:
        """Reads the list; a missing own key is registered again.

        Returns:
            Whether the list was read and holds this scheduler.
        """
        page = self.store.list_stale(KEY_PREFIX)
        if not isinstance(page, values.Page):
            return False
        records = []
        for item in page.items:
            record = decode_record(item, page.revision)
            if isinstance(record, str):
                log.warning(
                    "roster entry unreadable",
                    extra={"key": item.key, "error": record},
                )
                continue
            records.append(record)
        self.reads += 1
        if page.more:
            # Nothing may be concluded from what an incomplete list lacks.
            log.warning("roster incomplete", extra={"entries": len(records)})
            return True
        self.on_list_read(records, page.revision)
        if self.record.address not in {x.address for x in records}:
            # The read may be stale and older than the key. Otherwise the key
            # was deleted although its lease was renewed.
            self.lease = None
            return False
        return True


def encode_record(record: runs.SchedulerRecord) -> bytes:
    """Returns the stored form of a scheduler's record."""
    document = {
        "schema": SCHEMA_VERSION,
        "address": record.address,
        "domain": record.domain,
        "incarnation": record.incarnation,
        "weight": record.weight,
    }
    return json.dumps(document).encode()


def decode_record(
    item: values.KeyValue, revision: int
) -> runs.SchedulerRecord | str:
    """Returns the record in a stored item, or the reason why there is none.

    Another writer may have left anything under the prefix. Fields that this
    release doesn't know are ignored.

    Args:
        item: Item of the store.
        revision: Revision of the store at which it was read.
    """
    try:
        body = fields.Fields(fields.parse(item.data))
        address, domain, incarnation = (
            body.text(x) for x in ("address", "domain", "incarnation")
        )
        streams.parse_address(address)
    except (fields.FieldError, ValueError) as error:
        return str(error)
    if max(len(domain), len(incarnation)) > MAX_TEXT_CHARACTERS:
        return "a field is too long"
    return runs.SchedulerRecord(
        address, domain, incarnation, revision, True, _decode_weight(body)
    )


def _decode_weight(body: fields.Fields) -> int:
    """Returns the weight in a record, 0 if it is absent or odd.

    An odd one must not hide the scheduler.
    """
    try:
        return body.integer("weight", 0)
    except fields.FieldError:
        return 0
