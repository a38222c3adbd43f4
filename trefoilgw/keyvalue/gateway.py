"""Requests and answers of the etcd v3 HTTP/JSON gateway."""

import base64

from trefoilgw.keyvalue import values

# gRPC status codes that the gateway puts into its errors.
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
# Refusals of the request itself: they had no effect.
_REFUSALS = frozenset({3, NOT_FOUND, 6, 7, 9, 11, 12, 16})


def range_end(prefix: str) -> bytes:
    """Returns the end of the range of all keys with a prefix."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def to_text(data: bytes) -> str:
    """Returns bytes as a base64 field."""
    return base64.b64encode(data).decode()


def failure(status: int, answer: dict, writes: bool) -> values.Failure:
    """Returns what an error of the gateway means."""
    code = int(answer.get("code", 0))
    text = str(answer.get("message") or answer.get("error") or status)
    if code in _REFUSALS:
        return values.Rejected(code, text)
    if code == RESOURCE_EXHAUSTED:
        return values.Unavailable(text, may_have_taken_effect=False)
    return values.Unavailable(f"status {status}: {text}", writes)


def read_fields(read: values.Read) -> dict:
    """Returns a range request."""
    fields = {"key": to_text(read.key.encode())}
    if read.prefix:
        end = read.before.encode() or range_end(read.key)
        fields["range_end"] = to_text(end)
    if read.keys_only:
        fields["keys_only"] = True
    if read.limit:
        fields["limit"] = str(read.limit)
    if read.descending:
        fields |= {"sort_order": "DESCEND", "sort_target": "KEY"}
    return fields


def compare_fields(compare: values.Compare) -> dict:
    """Returns one comparison of a transaction."""
    return {
        "key": to_text(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def operation_fields(operation: values.Put | values.Delete) -> dict:
    """Returns one operation of a transaction."""
    match operation:
        case values.Put(key=key, data=data, lease=lease):
            fields = {"key": to_text(key.encode()), "value": to_text(data)}
            if lease:
                fields["lease"] = str(lease)
            return {"request_put": fields}
        case values.Delete(key=key):
            return {"request_delete_range": {"key": to_text(key.encode())}}
    raise TypeError(f"not an operation: {operation!r}")


def value_of(fields: dict) -> values.KeyValue:
    """Returns a key as the gateway describes it."""
    return values.KeyValue(
        base64.b64decode(fields.get("value", ""), validate=True),
        int(fields.get("mod_revision", 0)),
        base64.b64decode(fields["key"], validate=True).decode(),
        int(fields.get("lease", 0)),
    )


def page(answer: dict, revision: int = 0) -> values.Page:
    """Returns the answer to a range request."""
    items = tuple(value_of(x) for x in answer.get("kvs", ()))
    revision = revision or int(answer["header"]["revision"])
    more = bool(answer.get("more", False))
    return values.Page(items, revision, more, int(answer.get("count", 0)))


def committed(answer: dict) -> values.Committed:
    """Returns the answer to a write."""
    return values.Committed(int(answer["header"]["revision"]))


def txn_result(answer: dict) -> values.Committed | values.Conflict:
    """Returns the answer to a transaction."""
    if answer.get("succeeded", False):
        return committed(answer)
    held = []
    for response in answer["responses"]:
        found = response["response_range"].get("kvs", ())
        held.append(value_of(found[0]) if found else values.Missing())
    return values.Conflict(tuple(held))


def lease(answer: dict) -> values.Lease:
    """Returns a lease as granted or renewed."""
    return values.Lease(int(answer["ID"]), int(answer["TTL"]))
