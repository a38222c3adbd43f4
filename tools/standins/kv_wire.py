"""Request and response formats of the key-value stand-in's gateway."""

import json
import re
from collections.abc import Callable

from tools.standins import kv_store

JSON_HEADERS = [("Content-Type", "application/json")]
STATUS_LINES = {
    kv_store.INVALID_ARGUMENT: "400 Bad Request",
    kv_store.NOT_FOUND: "404 Not Found",
    kv_store.RESOURCE_EXHAUSTED: "429 Too Many Requests",
    kv_store.OUT_OF_RANGE: "400 Bad Request",
    kv_store.UNIMPLEMENTED: "501 Not Implemented",
}
_CAMEL_CASE_BOUNDARY = re.compile(r"(?<=[a-z])([A-Z])")


def is_write(kind: str, request: dict) -> bool:
    """Returns whether a call counts as a write for the rate limits.

    A transaction counts as one if either of its branches changes keys.
    """
    if kind != "txn":
        return kind != "range"
    operations = request.get("success", []) + request.get("failure", [])
    return any("request_range" not in item for item in operations)


def error_response(
    start_response: Callable, error: kv_store.KvError
) -> list[bytes]:
    """Sends an error status as the gateway does; returns the body."""
    start_response(STATUS_LINES[error.code], JSON_HEADERS)
    text = str(error)
    body = {"error": text, "code": error.code, "message": text}
    return [json.dumps(body).encode()]


def json_body(environ: dict) -> dict:
    """Returns the JSON object in a request's body; empty if there is none.

    Raises:
        ValueError: The body is not a JSON object.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    content = _to_snake_case(json.loads(body)) if body else {}
    if not isinstance(content, dict):
        raise ValueError("the body must be an object")
    return content


def _to_snake_case(value: object) -> object:
    """Returns a JSON value with the field names of the protocol definition.

    The gateway accepts both ``requestPut`` and ``request_put``.
    """
    match value:
        case dict():
            return {
                _CAMEL_CASE_BOUNDARY.sub(r"_\1", key).lower()
                if not key.isupper()
                else key: _to_snake_case(inner)
                for key, inner in value.items()
            }
        case list():
            return [_to_snake_case(inner) for inner in value]
    return value
