"""Tests of the weight by which runners select a scheduler."""

import unittest

from hypothesis import given
from hypothesis import strategies

from trefoilgw.scheduling import reach
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.subsets import core as subsets
from trefoilgw.work import rates


class ReachWeightTest(unittest.TestCase):
    RUNNERS = 4
    SCHEDULERS = 5

    def setUp(self):
        self.now_s = 100.0
        self.reach = reach.ReachWeight(1000)
        self.scheduler = fixtures.make_scheduler(
            *(f"r{x}" for x in range(self.RUNNERS))
        )

    def report(self, others_started):
        for name in self.scheduler.runner_views:
            report = fixtures.make_report(
                schedulers=self.SCHEDULERS, others_started=others_started
            )
            self.scheduler.capacity_reported(name, report, self.now_s)

    def measure(self, own, others, seconds):
        """Measures a steady load for some time; returns the weights.

        Args:
            own: CPU admitted here in millicores per second.
            others: CPU started by each other scheduler at all runners.
            seconds: Number of measurements, one a second.
        """
        per_runner = (self.SCHEDULERS - 1) * others / self.RUNNERS
        self.report((0, 0, rates.to_step(per_runner)))
        weights = []
        for _ in range(seconds):
            self.now_s += reach.MEASURE_INTERVAL_S
            admitted = rates.CpuRates({2: float(own)})
            self.reach.measure(
                self.scheduler.runner_views.values(), admitted, self.now_s
            )
            weights.append(self.reach.weight)
        return weights

    def test_even_load_keeps_the_weight_of_the_host(self):
        """Equal weights select as before; the load of a second fluctuates."""
        for own in (8_000, 6_000, 11_000):
            self.assertEqual({1000}, set(self.measure(own, 8_000, 60)))

    def test_crowded_scheduler_asks_for_more_runners(self):
        """One with three times the callers reached as many as the others."""
        weights = self.measure(24_000, 8_000, 60)
        self.assertEqual(1000, weights[0])
        self.assertEqual(2000, weights[-1])

    def test_quiet_scheduler_asks_for_fewer_runners(self):
        """Its streams cost its host as much as those of a busy one."""
        self.assertEqual(500, self.measure(2_000, 8_000, 60)[-1])

    def test_weight_stays_within_a_factor_of_two_of_the_host(self):
        """A small host must not get the streams of a large one."""
        self.reach.host_weight = 500
        weights = self.measure(10**9, 8_000, 120)
        self.assertEqual(1000, max(weights))

    def test_changes_are_spaced(self):
        """Each change moves streams at many runners."""
        weights = self.measure(24_000, 8_000, 60)
        changes = [
            x for x in range(1, len(weights)) if weights[x] != weights[x - 1]
        ]
        gaps = [b - a for a, b in zip(changes, changes[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), reach.CHANGE_INTERVAL_S)
        self.assertGreaterEqual(changes[0], reach.CHANGE_INTERVAL_S - 1)

    def test_flapping_load_keeps_the_weight(self):
        """Bursts of three seconds would move streams back and forth."""
        found = set()
        for _ in range(20):
            found |= set(self.measure(14_000, 8_000, 3))
            found |= set(self.measure(4_000, 8_000, 3))
        self.assertEqual({1000}, found)

    def test_idle_scheduler_keeps_its_weight(self):
        """Rates near zero say nothing about who is short."""
        self.assertEqual({1000}, set(self.measure(300, 0, 60)))

    def test_runners_of_an_earlier_release_are_left_out(self):
        """They report nothing about the others, which is not zero."""
        self.report(())
        for _ in range(60):
            self.now_s += reach.MEASURE_INTERVAL_S
            changed = self.reach.measure(
                self.scheduler.runner_views.values(),
                rates.CpuRates({2: 24_000.0}),
                self.now_s,
            )
            self.assertFalse(changed)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 1e300), strategies.integers(-9, 2**64 - 1)
            ),
            max_size=40,
        )
    )
    def test_odd_figures_give_a_bounded_weight(self, figures):
        """Reports of a runner may hold any number."""
        self.setUp()
        for own, step in figures:
            self.report((step, step))
            self.now_s += 7.0
            self.reach.measure(
                self.scheduler.runner_views.values(),
                rates.CpuRates({0: own}),
                self.now_s,
            )
            self.assertIn(self.reach.weight, (500, 707, 1000, 1414, 2000))

    def test_weight_is_within_the_bounds_of_all_weights(self):
        """Receivers take no weight beyond them."""
        self.reach.steps = reach.MAX_STEPS
        self.reach.host_weight = subsets.MAX_WEIGHT
        self.assertEqual(subsets.MAX_WEIGHT, self.reach.weight)


if __name__ == "__main__":
    unittest.main()
