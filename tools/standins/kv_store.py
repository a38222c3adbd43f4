"""Keys, leases and transactions of the key-value stand-in, without a network.

The requests and answers are those of the etcd v3 HTTP/JSON gateway: bytes in
base64, 64-bit numbers as text, zero values left out of answers. Only the
subset that trefoilgw uses is there; another request is refused as not
implemented.
"""

import base64
import collections
import random
import time
from collections.abc import Callable

import attrs

MAX_VALUE_BYTES = 1_000_000
# Revisions that a watch may start from; older ones count as compacted.
EVENTS_KEPT = 10_000

INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
OUT_OF_RANGE = 11
UNIMPLEMENTED = 12

_RESULTS: dict[object, Callable] = {
    "EQUAL": lambda a, b: a == b,
    "GREATER": lambda a, b: a > b,
    "LESS": lambda a, b: a < b,
    "NOT_EQUAL": lambda a, b: a != b,
}
# Field of the comparison by target.
_TARGETS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
    "VALUE": "value",
}


class KvError(Exception):
    """A request that is refused without effect.

    Attributes:
        code: gRPC status code.
    """

    def __init__(self, code: int, text: str):
        super().__init__(text)
        self.code = code


@attrs.frozen
class Entry:
    """A key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen
class Change:
    """One changed key; a deleted one has no value and version 0."""

    entry: Entry
    deleted: bool


@attrs.define(eq=False)
class Lease:
    """A lease; its keys are deleted when it lapses."""

    ttl_s: int
    expires_s: float
    keys: set = attrs.field(factory=set)


def to_bytes(text: str | None) -> bytes:
    """Returns the bytes of a base64 field."""
    try:
        return base64.b64decode(text or "", validate=True)
    except (ValueError, TypeError) as error:
        raise KvError(INVALID_ARGUMENT, f"not base64: {error}") from error


def to_text(data: bytes) -> str:
    """Returns bytes as a base64 field."""
    return base64.b64encode(data).decode()


def in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Returns whether a key is in a range as etcd defines it."""
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


def entry_fields(entry: Entry, keys_only: bool = False) -> dict:
    """Returns an entry as JSON fields."""
    fields = {"key": to_text(entry.key)}
    for name in ("create_revision", "mod_revision", "version", "lease"):
        number = getattr(entry, name)
        if number:
            fields[name] = str(number)
    if entry.value and not keys_only:
        fields["value"] = to_text(entry.value)
    return fields


