"""Tests of lists in which another writer has left odd items."""

import base64
import json
import unittest
from unittest import mock

from trefoilgw.evacuation import core as evacuation
from trefoilgw.platform import connections
from trefoilgw.platform import evacuations
from trefoilgw.platform import store

GOOD = {"key": "p/good", "value": base64.b64encode(b"x").decode()}
ODD_ITEMS = (
    {**GOOD, "revision": 10**30},
    {**GOOD, "revision": "7"},
    {**GOOD, "value": "not base64"},
    {**GOOD, "value": "é"},
    {**GOOD, "value": 5},
    {**GOOD, "key": None},
    {**GOOD, "key": "\ud800"},
    {},
    [],
    None,
)


def answer_with(body):
    """Returns a client whose store answers each call with a body."""
    client = store.Store("127.0.0.1:1")
    response = connections.Response(200, json.dumps(body).encode())
    client._pool = mock.Mock(call=lambda *args: response)
    return client


class OddItemsTest(unittest.TestCase):
    def test_odd_item_hides_no_other_item_of_a_list(self):
        """Processes stopped following a list with a single odd entry."""
        for odd in ODD_ITEMS:
            with self.subTest(odd=odd), self.assertLogs(store.log):
                body = {"items": [odd, GOOD], "storeRevision": 9}
                page = answer_with(body).list_stale("p/")
                self.assertEqual(["p/good"], [x.key for x in page.items])

    def test_odd_change_hides_no_other_change(self):
        """A watch that fails would be repeated from the same revision."""
        gone = {"key": "p/gone", "revision": 3, "tombstone": True}
        for odd in ODD_ITEMS:
            with self.subTest(odd=odd), self.assertLogs(store.log):
                body = {"events": [odd, GOOD, gone], "storeRevision": 9}
                changes = answer_with(body).watch("p/", 1, 0.1)
                self.assertEqual(["p/good"], [x.key for x in changes.values])
                self.assertEqual(("p/gone",), changes.deleted)
                self.assertEqual(9, changes.revision)


def configuration_item(document=b"{}", revision=4):
    data = base64.b64encode(document).decode()
    return {"key": "op/config", "value": data, "revision": revision}


def evacuation_item(domain, value=b"{}", revision=5):
    data = base64.b64encode(value).decode()
    key = f"op/evacuate/{domain}"
    return {"key": key, "value": data, "revision": revision}


class OperatorsTest(unittest.TestCase):
    def test_one_list_holds_configuration_and_evacuations(self):
        """Further calls would be priced, and could disagree."""
        items = [
            configuration_item(b"c"),
            evacuation_item("zone-a"),
            {"key": "op/wave/1", "value": "e30=", "revision": 3},
        ]
        client = answer_with({"items": items, "storeRevision": 9})
        self.assertEqual(
            store.OperatorsState(b"c", frozenset({"zone-a"}), 9),
            client.read_operators(),
        )

    def test_later_pages_are_read(self):
        """A large configuration fills the first page."""
        pages = [
            {
                "items": [configuration_item(b"c")],
                "hasMore": True,
                "storeRevision": 9,
            },
            {"items": [evacuation_item("zone-a")], "storeRevision": 12},
        ]
        paths = []

        def call(method, path, *args):
            paths.append(path)
            body = json.dumps(pages[len(paths) - 1]).encode()
            return connections.Response(200, body)

        client = store.Store("127.0.0.1:1")
        client._pool = mock.Mock(call=call)
        self.assertEqual(
            # A change between the two pages is returned by the watch.
            store.OperatorsState(b"c", frozenset({"zone-a"}), 9),
            client.read_operators(),
        )
        self.assertEqual(
            [
                "/kv-range?prefix=op%2F",
                "/kv-range?prefix=op%2F&after=op%2Fconfig",
            ],
            paths,
        )

    def test_watch_returns_changes_of_both(self):
        """A removal has no value, and other keys mean nothing here."""
        events = [
            evacuation_item("zone-a", revision=10),
            configuration_item(b"old", 11),
            {"key": "op/evacuate/zone-b", "revision": 12, "tombstone": True},
            configuration_item(b"new", 13),
            {"key": "op/wave/1", "revision": 14, "tombstone": True},
        ]
        client = answer_with({"events": events, "storeRevision": 15})
        self.assertEqual(
            store.OperatorsChanges(
                b"new",
                (
                    evacuation.DomainChange("zone-a", True, 10),
                    evacuation.DomainChange("zone-b", False, 12),
                ),
                15,
            ),
            client.watch_operators(9, 0.1),
        )

    def test_odd_key_is_skipped_with_one_line(self):
        """The others stay in force."""
        for domain in ("", "zone-a/x", "x" * 300):
            with self.subTest(domain=domain):
                items = [evacuation_item(domain), evacuation_item("zone-b")]
                client = answer_with({"items": items, "storeRevision": 9})
                with self.assertLogs(evacuations.log) as logged:
                    state = client.read_operators()
                self.assertEqual({"zone-b"}, state.domains)
                self.assertEqual(1, len(logged.records))

    def test_request_with_an_odd_value_is_in_force(self):
        """The store has acknowledged it, and its presence is the request."""
        odd = evacuation_item("zone-a")
        values = ("not base64", base64.b64encode(b"[]").decode(), 5, None)
        for value in values:
            with self.subTest(value=value):
                items = [{**odd, "value": value}]
                client = answer_with(
                    {"items": items, "events": items, "storeRevision": 9}
                )
                with self.assertLogs(evacuations.log) as logged:
                    state = client.read_operators()
                self.assertEqual({"zone-a"}, state.domains)
                self.assertEqual(1, len(logged.records))
                with self.assertLogs(evacuations.log):
                    changes = client.watch_operators(1, 0.1)
                self.assertEqual(1, len(changes.domain_changes))

    def test_unknown_fields_of_a_request_are_ignored(self):
        """A later release of the platform may add some."""
        item = evacuation_item("zone-a", b'{"reason": 7, "until": []}')
        client = answer_with({"items": [item], "storeRevision": 9})
        with self.assertNoLogs(evacuations.log):
            self.assertEqual({"zone-a"}, client.read_operators().domains)

    def test_without_evacuations_the_calls_are_as_before(self):
        """Deployments without evacuations pay for no other calls."""
        paths = []

        def call(method, path, *args):
            paths.append(path)
            return connections.Response(200, b'{"storeRevision": 3}')

        client = store.Store("127.0.0.1:1")
        client._pool = mock.Mock(call=call)
        source = store.ConfigurationSource(client)
        source.read()
        source.watch(3, 1.5)
        self.assertEqual(
            [
                "/kv-key?key=op%2Fconfig",
                "/kv-watch?prefix=op%2Fconfig&after=3&waitMs=1500",
            ],
            paths,
        )


if __name__ == "__main__":
    unittest.main()
