"""Tests of the timer service."""

import unittest

import eventlet
from eventlet import queue

from trefoilgw.timers import core as timers

TIMEOUT_S = 10.0


class FakeClock:
    """A clock whose time is set by the test."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class TimerServiceTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.service = timers.TimerService(now=self.clock)
        self.calls = queue.Queue()

    def start(self):
        eventlet.spawn_n(self.service.run)
        eventlet.sleep(0)
        self.addCleanup(self.service.stop)

    def test_due_timers_run_in_order(self):
        """Timers that are due together must run by due time."""
        self.service.after(0.3, lambda: self.calls.put("late"))
        self.service.after(0.1, lambda: self.calls.put("early"))
        self.start()
        self.clock.now_s += 0.5
        called = [self.calls.get(timeout=TIMEOUT_S) for _ in range(2)]
        self.assertEqual(["early", "late"], called)

    def test_canceled_timer_is_not_called(self):
        """A component that has stopped must not be called again."""
        timer = self.service.after(0.1, lambda: self.calls.put("cancelled"))
        self.service.after(0.2, lambda: self.calls.put("kept"))
        timer.cancel()
        self.start()
        self.clock.now_s += 0.5
        self.assertEqual("kept", self.calls.get(timeout=TIMEOUT_S))

    def test_failing_callback_does_not_stop_the_rest(self):
        """An error in one component must not stop the timers of another."""

        def fail():
            raise RuntimeError("expected in this test")

        self.service.every(0.1, fail)
        self.service.every(0.1, lambda: self.calls.put("on"))
        self.start()
        with self.assertLogs("trefoilgw.timers.core", "ERROR"):
            for _ in range(2):
                self.clock.now_s += 0.2
                self.calls.get(timeout=TIMEOUT_S)

    def test_repeated_timers_share_wake_ups(self):
        """Each wake-up of an idle host costs more than the call itself."""
        times = {0.05: [], 0.1: [], 0.25: []}
        for interval_s, called in times.items():
            self.clock.now_s += 0.013
            self.service.every(
                interval_s, lambda x=called: x.append(self.clock.now_s)
            )
        start_s = self.clock.now_s
        for step in range(1, 2001):
            self.clock.now_s = start_s + step / 1000
            self.service._call_due(self.clock.now_s)
        for interval_s, called in times.items():
            with self.subTest(interval_s):
                self.assertAlmostEqual(2.0 / interval_s, len(called), delta=1)
                self.assertLessEqual(set(called), set(times[0.05]))

    def test_missed_calls_are_not_made_up_for(self):
        """After a pause, a burst of late calls would delay other work."""
        called = []
        self.service.every(0.1, lambda: called.append(self.clock.now_s))
        self.clock.now_s += 30.0
        self.service._call_due(self.clock.now_s)
        self.assertEqual(1, len(called))

    def test_pause_is_reported_before_due_timers(self):
        """A resumed process must check its leases before any timer runs."""
        self.service.on_pause(lambda gap_s: self.calls.put(gap_s))
        self.service.after(0.1, lambda: self.calls.put("timer"))
        self.start()
        self.clock.now_s += 60.0
        self.assertGreaterEqual(self.calls.get(timeout=TIMEOUT_S), 59.0)
        self.assertEqual("timer", self.calls.get(timeout=TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