@attrs.define(eq=False)
class Store:
    """The keys with their history.

    Attributes:
        now: Monotonic clock in seconds.
        rng: Source of lease ids.
        revision: Grows by one with each transaction that changes a key.
        entries: Present keys.
        leases: Leases by id.
        history: Changes by revision, the newest `EVENTS_KEPT`.
        compacted: Highest revision that is no longer in the history.
        on_changes: Called with revision and changes.
    """

    now: Callable[[], float] = time.monotonic
    rng: random.Random = attrs.field(factory=random.Random)
    revision: int = 1
    entries: dict[bytes, Entry] = attrs.field(factory=dict)
    leases: dict[int, Lease] = attrs.field(factory=dict)
    history: collections.deque = attrs.field(factory=collections.deque)
    compacted: int = 0
    on_changes: Callable = lambda revision, changes: None
    _pending: list = attrs.field(factory=list)

    def header(self) -> dict:
        """Returns the header of an answer."""
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
        first = to_bytes(request.get("key"))
        end = to_bytes(request.get("range_end"))
        found = [x for k, x in self.entries.items() if in_range(k, first, end)]
        descending = request.get("sort_order") == "DESCEND"
        found.sort(key=lambda entry: entry.key, reverse=descending)
        limit = int(request.get("limit", 0)) or len(found)
        answer = {"header": self.header(), "count": str(len(found))}
        if found and not request.get("count_only"):
            keys_only = bool(request.get("keys_only"))
            answer["kvs"] = [entry_fields(x, keys_only) for x in found[:limit]]
            if len(found) > limit:
                answer["more"] = True
        return answer

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
        return self._deleted(count)

    def txn(self, request: dict) -> dict:
        """Compares and then carries out one of two lists of operations."""
        succeeded = all(self._holds(x) for x in request.get("compare", ()))
        branch = request.get("success" if succeeded else "failure", ())
        for operation in branch:
            self._check_put(operation.get("request_put"))
        responses = [self._operate(operation) for operation in branch]
        self._commit()
        answer = {"header": self.header(), "responses": responses}
        return answer | ({"succeeded": True} if succeeded else {})

    def grant(self, request: dict) -> dict:
        """Makes a lease."""
        ttl_s = int(request.get("TTL", 0))
        if ttl_s <= 0:
            raise KvError(INVALID_ARGUMENT, "etcdserver: lease TTL too small")
        lease = int(request.get("ID", 0)) or self.rng.getrandbits(62) + 1
        self.leases[lease] = Lease(ttl_s, self.now() + ttl_s)
        header = self.header()
        return {"header": header, "ID": str(lease), "TTL": str(ttl_s)}

    def keep_alive(self, request: dict) -> dict:
        """Renews a lease; an answer without TTL says that it is gone."""
        number = int(request.get("ID", 0))
        answer = {"header": self.header(), "ID": str(number)}
        lease = self.leases.get(number)
        if lease is not None:
            lease.expires_s = self.now() + lease.ttl_s
            answer["TTL"] = str(lease.ttl_s)
        return {"result": answer}

    def revoke(self, request: dict) -> dict:
        """Ends a lease and deletes its keys."""
        self._end_lease(self._lease_of(request.get("ID", 0)))
        self._commit()
        return {"header": self.header()}

    def expire(self, force: bool = False) -> None:
        """Ends the leases that lapsed; with `force` all of them."""
        now_s = self.now()
        for number, lease in list(self.leases.items()):
            if force or lease.expires_s <= now_s:
                self._end_lease(number)
                self._commit()

    def changes_since(
        self, revision: int
    ) -> list[tuple[int, tuple[Change, ...]]]:
        """Returns the changes from a revision on."""
        if revision <= self.compacted:
            raise KvError(OUT_OF_RANGE, "etcdserver: mvcc: required revision")
        return [item for item in self.history if item[0] >= revision]

    def _lease_of(self, number: object) -> int:
        """Returns the id of a lease that is there."""
        if int(number) not in self.leases:
            text = "etcdserver: requested lease not found"
            raise KvError(NOT_FOUND, text)
        return int(number)

    def _end_lease(self, number: int) -> None:
        """Deletes a lease with its keys."""
        for key in self.leases.pop(number).keys:
            self._delete({"key": to_text(key)})

    def _holds(self, compare: dict) -> bool:
        """Returns whether one comparison holds."""
        target = _TARGETS.get(compare.get("target", "VERSION"))
        result = _RESULTS.get(compare.get("result", "EQUAL"))
        if target is None or result is None or "range_end" in compare:
            raise KvError(UNIMPLEMENTED, f"comparison {compare}")
        entry = self.entries.get(to_bytes(compare.get("key")))
        if target == "value":
            wanted = to_bytes(compare.get("value"))
            return entry is not None and result(entry.value, wanted)
        present = getattr(entry, target) if entry else 0
        return result(present, int(compare.get(target, 0)))

    def _operate(self, operation: dict) -> dict:
        """Carries out one operation of a transaction."""
        match operation:
            case {"request_put": request}:
                self._put(request)
                return {"response_put": {"header": self.header()}}
            case {"request_delete_range": request}:
                count = self._delete(request)
                return {"response_delete_range": self._deleted(count)}
            case {"request_range": request}:
                return {"response_range": self.range(request)}
        raise KvError(UNIMPLEMENTED, f"operation {sorted(operation)}")

    def _check_put(self, request: dict | None) -> None:
        """Refuses a write before anything of its transaction has effect."""
        if request is None:
            return
        if len(to_bytes(request.get("value"))) > MAX_VALUE_BYTES:
            text = "etcdserver: request is too large"
            raise KvError(INVALID_ARGUMENT, text)
        if int(request.get("lease", 0)):
            self._lease_of(request["lease"])

    def _put(self, request: dict) -> None:
        """Writes one key in the transaction that is open."""
        key = to_bytes(request.get("key"))
        old = self.entries.get(key)
        revision = self.revision + 1
        lease = int(request.get("lease", 0))
        entry = Entry(
            key,
            to_bytes(request.get("value")),
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            lease,
        )
        if old and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        self.entries[key] = entry
        self._pending.append(Change(entry, deleted=False))

    def _delete(self, request: dict) -> int:
        """Deletes a range in the transaction that is open."""
        first = to_bytes(request.get("key"))
        end = to_bytes(request.get("range_end"))
        found = [key for key in self.entries if in_range(key, first, end)]
        for key in found:
            old = self.entries.pop(key)
            if old.lease in self.leases:
                self.leases[old.lease].keys.discard(key)
            gone = Entry(key, b"", 0, self.revision + 1, 0)
            self._pending.append(Change(gone, deleted=True))
        return len(found)

    def _deleted(self, count: int) -> dict:
        """Returns the answer to a deletion."""
        answer = {"header": self.header()}
        return answer | ({"deleted": str(count)} if count else {})

    def _commit(self) -> None:
        """Ends a transaction; it is seen only if it changed a key."""
        if not self._pending:
            return
        self.revision += 1
        changes = tuple(self._pending)
        self._pending.clear()
        self.history.append((self.revision, changes))
        while len(self.history) > EVENTS_KEPT:
            self.compacted = self.history.popleft()[0]
        self.on_changes(self.revision, changes)
