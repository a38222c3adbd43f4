"""Tests of what an unexpected error halfway through a decision leaves behind.

One job whose placement raised kept room charged that nothing used, and stopped
all work of the scheduler behind it.
"""

import contextlib
import logging
import unittest
from unittest import mock

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import bidding
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import placing
from trefoilgw.scheduling import speeds
from trefoilgw.scheduling.tests import fixtures


class BrokenError(Exception):
    """Stands for any error of the program."""


@contextlib.contextmanager
def broken_tasks(*names):
    """Makes the choice of a runner raise for some tasks."""
    choose = placing.choose_runner

    def choose_or_raise(views, task, *args):
        if task.spec.name in names:
            raise BrokenError
        return choose(views, task, *args)

    with mock.patch.object(placing, "choose_runner", choose_or_raise):
        yield


class UnexpectedErrorTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.scheduler = fixtures.make_scheduler("r1")
        self.view = self.scheduler.runner_views["r1"]

    def submit(self, key, now_s=0.0, **changes):
        return self.scheduler.submit(fixtures.job(key, **changes), 1, now_s)

    def wait_for_room(self, *keys, **changes):
        """Submits jobs that wait as nothing is free, then frees the target."""
        self.report(fixtures.NO_CAPACITY)
        for key in keys:
            self.submit(key, **changes)
        self.scheduler.take_actions()

    def report(self, free, now_s=0.0, **changes):
        report = fixtures.make_report(free, **changes)
        self.scheduler.capacity_reported("r1", report, now_s)

    def outcomes(self, taken):
        return [
            (key, type(outcome), outcome.reason)
            for key, outcome in fixtures.answers(taken)
        ]


class PlacementTest(UnexpectedErrorTest):
    def test_no_room_stays_charged(self):
        """No order to a runner without room would ever correct its view."""
        with broken_tasks("j.0.0.3"):
            self.submit("j", tasks=4)
        self.assertEqual(0, self.view.used())
        self.submit("k", tasks=4)
        self.assertEqual(4, len(fixtures.sent(self.scheduler.take_actions())))

    def test_probe_is_not_counted_as_sent(self):
        """The target in doubt would wait for the next one in vain."""
        self.report(fixtures.CAPACITY, suspect=True)
        with broken_tasks("j.0.0.1"):
            self.submit("j", tasks=2, declared_s=2.0)
        self.submit("k", declared_s=2.0)
        sent = fixtures.sent(self.scheduler.take_actions())
        self.assertEqual([("r1", "k.0.0.0", 1)], sent)

    def test_job_is_answered_as_not_run(self):
        """It stayed admitted although its caller had got an error."""
        with broken_tasks("j.0.0.1"):
            job = self.submit("j", tasks=2)
        self.assertIsInstance(job, jobs.Job)
        taken = self.scheduler.take_actions()
        wanted = [("j", actions.Rejected, "internal_error")]
        self.assertEqual(wanted, self.outcomes(taken))
        self.assertEqual([], fixtures.sent(taken))
        self.assertEqual(({}, []), self.state())

    def state(self):
        return self.scheduler.admitted, self.scheduler.waiting_jobs

    def test_job_that_may_have_run_is_unfinished(self):
        """A rejection would say that no part of it has run."""
        self.submit("j", tasks=6)
        self.assertEqual(4, len(fixtures.sent(self.scheduler.take_actions())))
        with broken_tasks("j.0.0.5"):
            self.report(messages.Room(2000, 8192, 0), starts_received=1)
        taken = self.scheduler.take_actions()
        wanted = [("j", actions.Unfinished, "internal_error")]
        self.assertEqual(wanted, self.outcomes(taken))
        self.assertEqual(4, len(fixtures.stopped(taken)))
        self.assertEqual(({}, []), self.state())

    def test_other_jobs_are_placed(self):
        """What was placed before was marked as sent, and never sent."""
        self.wait_for_room("a", "b", "c")
        with broken_tasks("b.0.0.0"):
            self.report(fixtures.CAPACITY)
        taken = self.scheduler.take_actions()
        sent = [task for _, task, _ in fixtures.sent(taken)]
        self.assertEqual(["a.0.0.0", "c.0.0.0"], sent)
        self.assertEqual(["b"], [key for key, *_ in self.outcomes(taken)])

    def test_offer_is_used_by_other_jobs(self):
        """Its room would be reserved until the offer expires."""
        self.wait_for_room("a", "b", "c")
        offer = messages.Offer(1, 7, messages.Room(2000, 8192, 0))

        def fill_or_raise(view, task, time_left):
            if task.spec.name == "b.0.0.0":
                raise BrokenError
            return True

        with mock.patch.object(placing, "may_fill", fill_or_raise):
            self.scheduler.capacity_offered("r1", offer, 0.01)
        taken = self.scheduler.take_actions()
        sent = [task for _, task, _ in fixtures.sent(taken)]
        self.assertEqual(["a.0.0.0", "c.0.0.0"], sent)

    def test_submission_that_fails_admits_nothing(self):
        """Its caller gets an error, so nobody waits for the job."""
        self.report(messages.Room(1000, 8192, 0))
        with (
            mock.patch.object(bidding, "make_bid", side_effect=BrokenError),
            self.assertRaises(BrokenError),
        ):
            self.submit("j", tasks=2)
        self.assertEqual(({}, []), self.state())
        taken = self.scheduler.take_actions()
        self.assertEqual(
            [x[:2] for x in fixtures.sent(taken)],
            [x[:2] for x in fixtures.stopped(taken)],
        )


class OddSubmissionTest(UnexpectedErrorTest):
    def test_huge_declared_time_beside_uneven_targets(self):
        """The square of the time that is left has no floating-point value."""
        fixtures.connect_runner(self.scheduler, "r2")
        for number, name in enumerate(("r1", "r2")):
            view = self.scheduler.runner_views[name]
            view.fleet_slowness = 1.0 + 0.5 * number
        self.submit("j", declared_s=1e300)
        sent = fixtures.sent(self.scheduler.take_actions())
        self.assertEqual(1, len(sent))


def broken_part(scheduler, now_s):
    raise BrokenError


class OrderTest(UnexpectedErrorTest):
    def test_order_that_is_never_sent_does_not_count(self):
        """The runner counts too; no report would cover the later orders."""
        with (
            mock.patch.object(messages, "RunGroup", side_effect=BrokenError),
            self.assertRaises(BrokenError),
        ):
            self.submit("j")
        self.submit("k")
        self.report(fixtures.CAPACITY, starts_received=1)
        self.assertEqual(0, self.view.used())


class TickTest(UnexpectedErrorTest):
    def test_authority_goes_on(self):
        """All runs of the scheduler would be stopped within a second."""
        part = mock.patch.object(
            scheduling.Scheduler, "_review_waiting", broken_part
        )
        with part:
            for number in range(100):
                self.scheduler.tick(0.05 * number)
        self.assertEqual(4.95, self.scheduler._alive_until_s(4.95))

    def test_jobs_whose_callers_have_gone_are_ended(self):
        """Their callers may have submitted them elsewhere."""
        self.scheduler.fleet_speeds.changed = True
        spec = attrs.evolve(fixtures.job("j"), caller_wait_s=1.0)
        self.scheduler.submit(spec, 1, 0.0)
        part = mock.patch.object(
            speeds.FleetSpeeds, "update", side_effect=BrokenError
        )
        with part:
            self.scheduler.tick(2.0)
        self.assertEqual({}, self.scheduler.admitted)


if __name__ == "__main__":
    unittest.main()
