"""Encoding and decoding for the etcd v3 HTTP/JSON gateway."""

import base64

from trefoilgw.keyvalue import values

# gRPC status codes in the errors of the gateway.
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
# With these codes the service rejected the request, and it had no effect.
_REJECTION_CODES = frozenset({3, NOT_FOUND, 6, 7, 9, 11, 12, 16})


def prefix_range_end(prefix: str) -> bytes:
    """Returns the exclusive end of the range of all keys with a prefix."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def to_base64(data: bytes) -> str:
    """Returns bytes in base64, the form of byte fields in JSON."""
    return base64.b64encode(data).decode()


def decode_error(status: int, response: dict, is_write: bool) -> values.Failure:
    """Decodes an error response.

    Args:
        status: HTTP status.
        response: Decoded JSON body.
        is_write: Whether the request could change data.

    Returns:
        `Rejected` if the service rejected the request itself, otherwise
        `Unavailable`.
    """
    code = int(response.get("code", 0))
    text = str(response.get("message") or response.get("error") or status)
    if code in _REJECTION_CODES:
        return values.Rejected(code, text)
    if code == RESOURCE_EXHAUSTED:
        return values.Unavailable(text, may_have_taken_effect=False)
    return values.Unavailable(f"status {status}: {text}", is_write)


def encode_range_request(read: values.Read) -> dict:
    """Encodes a range request."""
    fields = {"key": to_base64(read.key.encode())}
    if read.prefix:
        end = read.before.encode() or prefix_range_end(read.key)
        fields["range_end"] = to_base64(end)
    if read.keys_only:
        fields["keys_only"] = True
    if read.limit:
        fields["limit"] = str(read.limit)
    if read.descending:
        fields |= {"sort_order": "DESCEND", "sort_target": "KEY"}
    return fields


def encode_compare(compare: values.Compare) -> dict:
    """Encodes one comparison of a transaction."""
    return {
        "key": to_base64(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def encode_operation(operation: values.Put | values.Delete) -> dict:
    """Encodes one operation of a transaction."""
    match operation:
        case values.Put(key=key, data=data, lease=lease):
            fields = {"key": to_base64(key.encode()), "value": to_base64(data)}
            if lease:
                fields["lease"] = str(lease)
            return {"request_put": fields}
        case values.Delete(key=key):
            return {"request_delete_range": {"key": to_base64(key.encode())}}
    raise TypeError(f"not an operation: {operation!r}")


def decode_key_value(fields: dict) -> values.KeyValue:
    """Decodes a key-value pair.

    The gateway omits fields with the value 0 or an empty string.
    """
    return values.KeyValue(
        base64.b64decode(fields.get("value", ""), validate=True),
        int(fields.get("mod_revision", 0)),
        base64.b64decode(fields["key"], validate=True).decode(),
        int(fields.get("lease", 0)),
    )


def decode_page(response: dict, revision: int = 0) -> values.Page:
    """Decodes the response to a range request.

    Args:
        response: Decoded JSON body, or one result within a transaction.
        revision: The service's revision; 0 to take it from the header.
    """
    items = tuple(decode_key_value(x) for x in response.get("kvs", ()))
    revision = revision or int(response["header"]["revision"])
    more = bool(response.get("more", False))
    return values.Page(items, revision, more, int(response.get("count", 0)))


def decode_committed(response: dict) -> values.Committed:
    """Decodes the response to a successful write."""
    return values.Committed(int(response["header"]["revision"]))


def decode_txn(response: dict) -> values.Committed | values.Conflict:
    """Decodes the response to a transaction."""
    if response.get("succeeded", False):
        return decode_committed(response)
    current = []
    for result in response["responses"]:
        found = result["response_range"].get("kvs", ())
        current.append(
            decode_key_value(found[0]) if found else values.Missing()
        )
    return values.Conflict(tuple(current))


def decode_lease(response: dict) -> values.Lease:
    """Decodes a lease from the response to its grant or renewal."""
    return values.Lease(int(response["ID"]), int(response["TTL"]))
