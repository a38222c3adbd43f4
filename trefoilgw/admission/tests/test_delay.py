"""Control of queue delay."""

import unittest

from trefoilgw.admission import delay


def drops(waited_s, until_s, job_duration_s=0.0, step_s=0.01):
    """Returns when jobs are dropped; `waited_s` gives the delay by time."""
    controller = delay.QueueDelay()
    steps = round(until_s / step_s)
    times = [step * step_s for step in range(steps + 1)]
    found = [
        now_s
        for now_s in times
        if controller.should_drop(waited_s(now_s), job_duration_s, now_s)
    ]
    return controller, found


class QueueDelayTest(unittest.TestCase):
    def test_who_is_dropped(self):
        """Bursts must pass; a standing queue must not."""
        cases = (
            # (case, delay by time, own work, any drops)
            ("below the target", lambda now_s: 0.049, 0.0, False),
            ("burst of 450 ms", lambda t: 0.3 * (t < 0.45), 0.0, False),
            ("standing", lambda t: 0.06, 0.0, True),
            ("standing for its own work", lambda t: 1.0, 1.0, False),
            ("drained now and then", lambda t: 0.1 * (t % 0.4 > 0.02), 0, 0),
            ("large job, still too long", lambda t: 3.0, 0.25, True),
        )
        for case, waited_s, job_duration_s, expected in cases:
            with self.subTest(case=case):
                _, found = drops(waited_s, 5.0, job_duration_s)
                self.assertEqual(bool(expected), bool(found))

    def test_drop_rate_grows(self):
        """A constant rate would never end a lasting overload."""
        _, found = drops(lambda now_s: 0.2, 10.0)
        self.assertGreaterEqual(found[0], 0.49)
        first = sum(now_s < 2.5 for now_s in found)
        last = sum(now_s > 8.0 for now_s in found)
        self.assertGreater(last, 2 * first)

    def test_dropping_ends_with_the_queue(self):
        controller, _ = drops(lambda now_s: 0.2, 3.0)
        self.assertTrue(controller.dropping)
        self.assertFalse(controller.should_drop(0.01, 0.0, 3.1))
        self.assertFalse(controller.dropping)
        controller, _ = drops(lambda now_s: 0.2, 3.0)
        controller.emptied()
        self.assertFalse(controller.dropping)

    def test_refusal_before_the_queue(self):
        """Refused early, work costs nothing; too early, slots run empty."""
        cases = (
            # (dropping, expected wait, own work, refused)
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
