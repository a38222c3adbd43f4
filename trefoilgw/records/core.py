"""The configuration document: customers, services and kinds of work.

This module decodes a document into records and encodes records as a document.
The package `rollout` decides which revision is in force.
"""

import hashlib
import json
from collections.abc import Iterable

import attrs
import cattrs

from trefoilgw.findings import core as findings
from trefoilgw.records import documents
from trefoilgw.records import schemas

# The platform stores values up to 1 MB.
MAX_DOCUMENT_BYTES = documents.MAX_DOCUMENT_BYTES


@attrs.frozen
class Customer:
    """A customer and its quotas.

    Attributes:
        name: Unique among the customers.
        schema: Schema in which the record is written, 1 or 2.
        token_sha256: SHA-256 of the bearer token in hex.
        weight: Share of capacity under overload, relative to the other
            customers.
        starts_s: Quota of task starts per second, summed over all entries.
        running_limit_tasks: Maximum number of concurrently running tasks,
            summed over all entries.
        status: ``active`` or ``departed``; a departed customer is served
            under the same quotas until its record is removed.
        contact: Remark for operators; it has no effect.
    """

    name: str
    schema: int
    token_sha256: str
    weight: float
    starts_s: float
    running_limit_tasks: int
    status: str
    contact: str = ""


@attrs.frozen
class Service:
    """A service that targets offer.

    Attributes:
        name: Unique among the services.
        schema: Schema in which the record is written, 1 or 2.
    """

    name: str
    schema: int


@attrs.frozen
class Kind:
    """A kind of work.

    Attributes:
        name: Unique among the kinds.
        schema: Schema in which the record is written, 1 or 2.
        service: Service that runs the tasks.
        customers: Customers that may submit this kind.
        urgency: ``urgent``, ``normal`` or ``background``.
        weight: Share of capacity under overload, relative to the customer's
            other kinds.
        deadline_s: Seconds from acceptance to the end of a job, if the
            request does not set a deadline.
        run_time_s: Initial estimate of a task's run time in seconds.
        idempotent: Whether a task may safely run more than once, if the
            request does not say.
    """

    name: str
    schema: int
    service: str
    customers: tuple[str, ...]
    urgency: str
    weight: float
    deadline_s: float
    run_time_s: float
    idempotent: bool


@attrs.frozen
class Configuration:
    """One revision of the configuration.

    Attributes:
        revision: Incremented by each write; 0 for a draft.
        write_id: Unique id of the write, by which the writer recognizes it if
            the response to the write was lost.
        author: Operator who wrote the revision.
        reason: Reason that the operator gave for the write.
        written_at: Time of the write, UTC in ISO 8601.
        customers: Customer records.
        services: Service records.
        kinds: Kind records.
        draining: Names of the agents that receive no new work.
    """

    revision: int
    write_id: str
    author: str
    reason: str
    written_at: str
    customers: tuple[Customer, ...]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    draining: tuple[str, ...] = ()
    _by_digest: dict = attrs.field(init=False, eq=False, repr=False)
    _by_kind: dict = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        """Builds the indexes, because every request uses both lookups."""
        by_digest = {item.token_sha256: item for item in self.customers}
        by_kind = {item.name: item for item in self.kinds}
        object.__setattr__(self, "_by_digest", by_digest)
        object.__setattr__(self, "_by_kind", by_kind)

    def customer_by_token(self, token: str) -> Customer | None:
        """Returns the customer with a bearer token, None if there is none."""
        data = token.encode("utf-8", "surrogatepass")
        return self._by_digest.get(hashlib.sha256(data).hexdigest())

    def kind(self, name: str) -> Kind | None:
        """Returns the kind of work with a name, None if there is none."""
        return self._by_kind.get(name)


