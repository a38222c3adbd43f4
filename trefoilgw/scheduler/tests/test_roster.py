"""Tests of the list of schedulers with entries of other writers."""

import json
import unittest
from unittest import mock

import attrs

from trefoilgw.keyvalue import values
from trefoilgw.messages import runs
from trefoilgw.scheduler import roster

RECORD = runs.SchedulerRecord("10.1.0.13:7720", "za", "a" * 16, 5, True)
ENTRY = {"schema": 1, "address": "10.1.0.13:7720", "domain": "za"}
ENTRY["incarnation"] = "a" * 16
ODD_ENTRIES = (
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"9" * 10_000,
    b"1e999",
    b"\xed\xa0\x80",
    b"",
    b"[]",
    *(
        json.dumps({**ENTRY, **changes}).encode()
        for changes in (
            {"address": "10.1.0.13:99999"},
            {"address": "10.1.0.13:-1"},
            {"address": "10.1.0.13:" + "9" * 5000},
            {"address": "host.example:7720"},
            {"address": "\ud800:7720"},
            {"address": 7},
            {"domain": "\ud800"},
            {"domain": "d" * 1_000_000},
            {"incarnation": None},
        )
    ),
)


class OddEntriesTest(unittest.TestCase):
    def test_odd_entry_names_no_scheduler_and_hides_no_other(self):
        """Each process passes the records on, and dials their addresses."""
        for odd in ODD_ENTRIES:
            with self.subTest(odd=odd[:60]):
                listed = mock.Mock()
                store = mock.Mock()
                store.list_stale.return_value = values.Page(
                    (
                        values.KeyValue(odd, 3, roster.KEY_PREFIX + "odd"),
                        values.KeyValue(
                            roster.encode_record(RECORD),
                            4,
                            roster.KEY_PREFIX + "good",
                        ),
                    ),
                    5,
                    False,
                )
                parts = roster.Roster(
                    store, "good", RECORD, listed, mock.Mock()
                )
                with self.assertLogs(roster.log):
                    self.assertTrue(parts._read_list())
                listed.assert_called_once_with([RECORD], 5)

    def test_odd_weight_does_not_hide_a_scheduler(self):
        """It would get no runner at all."""
        for weight, expected in ((700, 700), (-1, 0), ("x", 0), (10**40, 0)):
            data = json.dumps({**ENTRY, "weight": weight}).encode()
            item = values.KeyValue(data, 3, roster.KEY_PREFIX + "good")
            found = roster.decode_record(item, 5)
            self.assertEqual(attrs.evolve(RECORD, weight=expected), found)

    def test_unknown_fields_are_ignored(self):
        """A newer release may add fields, with numbers of any size."""
        data = json.dumps({**ENTRY, "schema": 2, "later": 10**40}).encode()
        item = values.KeyValue(data, 3, roster.KEY_PREFIX + "good")
        self.assertEqual(
            attrs.evolve(RECORD, revision=9), roster.decode_record(item, 9)
        )


if __name__ == "__main__":
    unittest.main()
