"""Tests of the random choice of a runner."""

import collections
import random
import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import placing
from trefoilgw.scheduling import runners
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

DRAWS = 4000
# Four standard deviations of a share that is drawn that often.
TOLERANCE = 0.04


def make_view(name, free_millicores=4000, domain="d1", log_slowness=0.0):
    view = runners.RunnerView(name, "i1", domain, log_slowness=log_slowness)
    free = messages.Room(free_millicores, 8192, 0)
    view.update_report(fixtures.make_report(free))
    return view


def shares(*views, millicores=1000):
    """Returns the share of the tasks that each runner gets."""
    task = jobs.Task(
        work.TaskSpec("j.0.0.0", work.Demand(millicores, 64, 0), 0.4), 0.4, 1
    )
    rng = random.Random(5)
    counts = collections.Counter()
    for _ in range(DRAWS):
        view = placing.choose_runner(views, task, 0.1, "proof", "d1", 0.0, rng)
        counts[view.name if view else None] += 1
    return {name: count / DRAWS for name, count in counts.items()}


class ChoiceTest(unittest.TestCase):
    def test_free_capacity_counts_by_its_square(self):
        """The last free slot is the one that other schedulers fill first."""
        found = shares(make_view("r1", 1000), make_view("r2", 3000))
        self.assertAlmostEqual(0.9, found["r2"], delta=TOLERANCE)

    def test_fast_runner_is_preferred(self):
        """Targets differ in speed; a run ends sooner on a fast one."""
        slow = make_view("r1", log_slowness=0.6931471805599453)
        found = shares(slow, make_view("r2"))
        self.assertAlmostEqual(0.8, found["r2"], delta=TOLERANCE)

    def test_own_failure_domain_is_preferred(self):
        """Traffic between failure domains is expensive."""
        found = shares(make_view("r1"), make_view("r2", domain="d2"))
        self.assertAlmostEqual(2 / 3, found["r1"], delta=TOLERANCE)

    def test_equal_runners_share_the_tasks(self):
        """Schedulers that all chose the same runner would be refused."""
        found = shares(*(make_view(f"r{x}") for x in range(4)))
        for share in found.values():
            self.assertAlmostEqual(0.25, share, delta=TOLERANCE)

    def test_no_runner_without_capacity(self):
        """A task that can't start must wait and bid instead."""
        self.assertEqual({None: 1.0}, shares(make_view("r1", 500)))
