"""Writes a revision of the configuration exactly once, despite retries.

One transaction checks that the stored document is still the one that was read,
and writes the new document and its audit entry. Both contain the write id. If
the answer to a write is lost, the same transaction is repeated: the comparison
lets it take effect only once. If the comparison fails, the write id shows
whether an earlier attempt took effect.
"""

import datetime
import random
import time
import uuid
from collections.abc import Callable

import attrs

from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.cli import audit
from trefoilgw.findings import core as findings
from trefoilgw.records import core as records

MAX_ATTEMPTS = 6
BASE_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 3.0


@attrs.frozen
class StoredDocument:
    """The configuration document as stored at the platform.

    Attributes:
        revision: Revision of the document, or the newest revision in the audit
            trail if the document is missing or unreadable; 0 if none was ever
            written.
        mod_revision: Modification revision of the key in the key-value
            service; 0 if there is no document.
        configuration: Parsed configuration; None if there is no document or it
            has findings.
        data: Stored bytes of the document.
    """

    revision: int = 0
    mod_revision: int = 0
    configuration: records.Configuration | None = None
    data: bytes = b""


@attrs.frozen
class Applied:
    """The revision was written.

    Attributes:
        revision: Written revision.
        changes: Changes of this revision.
        attempts: Number of attempts until the outcome was known.
        newer_revision: Revision that is stored now; higher than `revision` if
            another operator wrote in the meantime.
    """

    revision: int
    changes: tuple[records.Change, ...]
    attempts: int
    newer_revision: int


@attrs.frozen
class RevisionConflict:
    """Another operator wrote a newer revision; nothing was written.

    Attributes:
        base_revision: Revision on which the draft is based.
        revision: Newer revision that is stored.
        author: Author of the newer revision.
        reason: Reason given for the newer revision.
        written_at: Time of the newer revision, UTC in ISO 8601.
    """

    base_revision: int
    revision: int
    author: str = ""
    reason: str = ""
    written_at: str = ""


@attrs.frozen
class Unchanged:
    """The draft equals the stored configuration; nothing was written."""

    revision: int


@attrs.frozen
class NotWritten:
    """Nothing was written, and no attempt can still take effect.

    Attributes:
        detail: Why nothing was written.
    """

    detail: str


@attrs.frozen
class InDoubt:
    """The platform did not answer; the write may have taken effect.

    Attributes:
        revision: Revision that was to be written.
        write_id: Identifier by which the write can be found in the audit trail.
        detail: Description of the last failure.
    """

    revision: int
    write_id: str
    detail: str


@attrs.frozen
class WriteRequest:
    """Request of an operator to write a configuration.

    Attributes:
        draft: Configuration to write; its revision, if not 0, is the one on
            which it is based.
        author: Operator who writes it.
        reason: Reason for the audit trail.
    """

    draft: records.Configuration
    author: str
    reason: str


def read_stored(client: keyvalue.Client) -> StoredDocument | NotWritten:
    """Reads the document from the platform.

    If the document is missing or unreadable, its revision is taken from the
    newest audit entry: processes accept only higher revisions, so numbering
    must continue from there.
    """
    value = client.get(registry.CONFIG_KEY)
    match value:
        case keyvalue.Missing():
            mod_revision, data = 0, b""
        case keyvalue.KeyValue(data=data, mod_revision=mod_revision):
            revision = records.document_revision(data)
            parsed = records.parse_document(data)
            known = None if isinstance(parsed, tuple) else parsed
            if revision:
                return StoredDocument(revision, mod_revision, known, data)
        case _:
            return NotWritten(f"the platform does not answer: {value.detail}")
    newest = client.range(
        keyvalue.Read(
            registry.AUDIT_PREFIX,
            prefix=True,
            keys_only=True,
            limit=1,
            descending=True,
        )
    )
    if not isinstance(newest, keyvalue.Page):
        return NotWritten(f"the platform does not answer: {newest.detail}")
    revision = 0
    if newest.items:
        revision = registry.audit_revision(newest.items[0].key)
    return StoredDocument(revision, mod_revision, None, data)


def _utc_now() -> datetime.datetime:
    """Returns the current time in UTC."""
    return datetime.datetime.now(datetime.UTC)


