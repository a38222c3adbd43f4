"""Tests that late calls to a target have no effect, by their fencing token."""

import unittest
from unittest import mock

from trefoilgw.platform import targets
from trefoilgw.runner import driving
from trefoilgw.runner import fences
from trefoilgw.runner.tests import test_driving
from trefoilgw.work import orders

NO_ANSWER = test_driving.NO_ANSWER
FENCED = orders.Refused(orders.RefusalReason.FENCED, 5.0)


class FenceTest(test_driving.DriverTestCase):
    def setUp(self):
        super().setUp()
        self.driver.fence.token = 70
        patch = mock.patch.object(driving.eventlet, "sleep")
        patch.start()
        self.addCleanup(patch.stop)

    def start(self, *answers, held=None):
        """Starts a run with prepared answers to the start and to `hold`."""
        self.client.starts = list(answers)
        self.client.holds = [held or test_driving.listing()]
        self.request_start("j.0.0.0")
        self.driver.start("j.0.0.0", 1, "p")

    def test_unanswered_start_is_not_run_only_under_a_higher_fence(self):
        """The next life of the target carried it out after that.

        The stop is forgotten then, and the clock begins anew.
        """
        self.start(NO_ANSWER)
        self.assertEqual("not_run", self.endings()[0][2])
        self.assertEqual([70, 71, 71], self.client.fences)

    def test_answered_start_needs_no_other_fence(self):
        """Starts that are under way at the same time would be refused."""
        self.start(test_driving.ACCEPTED)
        self.extend_lease()
        self.driver.stop("j.0.0.0", 1)
        self.assertEqual([70, 70, 70], self.client.fences)

    def test_new_life_is_used_only_after_a_call_under_a_higher_fence(self):
        """Late calls to the earlier life extended leases of the new one."""
        for held in (
            test_driving.listing(started_ms=2),
            orders.OtherInstance(),
        ):
            with self.subTest(held=held):
                self.setUp()
                target = self.allocator.target
                self.allocator.successor = test_driving.attrs.evolve(
                    target, started_ms=2
                )
                self.start(test_driving.ACCEPTED, held=held)
                self.extend_lease()
                self.assertFalse(self.allocator.usable)
                self.client.holds = [test_driving.listing(started_ms=2)]
                self.extend_lease()
                self.assertTrue(self.allocator.usable)
                self.assertEqual([70, 70, 71], self.client.fences)

    def test_fence_rises_above_the_one_of_an_earlier_process(self):
        """The target did nothing any more after the time was set back."""
        self.client.stops = [FENCED, FENCED, test_driving.ACCEPTED]
        self.start(FENCED, held=FENCED)
        self.assertEqual("fenced", self.endings()[0][3])
        self.extend_lease()
        self.request_start("k.0.0.0")
        self.driver.stop("k.0.0.0", 1)
        self.assertEqual(
            [70 + x * fences.STEP_MS for x in range(5)],
            self.client.fences,
        )

    def test_call_that_was_overtaken_does_not_raise_the_fence(self):
        """Each unanswered start would raise it by a day."""

        def overtake(*args):
            self.driver.fence.advance()
            return FENCED

        with mock.patch.object(self.client, "hold", overtake):
            self.extend_lease()
        self.assertEqual(71, self.driver.fence.token)

    def test_report_of_another_life_is_checked_without_a_wait(self):
        """A start that arrived before the next poll was carried out.

        The other polls wait for an answer of the earlier life.
        """
        waits = []

        def hold(instance, fence, lease_end_s, confirmed, wait_s):
            waits.append(wait_s)
            return test_driving.listing()

        with mock.patch.object(self.client, "hold", hold):
            self.driver.check_life()
        self.assertEqual([0.0], waits)
        self.allocator.target = None
        self.driver.check_life()


class WireTest(unittest.TestCase):
    def test_each_call_carries_the_fence(self):
        """A missing one counts as 0, and the target does nothing for it."""
        client = targets.TargetClient("127.0.0.1:1")
        sent = []
        answer = targets.connections.Failure(True, "timed out")

        def call(pool, method, path, data, headers, timeout_s):
            sent.append(path)
            self.assertIn(b'"fence": 7', data)
            return answer

        with mock.patch.object(type(client._pool), "call", call):
            client.start("i-1", 7, "j.0.0.0", 1, "p", 1.0)
            client.stop("i-1", 7, "j.0.0.0", 1)
            client.hold("i-1", 7, None, 0, 0.0)
        self.assertEqual(["/run-start", "/run-stop", "/hold"], sent)


if __name__ == "__main__":
    unittest.main()
