"""Tests of jobs that come while all targets of a service are in doubt.

Only a task that has passed as a probe ends a doubt, and only admitted jobs have
tasks. Schedulers that rejected all jobs meanwhile served nobody any more.
"""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import placing
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

# Runners that have just joined are forecast by `recovering`.
JOINED_S = -10.0
NAMES = ("r1", "r2", "r3")
OFFER = messages.Offer(1, 7, messages.Room(1000, 64, 0))


def report(scheduler, names, now_s, **changes):
    """Reports targets in doubt that await a probe."""
    for name in names:
        found = fixtures.make_report(
            **{"suspect": True, "probe_due": True, "freed_cpu": 0, **changes}
        )
        scheduler.capacity_reported(name, found, now_s)


def make_scheduler(names=NAMES, now_s=JOINED_S, **changes):
    """Returns a scheduler whose runners are all in doubt from 0 on."""
    scheduler = fixtures.make_scheduler(*names, now_s=now_s)
    report(scheduler, names, 0.0, **changes)
    return scheduler


def submit(scheduler, key, now_s=0.0, **changes):
    return scheduler.submit(fixtures.job(key, **changes), 1, now_s)


def is_admitted(result):
    return isinstance(result, jobs.Job)


def rejections(scheduler):
    """Returns key and reason of the jobs that were rejected by now."""
    return [
        (key, outcome.reason)
        for key, outcome in fixtures.answers(scheduler.take_actions())
        if isinstance(outcome, actions.Rejected)
    ]


class AdmissionTest(unittest.TestCase):
    def test_job_is_admitted_for_a_probe(self):
        """Without a job there is no probe, and the doubts never end."""
        scheduler = make_scheduler()
        self.assertTrue(is_admitted(submit(scheduler, "j")))
        taken = scheduler.take_actions()
        self.assertEqual([], fixtures.sent(taken))
        self.assertEqual(set(NAMES), {x for x, _ in fixtures.bids(taken)})
        scheduler.capacity_offered("r2", OFFER, 0.01)
        self.assertEqual(
            [("r2", "j.0.0.0", 1)], fixtures.sent(scheduler.take_actions())
        )

    def test_job_with_time_to_spare_is_a_probe_at_once(self):
        """It need not wait for an offer."""
        scheduler = make_scheduler()
        submit(scheduler, "j", tasks=5, declared_s=2.0)
        sent = fixtures.sent(scheduler.take_actions())
        self.assertEqual(sorted(NAMES), sorted(x[0] for x in sent))

    def test_all_jobs_are_admitted_once_a_target_is_trusted(self):
        """The rest of the probing job starts there, and further jobs follow."""
        scheduler = make_scheduler()
        submit(scheduler, "j", tasks=5, declared_s=2.0)
        scheduler.take_actions()
        report(scheduler, ("r1",), 0.5, suspect=False, starts_received=1)
        sent = fixtures.sent(scheduler.take_actions())
        self.assertEqual(["r1", "r1"], [x[0] for x in sent])
        self.assertTrue(is_admitted(submit(scheduler, "k", 0.5)))

    def test_no_more_jobs_than_probes(self):
        """The others would be answered late, and their attempts be lost."""
        scheduler = make_scheduler()
        results = [submit(scheduler, f"j{x}") for x in range(10)]
        self.assertEqual(len(NAMES), sum(map(is_admitted, results)))
        for rejected in results[len(NAMES) :]:
            self.assertEqual("in_doubt", rejected.reason)
            self.assertEqual(1.0, rejected.retry_after_s)

    def test_job_is_rejected_at_once_while_no_probe_is_due(self):
        """Its caller would wait in vain until it is too late for the job."""
        scheduler = make_scheduler(probe_due=False)
        self.assertEqual("in_doubt", submit(scheduler, "j").reason)
        report(scheduler, ("r1",), 0.1)
        self.assertTrue(is_admitted(submit(scheduler, "k", 0.1)))

    def test_target_that_has_a_probe_takes_no_other(self):
        """Its report of the probe is still under way."""
        scheduler = make_scheduler(("r1",))
        submit(scheduler, "j", declared_s=2.0)
        self.assertEqual(1, len(fixtures.sent(scheduler.take_actions())))
        self.assertEqual("in_doubt", submit(scheduler, "k").reason)

    def test_refused_probe_is_not_tried_before_the_next_report(self):
        """Another scheduler's probe came first."""
        scheduler = make_scheduler(("r1",))
        submit(scheduler, "j", declared_s=2.0)
        scheduler.take_actions()
        fixtures.end_run(
            scheduler,
            "r1",
            "j.0.0.0",
            1,
            work.Ending.NOT_RUN,
            0.01,
            "suspect",
            evidence=work.Evidence.NOT_RUN,
        )
        self.assertEqual("in_doubt", submit(scheduler, "k", 0.02).reason)

    def test_task_that_fits_in_no_target_in_doubt_is_no_probe(self):
        """It would keep the jobs that fit from being probes."""
        scheduler = make_scheduler(capacity=messages.Room(9000, 8192, 0))
        self.assertEqual(
            "in_doubt", submit(scheduler, "j", millicores=5000).reason
        )
        self.assertTrue(is_admitted(submit(scheduler, "k")))

    def test_runners_of_an_earlier_release_get_probes(self):
        """They don't report when a probe is due."""
        old = fixtures.make_report(suspect=True)
        scheduler = fixtures.make_scheduler("r1", now_s=JOINED_S)
        scheduler.capacity_reported("r1", old, JOINED_S)
        self.assertTrue(is_admitted(submit(scheduler, "j")))


