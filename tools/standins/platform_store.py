"""Stand-in for the platform's store with its published protocol.

It has keys with revisions, leases, conditional writes and long-polling watches,
and is not part of the product. A control interface, which the faults don't
affect, sets the faults and makes the operator's writes:

- ``POST /control/put``: writes `value`, or the bytes whose base64 text is
  `data`, to `key` as the operator.
- ``POST /control/remove``: removes `key` as the operator.
- ``POST /control/compact``: forgets the history of changes.
- ``POST /control/faults``: fields of `Faults`; omitted fields are reset.
- ``GET /control/calls``: calls so far by path.
"""

import argparse
import base64
import collections
import json
import time
import urllib.parse

import attrs
import eventlet
from eventlet import event
from eventlet import wsgi

from tools.standins import listening

MAX_PAGE_ITEMS = 500
LEASE_CHECK_INTERVAL_S = 0.05
MAX_HISTORY_EVENTS = 1000
# Keys that only the operator writes.
OPERATOR_PREFIXES = ("op/", "servers/")


@attrs.frozen
class Faults:
    """Faults that the store shows.

    Attributes:
        down: Every call gets status 503.
        slow_s: Delay in seconds before each call is carried out.
        lose_answers: Number of further writes that take effect without a
            response.
        silent_watches: Watches never get a response.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


@attrs.define
class Item:
    """One key.

    Attributes:
        value: Its value.
        revision: Revision of the last write.
        created: Revision of the write that created the key.
        lease: Number of its lease; 0 for none.
    """

    value: str
    revision: int
    created: int
    lease: int = 0

    def fields(self, key: str) -> dict:
        """Returns the item in the format of the protocol."""
        return {"key": key, **attrs.asdict(self)}


class LostAnswerError(Exception):
    """Raised instead of returning the response of a call."""


@attrs.define(eq=False)
class Store:
    """Keys, leases and changes.

    Attributes:
        revision: Counter that increases with each change.
        items: Items by key.
        leases: End (monotonic) and time to live of each lease in seconds, by
            number.
        events: Newest changes, oldest first.
        compacted_revision: Changes up to this revision are no longer kept.
        changed: Event that wakes the waiting watches.
        faults: Faults in force.
        calls: Number of calls by path.
    """

    revision: int = 1
    items: dict[str, Item] = attrs.field(factory=dict)
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    events: list[dict] = attrs.field(factory=list)
    compacted_revision: int = 0
    changed: event.Event = attrs.field(factory=event.Event)
    faults: Faults = attrs.field(factory=Faults)
    calls: collections.Counter = attrs.field(factory=collections.Counter)

    def write(self, key: str, value: str, lease: int = 0) -> None:
        """Writes a key at the current revision."""
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._record(self.items[key].fields(key))

    def remove(self, key: str) -> None:
        """Removes a key at the current revision."""
        if self.items.pop(key, None) is not None:
            fields = {"key": key, "revision": self.revision}
            self._record({**fields, "tombstone": True})

    def _record(self, change: dict) -> None:
        """Adds a change to the events and wakes the watches."""
        self.events.append(change)
        for old in self.events[:-MAX_HISTORY_EVENTS]:
            self.compacted_revision = old["revision"]
        del self.events[:-MAX_HISTORY_EVENTS]
        previous, self.changed = self.changed, event.Event()
        previous.send()

    def compact(self) -> None:
        """Forgets the history; waiting watches end with status 410."""
        self.revision += 1
        self.compacted_revision = self.revision
        self.events.clear()
        previous, self.changed = self.changed, event.Event()
        previous.send()

    def expire_leases(self) -> None:
        """Ends the expired leases and removes their keys."""
        now_s = time.monotonic()
        for number, (end_s, _) in list(self.leases.items()):
            if now_s >= end_s:
                self.end_lease(number)

    def end_lease(self, number: int) -> bool:
        """Ends a lease and removes its keys; returns False if unknown."""
        if self.leases.pop(number, None) is None:
            return False
        self.revision += 1
        for key in [x for x, y in self.items.items() if y.lease == number]:
            self.remove(key)
        return True

    # Calls of the protocol, which return status and body.

    def get(self, query: dict) -> tuple[int, dict]:
        """Reads one key."""
        item = self.items.get(query["key"])
        response = {"storeRevision": self.revision}
        if item is None:
            return 404, response
        return 200, {**item.fields(query["key"]), **response}

    def list_page(self, query: dict) -> tuple[int, dict]:
        """Reads one page of the keys with a prefix."""
        after = query.get("after", "")
        found = sorted(
            x for x in self.items if x.startswith(query["prefix"]) and x > after
        )
        page = found[:MAX_PAGE_ITEMS]
        return 200, {
            "items": [self.items[x].fields(x) for x in page],
            "hasMore": len(found) > len(page),
            "storeRevision": self.revision,
        }

    def watch(self, query: dict) -> tuple[int, dict]:
        """Waits for changes of keys with a prefix.

        Status 410 means that changes after the given revision were dropped.
        """
        after = int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted_revision:
                return 410, {}
            found = [
                x
                for x in self.events
                if x["revision"] > after
                and x["key"].startswith(query["prefix"])
            ]
            left_s = end_s - time.monotonic()
            silent = self.faults.silent_watches
            if (found and not silent) or (left_s <= 0 and not silent):
                response = {"events": found, "storeRevision": self.revision}
                return 200, response
            self.changed.wait(timeout=max(0.01, min(left_s, 0.5)))

    def txn(self, body: dict) -> tuple[int, dict]:
        """Writes and removes keys if all expected revisions match.

        Status 412 means that one differs, 404 that a lease does not exist and
        403 that only the operator may write a key.
        """
        conditions = body.get("expectedRev", [])
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return 412, {"items": self._current_items(conditions)}
        writes = body.get("writes", [])
        leases = {x.get("lease", 0) for x in writes} - {0}
        if leases - self.leases.keys():
            return 404, {}
        if any(x["key"].startswith(OPERATOR_PREFIXES) for x in writes):
            return 403, {}
        self.revision += 1
        for row in writes:
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _current_items(self, conditions: list[dict]) -> list[dict]:
        """Returns the existing items that the conditions name."""
        keys = [x["key"] for x in conditions]
        return [self.items[x].fields(x) for x in keys if x in self.items]

    def grant_lease(self, body: dict) -> tuple[int, dict]:
        """Creates a lease."""
        self.revision += 1
        ttl_s = body["ttlMs"] / 1000
        self.leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}

    def renew_lease(self, number: int) -> tuple[int, dict]:
        """Renews a lease."""
        if number not in self.leases:
            return 404, {}
        ttl_s = self.leases[number][1]
        self.leases[number] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def handle(self, method: str, path: str, query: dict, body: dict):
        """Carries out a call; returns status and body.

        Raises:
            LostAnswerError: A fault loses the response of this write.
        """
        writes = method != "GET"
        match method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                result = self.get(query)
            case "GET", ["kv-range"]:
                result = self.list_page(query)
            case "GET", ["kv-watch"]:
                result = self.watch(query)
            case "POST", ["kv-txn"]:
                result = self.txn(body)
            case "POST", ["kv-lease"]:
                result = self.grant_lease(body)
            case "POST", ["kv-keep", number]:
                result = self.renew_lease(int(number))
            case "DELETE", ["kv-lease-end", number]:
                result = (200 if self.end_lease(int(number)) else 404), {}
            case _:
                result = 400, {}
        if writes and self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = attrs.evolve(self.faults, lose_answers=left)
            raise LostAnswerError
        return result


@attrs.define(eq=False)
class Application:
    """WSGI application of the store."""

    store: Store

    def __call__(self, environ, start_response):
        """Handles one call (WSGI)."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        data = environ["wsgi.input"].read()
        body = json.loads(data) if data else {}
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path.startswith("/control/"):
            status, response = self.control(path, body)
        else:
            self.store.calls[path.split("/")[1]] += 1
            faults = self.store.faults
            eventlet.sleep(faults.slow_s)
            if faults.down:
                status, response = 503, {}
            else:
                status, response = self.store.handle(method, path, query, body)
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(response).encode()]

    def control(self, path: str, body: dict) -> tuple[int, dict]:
        """Carries out a call of the control interface.

        Returns:
            Status and body.
        """
        store = self.store
        match path:
            case "/control/put":
                store.revision += 1
                data = body.get("data")
                if data is None:
                    value = json.dumps(body["value"]).encode()
                    data = base64.b64encode(value).decode()
                store.write(body["key"], data)
                return 200, {"revision": store.revision}
            case "/control/remove":
                store.revision += 1
                store.remove(body["key"])
                return 200, {"revision": store.revision}
            case "/control/compact":
                store.compact()
                return 200, {}
            case "/control/faults":
                store.faults = Faults(**body)
                return 200, {}
            case "/control/calls":
                return 200, dict(store.calls)
        return 404, {}


def main() -> None:
    """Runs the stand-in as a separate process until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    options = parser.parse_args()
    store = Store()
    sock, address = listening.listen(options.listen)

    def check_leases() -> None:
        while True:
            store.expire_leases()
            eventlet.sleep(LEASE_CHECK_INTERVAL_S)

    eventlet.spawn_n(check_leases)
    print(json.dumps({"ready": True, "http": address}), flush=True)
    wsgi.server(sock, Application(store), log_output=False, debug=False)


if __name__ == "__main__":
    main()
