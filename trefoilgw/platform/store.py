"""Client of the platform's store.

Calls are never retried. Each returns a value that states what is known about
the effect of the call; the caller decides how to handle a lost answer. The
value types are those of the product's own key-value client.
"""

import base64
import json
import logging
import urllib.parse
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from trefoilgw.evacuation import core as evacuation
from trefoilgw.keyvalue import values
from trefoilgw.platform import configurations
from trefoilgw.platform import connections
from trefoilgw.platform import evacuations
from trefoilgw.platform import fields
from trefoilgw.work import core as work

CALL_TIMEOUT_S = 1.0
# Time that a watch may take in addition to its requested wait.
WATCH_MARGIN_S = 0.7
MAX_CONNECTIONS = 4
# Prefix of the keys that the operators write.
OPERATORS_PREFIX = "op/"

_HEADERS = {"Content-Type": "application/json"}

log = logging.getLogger(__name__)


@attrs.frozen
class Changes:
    """Changes that a watch returned.

    Attributes:
        values: Values that were written, with their keys.
        deleted: Keys that were deleted.
        revision: Revision from which the next watch continues.
    """

    values: tuple[values.KeyValue, ...]
    deleted: tuple[str, ...]
    revision: int


@attrs.frozen
class HistoryGone:
    """The store has dropped the requested history; read the keys again."""


@attrs.frozen
class OperatorsState:
    """What the operators have written.

    Attributes:
        document: The configuration, empty if there is none.
        domains: All evacuated failure domains.
        revision: Revision of the store at which this is known.
    """

    document: bytes
    domains: frozenset[str]
    revision: int


@attrs.frozen
class OperatorsChanges:
    """What the operators have written since an earlier revision.

    Attributes:
        document: The configuration, empty if it has not changed.
        domain_changes: Failure domains that were evacuated or taken back.
        revision: Revision from which the next watch continues.
    """

    document: bytes
    domain_changes: tuple[evacuation.DomainChange, ...]
    revision: int


