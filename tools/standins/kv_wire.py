"""Request and answer forms of the key-value stand-in's gateway."""

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
_CAMEL = re.compile(r"(?<=[a-z])([A-Z])")


def is_write(kind: str, request: dict) -> bool:
    """Returns whether a call counts as a write."""
    if kind != "txn":
        return kind != "range"
    operations = request.get("success", []) + request.get("failure", [])
    return any("request_range" not in item for item in operations)


def refuse(start_response: Callable, error: kv_store.KvError) -> list[bytes]:
    """Answers with an error as the gateway does."""
    start_response(STATUS_LINES[error.code], JSON_HEADERS)
    text = str(error)
    body = {"error": text, "code": error.code, "message": text}
    return [json.dumps(body).encode()]


def json_body(environ: dict) -> dict:
    """Returns the JSON object in a request's body; empty if there is none."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    content = _snake(json.loads(body)) if body else {}
    if not isinstance(content, dict):
        raise ValueError("the body must be an object")
    return content


def _snake(value: object) -> object:
    """Returns a request with field names as in the protocol definition.

    The gateway takes both ``requestPut`` and ``request_put``.
    """
    match value:
        case dict():
            return {
                _CAMEL.sub(r"_\1", key).lower()
                if not key.isupper()
                else key: _snake(inner)
                for key, inner in value.items()
            }
        case list():
            return [_snake(inner) for inner in value]
    return value
