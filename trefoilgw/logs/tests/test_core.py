"""Form of the log lines."""

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
        self.addCleanup(self.restore, *saved)
        self.stream = io.StringIO()
        logs.configure("trefoilgw-test", stream=self.stream, incarnation="a1")
        self.log = logging.getLogger("trefoilgw.part")

    def restore(self, handlers, level, hook):
        root = logging.getLogger()
        root.handlers[:] = handlers
        root.setLevel(level)
        sys.excepthook = hook
        logging.captureWarnings(False)

    def lines(self):
        return [json.loads(x) for x in self.stream.getvalue().splitlines()]

    def test_fields_of_a_line(self):
        """Operators search by these names; a renamed one breaks searches."""
        self.log.info("agent %s joined", "a", extra={"agent": "worker-1"})
        (line,) = self.lines()
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

    def test_hard_values_stay_one_line_of_json(self):
        """A line that is not JSON is lost to the log collector."""
        values = {
            "text": "a\nb\u2028",
            "data": b"\xff",
            "thing": object(),
            "nested": {"a": {1, 2}},
        }
        for name, value in values.items():
            self.log.warning("x", extra={name: value})
        self.assertEqual(len(values), len(self.lines()))

    def test_errors_and_warnings_are_lines(self):
        """A traceback over many lines could not be attributed."""
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
        handled, uncaught, warned = self.lines()
        self.assertIn("ValueError: bad\nvalue", handled["error"])
        self.assertEqual("CRITICAL", uncaught["level"])
        self.assertIn("old", warned["message"])

    def test_second_call_replaces_the_first(self):
        """Two handlers would write every line twice."""
        logs.configure("other", level="WARNING", stream=self.stream)
        self.log.info("dropped")
        self.log.warning("kept")
        (line,) = self.lines()
        self.assertEqual(("other", "kept"), (line["program"], line["message"]))


if __name__ == "__main__":
    unittest.main()
