"""Field rules of record schemas 1 and 2, and conversion between them.

Both schemas are in use, because operators migrate records one at a time.
Records are upgraded to schema 2 when a document is parsed, so the processes
only see that form.
"""

from collections.abc import Mapping

import attrs

from trefoilgw.records import checks

SCHEMAS = (1, 2)
URGENCIES = ("urgent", "normal", "background")
STATUSES = ("active", "departed")

MAX_WEIGHT = 1000
# Task starts per second; above the 22,000 of the whole fleet.
MAX_STARTS_S = 100_000
MAX_RUNNING_LIMIT_TASKS = 1_000_000
# Below the 900 s for which agents remember which tasks they have started.
MAX_DEADLINE_S = 600
MAX_REVISION = 2**53

REQUIRED = object()


@attrs.frozen
class FieldRule:
    """Check and default of one field.

    Attributes:
        check: Check that a value must pass.
        default: Value if the field is absent; REQUIRED if it has no default.
    """

    check: checks.Check
    default: object = REQUIRED


_name = FieldRule(checks.name)
_schema = FieldRule(checks.one_of(*SCHEMAS))
_digest = FieldRule(checks.digest)
_contact = FieldRule(checks.text, "")
_running_limit = FieldRule(checks.integer(1, MAX_RUNNING_LIMIT_TASKS))
_rate = FieldRule(checks.number(0, MAX_STARTS_S))
_seconds = FieldRule(checks.number(0, MAX_DEADLINE_S))
_weight = FieldRule(checks.number(0, MAX_WEIGHT))
_weight_or_one = FieldRule(checks.number(0, MAX_WEIGHT), 1.0)

_CUSTOMER_1 = {
    "name": _name,
    "schema": _schema,
    "token_sha256": _digest,
    "rate": _rate,
    "weight": _weight_or_one,
    "running_limit_tasks": _running_limit,
    "contact": _contact,
}
_CUSTOMER_2 = {
    "name": _name,
    "schema": _schema,
    "token_sha256": _digest,
    "weight": _weight,
    "starts_s": _rate,
    "running_limit_tasks": _running_limit,
    "status": FieldRule(checks.one_of(*STATUSES)),
    "contact": _contact,
}
_SERVICE = {"name": _name, "schema": _schema}
_KIND_1 = {
    "name": _name,
    "schema": _schema,
    "service": _name,
    "customers": FieldRule(checks.names(1)),
    "priority": FieldRule(checks.integer(0, 2)),
    "weight": _weight_or_one,
    "deadline_s": _seconds,
    "run_time_s": _seconds,
    "idempotent": FieldRule(checks.boolean, False),
}
_KIND_2 = {
    "name": _name,
    "schema": _schema,
    "service": _name,
    "customers": FieldRule(checks.names(1)),
    "urgency": FieldRule(checks.one_of(*URGENCIES)),
    "weight": _weight,
    "deadline_s": _seconds,
    "run_time_s": _seconds,
    "idempotent": FieldRule(checks.boolean),
}

RECORD_FIELDS: Mapping[tuple[str, int], Mapping[str, FieldRule]] = {
    ("customers", 1): _CUSTOMER_1,
    ("customers", 2): _CUSTOMER_2,
    ("services", 1): _SERVICE,
    ("services", 2): _SERVICE,
    ("kinds", 1): _KIND_1,
    ("kinds", 2): _KIND_2,
}
DOCUMENT_FIELDS: Mapping[str, FieldRule] = {
    "revision": FieldRule(checks.integer(0, MAX_REVISION), 0),
    "write_id": FieldRule(checks.text, ""),
    "author": FieldRule(checks.text, ""),
    "reason": FieldRule(checks.text, ""),
    "written_at": FieldRule(checks.text, ""),
    "draining": FieldRule(checks.names(0), ()),
}


def upgrade(section: str, values: dict) -> dict:
    """Returns a copy of a checked record with the fields of schema 2.

    The field ``schema`` keeps its value, so that `downgrade` can restore the
    original form.

    Args:
        section: ``customers``, ``services`` or ``kinds``.
        values: All fields of the record's schema, defaults included.
    """
    new = dict(values)
    if values["schema"] == 1 and section == "customers":
        new["starts_s"] = new.pop("rate")
        new["status"] = "active"
    elif values["schema"] == 1 and section == "kinds":
        new["urgency"] = URGENCIES[new.pop("priority")]
    return new


def downgrade(section: str, values: dict) -> dict:
    """Returns a copy of an upgraded record with its original fields.

    This reverses `upgrade`.
    """
    new = dict(values)
    if values["schema"] == 1 and section == "customers":
        new["rate"] = new.pop("starts_s")
        del new["status"]
    elif values["schema"] == 1 and section == "kinds":
        new["priority"] = URGENCIES.index(new.pop("urgency"))
    return new
