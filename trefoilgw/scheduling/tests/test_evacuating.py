"""Tests of a scheduler some of whose runners' domains are evacuated."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import evacuating
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

A, B = "zone-a", "zone-b"
NOTHING_FREE = fixtures.NO_CAPACITY


def connect(scheduler, name, domain, free=fixtures.CAPACITY, now_s=0.0):
    """Connects a runner of a domain and has it report its capacity."""
    scheduler.runner_connected(name, "i1", domain, now_s)
    scheduler.reconcile_runs(name, messages.ActiveRuns(()), now_s)
    scheduler.capacity_reported(name, fixtures.make_report(free), now_s)
    scheduler.take_actions()


def make_scheduler(free=fixtures.CAPACITY):
    """Returns a scheduler with one runner in each of two domains."""
    scheduler = fixtures.make_scheduler()
    connect(scheduler, "a", A, free)
    connect(scheduler, "b", B, free)
    return scheduler


def used_runners(scheduler, tasks=4, key="j", now_s=0.1):
    """Submits a job; returns the runners that its tasks are sent to."""
    scheduler.submit(fixtures.job(key, tasks), 1, now_s)
    return {x[0] for x in fixtures.sent(scheduler.take_actions())}


class PlacingTest(unittest.TestCase):
    def test_nothing_is_placed_in_an_evacuated_domain(self):
        """The runner's last report still shows its room."""
        scheduler = make_scheduler()
        scheduler.set_evacuated(frozenset({A}), 0.1)
        self.assertEqual({"b"}, used_runners(scheduler))
        self.assertEqual(set(), used_runners(scheduler, key="k"))

    def test_two_domains_and_back(self):
        """Each of them must come back on its own, at once if it is warm."""
        scheduler = make_scheduler()
        connect(scheduler, "c", "zone-c")
        scheduler.set_evacuated(frozenset({A, B}), 0.1)
        self.assertEqual({"c"}, used_runners(scheduler))
        scheduler.set_evacuated(frozenset({A}), 0.2)
        self.assertEqual({"b"}, used_runners(scheduler, key="k"))
        scheduler.set_evacuated(frozenset(), 0.3)
        self.assertEqual({"a"}, used_runners(scheduler, key="l"))

    def test_waiting_work_goes_to_a_domain_that_is_taken_back(self):
        """It would wait for the next report of a runner."""
        scheduler = make_scheduler()
        scheduler.set_evacuated(frozenset({A}), 0.1)
        scheduler.submit(fixtures.job("j", 6), 1, 0.1)
        scheduler.take_actions()
        scheduler.set_evacuated(frozenset(), 0.2)
        taken = fixtures.sent(scheduler.take_actions())
        self.assertEqual(2, len(taken))
        self.assertEqual({"a"}, {x[0] for x in taken})

    def test_runner_that_joins_in_an_evacuated_domain(self):
        """It may have restarted and know of no evacuation yet."""
        scheduler = make_scheduler()
        scheduler.set_evacuated(frozenset({A}), 0.1)
        connect(scheduler, "a", A, now_s=0.2)
        self.assertEqual({"b"}, used_runners(scheduler, now_s=0.3))

    def test_offer_of_an_evacuated_runner_is_declined(self):
        """It was sent before the runner learned of the evacuation."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.submit(fixtures.job("j"), 1, 0.1)
        scheduler.set_evacuated(frozenset({A}), 0.1)
        scheduler.take_actions()
        offer = messages.Offer(1, 3, fixtures.CAPACITY)
        scheduler.capacity_offered("a", offer, 0.12)
        taken = scheduler.take_actions()
        self.assertEqual([], fixtures.sent(taken))
        self.assertIn(
            ("a", messages.StartRuns(1, ())),
            [
                (x.runner, x.message)
                for x in taken
                if isinstance(x, actions.SendMessage)
            ],
        )
        scheduler.capacity_offered("b", offer, 0.12)
        self.assertEqual(1, len(fixtures.sent(scheduler.take_actions())))

    def test_no_bids_at_evacuated_runners(self):
        """A bid makes the runner reserve room."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.set_evacuated(frozenset({A}), 0.1)
        scheduler.submit(fixtures.job("j"), 1, 0.2)
        bids = fixtures.bids(scheduler.take_actions())
        self.assertEqual(["b"], [x[0] for x in bids])

    def test_bid_that_was_left_behind_is_withdrawn(self):
        """Its runner would reserve room for work that has gone elsewhere."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.submit(fixtures.job("j"), 1, 0.1)
        scheduler.take_actions()
        scheduler.set_evacuated(frozenset({A}), 0.2)
        scheduler.cancel("j")
        scheduler.tick(0.3)
        scheduler.take_actions()
        scheduler.set_evacuated(frozenset(), 0.4)
        bids = fixtures.bids(scheduler.take_actions())
        self.assertEqual([("a", messages.Bid(()))], bids)

    def test_room_vanishes_from_the_forecast_at_once(self):
        """Jobs admitted for that room would be rejected late."""
        spec = fixtures.job("j", 8, 1.0)
        admitted = make_scheduler().submit(spec, 1, 0.1)
        self.assertIsInstance(admitted, jobs.Job)
        scheduler = make_scheduler()
        for name in ("a", "b"):
            report = fixtures.make_report(freed_cpu=0)
            scheduler.capacity_reported(name, report, 0.0)
        scheduler.set_evacuated(frozenset({A}), 0.1)
        refused = scheduler.submit(spec, 1, 0.1)
        self.assertEqual("overload", refused.reason)

    def test_joining_runner_of_an_evacuated_domain_is_no_room(self):
        """A runner that has just connected counts as room otherwise."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.set_evacuated(frozenset({"zone-c"}), 0.1)
        for name in ("c", "d", "e"):
            scheduler.runner_connected(name, "i1", "zone-c", 0.1)
        views = [scheduler.runner_views[x] for x in ("a", "b")]
        self.assertEqual(
            0, scheduler.forecaster._joining_millicores(views, 0.2)
        )

    def test_exclusions_end_when_only_excluded_runners_are_left(self):
        """The task would wait until its caller gives up."""
        scheduler = make_scheduler()
        scheduler.submit(fixtures.job("j", declared_s=2.0), 1, 0.1)
        ((name, task, run),) = fixtures.sent(scheduler.take_actions())
        other = {"a": B, "b": A}[name]
        fixtures.end_run(scheduler, name, task, run, work.Ending.FAILED, 0.2)
        # It has been sent to the other runner, where it ends as not run.
        scheduler.set_evacuated(frozenset({other}), 0.3)
        taken = fixtures.end_run(
            scheduler,
            {"a": "b", "b": "a"}[name],
            task,
            run + 1,
            work.Ending.NOT_RUN,
            0.3,
            "evacuated",
            evidence=work.Evidence.NOT_RUN,
        )
        self.assertEqual([(name, task, run + 2)], fixtures.sent(taken))


