"""Entries of the audit trail, one per written revision."""

import json
from collections.abc import Sequence

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import core as records

# Far below the size limit of 1 MB per value. The changes of the first document
# of a large system would exceed it; further changes are omitted and counted.
MAX_CHANGES_BYTES = 200_000


@attrs.frozen
class AuditEntry:
    """Audit record of a written revision.

    Attributes:
        revision: Written revision.
        from_revision: Revision on which it is based; 0 if there was none.
        write_id: Unique identifier of the write.
        author: Operator who wrote it.
        reason: Reason given by the operator.
        written_at: Time of the write, UTC in ISO 8601.
        changes: Changed fields.
        omitted_changes: Number of changes omitted because the entry would
            exceed `MAX_CHANGES_BYTES`.
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
    """Creates the audit entry of a configuration that is to be written."""
    kept = []
    size = 0
    for change in changes:
        size += len(json.dumps(attrs.asdict(change)))
        if size > MAX_CHANGES_BYTES:
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
    """Encodes an entry as JSON in UTF-8."""
    return json.dumps(attrs.asdict(entry), separators=(",", ":")).encode()


def parse_entry(data: bytes) -> AuditEntry | findings.Finding:
    """Parses a stored entry; returns a finding if it is invalid."""
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
