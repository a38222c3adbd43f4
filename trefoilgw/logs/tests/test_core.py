"""Tests of the format of log lines."""

import io
import json
import logging
import sys
import unittest
import warnings

from trefoilgw.logs import core as logs


class ConfigureTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        saved = root.handlers[:], root.level, sys.excepthook
        self.addCleanup(self.restore_logging, *saved)
        self.stream = io.StringIO()
        logs.configure("trefoilgw-test", stream=self.stream, incarnation="a1")
        self.log = logging.getLogger("trefoilgw.part")

    def restore_logging(self, handlers, level, hook):
        root = logging.getLogger()
        root.handlers[:] = handlers
        root.setLevel(level)
        sys.excepthook = hook
        logging.captureWarnings(False)

    def read_lines(self):
        return [json.loads(x) for x in self.stream.getvalue().splitlines()]

    def test_line_has_the_documented_fields(self):
        """Operators search by these names; renaming one breaks searches."""
        self.log.info("agent %s joined", "a", extra={"agent": "worker-1"})
        (line,) = self.read_lines()
        self.assertRegex(line.pop("time"), r"^\d{4}-\d\d-\d\dT.*\+00:00$")
        expected = {
            "level": "INFO",
            "logger": "trefoilgw.part",
            "message": "agent a joined",
            "program": "trefoilgw-test",
            "incarnation": "a1",
            "agent": "worker-1",
        }
        self.assertEqual(expected, line)

    def test_special_values_result_in_one_json_line(self):
        """A line that is not JSON is lost to the log collector."""
        values = {
            "text": "a\nb\u2028",
            "data": b"\xff",
            "thing": object(),
            "nested": {"a": {1, 2}},
        }
        for name, value in values.items():
            self.log.warning("x", extra={name: value})
        self.assertEqual(len(values), len(self.read_lines()))

    def test_errors_and_warnings_are_single_lines(self):
        """A traceback spread over lines could not be attributed to an event."""
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            self.log.exception("failed")
            sys.excepthook(*sys.exc_info())
        with warnings.catch_warnings():
            warnings.simplefilter("always")
            logging.captureWarnings(False)
            logging.captureWarnings(True)
            warnings.warn("old", stacklevel=1)
        handled, uncaught, warned = self.read_lines()
        self.assertIn("ValueError: bad\nvalue", handled["error"])
        self.assertEqual("CRITICAL", uncaught["level"])
        self.assertIn("old", warned["message"])

    def test_second_call_replaces_the_handler(self):
        """Two handlers would write every line twice."""
        logs.configure("other", level="WARNING", stream=self.stream)
        self.log.info("dropped")
        self.log.warning("kept")
        (line,) = self.read_lines()
        self.assertEqual(("other", "kept"), (line["program"], line["message"]))


if __name__ == "__main__":
    unittest.main()
