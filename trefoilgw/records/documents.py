"""Checks of a whole configuration document.

The checks work on plain JSON values, so that one faulty field hides none of
the others. Records are built from the values only when all are right.
"""

import collections
import json
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import checks
from trefoilgw.records import schemas

DOCUMENT_LIMIT_BYTES = 1_000_000
SECTIONS = ("customers", "services", "kinds")
DOCUMENT_PLACE = "document"


@attrs.frozen
class Checked:
    """A document without findings, with defaults filled in.

    Attributes:
        fields: Values of the document itself.
        records: Values of the records, each in its own schema.
    """

    fields: Mapping[str, object]
    records: Mapping[str, list[dict]]


class _Object(dict):
    """A JSON object that remembers which keys stood there twice."""

    repeated: tuple[str, ...] = ()


def too_large(size: int) -> findings.Finding:
    """Returns the finding of a document above the limit."""
    return findings.Finding(
        DOCUMENT_PLACE,
        f"must have at most {DOCUMENT_LIMIT_BYTES} bytes, not {size}",
    )


def load(data: bytes) -> object | findings.Finding:
    """Returns the JSON values of a document or why there are none."""
    if len(data) > DOCUMENT_LIMIT_BYTES:
        return too_large(len(data))
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_object,
            parse_constant=_refuse_constant,
        )
    except RecursionError:
        text = "nested too deeply"
    except ValueError as error:  # Also bad UTF-8 and numbers too long.
        text = f"not valid JSON: {error}"
    return findings.Finding(DOCUMENT_PLACE, text)


@attrs.frozen
class _Placed:
    """A record as given, with its place."""

    place: str
    values: dict


def check(data: bytes) -> Checked | tuple[findings.Finding, ...]:
    """Returns the values of a document, or every finding."""
    values = load(data)
    if isinstance(values, findings.Finding):
        return (values,)
    if not isinstance(values, dict):
        text = "must be an object with customers, services and kinds"
        return (findings.Finding(DOCUMENT_PLACE, text),)
    found: list[findings.Finding] = []
    given = {k: v for k, v in values.items() if k not in SECTIONS}
    found += _check_fields(DOCUMENT_PLACE, given, schemas.DOCUMENT_FIELDS)
    found += _repeated(DOCUMENT_PLACE, values)
    records = {}
    for section in SECTIONS:
        records[section], faults = _place_records(section, values)
        found += faults
        for record in records[section]:
            found += _check_record(section, record)
    found += _check_references(values, records)
    found += _check_tokens(records["customers"])
    return tuple(found) if found else _complete(given, records)


def _complete(given: Mapping, records: Mapping[str, list[_Placed]]) -> Checked:
    """Returns checked values with a default for each absent field."""
    complete = {}
    for section in SECTIONS:
        rows = [record.values for record in records[section]]
        complete[section] = [
            _with_defaults(row, schemas.RECORD_FIELDS[section, row["schema"]])
            for row in rows
        ]
    return Checked(_with_defaults(given, schemas.DOCUMENT_FIELDS), complete)


def _object(pairs: list[tuple[str, object]]) -> _Object:
    """Returns a JSON object from its pairs."""
    made = _Object(pairs)
    if len(made) < len(pairs):
        counts = collections.Counter(key for key, _ in pairs)
        made.repeated = tuple(key for key, n in counts.items() if n > 1)
    return made


def _refuse_constant(name: str) -> None:
    """Refuses NaN and Infinity, which JSON does not have."""
    raise ValueError(f"{name} is not a JSON number")


def _repeated(place: str, values: dict) -> Iterable[findings.Finding]:
    """Yields a finding for each key that stands twice in an object."""
    for key in getattr(values, "repeated", ()):
        yield findings.Finding(f"{place}/{key}", "is given more than once")


def _place_records(
    section: str, values: Mapping
) -> tuple[list[_Placed], list[findings.Finding]]:
    """Returns the records of a section that are objects, and the findings."""
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
        records.append(_Placed(place, item))
    return records, found


def _check_record(section: str, record: _Placed) -> Iterable[findings.Finding]:
    """Yields the findings of one record."""
    yield from _repeated(record.place, record.values)
    schema = record.values.get("schema")
    fault = schemas.RECORD_FIELDS[section, 2]["schema"].check(schema)
    if fault:
        # Without its schema, the record's other fields can't be judged.
        yield findings.Finding(f"{record.place}/schema", fault)
        return
    rules = schemas.RECORD_FIELDS[section, schema]
    yield from _check_fields(record.place, record.values, rules)
    if section == "kinds":
        yield from _check_run_time(record, rules)


def _check_fields(
    place: str, values: Mapping, rules: Mapping[str, schemas.FieldRule]
) -> Iterable[findings.Finding]:
    """Yields a finding for each wrong, unknown or missing field."""
    for key, value in values.items():
        fault = "is not a field of this schema"
        if key in rules:
            fault = rules[key].check(value)
        if fault:
            yield findings.Finding(f"{place}/{checks.key(key)}", fault)
    for key, rule in rules.items():
        if rule.default is schemas.REQUIRED and key not in values:
            yield findings.Finding(f"{place}/{key}", "is missing")


def _check_run_time(
    record: _Placed, rules: Mapping[str, schemas.FieldRule]
) -> Iterable[findings.Finding]:
    """Yields the finding of a kind whose tasks can't meet the deadline."""
    run_time_s = record.values.get("run_time_s")
    deadline_s = record.values.get("deadline_s")
    wrong = rules["run_time_s"].check(run_time_s) or rules["deadline_s"].check(
        deadline_s
    )
    if not wrong and run_time_s > deadline_s:
        text = f"must be at most deadline_s ({deadline_s}), not {run_time_s}"
        yield findings.Finding(f"{record.place}/run_time_s", text)


def _check_references(
    values: Mapping, records: Mapping[str, list[_Placed]]
) -> Iterable[findings.Finding]:
    """Yields a finding for each name in a kind that no record has."""
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
    """Contains every name."""

    def __contains__(self, name: str) -> bool:
        return True


def _known_names(
    values: Mapping, records: Mapping[str, list[_Placed]], section: str
) -> set[str] | _AnyName:
    """Returns the names that a reference may have.

    Without the section, a finding per reference would only hide the cause.
    """
    if not isinstance(values.get(section), list):
        return _AnyName()
    return {str(record.values.get("name")) for record in records[section]}


def _check_tokens(customers: list[_Placed]) -> Iterable[findings.Finding]:
    """Yields a finding for each token that two customers share.

    A request with that token could not be attributed.
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
