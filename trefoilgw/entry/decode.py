"""Filter: decodes and checks the body of a submission.

It doesn't read the configuration; `identify` checks whether the kind exists.
"""

import json
import math

from trefoilgw.entry import exchange as exchanges
from trefoilgw.entry import host as hosts
from trefoilgw.jobs import model as jobs
from trefoilgw.outcomes import core as outcomes

MAX_TASKS = 310
# Agents keep the start marks of tasks for longer than this.
MAX_DEADLINE_S = 600.0

_FIELDS = frozenset({"kind", "tasks", "deadline_s", "idempotent"})


class _BodyError(Exception):
    """The body is not a valid submission; the message says why."""


def _reject_constant(text: str):
    """Rejects NaN and infinities, which are not JSON.

    Raises:
        ValueError: Always.
    """
    raise ValueError(f"{text} is not JSON")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)
_ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)
# Numbers may get longer when they are written again.
MAX_PAYLOADS_BYTES = 6 * 1024 * 1024


def apply(host: hosts.Host, exchange: exchanges.Exchange) -> None:
    """Sets the submission, or a pending refusal if the body is not valid."""
    if not exchange.is_submission:
        return
    try:
        exchange.submission = read_submission(exchange.request.body)
    except _BodyError as error:
        exchange.pending_refusal = outcomes.Refused(
            outcomes.Reason.BAD_REQUEST, not_run=True, detail=str(error)
        )


def read_submission(body: bytes) -> exchanges.Submission:
    """Returns the submission encoded in a body.

    Raises:
        _BodyError: The body is not valid.
    """
    fields = _read_object(body)
    unknown = sorted(fields.keys() - _FIELDS)
    if unknown:
        raise _BodyError(f"unknown field {unknown[0]!r}")
    kind = fields.get("kind")
    if not isinstance(kind, str) or not kind:
        raise _BodyError("kind must be the name of a kind")
    tasks = fields.get("tasks")
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= MAX_TASKS:
        raise _BodyError(f"tasks must be a list of 1 to {MAX_TASKS}")
    deadline_s = _read_deadline_s(fields.get("deadline_s"))
    idempotent = fields.get("idempotent")
    if idempotent is not None and not isinstance(idempotent, bool):
        raise _BodyError("idempotent must be true or false")
    payloads = tuple(_encode_payload(task) for task in tasks)
    if sum(map(len, payloads)) > MAX_PAYLOADS_BYTES:
        raise _BodyError("the tasks are too large")
    digest = jobs.digest(kind, payloads, deadline_s, idempotent)
    return exchanges.Submission(kind, payloads, deadline_s, idempotent, digest)


def _read_object(body: bytes) -> dict:
    """Returns the JSON object encoded in a body.

    Raises:
        _BodyError: The body is not a JSON object.
    """
    try:
        fields = _DECODER.decode(body.decode("utf-8"))
    except UnicodeDecodeError as error:
        raise _BodyError("the body is not UTF-8 text") from error
    except ValueError as error:
        raise _BodyError(f"the body is not JSON: {error}") from error
    except RecursionError as error:
        raise _BodyError("the body is nested too deeply") from error
    if not isinstance(fields, dict):
        raise _BodyError("the body must be a JSON object")
    return fields


def _read_deadline_s(value) -> float | None:
    """Returns the deadline in seconds, None if none is given.

    Raises:
        _BodyError: The value is not a number above 0 and at most
            `MAX_DEADLINE_S`.
    """
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _BodyError("deadline_s must be a number of seconds")
    if not math.isfinite(value) or not 0 < value <= MAX_DEADLINE_S:
        raise _BodyError(
            f"deadline_s must be above 0 and at most {MAX_DEADLINE_S:g}"
        )
    return float(value)


def _encode_payload(task) -> bytes:
    """Returns the payload of a task as JSON text."""
    try:
        return _ENCODER.encode(task).encode()
    except UnicodeEncodeError:
        # A lone surrogate has no UTF-8 form, only an escape.
        return json.dumps(task, separators=(",", ":")).encode()


def count_tasks(body: bytes) -> int | None:
    """Returns the number of tasks in a submission, None if it is not valid."""
    try:
        return len(read_submission(body).payloads)
    except _BodyError:
        return None


def read_ticket_count(body: bytes, limit: int) -> int | None:
    """Returns the requested number of tickets, None if it is not valid.

    An empty body or one without a count requests 1.
    """
    try:
        count = _read_object(body).get("count", 1) if body else 1
    except _BodyError:
        return None
    valid = type(count) is int and 1 <= count <= limit
    return count if valid else None
