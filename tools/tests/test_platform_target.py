"""Tests of the stand-in for a target."""

import json
import time
import unittest

from tools.standins import platform_target


class LeaseTest(unittest.TestCase):
    def make_target(self, clock_rate=1.0):
        """Returns a target with a run under a lease of 0.1 s."""
        target = platform_target.Target("i-1", 4000, clock_rate=clock_rate)
        target.clock_start_s = time.monotonic() - 10.0
        body = {
            "task": "a",
            "run": 1,
            "spec": json.dumps({"run_s": 60.0, "cpu": 1000}),
            "deadlineMs": target.clock_ms() + 100,
        }
        self.assertEqual(200, target.start(body)[0])
        return target

    def hold(self, target, **changes):
        """Calls ``hold``; returns the body of the response."""
        return target.hold({"lastSeen": 0} | changes)[1]

    def test_run_ends_with_its_lease_although_that_is_noticed_late(self):
        """A late end would overlap with the run that replaces it."""
        target = self.make_target()
        end_s = time.monotonic() + 0.1
        time.sleep(0.3)
        target.expire_runs()
        (run,) = target.history
        self.assertEqual("lapsed", run.how)
        self.assertAlmostEqual(end_s, run.ended_s, delta=0.05)

    def test_late_call_does_not_extend_an_expired_lease(self):
        """A delayed process would keep runs that others have given up."""
        for call in ("hold", "stop"):
            with self.subTest(call=call):
                target = self.make_target()
                time.sleep(0.2)
                if call == "hold":
                    later_ms = target.clock_ms() + 500
                    answer = self.hold(target, deadlineMs=later_ms)
                    self.assertEqual([], answer["running"])
                else:
                    target.stop({"task": "a", "run": 1})
                self.assertEqual(["lapsed"], [x.how for x in target.history])

    def test_call_with_a_lower_fence_has_no_effect(self):
        """Otherwise no test on real processes would show a missing fence."""
        target = self.make_target()
        target.stop({"task": "b", "run": 1, "fence": 7})
        start = {"task": "c", "run": 1, "spec": "{}", "deadlineMs": 10**9}
        for call, body in (
            (target.start, start),
            (target.stop, {"task": "a", "run": 1, "fence": 6}),
            (target.hold, {"lastSeen": 0, "fence": 6}),
        ):
            with self.subTest(call=call):
                status, answer = call(body)
                self.assertEqual((409, "fence"), (status, answer["reason"]))
        self.assertEqual([""], [x.how for x in target.history])

    def test_lease_is_measured_on_a_slow_clock(self):
        """Runs of a slow target go on for longer than its runner assumes."""
        target = self.make_target(clock_rate=0.25)
        time.sleep(0.2)
        target.expire_runs()
        self.assertEqual([""], [x.how for x in target.history])
        time.sleep(0.4)
        target.expire_runs()
        self.assertEqual(["lapsed"], [x.how for x in target.history])


if __name__ == "__main__":
    unittest.main()
