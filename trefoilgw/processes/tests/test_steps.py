import unittest

from trefoilgw.processes import steps


class StartStepsTest(unittest.TestCase):
    def test_first_time_of_each_step_is_kept(self):
        """A step that is lost and reached again is no part of the start."""
        now_s = 10.0
        started = steps.StartSteps(lambda: now_s, 9.5)
        self.assertFalse(started.check(stream=True, report=False))
        now_s = 11.0
        self.assertFalse(started.check(stream=False, report=True))
        now_s = 12.0
        self.assertTrue(started.check(stream=True, report=True))
        self.assertEqual({"stream": 0.5, "report": 1.5}, started.seconds)


if __name__ == "__main__":
    unittest.main()