@attrs.define(eq=False)
class Store:
    """Client of the store; several greenthreads may use it concurrently.

    Attributes:
        address: ``ip:port`` of the store.
    """

    address: str
    _pool: connections.ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.change_address(self.address)

    def change_address(self, address: str) -> None:
        """Directs all later calls to another address."""
        self.address = address
        self._pool = connections.ConnectionPool(address, MAX_CONNECTIONS)

    def get(
        self, key: str
    ) -> tuple[values.KeyValue | values.Missing, int] | values.Failure:
        """Reads one key; returns its value and the store's revision."""
        path = "/kv-key?" + urllib.parse.urlencode({"key": key})

        def convert(status: int, body: fields.Fields):
            revision = body.integer("storeRevision", 0)
            if status == 404:
                return values.Missing(), revision
            return _decode_value(body), revision

        return self._call("GET", path, None, convert, (200, 404), False)

    def list_stale(self, prefix: str) -> values.Page | values.Failure:
        """Lists keys by prefix; the answer may be seconds out of date."""
        query = {"prefix": prefix, "allowStale": "1"}
        return self._list(query, _decode_value)

    def read_operators(self) -> OperatorsState | values.Failure:
        """Reads the configuration and the evacuations.

        The revision is that of the first page. Changes after it are returned
        by the next watch, even if a later page has shown them already.
        """
        query = {"prefix": OPERATORS_PREFIX}
        document = b""
        domains = set()
        revision = 0
        while True:
            page = self._list(query, _decode_operators_item)
            if not isinstance(page, values.Page):
                return page
            revision = revision or page.revision
            for item in page.items:
                if item.key == configurations.KEY:
                    document = item.data
                elif item.key.startswith(evacuations.KEY_PREFIX):
                    domain = evacuations.decode_key(item.key)
                    if domain is not None:
                        domains.add(domain)
            if not page.more or not page.items:
                return OperatorsState(document, frozenset(domains), revision)
            query["after"] = max(x.key for x in page.items)

    def watch_operators(
        self, after_revision: int, wait_s: float
    ) -> OperatorsChanges | HistoryGone | values.Failure:
        """Waits for changes of the configuration and of the evacuations.

        Args:
            after_revision: Only changes after this revision are returned.
            wait_s: Seconds after which the store answers even without changes.
        """

        def convert(events: tuple, revision: int) -> OperatorsChanges:
            newest = max(
                (
                    x
                    for x in events
                    if isinstance(x, values.KeyValue)
                    and x.key == configurations.KEY
                ),
                key=lambda x: x.mod_revision,
                default=None,
            )
            return OperatorsChanges(
                newest.data if newest else b"",
                tuple(
                    x for x in events if isinstance(x, evacuation.DomainChange)
                ),
                revision,
            )

        return self._watch(
            OPERATORS_PREFIX,
            after_revision,
            wait_s,
            _decode_operators_event,
            convert,
        )

    def _list(
        self, query: dict[str, str], decode: Callable[[fields.Fields], object]
    ) -> values.Page | values.Failure:
        """Reads one page of keys.

        Args:
            query: Parameters of the call.
            decode: Decodes an item.
        """
        path = "/kv-range?" + urllib.parse.urlencode(query)

        def convert(status: int, body: fields.Fields) -> values.Page:
            return values.Page(
                _decode_readable(body, "items", decode),
                body.integer("storeRevision", 0),
                body.boolean("hasMore"),
            )

        return self._call("GET", path, None, convert, (200,), False)

    def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Changes | HistoryGone | values.Failure:
        """Waits for changes to keys with a prefix and returns them.

        Args:
            prefix: Prefix of the keys.
            after_revision: Only changes after this revision are returned.
            wait_s: Seconds after which the store answers even without changes.
        """

        def convert(events: tuple, revision: int) -> Changes:
            return Changes(
                tuple(x for x in events if isinstance(x, values.KeyValue)),
                tuple(x for x in events if isinstance(x, str)),
                revision,
            )

        return self._watch(
            prefix, after_revision, wait_s, _decode_event, convert
        )

    def _watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
        decode: Callable[[fields.Fields], object],
        convert_events: Callable,
    ):
        """Waits for changes to keys with a prefix and converts them.

        Args:
            prefix: Prefix of the keys.
            after_revision: Only changes after this revision are returned.
            wait_s: Seconds after which the store answers even without changes.
            decode: Decodes a change.
            convert_events: Converts the decoded changes and the revision from
                which the next watch continues.
        """
        query = {
            "prefix": prefix,
            "after": after_revision,
            "waitMs": int(wait_s * 1000),
        }
        path = "/kv-watch?" + urllib.parse.urlencode(query)

        def convert(status: int, body: fields.Fields):
            if status == 410:
                return HistoryGone()
            events = _decode_readable(body, "events", decode)
            return convert_events(events, body.integer("storeRevision"))

        timeout_s = wait_s + WATCH_MARGIN_S
        return self._call(
            "GET", path, None, convert, (200, 410), False, timeout_s
        )

    def txn(
        self,
        compares: Sequence[values.Compare],
        operations: Sequence[values.Put | values.Delete],
    ) -> values.Committed | values.Conflict | values.Missing | values.Failure:
        """Applies all operations if all comparisons hold, otherwise none.

        Returns:
            `Committed` if the operations were applied; `Conflict` with the
            current values if a comparison failed; `Missing` if a write names
            a lease that does not exist.
        """
        body = {
            "expectedRev": [
                {"key": x.key, "revision": x.mod_revision} for x in compares
            ],
            "writes": [
                _encode_write(x)
                for x in operations
                if isinstance(x, values.Put)
            ],
            "remove": [
                x.key for x in operations if isinstance(x, values.Delete)
            ],
        }

        def convert(status: int, answer: fields.Fields):
            if status == 404:
                return values.Missing()
            if status == 200:
                return values.Committed(answer.integer("revision"))
            found = {
                x.key: x for x in map(_decode_value, answer.objects("items"))
            }
            return values.Conflict(
                tuple(found.get(x.key, values.Missing()) for x in compares)
            )

        return self._call(
            "POST", "/kv-txn", body, convert, (200, 404, 412), True
        )

    def grant_lease(self, ttl_s: float) -> values.Lease | values.Failure:
        """Grants a lease that expires `ttl_s` seconds after each renewal."""
        body = {"ttlMs": int(ttl_s * 1000)}

        def convert(status: int, answer: fields.Fields) -> values.Lease:
            ttl_ms = answer.integer("ttlMs")
            return values.Lease(answer.integer("lease"), ttl_ms // 1000)

        return self._call("POST", "/kv-lease", body, convert, (200,), True)

    def keep_alive(
        self, lease: values.Lease
    ) -> values.Lease | values.Missing | values.Failure:
        """Renews a lease; returns `Missing` if it no longer exists."""

        def convert(status: int, answer: fields.Fields):
            return values.Missing() if status == 404 else lease

        path = f"/kv-keep/{lease.lease_id}"
        return self._call("POST", path, {}, convert, (200, 404), True)

    def end_lease(
        self, lease: values.Lease
    ) -> values.Committed | values.Failure:
        """Revokes a lease, which deletes its keys."""

        def convert(status: int, answer: fields.Fields) -> values.Committed:
            return values.Committed(0)

        path = f"/kv-lease-end/{lease.lease_id}"
        return self._call("DELETE", path, None, convert, (200, 404), True)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None,
        convert: Callable,
        expected: tuple[int, ...],
        mutating: bool,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Makes one call and returns the converted answer.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Object to send as JSON, None to send no body.
            convert: Converts the status and the fields of the answer.
            expected: Statuses that `convert` handles.
            mutating: Whether the call may take effect at the store even if its
                answer is lost.
            timeout_s: Limit for the whole call in seconds.
        """
        data = None if body is None else json.dumps(body).encode()
        response = self._pool.call(method, path, data, _HEADERS, timeout_s)
        if isinstance(response, connections.Failure):
            uncertain = mutating and response.reached
            return values.Unavailable(response.detail, uncertain)
        status = response.status
        if status not in expected:
            # With these statuses the store states that the call had no effect.
            refused = status in (429, 503)
            text = f"status {status}"
            return values.Unavailable(text, mutating and not refused)
        try:
            answer = fields.parse(response.data or b"{}")
            return convert(status, fields.Fields(answer))
        except fields.FieldError as error:
            return values.Unavailable(f"unreadable answer: {error}", mutating)


@attrs.define(eq=False)
class ConfigurationSource:
    """Reads the operators' configuration from the store.

    Attributes:
        store: Client of the store.
    """

    store: Store

    def read(self) -> tuple[bytes, int] | values.Failure:
        """Returns the document, empty if absent, and the store's revision."""
        answer = self.store.get(configurations.KEY)
        if not isinstance(answer, tuple):
            return answer
        value, revision = answer
        data = value.data if isinstance(value, values.KeyValue) else b""
        return data, revision

    def watch(
        self, after_revision: int, wait_s: float
    ) -> tuple[bytes, int] | HistoryGone | values.Failure:
        """Waits for a new document; returns an empty one on timeout."""
        answer = self.store.watch(configurations.KEY, after_revision, wait_s)
        if not isinstance(answer, Changes):
            return answer
        found = [x for x in answer.values if x.key == configurations.KEY]
        newest = max(found, key=lambda x: x.mod_revision, default=None)
        return newest.data if newest else b"", answer.revision

    @staticmethod
    def decode(data: bytes) -> work.Configuration | str:
        """Returns the decoded document, or the reason why it is malformed."""
        try:
            return configurations.decode(data)
        except fields.FieldError as error:
            return str(error)


@attrs.define(eq=False)
class OperatorsSource(ConfigurationSource):
    """Reads the configuration and the evacuations, with one watch for both."""

    def read(self) -> OperatorsState | values.Failure:
        """Returns all that the operators have written."""
        return self.store.read_operators()

    def watch(
        self, after_revision: int, wait_s: float
    ) -> OperatorsChanges | HistoryGone | values.Failure:
        """Waits for changes; returns none of them on timeout."""
        return self.store.watch_operators(after_revision, wait_s)


def _decode_readable(
    body: fields.Fields, name: str, decode: Callable[[fields.Fields], object]
) -> tuple:
    """Decodes the items of a list, and leaves out the unreadable ones.

    One odd item must not hide the others.
    """
    found = []
    for index in range(len(body.array(name))):
        try:
            found.append(decode(body.item(name, index)))
        except fields.FieldError as error:
            log.warning("stored item unreadable", extra={"error": str(error)})
    return tuple(found)


def _decode_event(event: fields.Fields) -> values.KeyValue | str:
    """Decodes a change: the written value, or the key that was deleted."""
    if event.boolean("tombstone"):
        return event.text("key")
    return _decode_value(event)


def _decode_operators_item(item: fields.Fields) -> values.KeyValue:
    """Decodes an item of the operators; evacuations have no data."""
    key = item.text("key")
    if not key.startswith(evacuations.KEY_PREFIX):
        return _decode_value(item)
    evacuations.check_value(key, item)
    return values.KeyValue(b"", item.integer("revision", 0), key)


def _decode_operators_event(
    event: fields.Fields,
) -> evacuation.DomainChange | values.KeyValue | None:
    """Decodes a change by the operators, None if it means nothing here."""
    key = event.text("key")
    deleted = event.boolean("tombstone")
    if not key.startswith(evacuations.KEY_PREFIX):
        return None if deleted else _decode_value(event)
    domain = evacuations.decode_key(key)
    if domain is None:
        return None
    if not deleted:
        evacuations.check_value(key, event)
    return evacuation.DomainChange(
        domain, not deleted, event.integer("revision")
    )


def _decode_value(item: fields.Fields) -> values.KeyValue:
    """Decodes an item of the store's answer."""
    try:
        data = base64.b64decode(item.text("value", ""), validate=True)
    except ValueError as error:
        raise fields.FieldError(f"{item.location}value: {error}") from error
    return values.KeyValue(
        data,
        item.integer("revision", 0),
        item.text("key"),
        item.integer("lease", 0),
    )


def _encode_write(put: values.Put) -> dict:
    """Encodes one write of a transaction."""
    data = base64.b64encode(put.data).decode()
    return {"key": put.key, "value": data, "lease": put.lease}
