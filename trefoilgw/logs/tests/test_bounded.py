"""Tests of the rate-limited, non-blocking log handler."""

import json
import logging
import os
import unittest
from unittest import mock

from trefoilgw.logs import bounded
from trefoilgw.logs import core as logs
from trefoilgw.logs import nonblocking
from trefoilgw.logs import rate_limits


class LineRateLimiterTest(unittest.TestCase):
    def test_successes_do_not_displace_failures(self):
        """A flood of successful jobs must not hide the jobs that failed."""
        limiter = rate_limits.LineRateLimiter(
            max_event_lines=50, max_success_lines=60, max_lines=80
        )
        limiter.advance_window(1.0)
        for number in range(100):
            limiter.try_acquire(f"success {number % 4}", failure=False)
        allowed = sum(
            limiter.try_acquire("lost", failure=True) for _ in range(100)
        )
        self.assertEqual(20, allowed)
        self.assertEqual(80, limiter.dropped["lost"])

    def test_one_event_does_not_use_up_the_limit(self):
        """One frequent event must leave lines for the others."""
        limiter = rate_limits.LineRateLimiter(
            max_event_lines=5, max_success_lines=20, max_lines=30
        )
        allowed = [
            limiter.try_acquire("noisy", failure=False) for _ in range(100)
        ]
        self.assertEqual(5, sum(allowed))
        self.assertTrue(limiter.try_acquire("other", failure=False))

    def test_failures_of_an_event_have_a_budget_of_their_own(self):
        """A flood of refused runs hid the lost runs of the same event."""
        limiter = rate_limits.LineRateLimiter(
            max_event_lines=5, max_success_lines=20, max_lines=30
        )
        for _ in range(100):
            limiter.try_acquire("run ended", failure=False)
        failures = [
            limiter.try_acquire("run ended", failure=True) for _ in range(6)
        ]
        self.assertEqual([True] * 5 + [False], failures)
        self.assertEqual(96, limiter.dropped["run ended"])
        limiter.advance_window(2.0)
        for _ in range(100):
            limiter.try_acquire("run ended", failure=True)
        self.assertTrue(limiter.try_acquire("run ended", failure=False))

    def test_new_window_resets_counts_and_reports_dropped_lines(self):
        """Lines dropped without a report would look like a lack of events."""
        limiter = rate_limits.LineRateLimiter(max_event_lines=1)
        limiter.advance_window(1.0)
        for _ in range(3):
            limiter.try_acquire("a", failure=False)
        self.assertEqual({}, limiter.advance_window(1.9))
        self.assertEqual({"a": 2}, limiter.advance_window(2.0))
        self.assertTrue(limiter.try_acquire("a", failure=False))


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        root = logging.getLogger()
        saved = root.handlers[:], root.level
        self.addCleanup(self.restore_logging, *saved)
        self.handler = logs.configure_bounded("test", self.writer, host="h")
        self.handler.rate_limiter = rate_limits.LineRateLimiter(
            10**6, 10**6, 10**6
        )
        self.log = logging.getLogger("trefoilgw.part")

    def restore_logging(self, handlers, level):
        root = logging.getLogger()
        root.handlers[:] = handlers
        root.setLevel(level)
        logging.captureWarnings(False)

    def read_all(self):
        """Polls and reads until the queue is empty; returns parsed lines."""
        data = b""
        while self.handler.writer.queued_bytes:
            self.handler.poll()
            data += os.read(self.reader, 1 << 20)
        return [json.loads(x) for x in data.splitlines()]

    def test_stalled_reader_does_not_block_logging(self):
        """A full pipe once blocked the program until it was read."""
        for number in range(20_000):
            self.log.info("job admitted", extra={"number": number})
            if number % 50 == 0:
                self.handler.poll()
        self.assertLess(
            self.handler.writer.queued_bytes, nonblocking.MAX_QUEUED_BYTES
        )
        self.log.warning("target lost")
        found = self.read_all()
        self.assertEqual("target lost", found[-1]["message"])
        numbers = [x["number"] for x in found if "number" in x]
        self.assertEqual(sorted(numbers), numbers)
        dropped = sum(
            sum(x["lines"].values())
            for x in found
            if x["message"] == bounded.LINES_DROPPED_EVENT
        )
        not_reported = self.handler.rate_limiter.dropped["job admitted"]
        self.assertGreater(len(numbers), 100)
        self.assertLessEqual(20_000, len(numbers) + dropped + not_reported + 1)

    def test_dropped_failures_are_reported_apart(self):
        """A flood of refusals must not look like a flood of lost runs."""
        self.handler.rate_limiter.max_event_lines = 2
        self.handler.rate_limiter.advance_window(-10.0)
        with mock.patch.object(bounded.time, "monotonic") as monotonic:
            monotonic.return_value = 100.0
            for _ in range(5):
                self.log.info("task repeated")
            for _ in range(3):
                self.log.warning("task repeated")
            monotonic.return_value = 101.0
            found = self.read_all()
            monotonic.return_value = 102.0
            self.handler.poll()
        self.assertEqual({"task repeated": 4}, found[-1]["lines"])
        self.assertEqual({"task repeated": 1}, found[-1]["failures"])
        self.assertEqual({}, self.handler.rate_limiter.take_dropped_failures())

    def test_long_lines_arrive_complete(self):
        """A line truncated at the chunk size could not be parsed."""
        for size in (1, 4000, 4096, 9000):
            self.log.info("text", extra={"text": "x" * size})
        self.assertEqual(
            [1, 4000, 4096, 9000], [len(x["text"]) for x in self.read_all()]
        )

    def test_closed_reader_stops_writing(self):
        """A broken pipe must not terminate the program."""
        reader, writer = os.pipe()
        os.close(reader)
        handler = logs.configure_bounded("test", writer)
        self.log.info("lost")
        handler.poll()
        os.close(writer)
        self.assertTrue(handler.writer.write_error)
        self.log.info("not written")
        self.assertEqual(0, handler.writer.queued_bytes)
