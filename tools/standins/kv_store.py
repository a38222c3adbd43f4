"""Keys, leases and transactions of the key-value stand-in, without a network.

Requests and responses have the format of the etcd v3 HTTP/JSON gateway: bytes
in base64, 64-bit numbers as text, zero values left out of responses. Only the
subset that trefoilgw uses is supported; other requests are refused as
unimplemented.
"""

import base64
import collections
import random
import time
from collections.abc import Callable

import attrs

MAX_VALUE_BYTES = 1_000_000
# Number of the newest revisions, which are those that a watch may start from;
# older ones count as compacted.
MAX_HISTORY_REVISIONS = 10_000

# gRPC status codes.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
OUT_OF_RANGE = 11
UNIMPLEMENTED = 12

_COMPARISONS: dict[object, Callable] = {
    "EQUAL": lambda a, b: a == b,
    "GREATER": lambda a, b: a > b,
    "LESS": lambda a, b: a < b,
    "NOT_EQUAL": lambda a, b: a != b,
}
# Field that a comparison reads, by the target in the request.
_COMPARED_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
    "VALUE": "value",
}


class KvError(Exception):
    """Raised for a request that is refused without effect.

    Attributes:
        code: gRPC status code.
    """

    def __init__(self, code: int, text: str):
        super().__init__(text)
        self.code = code


@attrs.frozen
class KeyValue:
    """A key with its value and revisions.

    Attributes:
        key: The key.
        value: Its value; empty in a deletion.
        create_revision: Revision of the write that created the key.
        mod_revision: Revision of the last write.
        version: Number of writes since the creation; 0 in a deletion.
        lease: Id of the lease that the key belongs to; 0 for none.
    """

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen
class Change:
    """A write or deletion of one key.

    Attributes:
        key_value: State after the change; without value and with version 0
            after a deletion.
        deleted: Whether the key was deleted.
    """

    key_value: KeyValue
    deleted: bool


@attrs.define(eq=False)
class Lease:
    """A lease, whose keys are deleted when it expires.

    Attributes:
        ttl_s: Time to live in seconds, counted from the last renewal.
        expires_s: Monotonic time of its end.
        keys: Keys that belong to it.
    """

    ttl_s: int
    expires_s: float
    keys: set = attrs.field(factory=set)


def decode_base64(text: str | None) -> bytes:
    """Returns the bytes of a base64 field; empty if the field is missing.

    Raises:
        KvError: The text is not base64.
    """
    try:
        return base64.b64decode(text or "", validate=True)
    except (ValueError, TypeError) as error:
        raise KvError(INVALID_ARGUMENT, f"not base64: {error}") from error


def encode_base64(data: bytes) -> str:
    """Returns bytes as the text of a base64 field."""
    return base64.b64encode(data).decode()