class RejectingTest(unittest.TestCase):
    def test_new_job_is_rejected_at_once(self):
        """Nobody knows when a runner could take it."""
        scheduler = make_scheduler()
        scheduler.set_evacuated(frozenset({A, B}), 0.1)
        self.assertEqual(
            evacuating.REJECTED, scheduler.submit(fixtures.job("j"), 1, 0.2)
        )
        self.assertEqual("evacuated", evacuating.REJECTED.reason)
        self.assertGreater(evacuating.REJECTED.retry_after_s, 0.0)
        scheduler.set_evacuated(frozenset({A}), 0.3)
        admitted = scheduler.submit(fixtures.job("j"), 1, 0.3)
        self.assertIsInstance(admitted, jobs.Job)

    def test_waiting_job_is_rejected_at_once(self):
        """It was held until its deadline."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.submit(fixtures.job("j"), 1, 0.1)
        scheduler.set_evacuated(frozenset({A, B}), 0.1)
        answers = fixtures.answers(scheduler.take_actions())
        self.assertEqual([("j", evacuating.REJECTED)], answers)

    def test_order_under_way_is_rejected_once_it_is_refused(self):
        """Its runner tells that it has not run; it was held as started."""
        scheduler = make_scheduler()
        scheduler.submit(fixtures.job("j"), 1, 0.1)
        ((name, task, run),) = fixtures.sent(scheduler.take_actions())
        scheduler.set_evacuated(frozenset({A, B}), 0.1)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))
        fixtures.end_run(
            scheduler,
            name,
            task,
            run,
            work.Ending.NOT_RUN,
            0.11,
            "evacuated",
            evidence=work.Evidence.NOT_RUN,
        )
        scheduler.tick(0.15)
        answers = fixtures.answers(scheduler.take_actions())
        self.assertEqual([("j", evacuating.REJECTED)], answers)

    def test_job_that_may_have_run_is_not_rejected(self):
        """A rejection promises that nothing of the job has run."""
        for ending, evidence in (
            (work.Ending.LOST, work.Evidence.LEASE_EXPIRED),
            (work.Ending.NOT_RUN, work.Evidence.ENDED),
            (work.Ending.FAILED, work.Evidence.ENDED),
        ):
            with self.subTest(ending=ending):
                scheduler = make_scheduler()
                scheduler.submit(fixtures.job("j"), 1, 0.1)
                ((name, task, run),) = fixtures.sent(scheduler.take_actions())
                scheduler.set_evacuated(frozenset({A, B}), 0.1)
                fixtures.end_run(
                    scheduler, name, task, run, ending, 0.2, evidence=evidence
                )
                scheduler.tick(0.25)
                self.assertEqual([], fixtures.answers(scheduler.take_actions()))
                self.assertIn("j", scheduler.admitted)

    def test_job_with_a_run_under_way_goes_on(self):
        """What runs in the domain goes on to its end."""
        scheduler = make_scheduler()
        scheduler.submit(fixtures.job("j", 2), 1, 0.1)
        sent = fixtures.sent(scheduler.take_actions())
        scheduler.set_evacuated(frozenset({A, B}), 0.1)
        for name, task, run in sent:
            fixtures.end_run(scheduler, name, task, run, work.Ending.DONE)
        self.assertNotIn("j", scheduler.admitted)

    def test_last_runner_outside_drains(self):
        """The service has nothing but evacuated and draining targets."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.submit(fixtures.job("j"), 1, 0.1)
        scheduler.set_evacuated(frozenset({A}), 0.1)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))
        report = fixtures.make_report(NOTHING_FREE, usable=False)
        scheduler.capacity_reported("b", report, 0.2)
        scheduler.tick(0.2)
        answers = fixtures.answers(scheduler.take_actions())
        self.assertEqual([("j", evacuating.REJECTED)], answers)

    def test_runner_that_has_not_reported_yet_may_serve(self):
        """After a restart its target is known within a moment."""
        scheduler = make_scheduler(NOTHING_FREE)
        scheduler.submit(fixtures.job("j"), 1, 0.1)
        scheduler.runner_connected("c", "i1", "zone-c", 0.1)
        scheduler.set_evacuated(frozenset({A, B}), 0.1)
        self.assertEqual([], fixtures.answers(scheduler.take_actions()))

    def test_without_evacuations_the_reason_is_another(self):
        """Operators would look for an evacuation that does not exist."""
        scheduler = fixtures.make_scheduler()
        rejected = scheduler.submit(fixtures.job("j"), 1, 0.1)
        self.assertEqual("no_target", rejected.reason)


if __name__ == "__main__":
    unittest.main()
