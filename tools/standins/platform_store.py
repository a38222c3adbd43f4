"""Stand-in of the platform's store, as its published protocol describes it.

Not part of the product. Keys with revisions, leases, conditions and waiting
watches. Faults and the operator's writes come over a control interface that is
never slow and never down:

- ``POST /control/put``: `key` and `value`, written as the operator.
- ``POST /control/faults``: fields of `Faults`; fields left out are reset.
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

PAGE_ITEMS = 500
LEASE_CHECK_S = 0.05
HISTORY_EVENTS = 1000
# Keys that only the operator writes.
FOREIGN_PREFIXES = ("op/", "servers/")


@attrs.frozen
class Faults:
    """What goes wrong.

    Attributes:
        down: Every call is answered with 503.
        slow_s: Seconds before each call is carried out.
        lose_answers: The next writes, this many, are done and not answered.
        silent_watches: Watches are never answered.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


@attrs.define
class Item:
    """One key."""

    value: str
    revision: int
    created: int
    lease: int = 0

    def fields(self, key: str) -> dict:
        """Returns the item as the protocol shows it."""
        return {"key": key, **attrs.asdict(self)}


class LostError(Exception):
    """The answer of a call is not sent."""


@attrs.define(eq=False)
class Store:
    """Keys, leases and changes.

    Attributes:
        revision: Counter that rises with each change.
        items: Items by key.
        leases: End and length of each lease in seconds, by number.
        events: Newest changes, oldest first.
        forgotten: Changes up to this revision are no longer known.
        changed: Wakes the waiting watches.
        faults: What goes wrong.
        calls: Calls by path.
    """

    revision: int = 1
    items: dict[str, Item] = attrs.field(factory=dict)
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    events: list[dict] = attrs.field(factory=list)
    forgotten: int = 0
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
        self.events.append(change)
        for old in self.events[:-HISTORY_EVENTS]:
            self.forgotten = old["revision"]
        del self.events[:-HISTORY_EVENTS]
        woken, self.changed = self.changed, event.Event()
        woken.send()

    def lapse(self) -> None:
        """Removes the keys of leases that have ended."""
        now_s = time.monotonic()
        for number, (end_s, _) in list(self.leases.items()):
            if now_s >= end_s:
                self.end_lease(number)

    def end_lease(self, number: int) -> bool:
        """Ends a lease; returns whether there was one."""
        if self.leases.pop(number, None) is None:
            return False
        self.revision += 1
        for key in [x for x, y in self.items.items() if y.lease == number]:
            self.remove(key)
        return True

    # Calls; each returns status and body.

    def get(self, query: dict) -> tuple[int, dict]:
        """Reads one key."""
        item = self.items.get(query["key"])
        told = {"storeRevision": self.revision}
        if item is None:
            return 404, told
        return 200, {**item.fields(query["key"]), **told}

    def list_page(self, query: dict) -> tuple[int, dict]:
        """Reads keys by prefix."""
        after = query.get("after", "")
        found = sorted(
            x for x in self.items if x.startswith(query["prefix"]) and x > after
        )
        page = found[:PAGE_ITEMS]
        return 200, {
            "items": [self.items[x].fields(x) for x in page],
            "hasMore": len(found) > len(page),
            "storeRevision": self.revision,
        }

    def watch(self, query: dict) -> tuple[int, dict]:
        """Waits for changes by prefix."""
        after = int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.forgotten:
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
                told = {"events": found, "storeRevision": self.revision}
                return 200, told
            self.changed.wait(timeout=max(0.01, min(left_s, 0.5)))

    def txn(self, body: dict) -> tuple[int, dict]:
        """Writes keys under conditions."""
        compared = body.get("expectedRev", [])
        for row in compared:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": self._current(compared)}
        writes = body.get("writes", [])
        leases = {x.get("lease", 0) for x in writes} - {0}
        if leases - self.leases.keys():
            return 404, {}
        if any(x["key"].startswith(FOREIGN_PREFIXES) for x in writes):
            return 403, {}
        self.revision += 1
        for row in writes:
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _current(self, compared: list[dict]) -> list[dict]:
        keys = [x["key"] for x in compared]
        return [self.items[x].fields(x) for x in keys if x in self.items]

    def lease(self, body: dict) -> tuple[int, dict]:
        """Makes a lease."""
        self.revision += 1
        length_s = body["ttlMs"] / 1000
        self.leases[self.revision] = (time.monotonic() + length_s, length_s)
        return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}

    def keep(self, number: int) -> tuple[int, dict]:
        """Renews a lease."""
        if number not in self.leases:
            return 404, {}
        length_s = self.leases[number][1]
        self.leases[number] = (time.monotonic() + length_s, length_s)
        return 200, {"ttlMs": int(length_s * 1000)}

    def answer(self, method: str, path: str, query: dict, body: dict):
        """Returns status and body of one call."""
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
                result = self.lease(body)
            case "POST", ["kv-keep", number]:
                result = self.keep(int(number))
            case "DELETE", ["kv-lease-end", number]:
                result = (200 if self.end_lease(int(number)) else 404), {}
            case _:
                result = 400, {}
        if writes and self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = attrs.evolve(self.faults, lose_answers=left)
            raise LostError
        return result


@attrs.define(eq=False)
class Application:
    """WSGI application of the store."""

    store: Store

    def __call__(self, environ, start_response):
        """Answers one call."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        data = environ["wsgi.input"].read()
        body = json.loads(data) if data else {}
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path.startswith("/control/"):
            status, told = self.control(path, body)
        else:
            self.store.calls[path.split("/")[1]] += 1
            faults = self.store.faults
            eventlet.sleep(faults.slow_s)
            if faults.down:
                status, told = 503, {}
            else:
                status, told = self.store.answer(method, path, query, body)
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(told).encode()]

    def control(self, path: str, body: dict) -> tuple[int, dict]:
        """Returns status and body of a call to the control interface."""
        store = self.store
        match path:
            case "/control/put":
                store.revision += 1
                value = json.dumps(body["value"]).encode()
                store.write(body["key"], base64.b64encode(value).decode())
                return 200, {"revision": store.revision}
            case "/control/faults":
                store.faults = Faults(**body)
                return 200, {}
            case "/control/calls":
                return 200, dict(store.calls)
        return 404, {}


def main() -> None:
    """Serves until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    options = parser.parse_args()
    store = Store()
    sock, address = listening.listen(options.listen)

    def check_leases() -> None:
        while True:
            store.lapse()
            eventlet.sleep(LEASE_CHECK_S)

    eventlet.spawn_n(check_leases)
    print(json.dumps({"ready": True, "http": address}), flush=True)
    wsgi.server(sock, Application(store), log_output=False, debug=False)


if __name__ == "__main__":
    main()
