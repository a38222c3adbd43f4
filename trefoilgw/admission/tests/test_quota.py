"""Tests of quotas: token buckets, shares of kinds, division among entries."""

import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw.admission import quota
from trefoilgw.admission import sharing

STEPS = st.lists(
    st.tuples(
        st.sampled_from(("k1", "k2", "k3")),
        st.integers(1, 310),
        st.sampled_from((0.0, 0.001, 0.02, 0.3, 5.0)),
    ),
    max_size=80,
)
DEMANDS = st.lists(st.floats(0.0, 1000.0), min_size=1, max_size=8)


def make_quota(starts_s):
    shares = {"k1": 0.5, "k2": 0.3, "k3": 0.2}
    return quota.Quota.with_full_buckets(starts_s, shares, 0.0)


class QuotaTest(unittest.TestCase):
    @hypothesis.given(st.floats(1.0, 1000.0), STEPS)
    def test_starts_are_bounded(self, starts_s, steps):
        """A customer above its quota would take capacity from the others."""
        customer_quota = make_quota(starts_s)
        now_s = 0.0
        accepted = 0
        largest = 0
        for kind, tasks, wait_s in steps:
            now_s += wait_s
            largest = max(largest, tasks)
            if customer_quota.take(kind, tasks, now_s) == 0.0:
                accepted += tasks
            filled = starts_s * now_s
            burst = max(starts_s * quota.BURST_S, 4.0)
            bound = filled + burst + 4 * largest
            self.assertLessEqual(accepted, bound + 1e-6)

    @hypothesis.given(st.floats(1.0, 1000.0), STEPS)
    def test_job_is_accepted_after_the_reported_wait(self, starts_s, steps):
        """After a wait that is too short, callers are refused again."""
        customer_quota = make_quota(starts_s)
        now_s = 0.0
        for kind, tasks, wait_s in steps:
            now_s += wait_s
            retry_after_s = customer_quota.take(kind, tasks, now_s)
            if retry_after_s > 0.0:
                now_s += retry_after_s + 1e-6
                self.assertEqual(0.0, customer_quota.take(kind, tasks, now_s))

    @hypothesis.given(STEPS)
    def test_flood_of_one_kind_leaves_the_others_their_share(self, steps):
        """One kind's flood must not use up the customer's whole quota."""
        customer_quota = make_quota(100.0)
        now_s = 0.0
        for _, tasks, wait_s in steps:
            now_s += wait_s
            customer_quota.take("k1", tasks, now_s)
        self.assertEqual(0.0, customer_quota.take("k2", 15, now_s))

    def test_one_kind_may_use_the_whole_quota(self):
        """Shares of idle kinds must not lower the rate of the others."""
        customer_quota = make_quota(100.0)
        accepted = sum(
            customer_quota.take("k3", 1, step / 1000.0) == 0.0
            for step in range(10_000)
        )
        self.assertGreaterEqual(accepted, 1000)

    def test_lower_rate_applies_at_once(self):
        """A smaller share of the quota must apply without delay."""
        customer_quota = make_quota(100.0)
        customer_quota.set_rate(10.0, 0.0)
        accepted = sum(
            customer_quota.take("k1", 1, step / 100.0) == 0.0
            for step in range(1000)
        )
        self.assertLessEqual(accepted, 10 * 11 + 1)


class SharingTest(unittest.TestCase):
    @hypothesis.given(st.floats(1.0, 1000.0), DEMANDS)
    def test_shares(self, total, demands):
        """Each entry must get its minimum, and all together at most the quota.

        Entries that compute different divisions would admit more than the
        quota, or much less although there is demand for all of it.
        """
        named = {f"e{i}": value for i, value in enumerate(demands)}
        shares = {
            entry: sharing.entry_share(total, entry, named) for entry in named
        }
        slack = 1e-6 * total
        for entry, share in shares.items():
            self.assertGreaterEqual(share, total / (2 * len(named)) - slack)
            unused = max(0.0, total - sum(demands)) / len(named)
            if sum(demands) <= total:
                self.assertGreaterEqual(share, named[entry] + unused - slack)
        used = sum(min(shares[entry], named[entry]) for entry in named)
        self.assertLessEqual(used, total + slack)
        if sum(demands) >= total:
            self.assertGreaterEqual(used, 0.5 * total - slack)

    @hypothesis.given(
        st.integers(2, 6),
        st.lists(
            st.lists(st.floats(0.0, 300.0), min_size=6, max_size=6),
            min_size=3,
            max_size=12,
        ),
    )
    def test_excess_from_late_reports_is_bounded(self, entries, seconds):
        """Late reports must let the starts exceed the quota by little.

        Demand changes every second, and each entry knows the demands of the
        second before. The starts admitted in any second are at most the
        quota plus the minimum shares, which add up to half of a quota. On
        top of that comes once the burst of 1 s that the buckets hold.
        """
        total = 100.0
        names = [f"e{i}" for i in range(entries)]
        quotas = {name: make_quota(total / entries) for name in names}
        admitted = []
        for number, demands in enumerate(seconds):
            demand_by_entry = dict(zip(names, demands, strict=False))
            count = 0
            for name in names:
                for step in range(int(demand_by_entry[name])):
                    now_s = number + step / (int(demand_by_entry[name]) + 1)
                    count += quotas[name].take("k1", 1, now_s) == 0.0
            admitted.append(count)
            for name in names:
                share = sharing.entry_share(total, name, demand_by_entry)
                quotas[name].set_rate(share, number + 1.0)
        for start in range(len(admitted)):
            for end in range(start + 1, len(admitted) + 1):
                length_s = end - start
                bound = total * (1.5 * length_s + 1.5) + entries
                self.assertLessEqual(sum(admitted[start:end]), bound)


if __name__ == "__main__":
    unittest.main()
