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
TIME_LEFT = placing.TimeLeft(0.1, 0.2)


def make_view(
    name, free_millicores=4000, domain="d1", log_slowness=0.0, slowness=None
):
    view = runners.RunnerView(
        name, "i1", domain, log_slowness=log_slowness, fleet_slowness=slowness
    )
    free = messages.Room(free_millicores, 8192, 0)
    view.update_report(fixtures.make_report(free))
    return view


def shares(*views, millicores=1000, run_s=0.4, time_left=TIME_LEFT):
    """Returns the share of the tasks that each runner gets."""
    task = jobs.Task(
        work.TaskSpec("j.0.0.0", work.Demand(millicores, 64, 0), 0.4), run_s, 1
    )
    rng = random.Random(5)
    counts = collections.Counter()
    for _ in range(DRAWS):
        view = placing.choose_runner(
            views, task, time_left, "proof", "d1", 0.0, rng
        )
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

    def test_task_without_cpu_fits_where_all_cpu_is_taken(self):
        """The weights of such runners were all 0, which no draw accepts."""
        full = (make_view("r1", 0), make_view("r2", 0))
        for views in (full, (make_view("r3", 0, slowness=1.4), *full)):
            found = shares(*views, millicores=0)
            self.assertNotIn(None, found)
        uneven = (
            make_view("r1", 0, slowness=0.7),
            make_view("r2", 4000, slowness=1.4),
        )
        self.assertNotIn(None, shares(*uneven, millicores=0))

    def test_task_without_cpu_prefers_no_runner_with_free_cpu(self):
        """How much CPU is free says nothing of the room for it."""
        found = shares(make_view("r1", 0), make_view("r2", 4000), millicores=0)
        self.assertAlmostEqual(0.5, found["r1"], delta=TOLERANCE)

    def test_no_runner_without_capacity(self):
        """A task that can't start must wait and bid instead."""
        self.assertEqual({None: 1.0}, shares(make_view("r1", 500)))


class UnevenTargetsTest(unittest.TestCase):
    def test_equal_speeds_leave_the_choice_as_it_is(self):
        """A deployment with even targets must be served as before."""
        task = jobs.Task(
            work.TaskSpec("j.0.0.0", work.Demand(700, 64, 0), 0.4), 0.4, 1
        )
        for speed in (None, 0.7, 1.0, 1.9):
            found, wanted = random.Random(3), random.Random(3)
            time_left = placing.TimeLeft(0.1, 0.2, speed or 1.0)
            for number in range(200):
                views = [
                    make_view(
                        f"r{x}",
                        1000 + 311 * ((x + number) % 7),
                        f"d{x % 3}",
                        slowness=speed,
                    )
                    for x in range(8)
                ]
                for view in views:
                    view.log_slowness = 0.0
                chosen = placing.choose_runner(
                    views, task, time_left, "proof", "d1", 0.0, found
                )
                weights = [placing._weight(x, 700, "d1") for x in views]
                self.assertIs(wanted.choices(views, weights)[0], chosen)

    def test_long_task_goes_where_it_ends_in_time(self):
        """A run of 1.8 s with 0.7 s to spare ends late at a slow target."""
        found = shares(
            make_view("slow", slowness=1.6),
            make_view("mean", slowness=1.0),
            make_view("fast", slowness=0.7),
            run_s=1.8,
            time_left=placing.TimeLeft(0.4, 0.7, 0.7),
        )
        self.assertNotIn("slow", found)
        self.assertGreater(found["fast"], 0.7)

    def test_short_task_uses_the_slow_target_more_than_a_long_one(self):
        """Fast targets that are full of short tasks delay the long ones."""
        views = (
            make_view("slow", slowness=1.4),
            make_view("fast", slowness=0.7),
        )
        short = shares(
            *views, run_s=0.1, time_left=placing.TimeLeft(0.1, 0.12, 0.7)
        )
        long = shares(
            *views, run_s=1.8, time_left=placing.TimeLeft(0.7, 1.1, 0.7)
        )
        self.assertGreater(short["slow"], 2 * long["slow"])

    def test_task_that_ends_in_time_does_not_wait(self):
        """A slow target must not be idle while work waits."""
        found = shares(
            make_view("slow", slowness=1.4),
            run_s=1.8,
            time_left=placing.TimeLeft(0.4, 0.8, 0.7),
        )
        self.assertEqual({"slow": 1.0}, found)

    def test_task_waits_for_a_faster_target_while_it_can(self):
        """It ends late at the free target and in time at the busy one."""
        slow, fast = make_view("s", slowness=1.6), make_view("f", 0)
        for slack_s, fastest, wanted in (
            (0.4, 0.7, None),
            (-0.01, 0.7, "s"),
            (0.4, 1.6, "s"),
        ):
            with self.subTest(slack_s=slack_s, fastest=fastest):
                found = shares(
                    slow,
                    fast,
                    run_s=1.8,
                    time_left=placing.TimeLeft(slack_s, 0.7, fastest),
                )
                self.assertEqual({wanted: 1.0}, found)

    def test_task_that_is_late_everywhere_is_sent(self):
        """Late answers are still of use to callers."""
        found = shares(
            make_view("slow", slowness=1.4),
            make_view("fast", slowness=0.7),
            run_s=1.8,
            time_left=placing.TimeLeft(-0.9, -0.8, 0.7),
        )
        self.assertAlmostEqual(0.8, found["fast"], delta=TOLERANCE)

    def test_short_task_of_a_long_job_has_more_time(self):
        """The job ends with its longest task."""
        job = jobs.Job(fixtures.job("j", tasks=2), [], 1, 1.0, 5.4, 5.6, 2)
        task = jobs.Task(job.spec.tasks[0], 0.3, 1)
        time_left = placing.time_left_of(job, task, 0.8, 5.0)
        self.assertAlmostEqual(0.4, time_left.slack_s)
        self.assertAlmostEqual(1.3, time_left.spare_s)
