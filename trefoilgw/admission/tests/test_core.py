"""Tests of `Admission`: grants, refusals, drops and the sharing of quotas."""

import unittest

from trefoilgw import admission
from trefoilgw import outcomes
from trefoilgw.admission import refusing
from trefoilgw.admission.tests import fixtures
from trefoilgw.messages import core as messages

Reason = outcomes.Reason


def make_controller(starts_s=400.0, running=50):
    """Returns an admission controller for one customer with two kinds."""
    controller = admission.Admission()
    controller.configure(
        fixtures.make_configuration(
            [fixtures.make_customer("c", starts_s=starts_s, running=running)],
            [fixtures.make_kind("k", ("c",)), fixtures.make_kind("k2", ("c",))],
        ),
        0.0,
    )
    return controller


class GrantTest(unittest.TestCase):
    def test_running_limit(self):
        """Guards against a customer above its limit taking all credits."""
        controller = make_controller()
        controller.offer(fixtures.make_item("j", tasks=60), 0.0)
        grant = controller.next(88, 88, 0.0, "s")
        self.assertEqual(("j", 50), (grant.job, grant.credits))
        controller.started("j", 50, 0.0, tasks=50)
        controller.offer(fixtures.make_item("other", kind_name="k2"), 0.0)
        self.assertIsNone(controller.next(38, 88, 0.0, "s"))
        controller.finished("c", "k", 10, 0.4, 0.4, "j")
        credits = 0
        while grant := controller.next(48 - credits, 88, 0.4, "s"):
            credits += grant.credits
            controller.started(grant.job, grant.credits, 0.4, grant.credits)
        self.assertEqual(10, credits)

    def test_unplaced_job_is_retried_later(self):
        """A job without an agent must neither block other flows nor spin."""
        controller = make_controller()
        controller.offer(fixtures.make_item("stuck"), 0.0)
        controller.offer(fixtures.make_item("free", kind_name="k2"), 0.0)
        jobs = []
        while grant := controller.next(5, 5, 0.0, "s"):
            jobs.append(grant.job)
            sent = grant.job == "free"
            controller.started(grant.job, int(sent), 0.0, int(sent))
        self.assertEqual(["stuck", "free"], jobs)
        self.assertEqual("stuck", controller.next(5, 5, 0.1, "s").job)

    def test_removing_unplaced_job_unparks_its_flow(self):
        """After an unplaced job is removed, the next job must be served."""
        controller = make_controller()
        controller.offer(fixtures.make_item("stuck"), 0.0)
        controller.offer(fixtures.make_item("next"), 0.0)
        controller.started(controller.next(5, 5, 0.0, "s").job, 0, 0.0, 0)
        controller.remove("stuck")
        self.assertEqual("next", controller.next(5, 5, 0.0, "s").job)

    def test_started_without_tasks_means_all(self):
        controller = make_controller()
        controller.offer(fixtures.make_item("j", tasks=20), 0.0)
        controller.started(controller.next(8, 8, 0.0, "s").job, 8, 0.0)
        self.assertEqual(0, controller.waiting("s"))
        controller.finished("c", "k", 8, 0.4, 1.0)
        self.assertEqual({}, controller.jobs)

    def test_configuration_changes_while_work_waits(self):
        """Accepted work must survive changes, of which there are 680 a day."""
        controller = make_controller()
        controller.offer(fixtures.make_item("j", tasks=4), 0.0)
        controller.configure(
            fixtures.make_configuration(
                [fixtures.make_customer("c")],
                [fixtures.make_kind("k2", ("c",))],
            ),
            0.0,
        )
        controller.started(controller.next(2, 2, 0.0, "s").job, 2, 0.0, 2)
        self.assertEqual(2, controller.waiting("s"))
        controller.finished("c", "k", 2, 0.4, 0.4, "j")
        self.assertEqual("j", controller.next(2, 2, 0.4, "s").job)


