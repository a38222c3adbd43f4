"""Tests of the queue delay controller."""

import unittest

from trefoilgw.admission import delay


def simulate(waited_s, until_s, job_duration_s=0.0, step_s=0.01):
    """Returns the controller and the times at which it drops a job.

    Args:
        waited_s: Function that returns the queue delay at a given time.
        until_s: End of the simulation in seconds.
        job_duration_s: As for `delay.target_s`.
        step_s: Time between two jobs in seconds.
    """
    controller = delay.QueueDelay()
    steps = round(until_s / step_s)
    times = [step * step_s for step in range(steps + 1)]
    drop_times = [
        now_s
        for now_s in times
        if controller.should_drop(waited_s(now_s), job_duration_s, now_s)
    ]
    return controller, drop_times


class QueueDelayTest(unittest.TestCase):
    def test_only_standing_queue_is_dropped(self):
        """Jobs of a burst must be kept, jobs of a standing queue dropped."""
        cases = (
            # (case, delay by time, job duration, any drops)
            ("below the target", lambda now_s: 0.049, 0.0, False),
            ("burst of 450 ms", lambda t: 0.3 * (t < 0.45), 0.0, False),
            ("standing queue", lambda t: 0.06, 0.0, True),
            (
                "standing, explained by the job duration",
                lambda t: 1.0,
                1.0,
                False,
            ),
            ("queue empties at times", lambda t: 0.1 * (t % 0.4 > 0.02), 0, 0),
            ("large job above its longer target", lambda t: 3.0, 0.25, True),
        )
        for case, waited_s, job_duration_s, expected in cases:
            with self.subTest(case=case):
                _, drop_times = simulate(waited_s, 5.0, job_duration_s)
                self.assertEqual(bool(expected), bool(drop_times))

    def test_drop_rate_grows(self):
        """A constant drop rate would never end a lasting overload."""
        _, drop_times = simulate(lambda now_s: 0.2, 10.0)
        self.assertGreaterEqual(drop_times[0], 0.49)
        first = sum(now_s < 2.5 for now_s in drop_times)
        last = sum(now_s > 8.0 for now_s in drop_times)
        self.assertGreater(last, 2 * first)

    def test_dropping_ends_when_the_queue_empties(self):
        controller, _ = simulate(lambda now_s: 0.2, 3.0)
        self.assertTrue(controller.dropping)
        self.assertFalse(controller.should_drop(0.01, 0.0, 3.1))
        self.assertFalse(controller.dropping)
        controller, _ = simulate(lambda now_s: 0.2, 3.0)
        controller.reset()
        self.assertFalse(controller.dropping)

    def test_new_jobs_are_refused_by_expected_wait(self):
        """Late refusals cost queue time; early ones leave slots idle."""
        cases = (
            # (dropping, expected wait, job duration, refused)
            (False, 0.45, 0.0, False),
            (False, 0.55, 0.0, True),
            (True, 0.09, 0.0, False),
            (True, 0.11, 0.0, True),
            (False, 10.0, 1.0, False),
            (True, 2.0, 1.0, False),
        )
        for dropping, wait_s, job_duration_s, refused in cases:
            with self.subTest(dropping=dropping, wait_s=wait_s):
                controller = delay.QueueDelay(dropping=dropping)
                self.assertEqual(
                    refused, controller.should_refuse(wait_s, job_duration_s)
                )


if __name__ == "__main__":
    unittest.main()
