"""Tests of the relative speeds of the targets of a service."""

import math
import random
import unittest

import attrs

from trefoilgw.scheduling import runners
from trefoilgw.scheduling import runtimes
from trefoilgw.scheduling import speeds
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import slowness


def code_of(ratio):
    return slowness.to_code(math.log(ratio))


def make_view(name, code, **kwargs):
    view = runners.RunnerView(name, "i1", "d1")
    report = attrs.evolve(fixtures.make_report(**kwargs), slowness=code)
    view.update_report(report)
    return view


def updated(*codes, fleet=None):
    """Returns the views of runners with some codes, and the fleet's speeds."""
    views = [make_view(f"r{x}", code) for x, code in enumerate(codes)]
    fleet = fleet or speeds.FleetSpeeds()
    fleet.update(views)
    return views, fleet


class RelativeSpeedTest(unittest.TestCase):
    def test_speeds_are_relative_to_the_mean(self):
        """Expected times may be off by a factor that all runners report."""
        for factor in (1.0, 1.6, 0.5):
            with self.subTest(factor=factor):
                codes = [code_of(factor * x) for x in (0.5, 1.0, 2.0)]
                views, fleet = updated(*codes)
                found = [round(x.slowness, 6) for x in views]
                self.assertEqual([0.5, 1.0, 2.0], found)
                self.assertEqual(0.5, fleet.fastest_at("proof"))
                self.assertAlmostEqual(4.0, fleet.spread["proof"])

    def test_even_targets_have_no_speeds(self):
        """Noise of the estimates must not change the choice of a runner."""
        views, fleet = updated(32, 33, 31, 32, 33, 32)
        self.assertEqual({None}, {x.fleet_slowness for x in views})
        self.assertEqual(set(), fleet.uneven)

    def test_single_slow_target_among_many_counts(self):
        """It hardly changes the deviation over all targets."""
        views, _ = updated(*[32] * 40, 38)
        self.assertGreater(views[-1].slowness, 1.6)

    def test_targets_near_the_limit_do_not_change_sides(self):
        """The choice would follow one rule and then the other by turns."""
        _, fleet = updated(30, 32, 34)
        self.assertEqual({"proof"}, fleet.uneven)
        updated(31, 32, 34, fleet=fleet)
        self.assertEqual({"proof"}, fleet.uneven)
        _, other = updated(31, 32, 34)
        self.assertEqual(set(), other.uneven)

    def test_unknown_speed_counts_as_the_mean(self):
        """Runners of an earlier release and restarted ones report none."""
        views, _ = updated(24, 40, slowness.UNKNOWN)
        self.assertEqual(1.0, views[2].slowness)

    def test_only_earlier_releases_leave_the_own_averages(self):
        """During an update of the runners none of them may report a speed."""
        views, fleet = updated(0, 0, 0)
        self.assertEqual({None}, {x.fleet_slowness for x in views})
        self.assertEqual(set(), fleet.uneven)

    def test_suspect_runners_do_not_change_the_mean(self):
        """What a target does while it is bad says nothing about the others."""
        views = [make_view(f"r{x}", 24 + 8 * x) for x in range(3)]
        views.append(make_view("bad", 56, suspect=True))
        speeds.FleetSpeeds().update(views)
        self.assertEqual(1.0, views[1].slowness)

    def test_odd_codes_are_ignored_with_one_line(self):
        """A faulty runner must not spoil the mean, nor fill the log."""
        for odd in (-1, 7, 57, 10**9, math.inf, math.nan, "32", None, True):
            with self.subTest(odd=odd):
                scheduler = fixtures.make_scheduler("r1", "r2", "r3")
                for name, code in (("r1", 24), ("r2", 40)):
                    report = attrs.evolve(fixtures.make_report(), slowness=code)
                    scheduler.capacity_reported(name, report, 0.1)
                report = attrs.evolve(fixtures.make_report(), slowness=odd)
                with self.assertLogs("trefoilgw.scheduling.speeds") as logs:
                    for _ in range(3):
                        scheduler.capacity_reported("r3", report, 0.1)
                self.assertEqual(1, len(logs.records))
                scheduler.tick(0.2)
                found = scheduler.runner_views
                self.assertEqual(1.0, found["r3"].slowness)
                self.assertEqual(0.5, found["r1"].slowness)

    def test_restarted_runner_has_no_speed(self):
        """Its target may have been replaced meanwhile."""
        scheduler = fixtures.make_scheduler("r1", "r2")
        for name, code in (("r1", 24), ("r2", 40)):
            report = attrs.evolve(fixtures.make_report(), slowness=code)
            scheduler.capacity_reported(name, report, 0.1)
        scheduler.tick(0.2)
        self.assertEqual(2.0, scheduler.runner_views["r2"].slowness)
        scheduler.runner_connected("r2", "i2", "d1", 0.3)
        self.assertEqual(1.0, scheduler.runner_views["r2"].slowness)


class DriftTest(unittest.TestCase):
    def test_expected_times_do_not_drift(self):
        """Expected times and speeds are learned from each other.

        If speeds were absolute, both could grow or shrink together without
        bound: only their product would be known.
        """
        rng = random.Random(2)
        truth = (0.6, 0.9, 1.1, 1.7)
        run_times = runtimes.RunTimes()
        logs = [0.0] * len(truth)
        views = [make_view(f"r{x}", 32) for x in range(len(truth))]
        fleet = speeds.FleetSpeeds()
        found = []
        for number in range(40_000):
            index = number % len(truth)
            expected_s = run_times.estimate("q", 0.4).run_s
            run_s = 0.4 * truth[index] * rng.lognormvariate(0.0, 0.3)
            logs[index] += 0.02 * (math.log(run_s / expected_s) - logs[index])
            view = views[index]
            view.report = attrs.evolve(
                view.report, slowness=slowness.to_code(logs[index])
            )
            if number % 50 == 0:
                fleet.update(views)
            run_times.observe("q", 0.4, run_s / view.slowness)
            if number >= 5_000:
                found.append(run_times.estimate("q", 0.4).run_s)
        mean = math.exp(sum(map(math.log, truth)) / len(truth))
        self.assertGreater(min(found), 0.85 * 0.4 * mean)
        self.assertLess(max(found), 1.15 * 0.4 * mean)


if __name__ == "__main__":
    unittest.main()
