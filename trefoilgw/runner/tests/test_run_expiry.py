"""Tests that leases end before schedulers count the runs as ended.

A scheduler repeats the runs of an unreachable runner `RUN_EXPIRY_S` after it
last renewed its authority there. These sequences were found by the histories
of `trefoilgw.tests.test_runs_end_once`.
"""

import unittest
from unittest import mock

import eventlet

from trefoilgw.room import owners
from trefoilgw.room.tests import fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.room.tests.fixtures import B
from trefoilgw.runner import driving
from trefoilgw.runner import leases
from trefoilgw.runner.tests import test_driving
from trefoilgw.scheduling import runners
from trefoilgw.work import orders

NO_ANSWER = test_driving.NO_ANSWER
# Time after which a caller without an answer submits its job again.
RESEND_S = 1.3


class RunExpiryTest(test_driving.DriverTestCase):
    def setUp(self):
        super().setUp()
        self.renewed_s = self.now_s
        until_s = self.renewed_s + owners.AUTHORITY_S
        self.allocator.owners[A].authority_until_s = until_s

    def poll_until_expiry(self, running):
        """Polls a target that lists a run, until its scheduler gives it up."""
        self.client.holds = [test_driving.listing(running=[running])]
        while self.now_s < self.renewed_s + runners.RUN_EXPIRY_S:
            self.allocator.tick(self.now_s)
            self.extend_lease()
            self.now_s += 0.05

    def test_run_whose_stop_gets_no_answer_ends_in_time(self):
        """It worked on while its scheduler had begun it elsewhere.

        The lease is extended for as long as `hold` is answered, also if no
        stop is.
        """
        self.request_start("j.0.0.0")
        self.driver.start("j.0.0.0", 1, "p")
        self.poll_until_expiry("j.0.0.0")
        self.assertLessEqual(
            self.driver.lease.until_s, self.renewed_s + runners.RUN_EXPIRY_S
        )

    def test_run_that_the_target_does_not_stop_ends_in_time(self):
        """It worked on while its caller had submitted the job again.

        The caller had left. The target refused each stop for over a second, and
        answered each `hold`, which extended the lease.
        """
        left_s = self.stop_in_vain(0.0)
        self.assertLess(self.driver.lease.until_s, left_s + RESEND_S)
        self.extend_lease()
        self.assertEqual(self.now_s + 1.0, self.driver.lease.end_s)

    def test_run_whose_caller_left_before_its_stop_ends_in_time(self):
        """It worked on while its caller had submitted the job again.

        As above, and its scheduler was paused when the caller left.
        """
        left_s = self.stop_in_vain(0.85)
        self.assertLess(self.driver.lease.until_s, left_s + RESEND_S)

    def stop_in_vain(self, late_s):
        """Stops a run at a target that refuses it until it is too late.

        Args:
            late_s: Time for which the scheduler was paused before the stop.

        Returns:
            The time at which the caller left.
        """
        self.request_start("j.0.0.0")
        self.driver.start("j.0.0.0", 1, "p")
        self.client.holds = [test_driving.listing(running=["j.0.0.0"])]
        self.client.stops = [orders.Refused(orders.RefusalReason.UNHEALTHY)]
        left_s = self.now_s
        while self.now_s < left_s + late_s - 0.01:
            self.now_s += 0.05
            self.extend_lease()
        self.allocator.renew_authority(A, 1e6)

        def poll(pause_s):
            self.now_s += pause_s
            self.extend_lease()
            if self.now_s > left_s + RESEND_S:
                self.client.stops = [test_driving.ACCEPTED]

        with mock.patch.object(driving.eventlet, "sleep", poll):
            self.driver.stop("j.0.0.0", 1, left_s)
        return left_s

    def test_start_under_a_longer_lease_of_other_runs_is_refused(self):
        """It worked on while its scheduler's job had begun elsewhere.

        The order of a scheduler that was killed was read late, after a pause of
        the runner. Another scheduler's runs had a lease that ended after the
        authority of the first one, and the runner was paused again.
        """
        self.allocator.owner_connected(B, self.renewed_s + 0.4)
        fixtures.start_confirmed(self.allocator, B, "k.0.0.0", now_s=self.now_s)
        self.now_s += 0.4
        until_s = self.renewed_s + 0.4 + owners.AUTHORITY_S
        self.allocator.owners[A].authority_until_s = until_s
        self.driver.lease.extend(self.allocator.lease_limit_s())
        self.allocator.owners[A].authority_until_s -= 0.4
        self.request_start("j.0.0.0")
        with mock.patch.object(driving.eventlet, "sleep"):
            self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([], self.client.started)
        self.assertEqual("lease", self.endings()[0][3])

    def test_start_of_a_new_process_counts_with_leases_of_the_earlier_one(self):
        """The earlier process may have extended them right before."""
        self.allocator.owners[A].authority_until_s -= 0.2
        self.driver.lease = leases.TargetLease(1.0, lambda: self.now_s, -95.0)
        self.request_start("j.0.0.0")
        with mock.patch.object(driving.eventlet, "sleep"):
            self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual([], self.client.started)
        self.assertEqual("lease", self.endings()[0][3])

    def test_start_waits_for_the_next_answer_to_a_ping(self):
        """Orders that were read 0.2 s late were refused.

        Their scheduler sent them again at once, to no avail.
        """
        self.driver.lease.end_s = self.now_s + 1.0
        self.allocator.owners[A].authority_until_s = self.now_s + 0.7

        def renew(pause_s):
            self.now_s += pause_s
            self.allocator.renew_authority(A, self.now_s)

        self.request_start("j.0.0.0")
        with mock.patch.object(driving.eventlet, "sleep", renew):
            self.driver.start("j.0.0.0", 1, "p")
        self.assertEqual(["j.0.0.0"], self.client.started)
        self.assertEqual([], self.endings())

    def test_run_of_an_earlier_process_ends_in_time(self):
        """It worked on while its scheduler had begun it elsewhere.

        The runner was killed, its next process extended the lease, and its
        stops got no answer.
        """
        with mock.patch.object(eventlet, "spawn_n"):
            self.poll_until_expiry("old.0.0.0")
        self.assertLessEqual(
            self.driver.lease.until_s, self.renewed_s + runners.RUN_EXPIRY_S
        )

    def test_lease_of_a_start_counts_from_the_check_of_the_authority(self):
        """A runner that was paused between them started a run when it woke."""
        self.request_start("j.0.0.0")
        checked_s = self.now_s
        check = self.allocator.start_refusal

        def check_and_pause(task, run, now_s):
            reason = check(task, run, now_s)
            self.now_s += 3.0
            return reason

        with mock.patch.object(
            type(self.allocator),
            "start_refusal",
            lambda _, *args: check_and_pause(*args),
        ):
            self.driver.start("j.0.0.0", 1, "p")
        longest_s = self.driver.lease.length_s * (1.0 + leases.MAX_CLOCK_DRIFT)
        self.assertLessEqual(
            self.driver.lease.until_s,
            checked_s + longest_s + leases.LAPSE_MARGIN_S,
        )


if __name__ == "__main__":
    unittest.main()
