"""Tests of the command line options and the text report."""

import unittest

from trefoilgw.load import main
from trefoilgw.load import report
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios


class OptionsTest(unittest.TestCase):
    def test_invalid_options_are_reported(self):
        """Without a customer's token, a run would measure only refusals."""
        scenario = scenarios.load("cobre-calco")
        tokens = {"cobre-calco": "t"}
        good = main.Options(("127.0.0.1:1",), (), tokens)
        cases = (
            ("", good),
            ("no token", main.Options(good.entries, (), {})),
            ("no address", main.Options((), (), tokens)),
            ("N/M", main.Options(good.entries, (), tokens, 2, 2)),
            ("must be one of", main.Options((), ("a:1",), {}, policy="x")),
            ("needed with", main.Options((), (), {}, policy="random")),
        )
        for expected, options in cases:
            with self.subTest(expected):
                found = main.check_options(scenario, options)
                text = " ".join(item.text for item in found)
                self.assertIn(expected, text)
                self.assertEqual(not expected, not found)

    def test_token_options_are_parsed(self):
        self.assertEqual({"a": "b=c"}, main.parse_tokens(["a=b=c"]))
        with self.assertRaises(ValueError):
            main.parse_tokens(["a"])


class ReportTest(unittest.TestCase):
    def test_faults_are_shown(self):
        """The report must list faults apart from the table of counts."""
        run = results.Results()
        flow = run.flow("c", "k", True)
        flow.counts.update({"planned": 4, "complete": 3, "refused": 1})
        flow.reasons["refused:overload"] += 1
        flow.record_response(0.2, 0.1)
        self.assertIn("faults: none", report.text(run))
        flow.counts["double_start"] += 2
        text = report.text(run)
        self.assertIn("double_start 2", text)
        self.assertIn("1 x refused:overload", text)
        self.assertIn("k (flood)", text)


if __name__ == "__main__":
    unittest.main()
