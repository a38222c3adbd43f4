"""Tests of the rates of started CPU and of their wire form."""

import unittest

from hypothesis import given
from hypothesis import strategies

from trefoilgw.work import rates


class StepTest(unittest.TestCase):
    @given(strategies.floats(rates.LEAST_RATE, 1e9))
    def test_rate_is_kept_within_half_a_step(self, rate):
        """Forecasts would be off by the error of the wire form."""
        half_step = 2.0 ** (0.5 / rates.STEPS_PER_DOUBLING) * 1.0001
        found = rates.from_step(rates.to_step(rate))
        self.assertLess(max(found / rate, rate / found), half_step)

    @given(strategies.integers(-(2**63), 2**64 - 1))
    def test_any_number_of_a_message_is_bounded(self, step):
        """A huge exponent would raise an error or stop the scheduler."""
        self.assertLessEqual(rates.from_step(step), 2.0**32)
        self.assertGreaterEqual(rates.from_step(step), 0.0)

    def test_idle_meters_send_one_item(self):
        """No item at all means that the runner does not measure."""
        self.assertEqual((0,), rates.steps_of([]))
        meter = rates.CpuRates()
        meter.record(3, 64_000)
        self.assertEqual((0, 0, 0, 32), rates.steps_of([meter]))
        meter.decay(30.0)
        self.assertEqual((0,), rates.steps_of([meter]))
        self.assertEqual({}, meter.millicores, "old classes are forgotten")

    def test_wire_form_takes_a_byte_a_class(self):
        """It is part of each capacity report."""
        self.assertLess(rates.MAX_STEP, 128)
        meters = [rates.CpuRates({x: 1e300 for x in range(8)})]
        self.assertEqual((rates.MAX_STEP,) * 8, rates.steps_of(meters))


if __name__ == "__main__":
    unittest.main()