@attrs.define(eq=False)
class Writer:
    """Writes revisions of the configuration.

    Attributes:
        client: Client of the platform.
        rng: Random number generator for jitter and write ids.
        sleep: Sleeps between attempts, for a number of seconds.
        wall_clock: Returns the current time in UTC, for the audit trail.
    """

    client: keyvalue.Client
    rng: random.Random = attrs.field(factory=random.SystemRandom)
    sleep: Callable[[float], None] = time.sleep
    wall_clock: Callable[[], datetime.datetime] = _utc_now

    def write(
        self, request: WriteRequest, stored: StoredDocument
    ) -> (
        Applied
        | RevisionConflict
        | Unchanged
        | NotWritten
        | InDoubt
        | tuple[findings.Finding, ...]
    ):
        """Writes a draft on top of the stored document that was read.

        Returns:
            The outcome, or findings if the draft can't be encoded.
        """
        based_on = request.draft.revision
        if based_on not in (0, stored.revision):
            return _make_conflict(based_on, stored.data)
        changes = records.difference(stored.configuration, request.draft)
        if not changes and stored.configuration is not None:
            return Unchanged(stored.revision)
        new = attrs.evolve(
            request.draft,
            revision=stored.revision + 1,
            write_id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            author=request.author,
            reason=request.reason,
            written_at=self.wall_clock().isoformat(timespec="seconds"),
        )
        data = records.encode_document(new)
        if isinstance(data, tuple):
            return data
        return self._commit(new, data, changes, stored)

    def _commit(
        self,
        new: records.Configuration,
        data: bytes,
        changes: tuple[records.Change, ...],
        stored: StoredDocument,
    ) -> Applied | RevisionConflict | NotWritten | InDoubt:
        """Repeats the transaction until its outcome is known.

        It is sent at most `MAX_ATTEMPTS` times.
        """
        entry = audit.make_entry(new, stored.revision, changes)
        compares = [keyvalue.Compare(registry.CONFIG_KEY, stored.mod_revision)]
        puts = [
            keyvalue.Put(registry.CONFIG_KEY, data),
            keyvalue.Put(
                registry.audit_key(new.revision), audit.encode_entry(entry)
            ),
        ]
        in_doubt = False
        detail = ""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            result = self.client.txn(compares, puts)
            match result:
                case keyvalue.Committed():
                    return Applied(new.revision, changes, attempt, new.revision)
                case keyvalue.Conflict(value=value):
                    if not in_doubt:
                        return _make_conflict(
                            stored.revision, _data_or_empty(value)
                        )
                    known = self._check_earlier_attempts(
                        new, changes, attempt, value
                    )
                    if known is not None:
                        return known
                    detail = "the audit trail can't be read"
                case keyvalue.Rejected(detail=detail):
                    return NotWritten(f"the platform refused: {detail}")
                case keyvalue.Unavailable(detail=detail):
                    in_doubt = in_doubt or result.may_have_taken_effect
            if attempt < MAX_ATTEMPTS:
                self.sleep(self._backoff_s(attempt))
        if in_doubt:
            return InDoubt(new.revision, new.write_id, detail)
        return NotWritten(f"the platform does not answer: {detail}")

    def _check_earlier_attempts(
        self,
        new: records.Configuration,
        changes: tuple[records.Change, ...],
        attempt: int,
        value: keyvalue.KeyValue | keyvalue.Missing,
    ) -> Applied | RevisionConflict | None:
        """Determines whether an earlier attempt took effect.

        The stored document contains the write id of its own write. If another
        operator has written a newer revision since, the audit entry of the
        revision contains the write id.

        Returns:
            The outcome, or None if the audit entry can't be read now.
        """
        data = _data_or_empty(value)
        revision = records.document_revision(data)
        parsed = records.parse_document(data) if data else None
        if getattr(parsed, "write_id", "") == new.write_id:
            return Applied(new.revision, changes, attempt, revision)
        if revision <= new.revision:
            return _make_conflict(new.revision - 1, data)
        found = self.client.get(registry.audit_key(new.revision))
        if isinstance(found, keyvalue.Unavailable | keyvalue.Rejected):
            return None
        entry = audit.parse_entry(_data_or_empty(found))
        if getattr(entry, "write_id", "") == new.write_id:
            return Applied(new.revision, changes, attempt, revision)
        return _make_conflict(new.revision - 1, data)

    def _backoff_s(self, attempt: int) -> float:
        """Returns a random delay (full jitter, exponential), in seconds."""
        ceiling_s = min(MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2**attempt)
        return self.rng.uniform(0.0, ceiling_s)


def _data_or_empty(value: keyvalue.KeyValue | keyvalue.Missing) -> bytes:
    """Returns the value of a key; empty if the key is missing."""
    return value.data if isinstance(value, keyvalue.KeyValue) else b""


def _make_conflict(base_revision: int, data: bytes) -> RevisionConflict:
    """Creates the conflict with the document that is stored now."""
    revision = records.document_revision(data)
    parsed = records.parse_document(data) if data else None
    if not isinstance(parsed, records.Configuration):
        return RevisionConflict(base_revision, revision)
    return RevisionConflict(
        base_revision,
        revision,
        parsed.author,
        parsed.reason,
        parsed.written_at,
    )
