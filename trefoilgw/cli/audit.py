"""Entries of the audit trail: who changed what, when, why, from what."""

import json
from collections.abc import Sequence

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import core as records

# Far below the 1 MB of a value. The first document of a large system would
# exceed it; then the changes are cut off and counted.
CHANGES_LIMIT_BYTES = 200_000


@attrs.frozen
class AuditEntry:
    """One written revision.

    Attributes:
        revision: The revision.
        from_revision: The revision on which it was based, 0 for none.
        write_id: Unique id of the write.
        author: Who wrote it.
        reason: Why.
        written_at: When, UTC in ISO 8601.
        changes: Changed fields.
        omitted_changes: Changes left out because the entry was too large.
    """

    revision: int
    from_revision: int
    write_id: str
    author: str
    reason: str
    written_at: str
    changes: tuple[records.Change, ...]
    omitted_changes: int = 0


def make_entry(
    configuration: records.Configuration,
    from_revision: int,
    changes: Sequence[records.Change],
) -> AuditEntry:
    """Returns the audit entry of a configuration that is to be written."""
    kept = []
    size = 0
    for change in changes:
        size += len(json.dumps(attrs.asdict(change)))
        if size > CHANGES_LIMIT_BYTES:
            break
        kept.append(change)
    return AuditEntry(
        configuration.revision,
        from_revision,
        configuration.write_id,
        configuration.author,
        configuration.reason,
        configuration.written_at,
        tuple(kept),
        len(changes) - len(kept),
    )


def encode_entry(entry: AuditEntry) -> bytes:
    """Returns an entry as JSON in UTF-8."""
    return json.dumps(attrs.asdict(entry), separators=(",", ":")).encode()


def parse_entry(data: bytes) -> AuditEntry | findings.Finding:
    """Returns a stored entry, or why it can't be read."""
    try:
        values = json.loads(data.decode("utf-8"))
        names = [field.name for field in attrs.fields(AuditEntry)]
        fields = {name: values[name] for name in names}
        fields["changes"] = tuple(
            records.Change(x["record"], x["field"], x["old"], x["new"])
            for x in values["changes"]
        )
        fields["revision"] = int(values["revision"])
    except (ValueError, TypeError, LookupError, RecursionError) as error:
        return findings.Finding("audit", f"can't be read: {error!r}")
    return AuditEntry(**fields)
