"""Writes a revision of the configuration, once, whatever gets lost.

One transaction compares the document with the one that was read, and writes
the new document and its audit entry. Both carry the write id. A write whose
answer is lost is repeated as it is: the comparison lets it take effect only
once, and if it fails, the write id tells whether an earlier attempt was it.
"""

import datetime
import random
import time
import uuid
from collections.abc import Callable

import attrs

from trefoilgw import keyvalue as platform
from trefoilgw import registry
from trefoilgw.cli import audit
from trefoilgw.findings import core as findings
from trefoilgw.records import core as records

ATTEMPTS = 6
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 3.0


@attrs.frozen
class Stored:
    """The document at the platform.

    Attributes:
        revision: Its revision, or the newest one in the audit trail if it is
            gone or can't be read; 0 if there never was one.
        mod_revision: The service's revision of it; 0 if there is none.
        configuration: The configuration; None if there is none or it has
            findings.
        data: The document as stored.
    """

    revision: int = 0
    mod_revision: int = 0
    configuration: records.Configuration | None = None
    data: bytes = b""


@attrs.frozen
class Applied:
    """The revision was written.

    Attributes:
        revision: The revision.
        changes: What it changes.
        attempts: Attempts until an answer came.
        newer_revision: Revision that is stored by now; the same unless
            another operator wrote in the meantime.
    """

    revision: int
    changes: tuple[records.Change, ...]
    attempts: int
    newer_revision: int


@attrs.frozen
class Raced:
    """Another operator was first; nothing was written.

    Attributes:
        base_revision: Revision that the change was based on.
        revision: Newer revision that is stored.
        author: Who wrote the newer one.
        reason: Why.
        written_at: When.
    """

    base_revision: int
    revision: int
    author: str = ""
    reason: str = ""
    written_at: str = ""


@attrs.frozen
class Unchanged:
    """The draft is what is stored; nothing was written."""

    revision: int


@attrs.frozen
class NotWritten:
    """Nothing was written and nothing will be; the text says why."""

    detail: str


@attrs.frozen
class InDoubt:
    """The platform did not answer; the write may have taken effect.

    Attributes:
        revision: Revision that was to be written.
        write_id: Id by which the audit trail shows it.
        detail: The last failure.
    """

    revision: int
    write_id: str
    detail: str


@attrs.frozen
class Order:
    """What an operator wants to write.

    Attributes:
        draft: The configuration; its revision, if not 0, is the one on which
            it is based.
        author: Who writes.
        reason: Why.
    """

    draft: records.Configuration
    author: str
    reason: str


def read_stored(client: platform.Client) -> Stored | NotWritten:
    """Returns the document at the platform.

    If it is gone or can't be read, the newest audit entry gives its revision:
    processes take only a higher one, so revisions must go on from there.
    """
    value = client.get(registry.CONFIG_KEY)
    match value:
        case platform.Missing():
            mod_revision, data = 0, b""
        case platform.KeyValue(data=data, mod_revision=mod_revision):
            revision = records.document_revision(data)
            parsed = records.parse_document(data)
            known = None if isinstance(parsed, tuple) else parsed
            if revision:
                return Stored(revision, mod_revision, known, data)
        case _:
            return NotWritten(f"the platform does not answer: {value.detail}")
    newest = client.range(
        platform.Read(
            registry.AUDIT_PREFIX,
            prefix=True,
            keys_only=True,
            limit=1,
            descending=True,
        )
    )
    if not isinstance(newest, platform.Page):
        return NotWritten(f"the platform does not answer: {newest.detail}")
    revision = 0
    if newest.items:
        revision = registry.audit_revision(newest.items[0].key)
    return Stored(revision, mod_revision, None, data)


def _utc_now() -> datetime.datetime:
    """Returns the time in UTC."""
    return datetime.datetime.now(datetime.UTC)


