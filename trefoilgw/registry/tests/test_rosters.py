"""Tests of epochs and of the document of the roster."""

import json
import unittest

from trefoilgw.findings import core as findings
from trefoilgw.keys import core as keys
from trefoilgw.messages import core as messages
from trefoilgw.registry import rosters


def make_entry(name):
    return messages.RosterEntry(name * 16, "10.0.0.1:1", "10.0.0.1:2", "d1")


A, B, C = (make_entry(name) for name in "abc")


class RosterTest(unittest.TestCase):
    def test_each_change_starts_an_epoch(self):
        """A key's home is computed from the members of its epoch."""
        first = rosters.Roster().with_changes([A])
        second = first.with_changes([B], [])
        third = second.with_changes([C], [A.incarnation])
        self.assertIs(third, third.with_changes([B], [A.incarnation]))
        self.assertEqual((3, (B, C)), (third.epoch, third.entries))
        members = {
            1: (A.incarnation,),
            2: (A.incarnation, B.incarnation),
            3: (B.incarnation, C.incarnation),
        }
        self.assertEqual(members, third.history)
        self.assertEqual(members[3], third.view.entries)

    def test_history_is_bounded(self):
        roster = rosters.Roster()
        for number in range(keys.EPOCHS_KEPT + 4):
            joining, leaving = (
                ([A], []) if number % 2 else ([B], [A.incarnation])
            )
            roster = roster.with_changes(joining, leaving)
        self.assertEqual(keys.EPOCHS_KEPT, len(roster.history))
        self.assertIn(roster.epoch, roster.history)

    def test_epoch_is_never_used_twice(self):
        """Two rosters with the same epoch would give a key two homes."""
        self.assertEqual(
            8, rosters.Roster().with_changes([A], highest_epoch=7).epoch
        )

    def test_round_trip(self):
        roster = rosters.Roster().with_changes([A]).with_changes([B])
        data = rosters.encode_roster(roster)
        self.assertEqual(roster, rosters.parse_roster(data))
        newer = json.loads(data)
        newer["later"] = 1
        newer["entries"][0]["later"] = 1
        data = json.dumps(newer).encode()
        self.assertEqual(roster, rosters.parse_roster(data))

    def test_invalid_documents(self):
        """An invalid roster must yield a finding and not an exception."""
        good = json.loads(
            rosters.encode_roster(rosters.Roster().with_changes([A]))
        )
        invalid = {
            "empty": b"",
            "not UTF-8": b"\xff",
            "deep": b"[" * 100_000,
            "a list": [],
            "no entries": {"epoch": 1, "history": {}},
            "epoch text": good | {"epoch": "1"},
            "epoch 0": good | {"epoch": 0, "history": {"0": []}},
            "epoch without members": good | {"epoch": 2},
            "entry without domain": good | {"entries": [{"incarnation": "a"}]},
            "member is a number": good | {"history": {"1": [3]}},
            "half of a surrogate pair": good | {"history": {"1": ["\ud800"]}},
            "members are a number": good | {"history": {"1": 3}},
        }
        for case, value in invalid.items():
            with self.subTest(case):
                data = value
                if not isinstance(value, bytes):
                    data = json.dumps(value).encode()
                found = rosters.parse_roster(data)
                self.assertIsInstance(found, findings.Finding)


if __name__ == "__main__":
    unittest.main()
