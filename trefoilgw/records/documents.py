"""Validation of a whole configuration document.

The checks work on plain JSON values, so that an invalid field does not hide
the findings about other fields. Records are built from the values only if the
whole document is valid.
"""

import collections
import json
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import checks
from trefoilgw.records import schemas

MAX_DOCUMENT_BYTES = 1_000_000
SECTIONS = ("customers", "services", "kinds")
DOCUMENT_PLACE = "document"


@attrs.frozen
class CheckedDocument:
    """The values of a valid document, with defaults filled in.

    Attributes:
        fields: Top-level fields other than the sections of records.
        records: Records by section, each with the fields of its own schema.
    """

    fields: Mapping[str, object]
    records: Mapping[str, list[dict]]


class _JsonObject(dict):
    """A JSON object that also keeps the keys given more than once.

    Attributes:
        duplicate_keys: Each such key once, in order of first appearance.
    """

    duplicate_keys: tuple[str, ...] = ()


def too_large_finding(size: int) -> findings.Finding:
    """Returns the finding for a document that exceeds the size limit.

    Args:
        size: Size of the document in bytes.
    """
    return findings.Finding(
        DOCUMENT_PLACE,
        f"must have at most {MAX_DOCUMENT_BYTES} bytes, not {size}",
    )


def decode_json(data: bytes) -> object | findings.Finding:
    """Decodes a document without checking its fields.

    Returns:
        The decoded JSON value, or a finding if the document exceeds 1 MB or
        is not valid JSON.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return too_large_finding(len(data))
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_make_object,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        text = "nested too deeply"
    except ValueError as error:  # Includes invalid UTF-8 and overlong integers.
        text = f"not valid JSON: {error}"
    return findings.Finding(DOCUMENT_PLACE, text)


@attrs.frozen
class _LocatedRecord:
    """A record as given in the document.

    Attributes:
        place: Start of the place of findings about the record, such as
            ``customers/bluebonnet`` or, without a valid name, ``customers[0]``.
        values: Fields of the record.
    """

    place: str
    values: dict


def check_document(
    data: bytes,
) -> CheckedDocument | tuple[findings.Finding, ...]:
    """Validates a document.

    Returns:
        The values with defaults filled in, or all findings.
    """
    values = decode_json(data)
    if isinstance(values, findings.Finding):
        return (values,)
    if not isinstance(values, dict):
        text = "must be an object with customers, services and kinds"
        return (findings.Finding(DOCUMENT_PLACE, text),)
    found: list[findings.Finding] = []
    document_fields = {k: v for k, v in values.items() if k not in SECTIONS}
    found += _check_fields(
        DOCUMENT_PLACE, document_fields, schemas.DOCUMENT_FIELDS
    )
    found += _check_duplicate_keys(DOCUMENT_PLACE, values)
    records = {}
    for section in SECTIONS:
        records[section], faults = _collect_records(section, values)
        found += faults
        for record in records[section]:
            found += _check_record(section, record)
    found += _check_references(values, records)
    found += _check_shared_tokens(records["customers"])
    return tuple(found) if found else _fill_defaults(document_fields, records)


def _fill_defaults(
    document_fields: Mapping, records: Mapping[str, list[_LocatedRecord]]
) -> CheckedDocument:
    """Returns a checked document with a default for each absent field."""
    complete = {}
    for section in SECTIONS:
        given = [record.values for record in records[section]]
        complete[section] = [
            _with_defaults(x, schemas.RECORD_FIELDS[section, x["schema"]])
            for x in given
        ]
    return CheckedDocument(
        _with_defaults(document_fields, schemas.DOCUMENT_FIELDS), complete
    )


def _make_object(pairs: list[tuple[str, object]]) -> _JsonObject:
    """Builds a JSON object from its pairs and records duplicate keys."""
    result = _JsonObject(pairs)
    if len(result) < len(pairs):
        counts = collections.Counter(key for key, _ in pairs)
        result.duplicate_keys = tuple(key for key, n in counts.items() if n > 1)
    return result


def _reject_constant(name: str) -> None:
    """Raises ValueError for NaN and Infinity, which are not JSON."""
    raise ValueError(f"{name} is not a JSON number")


def _check_duplicate_keys(
    place: str, values: dict
) -> Iterable[findings.Finding]:
    """Yields a finding for each duplicate key of an object."""
    for key in getattr(values, "duplicate_keys", ()):
        yield findings.Finding(f"{place}/{key}", "is given more than once")


def _collect_records(
    section: str, values: Mapping
) -> tuple[list[_LocatedRecord], list[findings.Finding]]:
    """Collects the records of a section.

    Returns:
        The items that are JSON objects, and findings for items that are not
        and for duplicate names.
    """
    items = values.get(section)
    if not isinstance(items, list):
        text = "must be a list of records"
        return [], [findings.Finding(f"{DOCUMENT_PLACE}/{section}", text)]
    records = []
    found = []
    names = set()
    for index, item in enumerate(items):
        place = f"{section}[{index}]"
        if not isinstance(item, dict):
            found.append(findings.Finding(place, "must be an object"))
            continue
        name = item.get("name")
        if not checks.name(name):
            place = f"{section}/{name}"
            if name in names:
                text = f"another record of {section} has this name"
                found.append(findings.Finding(f"{place}/name", text))
            names.add(name)
        records.append(_LocatedRecord(place, item))
    return records, found


def _check_record(
    section: str, record: _LocatedRecord
) -> Iterable[findings.Finding]:
    """Yields the findings for one record."""
    yield from _check_duplicate_keys(record.place, record.values)
    schema = record.values.get("schema")
    fault = schemas.RECORD_FIELDS[section, 2]["schema"].check(schema)
    if fault:
        # The schema determines which other fields the record may have.
        yield findings.Finding(f"{record.place}/schema", fault)
        return
    rules = schemas.RECORD_FIELDS[section, schema]
    yield from _check_fields(record.place, record.values, rules)
    if section == "kinds":
        yield from _check_run_time(record, rules)


def _check_fields(
    place: str, values: Mapping, rules: Mapping[str, schemas.FieldRule]
) -> Iterable[findings.Finding]:
    """Yields a finding for each invalid, unknown or missing field."""
    for key, value in values.items():
        fault = "is not a field of this schema"
        if key in rules:
            fault = rules[key].check(value)
        if fault:
            yield findings.Finding(f"{place}/{checks.shorten_key(key)}", fault)
    for key, rule in rules.items():
        if rule.default is schemas.REQUIRED and key not in values:
            yield findings.Finding(f"{place}/{key}", "is missing")


def _check_run_time(
    record: _LocatedRecord, rules: Mapping[str, schemas.FieldRule]
) -> Iterable[findings.Finding]:
    """Yields a finding if a kind's run time exceeds its deadline.

    Tasks of such a kind could never meet the deadline.
    """
    run_time_s = record.values.get("run_time_s")
    deadline_s = record.values.get("deadline_s")
    fault = rules["run_time_s"].check(run_time_s) or rules["deadline_s"].check(
        deadline_s
    )
    if not fault and run_time_s > deadline_s:
        text = f"must be at most deadline_s ({deadline_s}), not {run_time_s}"
        yield findings.Finding(f"{record.place}/run_time_s", text)


def _check_references(
    values: Mapping, records: Mapping[str, list[_LocatedRecord]]
) -> Iterable[findings.Finding]:
    """Yields a finding for each reference of a kind to a missing record."""
    services = _known_names(values, records, "services")
    customers = _known_names(values, records, "customers")
    rules = schemas.RECORD_FIELDS["kinds", 2]
    for record in records["kinds"]:
        service = record.values.get("service")
        if not rules["service"].check(service) and service not in services:
            text = f"no service has the name {service!r}"
            yield findings.Finding(f"{record.place}/service", text)
        names = record.values.get("customers")
        if rules["customers"].check(names):
            continue
        for name in names:
            if name not in customers:
                text = f"no customer has the name {name!r}"
                yield findings.Finding(f"{record.place}/customers", text)


class _AnyName:
    """A container that contains every name."""

    def __contains__(self, name: str) -> bool:
        return True


def _known_names(
    values: Mapping, records: Mapping[str, list[_LocatedRecord]], section: str
) -> set[str] | _AnyName:
    """Returns the names that references to a section may contain.

    If the section is missing or not a list, every name is accepted: a finding
    for each reference would only obscure the finding about the section.
    """
    if not isinstance(values.get(section), list):
        return _AnyName()
    return {str(record.values.get("name")) for record in records[section]}


def _check_shared_tokens(
    customers: list[_LocatedRecord],
) -> Iterable[findings.Finding]:
    """Yields a finding for each customer whose token an earlier one has.

    A request with a shared token could not be attributed to one customer.
    """
    owners: dict[str, str] = {}
    for record in customers:
        digest = record.values.get("token_sha256")
        if checks.digest(digest):
            continue
        owner = owners.setdefault(digest, record.place)
        if owner != record.place:
            text = f"{owner} has the same token"
            yield findings.Finding(f"{record.place}/token_sha256", text)


def _with_defaults(
    values: Mapping, rules: Mapping[str, schemas.FieldRule]
) -> dict:
    """Returns the values with a default for each absent field."""
    return {key: values.get(key, rule.default) for key, rule in rules.items()}