def in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Returns whether a key is in a range as etcd defines it.

    Args:
        key: The key.
        first: First key of the range.
        end: End of the range, exclusive; empty for the key `first` alone, a
            zero byte for all keys from `first` on.
    """
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


def key_value_fields(key_value: KeyValue, keys_only: bool = False) -> dict:
    """Returns the JSON fields of a key, without its value on request."""
    fields = {"key": encode_base64(key_value.key)}
    for name in ("create_revision", "mod_revision", "version", "lease"):
        number = getattr(key_value, name)
        if number:
            fields[name] = str(number)
    if key_value.value and not keys_only:
        fields["value"] = encode_base64(key_value.value)
    return fields


@attrs.define(eq=False)
class Store:
    """Keys, leases and the history of changes.

    Attributes:
        now: Monotonic clock in seconds.
        rng: Random numbers for lease ids.
        revision: Counter that a transaction increases by one if it changes a
            key.
        key_values: Existing keys.
        leases: Leases by id.
        history: Changes by revision, the newest `MAX_HISTORY_REVISIONS`.
        compacted: Highest revision that is no longer in the history.
        on_changes: Called with the revision and changes of each transaction.
    """

    now: Callable[[], float] = time.monotonic
    rng: random.Random = attrs.field(factory=random.Random)
    revision: int = 1
    key_values: dict[bytes, KeyValue] = attrs.field(factory=dict)
    leases: dict[int, Lease] = attrs.field(factory=dict)
    history: collections.deque = attrs.field(factory=collections.deque)
    compacted: int = 0
    on_changes: Callable = lambda revision, changes: None
    _uncommitted: list = attrs.field(factory=list)

    def header(self) -> dict:
        """Returns the header of a response."""
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.revision),
            "raft_term": "1",
        }

    def range(self, request: dict) -> dict:
        """Reads one key or a range."""
        if request.get("revision", "0") not in ("0", 0):
            raise KvError(UNIMPLEMENTED, "reads of old revisions")
        first = decode_base64(request.get("key"))
        end = decode_base64(request.get("range_end"))
        found = [
            x for k, x in self.key_values.items() if in_range(k, first, end)
        ]
        descending = request.get("sort_order") == "DESCEND"
        found.sort(key=lambda key_value: key_value.key, reverse=descending)
        limit = int(request.get("limit", 0)) or len(found)
        response = {"header": self.header(), "count": str(len(found))}
        if found and not request.get("count_only"):
            keys_only = bool(request.get("keys_only"))
            response["kvs"] = [
                key_value_fields(x, keys_only) for x in found[:limit]
            ]
            if len(found) > limit:
                response["more"] = True
        return response

    def put(self, request: dict) -> dict:
        """Writes one key."""
        self._check_put(request)
        self._put(request)
        self._commit()
        return {"header": self.header()}

    def delete_range(self, request: dict) -> dict:
        """Deletes one key or a range."""
        count = self._delete(request)
        self._commit()
        return self._delete_response(count)

    def txn(self, request: dict) -> dict:
        """Carries out one of two lists of operations, chosen by comparisons."""
        succeeded = all(
            self._comparison_holds(x) for x in request.get("compare", ())
        )
        branch = request.get("success" if succeeded else "failure", ())
        for operation in branch:
            self._check_put(operation.get("request_put"))
        responses = [self._apply_operation(operation) for operation in branch]
        self._commit()
        response = {"header": self.header(), "responses": responses}
        return response | ({"succeeded": True} if succeeded else {})

    def grant(self, request: dict) -> dict:
        """Creates a lease."""
        ttl_s = int(request.get("TTL", 0))
        if ttl_s <= 0:
            raise KvError(INVALID_ARGUMENT, "etcdserver: lease TTL too small")
        lease = int(request.get("ID", 0)) or self.rng.getrandbits(62) + 1
        self.leases[lease] = Lease(ttl_s, self.now() + ttl_s)
        header = self.header()
        return {"header": header, "ID": str(lease), "TTL": str(ttl_s)}

    def keep_alive(self, request: dict) -> dict:
        """Renews a lease.

        A response without TTL means that the lease does not exist.
        """
        number = int(request.get("ID", 0))
        response = {"header": self.header(), "ID": str(number)}
        lease = self.leases.get(number)
        if lease is not None:
            lease.expires_s = self.now() + lease.ttl_s
            response["TTL"] = str(lease.ttl_s)
        return {"result": response}

    def revoke(self, request: dict) -> dict:
        """Ends a lease and deletes its keys."""
        self._end_lease(self._require_lease(request.get("ID", 0)))
        self._commit()
        return {"header": self.header()}

    def expire(self, force: bool = False) -> None:
        """Ends the expired leases, or all of them with `force`."""
        now_s = self.now()
        for number, lease in list(self.leases.items()):
            if force or lease.expires_s <= now_s:
                self._end_lease(number)
                self._commit()

    def changes_since(
        self, revision: int
    ) -> list[tuple[int, tuple[Change, ...]]]:
        """Returns revisions and their changes from `revision` on.

        Raises:
            KvError: The revision is compacted.
        """
        if revision <= self.compacted:
            raise KvError(OUT_OF_RANGE, "etcdserver: mvcc: required revision")
        return [item for item in self.history if item[0] >= revision]

    def _require_lease(self, number: object) -> int:
        """Returns the id of an existing lease.

        Raises:
            KvError: There is no such lease.
        """
        if int(number) not in self.leases:
            text = "etcdserver: requested lease not found"
            raise KvError(NOT_FOUND, text)
        return int(number)

    def _end_lease(self, number: int) -> None:
        """Deletes a lease and its keys."""
        for key in self.leases.pop(number).keys:
            self._delete({"key": encode_base64(key)})

    def _comparison_holds(self, compare: dict) -> bool:
        """Returns whether a comparison of a transaction holds."""
        target = _COMPARED_FIELDS.get(compare.get("target", "VERSION"))
        result = _COMPARISONS.get(compare.get("result", "EQUAL"))
        if target is None or result is None or "range_end" in compare:
            raise KvError(UNIMPLEMENTED, f"comparison {compare}")
        key_value = self.key_values.get(decode_base64(compare.get("key")))
        if target == "value":
            expected = decode_base64(compare.get("value"))
            return key_value is not None and result(key_value.value, expected)
        actual = getattr(key_value, target) if key_value else 0
        return result(actual, int(compare.get(target, 0)))

    def _apply_operation(self, operation: dict) -> dict:
        """Carries out one operation of a transaction."""
        match operation:
            case {"request_put": request}:
                self._put(request)
                return {"response_put": {"header": self.header()}}
            case {"request_delete_range": request}:
                count = self._delete(request)
                return {"response_delete_range": self._delete_response(count)}
            case {"request_range": request}:
                return {"response_range": self.range(request)}
        raise KvError(UNIMPLEMENTED, f"operation {sorted(operation)}")

    def _check_put(self, request: dict | None) -> None:
        """Checks the value's size and the lease of a write.

        Called before any operation of a transaction takes effect.

        Raises:
            KvError: The write is refused.
        """
        if request is None:
            return
        if len(decode_base64(request.get("value"))) > MAX_VALUE_BYTES:
            text = "etcdserver: request is too large"
            raise KvError(INVALID_ARGUMENT, text)
        if int(request.get("lease", 0)):
            self._require_lease(request["lease"])

    def _put(self, request: dict) -> None:
        """Writes one key in the open transaction."""
        key = decode_base64(request.get("key"))
        old = self.key_values.get(key)
        revision = self.revision + 1
        lease = int(request.get("lease", 0))
        key_value = KeyValue(
            key,
            decode_base64(request.get("value")),
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            lease,
        )
        if old and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        self.key_values[key] = key_value
        self._uncommitted.append(Change(key_value, deleted=False))

    def _delete(self, request: dict) -> int:
        """Deletes a range in the open transaction; returns how many keys."""
        first = decode_base64(request.get("key"))
        end = decode_base64(request.get("range_end"))
        found = [key for key in self.key_values if in_range(key, first, end)]
        for key in found:
            old = self.key_values.pop(key)
            if old.lease in self.leases:
                self.leases[old.lease].keys.discard(key)
            deleted_key = KeyValue(key, b"", 0, self.revision + 1, 0)
            self._uncommitted.append(Change(deleted_key, deleted=True))
        return len(found)

    def _delete_response(self, count: int) -> dict:
        """Returns the response to a deletion."""
        response = {"header": self.header()}
        return response | ({"deleted": str(count)} if count else {})

    def _commit(self) -> None:
        """Ends the open transaction.

        If it changed a key, this increases the revision and reports the
        changes to `on_changes`.
        """
        if not self._uncommitted:
            return
        self.revision += 1
        changes = tuple(self._uncommitted)
        self._uncommitted.clear()
        self.history.append((self.revision, changes))
        while len(self.history) > MAX_HISTORY_REVISIONS:
            self.compacted = self.history.popleft()[0]
        self.on_changes(self.revision, changes)