class EntryTest(unittest.TestCase):
    """Ways by which a scheduler comes to have targets in doubt only."""

    def scheduler_with_a_healthy_runner(self):
        scheduler = make_scheduler(("r1", "r2"))
        fixtures.connect_runner(scheduler, "r3", now_s=JOINED_S)
        return scheduler

    def assert_probed(self, scheduler):
        self.assertTrue(is_admitted(submit(scheduler, "j", 0.1)))
        scheduler.take_actions()
        scheduler.capacity_offered("r1", OFFER, 0.11)
        self.assertEqual(1, len(fixtures.sent(scheduler.take_actions())))

    def test_last_healthy_runner_falls_in_doubt(self):
        """All targets fail at the same time."""
        scheduler = self.scheduler_with_a_healthy_runner()
        report(scheduler, ("r3",), 0.0)
        self.assert_probed(scheduler)

    def test_last_healthy_runner_is_lost(self):
        """Its host has lost its power."""
        scheduler = self.scheduler_with_a_healthy_runner()
        scheduler.runner_disconnected("r3")
        self.assert_probed(scheduler)

    def test_last_healthy_target_drains(self):
        """It is taken away as planned."""
        scheduler = self.scheduler_with_a_healthy_runner()
        report(scheduler, ("r3",), 0.0, suspect=False, usable=False)
        self.assert_probed(scheduler)

    def test_last_healthy_runner_is_evacuated(self):
        """The operators empty its failure domain."""
        scheduler = make_scheduler(("r1", "r2"))
        scheduler.runner_connected("r3", "i1", "d9", JOINED_S)
        scheduler.capacity_reported("r3", fixtures.make_report(), JOINED_S)
        scheduler.set_evacuated(frozenset({"d9"}), 0.0)
        self.assert_probed(scheduler)

    def test_scheduler_has_just_started(self):
        """It has never seen a target that is sound."""
        scheduler = make_scheduler(("r1", "r2"), now_s=0.0)
        self.assertTrue(scheduler.forecaster.is_recovering(0.1))
        self.assert_probed(scheduler)

    def test_runners_connect_again(self):
        """Their streams were reset while they were in doubt."""
        scheduler = make_scheduler(("r1", "r2"))
        for name in ("r1", "r2"):
            scheduler.runner_disconnected(name)
            fixtures.connect_runner(scheduler, name, now_s=0.0)
        report(scheduler, ("r1", "r2"), 0.0)
        self.assert_probed(scheduler)


class OneOfManyTest(unittest.TestCase):
    """A target in doubt beside healthy ones that have room for all jobs."""

    def setUp(self):
        self.scheduler = fixtures.make_scheduler("r1", "r2", now_s=JOINED_S)
        report(self.scheduler, ("r1",), 0.0)

    def first_probe_s(self, **changes):
        """Submits urgent jobs until one is a probe; returns when it was."""
        for number in range(200):
            now_s = 0.05 * number
            submit(self.scheduler, f"j{number}", now_s, **changes)
            ((name, task, run),) = fixtures.sent(self.scheduler.take_actions())
            if name == "r1":
                return now_s
            fixtures.end_run(
                self.scheduler, name, task, run, work.Ending.DONE, now_s + 0.04
            )
            free = fixtures.make_report(starts_received=number + 1)
            self.scheduler.capacity_reported(name, free, now_s)
        return None

    def test_probe_though_all_jobs_are_urgent(self):
        """The target would be lost until there is more load than room."""
        self.assertAlmostEqual(
            placing.PROBE_PATIENCE_S, self.first_probe_s(), delta=0.1
        )

    def test_no_probe_while_the_runner_refuses_them(self):
        """The task would come back and start late elsewhere."""
        report(self.scheduler, ("r1",), 0.0, probe_due=False)
        self.assertIsNone(self.first_probe_s())

    def test_patience_begins_again_with_each_probe(self):
        """A failing target must not get an urgent task as soon as it may."""
        for now_s in (1.0, 2.0, 3.0):
            report(self.scheduler, ("r1",), now_s, probe_due=False)
            report(self.scheduler, ("r1",), now_s + 0.5)
        self.assertAlmostEqual(
            3.5 + placing.PROBE_PATIENCE_S, self.first_probe_s(), delta=0.1
        )


