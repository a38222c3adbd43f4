"""Tests of scenario files and of the arrivals planned from them."""

import unittest

from trefoilgw.load import arrivals
from trefoilgw.load import scenario as scenarios

SMALL = """
name = "small"
duration_s = 50.0
[[customer]]
name = "c"
[[customer.flow]]
kind = "k"
jobs_s = 20.0
tasks = [1, 3]
long_share = 0.03
ticket_share = 0.5
own_key_share = 0.25
resubmit_share = 0.5
"""


def parse_scenario(text=SMALL):
    return scenarios.parse(text, "test.toml")


class ScenarioTest(unittest.TestCase):
    def test_shipped_scenarios_load(self):
        """An invalid shipped file would fail only when a user runs it."""
        names = [
            path.stem for path in scenarios.SCENARIO_DIRECTORY.glob("*.toml")
        ]
        self.assertIn("cobre-calco", names)
        for name in names:
            with self.subTest(name):
                scenario = scenarios.load(name)
                self.assertIsInstance(scenario, scenarios.Scenario)
                self.assertEqual(name, scenario.name)

    def test_invalid_scenarios_are_reported(self):
        cases = {
            "not TOML": "name =",
            "extra fields": "colour = 1\n" + SMALL,
            "exactly one of load and jobs_s": SMALL + "load = 0.5\n",
            "tasks must lie": SMALL.replace("[1, 3]", "[1, 311]"),
            "at most 1": SMALL.replace(
                "own_key_share = 0.25", "own_key_share = 0.75"
            ),
            "run_ms must be": SMALL + "run_ms = [9.0, 1.0]\n",
            "more than": SMALL.replace("20.0", "1e6"),
        }
        for expected, text in cases.items():
            with self.subTest(expected):
                found = parse_scenario(text)
                self.assertIsInstance(found, tuple)
                self.assertIn(expected, " ".join(item.text for item in found))

    def test_all_errors_are_reported_together(self):
        text = "colour = 1\n" + SMALL + "wave_share = 2.0\n"
        self.assertGreaterEqual(len(parse_scenario(text)), 2)

    def test_missing_file_finding_lists_the_shipped_scenarios(self):
        (finding,) = scenarios.load("no-such-scenario")
        self.assertIn("cobre-calco", finding.text)


class ArrivalsTest(unittest.TestCase):
    def test_plan_depends_only_on_the_seed(self):
        """Processes that share a run draw the whole plan independently.

        Each takes its part of it, so the plans must be equal.
        """
        self.assertEqual(
            arrivals.plan(parse_scenario()), arrivals.plan(parse_scenario())
        )
        other = parse_scenario("seed = 2\n" + SMALL)
        self.assertNotEqual(
            arrivals.plan(parse_scenario()), arrivals.plan(other)
        )

    def test_another_flow_does_not_change_the_arrivals(self):
        """Runs with and without a flood are compared arrival by arrival."""
        more = SMALL + "[[customer.flow]]\nkind = 'f'\nload = 1.0\n"
        both = arrivals.plan(parse_scenario(more))
        kept = [item.at_s for item in both if item.flow.kind == "k"]
        alone = [item.at_s for item in arrivals.plan(parse_scenario())]
        self.assertEqual(alone, kept)

    def test_rate_and_shares(self):
        """1000 jobs are expected, within six standard deviations."""
        plan = arrivals.plan(parse_scenario())
        self.assertLess(abs(len(plan) - 1000), 190)
        tickets = sum(item.key_source == "ticket" for item in plan)
        self.assertLess(abs(tickets / len(plan) - 0.5), 0.1)
        resubmitted = [item for item in plan if item.resubmit_after_s]
        self.assertLess(abs(len(resubmitted) / len(plan) - 0.375), 0.1)
        self.assertNotIn("none", {item.key_source for item in resubmitted})
        self.assertEqual({1, 2, 3}, {len(item.run_ms) for item in plan})

    def test_waves(self):
        """The share of arrivals at the high rate must be as configured."""
        wave = "wave_period_s = 10.0\nwave_share = 0.25\nwave_height = 3.0\n"
        plan = arrivals.plan(parse_scenario(SMALL + wave))
        high = sum(item.at_s % 10.0 < 2.5 for item in plan)
        self.assertLess(abs(high / len(plan) - 0.75), 0.08)
        self.assertLess(abs(len(plan) - 1000), 190)

    def test_ideal_response_time(self):
        cases = (((100,), 8, 0.1), ((100, 300), 8, 0.3), ((100,) * 4, 2, 0.2))
        flow = parse_scenario().customer[0].flow[0]
        for run_ms, slots, expected in cases:
            with self.subTest(run_ms=run_ms):
                arrival = arrivals.Arrival(
                    0, 0.0, "c", flow, run_ms, arrivals.KeySource.NONE, None
                )
                self.assertEqual(expected, arrival.ideal_s(slots))


if __name__ == "__main__":
    unittest.main()
