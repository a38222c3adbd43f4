"""Tests of estimated run times: which of the two inputs is used."""

import math
import random
import statistics
import unittest

from trefoilgw.scheduling import runtimes


def tasks(seed, count, declared_error=0.4, wait_error=0.05):
    """Yields declared time, waiting time and actual run time of tasks."""
    rng = random.Random(seed)
    for _ in range(count):
        run_s = rng.lognormvariate(math.log(0.4), 0.6)
        declared_s = run_s * rng.lognormvariate(0.0, declared_error)
        caller_wait_s = 2.0 + 5.0 * run_s * rng.lognormvariate(0.0, wait_error)
        yield declared_s, caller_wait_s, run_s


def mean_error(times, samples):
    return statistics.mean(
        abs(math.log(times.estimate("q", *x[:2]).run_s / x[2])) for x in samples
    )


class RunTimesTest(unittest.TestCase):
    def learn(self, **errors):
        times = runtimes.RunTimes()
        for declared_s, caller_wait_s, run_s in tasks(1, 600, **errors):
            times.observe("q", declared_s, run_s, caller_wait_s)
        return times

    def test_waiting_time_predicts_better_than_the_declared_time(self):
        """Jobs planned with estimates that are a third off start late."""
        times = self.learn()
        samples = list(tasks(2, 300))
        self.assertLess(mean_error(times, samples), 0.1)
        self.assertLess(times.estimate("q", *samples[0][:2]).error, 0.15)

    def test_uncorrelated_waiting_time_is_ignored(self):
        """Waiting times may be all equal or unrelated to the run times."""
        times = self.learn(wait_error=1.5)
        samples = list(tasks(2, 300, wait_error=1.5))
        without = [(x[0], None, x[2]) for x in samples]
        self.assertAlmostEqual(
            mean_error(times, without), mean_error(times, samples), delta=0.02
        )

    def test_resubmission_does_not_shorten_the_estimate(self):
        """Part of the waiting time has passed, so the task would look short."""
        times = self.learn()
        declared_s, caller_wait_s, _ = next(tasks(3, 1))
        fresh = times.estimate("q", declared_s, caller_wait_s)
        again = times.estimate("q", declared_s, 0.3)
        self.assertGreater(again.run_s, fresh.run_s / 2)

    def test_unknown_waiting_time_leaves_the_declared_time(self):
        """Without a waiting time only the declared time is used."""
        times = runtimes.RunTimes()
        for declared_s, _, run_s in tasks(1, 600):
            times.observe("q", declared_s, run_s)
        samples = [(x[0], None, x[2]) for x in tasks(2, 300)]
        self.assertLess(mean_error(times, samples), 0.35)

    def test_first_estimates_are_the_declared_times(self):
        """No run was observed yet; 0 means that no time was declared."""
        times = runtimes.RunTimes()
        self.assertEqual(0.7, times.estimate("q", 0.7, 9.0).run_s)
        guess = times.estimate("q", 0.0).run_s
        self.assertEqual(runtimes.DEFAULT_RUN_S, guess)
