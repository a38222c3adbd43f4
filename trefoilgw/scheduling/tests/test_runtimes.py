"""Learned run times: which of two hints is believed."""

import math
import random
import statistics
import unittest

from trefoilgw.scheduling import runtimes


def tasks(seed, count, declared_error=0.4, wait_error=0.05):
    """Yields declared time, patience and true run time of tasks."""
    rng = random.Random(seed)
    for _ in range(count):
        run_s = rng.lognormvariate(math.log(0.4), 0.6)
        declared_s = run_s * rng.lognormvariate(0.0, declared_error)
        caller_wait_s = 2.0 + 5.0 * run_s * rng.lognormvariate(0.0, wait_error)
        yield declared_s, caller_wait_s, run_s


def mean_error(times, found):
    return statistics.mean(
        abs(math.log(times.estimate("q", *x[:2]).run_s / x[2])) for x in found
    )


class RunTimesTest(unittest.TestCase):
    def learn(self, **errors):
        times = runtimes.RunTimes()
        for declared_s, caller_wait_s, run_s in tasks(1, 600, **errors):
            times.observe("q", declared_s, run_s, caller_wait_s)
        return times

    def test_patience_tells_more_than_the_declared_time(self):
        """Starts planned with run times that are a third off come late."""
        times = self.learn()
        found = list(tasks(2, 300))
        self.assertLess(mean_error(times, found), 0.1)
        self.assertLess(times.estimate("q", *found[0][:2]).error, 0.15)

    def test_patience_that_tells_nothing_is_not_believed(self):
        """Callers may all wait equally long, or for any time."""
        times = self.learn(wait_error=1.5)
        found = list(tasks(2, 300, wait_error=1.5))
        without = [(x[0], None, x[2]) for x in found]
        self.assertAlmostEqual(
            mean_error(times, without), mean_error(times, found), delta=0.02
        )

    def test_caller_that_submits_again_has_less_patience(self):
        """What is left of it must not make a task look short."""
        times = self.learn()
        declared_s, caller_wait_s, _ = next(tasks(3, 1))
        fresh = times.estimate("q", declared_s, caller_wait_s)
        again = times.estimate("q", declared_s, 0.3)
        self.assertGreater(again.run_s, fresh.run_s / 2)

    def test_callers_that_do_not_say(self):
        """The declared time is used as before."""
        times = runtimes.RunTimes()
        for declared_s, _, run_s in tasks(1, 600):
            times.observe("q", declared_s, run_s)
        found = [(x[0], None, x[2]) for x in tasks(2, 300)]
        self.assertLess(mean_error(times, found), 0.35)

    def test_first_tasks_run_as_declared(self):
        """Nothing is known yet; 0 means that nothing was declared."""
        times = runtimes.RunTimes()
        self.assertEqual(0.7, times.estimate("q", 0.7, 9.0).run_s)
        guess = times.estimate("q", 0.0).run_s
        self.assertEqual(runtimes.DEFAULT_RUN_S, guess)
