"""Tests of the suspicion and removal of silent agents."""

import unittest

from trefoilgw.membership import heartbeats


class HeartbeatMonitorTest(unittest.TestCase):
    def collect_changes(self, monitor, start_s, end_s, step_s=0.1):
        """Checks every `step_s` and returns (time, change) of each change."""
        changes = []
        steps = round((end_s - start_s) / step_s)
        for step in range(steps + 1):
            now_s = start_s + step * step_s
            changes += [(now_s, item) for item in monitor.check(now_s)]
        return changes

    def test_silent_agent_is_suspected_then_removed(self):
        """A silent agent is suspected after 2 s and removed after 3.3 s."""
        monitor = heartbeats.HeartbeatMonitor()
        monitor.message_received("a", 100.0)
        changes = self.collect_changes(monitor, 100.0, 105.0)
        self.assertEqual(
            [heartbeats.Suspected("a"), heartbeats.Removed("a")],
            [item for _, item in changes],
        )
        self.assertAlmostEqual(102.0, changes[0][0], delta=0.11)
        self.assertAlmostEqual(103.3, changes[1][0], delta=0.11)

    def test_agent_is_not_removed_early(self):
        """Before 3.3 s, a task reported as lost could still start."""
        monitor = heartbeats.HeartbeatMonitor()
        monitor.message_received("a", 100.0)
        changes = self.collect_changes(monitor, 100.0, 103.29, 0.47)
        self.assertEqual([heartbeats.Suspected("a")], [c for _, c in changes])

    def test_recovery_is_reported_once(self):
        monitor = heartbeats.HeartbeatMonitor()
        monitor.message_received("a", 0.0)
        self.collect_changes(monitor, 0.0, 2.5)
        monitor.message_received("a", 2.6)
        self.assertEqual((heartbeats.Recovered("a"),), monitor.check(2.7))
        self.assertEqual((), monitor.check(2.8))

    def test_own_pause_removes_no_agent(self):
        """A pause of the entry must not count as silence of its agents."""
        monitor = heartbeats.HeartbeatMonitor()
        for agent in ("a", "b", "c"):
            monitor.message_received(agent, 10.0)
        monitor.check(10.5)
        self.assertEqual((), monitor.check(70.0))
        changes = self.collect_changes(monitor, 70.0, 71.0)
        self.assertEqual(
            {heartbeats.Suspected(agent) for agent in ("a", "b", "c")},
            {item for _, item in changes},
        )

    def test_left_agent_is_not_reported(self):
        """An agent that left as planned must not be reported as removed."""
        monitor = heartbeats.HeartbeatMonitor()
        monitor.message_received("a", 0.0)
        self.collect_changes(monitor, 0.0, 2.5)
        monitor.agent_left("a")
        self.assertEqual([], self.collect_changes(monitor, 2.6, 9.0))


if __name__ == "__main__":
    unittest.main()
