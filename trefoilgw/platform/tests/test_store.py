"""Tests of lists in which another writer has left odd items."""

import base64
import json
import unittest
from unittest import mock

from trefoilgw.platform import connections
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


if __name__ == "__main__":
    unittest.main()
