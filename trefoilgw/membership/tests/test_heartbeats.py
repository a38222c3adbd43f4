"""Suspicion and removal by silence."""

import unittest

from trefoilgw import membership
from trefoilgw.membership import heartbeats


class HeartbeatsTest(unittest.TestCase):
    def run_to(self, beats, start_s, end_s, step_s=0.1):
        """Returns the changes with the times at which they were reported."""
        changes = []
        steps = round((end_s - start_s) / step_s)
        for step in range(steps + 1):
            now_s = start_s + step * step_s
            changes += [(now_s, item) for item in beats.check(now_s)]
        return changes

    def test_silent_agent_is_suspected_then_removed(self):
        """A frozen agent must get no work after 2 s and go after 3.3 s."""
        beats = heartbeats.HeartbeatMonitor()
        beats.message_received("a", 100.0)
        changes = self.run_to(beats, 100.0, 105.0)
        self.assertEqual(
            [membership.Suspected("a"), membership.Removed("a")],
            [item for _, item in changes],
        )
        self.assertAlmostEqual(102.0, changes[0][0], delta=0.11)
        self.assertAlmostEqual(103.3, changes[1][0], delta=0.11)

    def test_never_removed_early(self):
        """Removal before 3.3 s could report a task as lost that starts."""
        beats = heartbeats.HeartbeatMonitor()
        beats.message_received("a", 100.0)
        changes = self.run_to(beats, 100.0, 103.29, 0.47)
        self.assertEqual([membership.Suspected("a")], [c for _, c in changes])

    def test_recovery_is_reported_once(self):
        beats = heartbeats.HeartbeatMonitor()
        beats.message_received("a", 0.0)
        self.run_to(beats, 0.0, 2.5)
        beats.message_received("a", 2.6)
        self.assertEqual((membership.Recovered("a"),), beats.check(2.7))
        self.assertEqual((), beats.check(2.8))

    def test_own_pause_removes_nobody(self):
        """A paused entry heard nobody; that is not the agents' silence."""
        beats = heartbeats.HeartbeatMonitor()
        for agent in ("a", "b", "c"):
            beats.message_received(agent, 10.0)
        beats.check(10.5)
        self.assertEqual((), beats.check(70.0))
        changes = self.run_to(beats, 70.0, 71.0)
        self.assertEqual(
            {membership.Suspected(agent) for agent in ("a", "b", "c")},
            {item for _, item in changes},
        )

    def test_left_agent_is_not_reported(self):
        """A planned leave must not end as a loss."""
        beats = heartbeats.HeartbeatMonitor()
        beats.message_received("a", 0.0)
        self.run_to(beats, 0.0, 2.5)
        beats.agent_left("a")
        self.assertEqual([], self.run_to(beats, 2.6, 9.0))


if __name__ == "__main__":
    unittest.main()