@attrs.frozen
class Change:
    """A difference in one field between two configurations.

    Attributes:
        record: Section and name, such as ``customers/bluebonnet``, or
            ``draining``.
        field: Name of the field; for ``draining``, name of the agent.
        old: Value before the change, None if the record is new.
        new: Value after the change, None if the record was removed.
    """

    record: str
    field: str
    old: object
    new: object


_RECORD_CLASSES = {"customers": Customer, "services": Service, "kinds": Kind}
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def parse_document(
    data: bytes,
) -> Configuration | tuple[findings.Finding, ...]:
    """Decodes and validates a document.

    Args:
        data: JSON text in UTF-8, at most 1 MB.

    Returns:
        The configuration with records upgraded to schema 2, or all findings,
        each with ``record/field`` as its place.
    """
    checked = documents.check_document(data)
    if not isinstance(checked, documents.CheckedDocument):
        return checked
    values = dict(checked.fields)
    for section, record_class in _RECORD_CLASSES.items():
        upgraded = (
            schemas.upgrade(section, x) for x in checked.records[section]
        )
        values[section] = tuple(
            _CONVERTER.structure(record, record_class) for record in upgraded
        )
    values["draining"] = tuple(values["draining"])
    return Configuration(**values)


def document_revision(data: bytes) -> int:
    """Returns the revision of a document without validating the rest.

    Returns:
        The revision; 0 if the document can't be decoded or has none.
    """
    values = documents.decode_json(data)
    revision = values.get("revision", 0) if isinstance(values, dict) else 0
    return revision if type(revision) is int and revision > 0 else 0


def encode_document(
    configuration: Configuration,
) -> bytes | tuple[findings.Finding, ...]:
    """Encodes a configuration as a document.

    Each record is written in its own schema.

    Returns:
        JSON text in UTF-8, or the finding that it exceeds 1 MB.
    """
    data = json.dumps(
        to_json_values(configuration), separators=(",", ":")
    ).encode()
    if len(data) > MAX_DOCUMENT_BYTES:
        return (documents.too_large_finding(len(data)),)
    return data


def to_json_values(configuration: Configuration) -> dict:
    """Returns a configuration as JSON values, each record in its own schema."""
    values = {
        name: getattr(configuration, name) for name in schemas.DOCUMENT_FIELDS
    }
    values["draining"] = list(configuration.draining)
    for section in _RECORD_CLASSES:
        records = getattr(configuration, section)
        values[section] = [
            schemas.downgrade(section, _CONVERTER.unstructure(record))
            for record in records
        ]
    return values


def difference(
    old: Configuration | None, new: Configuration
) -> tuple[Change, ...]:
    """Returns the changes of records and draining between configurations.

    Fields about the write itself, such as revision and author, are left out.

    Args:
        old: The earlier configuration; None for an empty one.
        new: The later configuration.
    """
    changes: list[Change] = []
    for section in _RECORD_CLASSES:
        before = {x.name: x for x in getattr(old, section, ())}
        after = {x.name: x for x in getattr(new, section)}
        for name in sorted(before.keys() | after.keys()):
            changes += _record_changes(
                f"{section}/{name}", before.get(name), after.get(name)
            )
    before = set(getattr(old, "draining", ()))
    for name in sorted(before.symmetric_difference(new.draining)):
        drained = name in before
        changes.append(Change("draining", name, drained, not drained))
    return tuple(changes)


def _record_changes(place: str, old, new) -> Iterable[Change]:
    """Yields the changes of one record.

    Args:
        place: Section and name of the record.
        old: The record before, None if it did not exist.
        new: The record after, None if it was removed.
    """
    for field in attrs.fields(type(new if old is None else old)):
        before = getattr(old, field.name, None)
        after = getattr(new, field.name, None)
        if before != after and field.name != "name":
            yield Change(
                place, field.name, _tuple_to_list(before), _tuple_to_list(after)
            )


def _tuple_to_list(value):
    """Returns a tuple as a list, the form it has in JSON."""
    return list(value) if isinstance(value, tuple) else value