class WaitingTest(unittest.TestCase):
    def scheduler_in_doubt(self, count, now_s=JOINED_S, **changes):
        """Returns a scheduler with waiting jobs at targets now in doubt."""
        scheduler = fixtures.make_scheduler(*NAMES, now_s=now_s)
        busy = {"suspect": False, "free": fixtures.NO_CAPACITY}
        report(scheduler, NAMES, now_s, freed_cpu=40_000, **busy)
        for number in range(count):
            submit(scheduler, f"j{number}", max(0.0, now_s), **changes)
        self.assertEqual(count, len(scheduler.waiting_jobs))
        scheduler.take_actions()
        report(scheduler, NAMES, 0.02)
        return scheduler

    def test_waiting_jobs_are_the_next_probes(self):
        """They were rejected as soon as no capacity was freed any more."""
        scheduler = self.scheduler_in_doubt(2)
        scheduler.tick(0.03)
        self.assertEqual([], rejections(scheduler))
        scheduler.capacity_offered("r3", OFFER, 0.04)
        self.assertEqual(1, len(fixtures.sent(scheduler.take_actions())))

    def test_waiting_jobs_beyond_the_probes_are_rejected(self):
        """They can't start in time, and their callers should know at once."""
        scheduler = self.scheduler_in_doubt(5)
        scheduler.tick(0.03)
        self.assertEqual(
            [("j3", "in_doubt"), ("j4", "in_doubt")], rejections(scheduler)
        )

    def test_job_that_was_held_becomes_a_probe(self):
        """A job that starts as a whole only does not bid."""
        scheduler = self.scheduler_in_doubt(1, tasks=4)
        scheduler.waiting_jobs[0].whole_only = True
        scheduler.tick(0.03)
        self.assertFalse(scheduler.waiting_jobs[0].is_held)

    def test_held_job_keeps_no_other_from_being_a_probe(self):
        """It does not bid until the next review."""
        scheduler = self.scheduler_in_doubt(1, tasks=4)
        scheduler.waiting_jobs[0].whole_only = True
        self.assertTrue(is_admitted(submit(scheduler, "k", 0.02)))

    def test_probing_job_is_kept_while_most_runners_are_new(self):
        """What is expected of new runners leaves those in doubt out."""
        scheduler = make_scheduler(now_s=0.0)
        submit(scheduler, "j", 0.01)
        scheduler.tick(0.06)
        self.assertEqual([], rejections(scheduler))
        self.assertIn("j", scheduler.admitted)

    def test_task_excluded_everywhere_keeps_no_other_from_being_a_probe(self):
        """Its job waits for a target that is not usable now."""
        scheduler = make_scheduler(("r1",))
        scheduler.runner_connected("r2", "i1", "d1", JOINED_S)
        job = submit(scheduler, "j", declared_s=2.0)
        fixtures.end_run(
            scheduler, "r1", "j.0.0.0", 1, work.Ending.FAILED, 0.01
        )
        self.assertEqual({"r1"}, job.tasks[0].excluded_runners)
        report(scheduler, ("r1",), 0.3, starts_received=1)
        self.assertTrue(is_admitted(submit(scheduler, "k", 0.3)))

    def test_bids_go_to_targets_that_await_a_probe(self):
        """With a few bids for a task, most of many targets get none."""
        names = tuple(f"r{x}" for x in range(40))
        for due in names[::7]:
            scheduler = make_scheduler(names, probe_due=False)
            report(scheduler, (due,), 0.0)
            submit(scheduler, "j", 0.1)
            bidders = [x for x, _ in fixtures.bids(scheduler.take_actions())]
            self.assertIn(due, bidders)


if __name__ == "__main__":
    unittest.main()