class RefusalTest(unittest.TestCase):
    def test_job_refused_for_quota_never_runs(self):
        """A job that is refused as not run but runs would run twice.

        Its caller submits it again.
        """
        controller = make_controller()
        accepted = [
            number
            for number in range(500)
            if isinstance(
                controller.offer(fixtures.make_item(f"j{number}"), 0.0),
                admission.Queued,
            )
        ]
        self.assertLess(len(accepted), 400)
        refused = controller.offer(fixtures.make_item("late"), 0.0)
        self.assertEqual(Reason.QUOTA, refused.reason)
        self.assertIs(True, refused.not_run)
        self.assertGreater(refused.retry_after_s, 0.0)
        granted = set()
        while grant := controller.next(50, 88, 0.0, "s"):
            granted.add(grant.job)
            controller.started(grant.job, 0, 0.0)
        self.assertEqual({f"j{number}" for number in accepted}, granted)

    def test_retry_is_not_charged_again(self):
        """Tasks that an agent gave back were charged to the quota before.

        Refusing them would fail the whole job.
        """
        controller = make_controller(starts_s=10.0)
        while isinstance(
            controller.offer(
                fixtures.make_item(f"j{len(controller.jobs)}"), 0.0
            ),
            admission.Queued,
        ):
            pass
        again = controller.offer(fixtures.make_item("again"), 0.0, retry=True)
        self.assertIsInstance(again, admission.Queued)
        controller.started(controller.next(1, 1, 0.0, "s").job, 1, 0.0, 1)
        running = controller.offer(fixtures.make_item("j0", tasks=2), 0.1)
        self.assertIsInstance(running, admission.Queued)

    def test_job_that_misses_its_deadline_is_refused_or_dropped(self):
        """Work that can't meet its deadline wastes slots."""
        controller = make_controller()
        controller.offer(fixtures.make_item("first"), 0.0)
        controller.started(controller.next(8, 8, 0.0, "s").job, 1, 0.0)
        refused = controller.offer(fixtures.make_item("j", deadline_s=0.3), 0.0)
        self.assertEqual(Reason.DEADLINE, refused.reason)
        controller.offer(fixtures.make_item("j", deadline_s=1.0), 0.0)
        dropped = controller.next(8, 8, 0.7, "s")
        self.assertEqual("j", dropped.job)
        self.assertIs(True, dropped.refused.not_run)
        self.assertIsNone(controller.next(8, 8, 0.7, "s"))

    def test_learned_run_time_does_not_refuse_forever(self):
        """One long run time must not refuse all later jobs of a flow.

        If every job is refused, no task runs to correct the learned time.
        """
        controller = make_controller()
        slow = {"deadline_s": 10.0, "run_time_s": 20.0}
        controller.offer(fixtures.make_item("j", **slow), 0.0)
        grant = controller.next(8, 8, 0.0, "s")
        self.assertEqual("j", grant.job)
        controller.started("j", 1, 0.0)
        self.assertEqual(
            Reason.DEADLINE,
            controller.offer(fixtures.make_item("k", **slow), 0.0).reason,
        )
        controller.finished("c", "k", 1, 20.0, 1.0, "j")
        self.assertEqual(
            Reason.DEADLINE,
            controller.offer(fixtures.make_item("k", **slow), 2.0).reason,
        )
        probe = controller.offer(fixtures.make_item("k", **slow), 7.0)
        self.assertIsInstance(probe, admission.Queued)
        self.assertIsInstance(controller.next(8, 8, 7.0, "s"), admission.Grant)

    def test_partly_sent_job_is_not_reported_as_not_run(self):
        """A job with started tasks must never be reported as not run."""
        controller = make_controller()
        controller.offer(fixtures.make_item("j", tasks=4, deadline_s=2.0), 0.0)
        controller.started(controller.next(1, 1, 0.0, "s").job, 1, 0.0, 1)
        controller.finished("c", "k", 1, 0.4, 1.9, "j")
        dropped = controller.next(1, 1, 1.9, "s")
        self.assertEqual(Reason.DEADLINE, dropped.refused.reason)
        self.assertIs(False, dropped.refused.not_run)

    def test_number_of_waiting_jobs_is_bounded(self):
        """One flow must leave half of the queue to the others."""
        controller = make_controller(starts_s=1e9, running=10**6)
        decision = None
        for number in range(refusing.MAX_WAITING_JOBS):
            decision = controller.offer(fixtures.make_item(f"j{number}"), 0.0)
        self.assertEqual(Reason.OVERLOAD, decision.reason)
        self.assertIs(True, decision.not_run)
        self.assertEqual(
            refusing.MAX_WAITING_JOBS // 2, controller.waiting_jobs
        )
        other = controller.offer(
            fixtures.make_item("other", kind_name="k2"), 0.0
        )
        self.assertIsInstance(other, admission.Queued)

    def test_retry_after_is_spread(self):
        """Callers refused at once must not all retry at once."""
        refused = outcomes.Refused(Reason.OVERLOAD, True, "", 1.0)
        waits = sorted(
            refusing.spread_retry_after(refused, number).retry_after_s
            for number in range(100)
        )
        gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
        self.assertLess(max(gaps), 0.03)
        self.assertTrue(waits[0] >= 1.0 and waits[-1] < 2.0)


class UsageTest(unittest.TestCase):
    def offered(self, controller, start_s, count=400):
        """Offers `count` tasks in one second; returns how many are accepted."""
        accepted = 0
        for number in range(count):
            now_s = start_s + number / count
            item = fixtures.make_item(f"{start_s}/{number}", now_s=now_s)
            decision = controller.offer(item, now_s)
            accepted += isinstance(decision, admission.Queued)
            controller.remove(item.job)
        return accepted

    def test_quota_is_split_by_demand(self):
        """Entries that don't divide the quota admit it once per entry."""
        controller = make_controller(starts_s=100.0)
        peer = (messages.CustomerDemand("c", 1200.0, 10),)
        for second in range(5):
            accepted = self.offered(controller, float(second))
            (own,) = controller.collect_demand(second + 1.0)
            controller.update_peer_usage("e2", peer, second + 1.0)
        self.assertAlmostEqual(400.0, own.starts_s, delta=20.0)
        self.assertAlmostEqual(25, accepted, delta=4)
        controller.remove_peer("e2")
        self.offered(controller, 5.0)
        self.assertAlmostEqual(100, self.offered(controller, 6.0), delta=5)

    def test_new_peer_gets_its_share_at_once(self):
        """A peer without demand so far still gets its minimum share."""
        controller = make_controller(starts_s=100.0)
        controller.update_peer_usage("e2", (), 0.0)
        state = controller.customer_states["c"]
        self.assertEqual(50.0, state.quota.starts_s)
        limit = state.limit_tasks
        full = (messages.CustomerDemand("c", 0.0, limit),)
        controller.update_peer_usage("e2", full, 0.0)
        self.assertEqual(limit // 4, state.own_limit_tasks)


if __name__ == "__main__":
    unittest.main()
