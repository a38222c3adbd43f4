import random
import unittest
from unittest import mock

from trefoilgw.streams import core as streams
from trefoilgw.streams import redialling


class ReturnOfAllHostsTest(unittest.TestCase):
    """Hosts start within tenths of a second, their programs take longer."""

    def dials(self, until_s):
        """Returns the times of failed dials, each of which takes no time."""
        now_s = 0.0
        times = []

        def dial(*_):
            times.append(now_s)
            raise streams.DialError("refused")

        def sleep(seconds):
            nonlocal now_s
            now_s += seconds

        redialer = redialling.Redialer(b"", None, rng=random.Random(1))
        with (
            mock.patch.object(streams, "dial", dial),
            mock.patch.object(redialling.eventlet, "sleep", sleep),
            mock.patch.object(redialling.clock, "boottime", lambda: now_s),
        ):
            redialer.maintain_stream("a", lambda: now_s < until_s, None)
        return times

    def test_host_that_starts_is_found_soon(self):
        """A listener that came up after 0.8 s was found after 1.5 s."""
        times = self.dials(redialling.STARTING_S)
        gaps = [y - x for x, y in zip(times, times[1:], strict=False)]
        self.assertLess(max(gaps), 0.3)

    def test_host_that_stays_away_is_dialed_rarely(self):
        """A thousand runners dial each scheduler that has left."""
        late = [x for x in self.dials(60.0) if x > 2 * redialling.STARTING_S]
        self.assertLess(len(late) / (60.0 - 2 * redialling.STARTING_S), 1.3)


if __name__ == "__main__":
    unittest.main()
