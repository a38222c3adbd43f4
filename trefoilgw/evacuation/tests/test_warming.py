"""Tests of the room of targets that warm up after an evacuation."""

import unittest

from trefoilgw.evacuation import warming


class WarmUpTest(unittest.TestCase):
    def test_share_rises_to_all_of_the_room(self):
        """A cold target that gets full load at once runs it all late."""
        shares = [warming.usable_share(x, 10.0, 14.0) for x in range(8, 16)]
        self.assertEqual(sorted(shares), shares)
        self.assertEqual(warming.MIN_SHARE, shares[0])
        self.assertEqual([1.0, 1.0], shares[-2:])

    def test_warm_target_gets_load_at_once(self):
        """Its room would stay idle while others are full."""
        warm_up = warming.WarmUp()
        warm_up.reported(0.0, 9.0)
        warm_up.domain_taken_back(10.0)
        self.assertEqual(1.0, warm_up.share(10.0))

    def test_cold_target_without_evacuation_is_not_limited(self):
        """A restart of a target must change nothing for its schedulers."""
        warm_up = warming.WarmUp()
        warm_up.reported(5.0, 9.0)
        self.assertEqual(1.0, warm_up.share(10.0))

    def test_later_reports_move_the_end(self):
        """A target may warm up more slowly than it has first said."""
        warm_up = warming.WarmUp()
        warm_up.reported(4.0, 10.0)
        warm_up.domain_taken_back(10.0)
        early = warm_up.share(12.0)
        warm_up.reported(6.0, 12.0)
        self.assertLess(warm_up.share(12.0), early)
        self.assertEqual(1.0, warm_up.share(18.0))

    def test_warm_up_ends_for_good(self):
        """A target that becomes cold again later is not limited."""
        warm_up = warming.WarmUp()
        warm_up.reported(4.0, 10.0)
        warm_up.domain_taken_back(10.0)
        warm_up.share(14.0)
        warm_up.reported(4.0, 20.0)
        self.assertEqual(1.0, warm_up.share(20.0))


if __name__ == "__main__":
    unittest.main()
