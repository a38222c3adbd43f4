"""Tests of the lease of a target's runs."""

import math
import unittest

from trefoilgw.runner import leases


class ExtensionTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.lease = leases.TargetLease(1.0, lambda: self.now_s, -95.0)

    def test_end_is_on_the_clock_of_the_target(self):
        """A target compares it with its own clock, which has another origin."""
        self.assertEqual(6.0, self.lease.extend(math.inf))
        self.assertEqual(5.5, self.lease.extend(100.5))

    def test_shorter_lease_does_not_shorten_the_one_in_force(self):
        """Targets never shorten a lease; runs would be given up at work."""
        self.lease.extend(math.inf)
        until_s = self.lease.until_s
        self.now_s += 0.1
        self.lease.extend(100.2)
        self.assertEqual(until_s, self.lease.until_s)

    def test_time_that_is_over_gives_no_lease(self):
        """The runs must end, and nothing may be started beside them."""
        self.assertIsNone(self.lease.extend(99.9))
        self.assertIsNone(self.lease.extend(-math.inf))
        self.assertTrue(self.lease.expired())


if __name__ == "__main__":
    unittest.main()
