"""Tests of the division of limits among the entries."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trefoilgw.admission import sharing

RUNNING = st.dictionaries(
    st.sampled_from(["e1", "e2", "e3", "e4"]),
    st.integers(0, 200).map(float),
    min_size=1,
)


class EntryLimitShareTest(unittest.TestCase):
    def test_share_by_running_tasks(self):
        cases = {
            "may use what the others leave": (88, 12, 49, 39),
            "alone": (88, 40, 0, 88),
            "at the limit": (90, 30, 60, 30),
            "above the limit, proportional": (90, 60, 60, 45),
            "others use all: half an even share": (88, 0, 88, 22),
        }
        for name, (limit, own, other, expected) in cases.items():
            with self.subTest(name):
                running = {"": float(own), "e2": float(other)}
                share = sharing.entry_limit_share(float(limit), "", running)
                self.assertAlmostEqual(expected, share)

    @given(st.integers(1, 300), RUNNING)
    def test_unused_limit_is_available_to_each_entry(self, limit, running):
        """An entry whose demand grows must not wait for the next report."""
        unused = limit - sum(running.values())
        for entry, own in running.items():
            share = sharing.entry_limit_share(float(limit), entry, running)
            if unused > 0:
                self.assertGreaterEqual(share + 1e-6, own + unused)

    @given(st.integers(1, 300), RUNNING)
    def test_excess_is_bounded(self, limit, running):
        """Without a bound on the sum of shares, the limit would not hold."""
        shares = [
            sharing.entry_limit_share(float(limit), entry, running)
            for entry in running
        ]
        unused = max(0.0, limit - sum(running.values()))
        min_shares = limit / 2
        bound = limit + min_shares + (len(running) - 1) * unused
        self.assertLessEqual(sum(shares), bound + 1e-6)


if __name__ == "__main__":
    unittest.main()