@attrs.define(eq=False)
class Writer:
    """Writes revisions.

    Attributes:
        client: Client of the platform.
        rng: Source of jitter and of write ids.
        sleep: Waits between attempts.
        wall_clock: Returns the time for the audit trail, in UTC.
    """

    client: platform.Client
    rng: random.Random = attrs.field(factory=random.SystemRandom)
    sleep: Callable[[float], None] = time.sleep
    wall_clock: Callable[[], datetime.datetime] = _utc_now

    def write(
        self, order: Order, stored: Stored
    ) -> (
        Applied
        | Raced
        | Unchanged
        | NotWritten
        | InDoubt
        | tuple[findings.Finding, ...]
    ):
        """Writes a draft on top of the document that was read."""
        based_on = order.draft.revision
        if based_on not in (0, stored.revision):
            return _raced(based_on, stored.data)
        changes = records.difference(stored.configuration, order.draft)
        if not changes and stored.configuration is not None:
            return Unchanged(stored.revision)
        new = attrs.evolve(
            order.draft,
            revision=stored.revision + 1,
            write_id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            author=order.author,
            reason=order.reason,
            written_at=self.wall_clock().isoformat(timespec="seconds"),
        )
        data = records.encode_document(new)
        if isinstance(data, tuple):
            return data
        return self._write(new, data, changes, stored)

    def _write(
        self,
        new: records.Configuration,
        data: bytes,
        changes: tuple[records.Change, ...],
        stored: Stored,
    ) -> Applied | Raced | NotWritten | InDoubt:
        """Repeats the transaction until its outcome is known."""
        entry = audit.make_entry(new, stored.revision, changes)
        compares = [platform.Compare(registry.CONFIG_KEY, stored.mod_revision)]
        puts = [
            platform.Put(registry.CONFIG_KEY, data),
            platform.Put(
                registry.audit_key(new.revision), audit.encode_entry(entry)
            ),
        ]
        in_doubt = False
        detail = ""
        for attempt in range(1, ATTEMPTS + 1):
            result = self.client.txn(compares, puts)
            match result:
                case platform.Committed():
                    return Applied(new.revision, changes, attempt, new.revision)
                case platform.Conflict(value=value):
                    if not in_doubt:
                        return _raced(stored.revision, _data(value))
                    known = self._resolve(new, changes, attempt, value)
                    if known is not None:
                        return known
                    detail = "the audit trail can't be read"
                case platform.Rejected(detail=detail):
                    return NotWritten(f"the platform refused: {detail}")
                case platform.Unavailable(detail=detail):
                    in_doubt = in_doubt or result.may_have_taken_effect
            if attempt < ATTEMPTS:
                self.sleep(self._backoff_s(attempt))
        if in_doubt:
            return InDoubt(new.revision, new.write_id, detail)
        return NotWritten(f"the platform does not answer: {detail}")

    def _resolve(
        self,
        new: records.Configuration,
        changes: tuple[records.Change, ...],
        attempt: int,
        value: platform.KeyValue | platform.Missing,
    ) -> Applied | Raced | None:
        """Returns whether an earlier attempt was the write that won.

        The document shows its own write id. If another operator has written
        on top since, the audit entry of the revision shows it.

        Returns:
            None if the audit entry can't be read now.
        """
        data = _data(value)
        revision = records.document_revision(data)
        parsed = records.parse_document(data) if data else None
        if getattr(parsed, "write_id", "") == new.write_id:
            return Applied(new.revision, changes, attempt, revision)
        if revision <= new.revision:
            return _raced(new.revision - 1, data)
        found = self.client.get(registry.audit_key(new.revision))
        if isinstance(found, platform.Unavailable | platform.Rejected):
            return None
        entry = audit.parse_entry(_data(found))
        if getattr(entry, "write_id", "") == new.write_id:
            return Applied(new.revision, changes, attempt, revision)
        return _raced(new.revision - 1, data)

    def _backoff_s(self, attempt: int) -> float:
        """Returns a delay with full jitter, in seconds."""
        ceiling_s = min(RETRY_LIMIT_S, RETRY_BASE_S * 2**attempt)
        return self.rng.uniform(0.0, ceiling_s)


def _data(value: platform.KeyValue | platform.Missing) -> bytes:
    """Returns what a key holds, empty if it is not there."""
    return value.data if isinstance(value, platform.KeyValue) else b""


def _raced(base_revision: int, data: bytes) -> Raced:
    """Returns the news of a lost race from the document that won."""
    revision = records.document_revision(data)
    parsed = records.parse_document(data) if data else None
    if not isinstance(parsed, records.Configuration):
        return Raced(base_revision, revision)
    return Raced(
        base_revision,
        revision,
        parsed.author,
        parsed.reason,
        parsed.written_at,
    )
