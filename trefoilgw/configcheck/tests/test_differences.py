"""Tests of the comparison of two versions."""

import doctest
import unittest

from trefoilgw.configcheck import differences
from trefoilgw.configcheck.differences import ABSENT
from trefoilgw.configcheck.differences import Difference


class CompareTest(unittest.TestCase):
    def test_records_are_matched_by_name(self):
        """A moved record is the same one; only what it holds counts."""
        old = {"r": [{"name": "a", "n": 1}, {"name": "b"}], "v": 1}
        new = {"r": [{"name": "c"}, {"name": "a", "n": 2, "m": 0}], "v": 2}
        self.assertEqual(
            (
                Difference("r[c]", ABSENT, {"name": "c"}),
                Difference("r[a].n", 1, 2),
                Difference("r[a].m", ABSENT, 0),
                Difference("r[b]", {"name": "b"}, ABSENT),
                Difference("v", 1, 2),
            ),
            differences.compare(old, new),
        )

    def test_other_lists_are_compared_as_a_whole(self):
        same_names = [{"name": "a"}, {"name": "a"}]
        for old, new in (([1, 2], [2, 1]), (same_names, [{"name": "a"}])):
            with self.subTest(old):
                self.assertEqual(
                    (Difference("x", old, new),),
                    differences.compare({"x": old}, {"x": new}),
                )

    def test_types_differ(self):
        """True equals 1 in Python, but not in a configuration."""
        self.assertEqual(
            (Difference("x", 1, True),),
            differences.compare({"x": 1}, {"x": True}),
        )
        self.assertEqual((), differences.compare({"x": []}, {"x": []}))

    def test_examples(self):
        self.assertEqual(0, doctest.testmod(differences).failed)


if __name__ == "__main__":
    unittest.main()
