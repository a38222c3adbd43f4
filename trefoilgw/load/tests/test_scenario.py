"""Scenario files: shipped ones load, faults are reported together."""

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


def parsed(text=SMALL):
    return scenarios.parse(text, "test.toml")


class ScenarioTest(unittest.TestCase):
    def test_shipped_scenarios_load(self):
        """A shipped file with a typing error would fail at the user's."""
        names = [path.stem for path in scenarios.SHIPPED.glob("*.toml")]
        self.assertIn("cobre-calco", names)
        for name in names:
            with self.subTest(name):
                scenario = scenarios.load(name)
                self.assertIsInstance(scenario, scenarios.Scenario)
                self.assertEqual(name, scenario.name)

    def test_faults_are_found(self):
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
                found = parsed(text)
                self.assertIsInstance(found, tuple)
                self.assertIn(expected, " ".join(item.text for item in found))

    def test_several_faults_are_reported_together(self):
        text = "colour = 1\n" + SMALL + "wave_share = 2.0\n"
        self.assertGreaterEqual(len(parsed(text)), 2)

    def test_missing_file_names_the_shipped_ones(self):
        (finding,) = scenarios.load("no-such-scenario")
        self.assertIn("cobre-calco", finding.text)


class ArrivalsTest(unittest.TestCase):
    def test_plan_follows_from_the_seed(self):
        """Parts of a run are cut from plans drawn in separate processes."""
        self.assertEqual(arrivals.plan(parsed()), arrivals.plan(parsed()))
        other = parsed("seed = 2\n" + SMALL)
        self.assertNotEqual(arrivals.plan(parsed()), arrivals.plan(other))

    def test_another_flow_does_not_move_the_arrivals(self):
        """Base and flood runs are compared arrival by arrival."""
        more = SMALL + "[[customer.flow]]\nkind = 'f'\nload = 1.0\n"
        both = arrivals.plan(parsed(more))
        kept = [item.at_s for item in both if item.flow.kind == "k"]
        alone = [item.at_s for item in arrivals.plan(parsed())]
        self.assertEqual(alone, kept)

    def test_rate_and_shares(self):
        """1000 jobs are expected; six standard deviations are allowed."""
        plan = arrivals.plan(parsed())
        self.assertLess(abs(len(plan) - 1000), 190)
        tickets = sum(item.key_form == "ticket" for item in plan)
        self.assertLess(abs(tickets / len(plan) - 0.5), 0.1)
        resubmitted = [item for item in plan if item.resubmit_after_s]
        self.assertLess(abs(len(resubmitted) / len(plan) - 0.375), 0.1)
        self.assertNotIn("none", {item.key_form for item in resubmitted})
        self.assertEqual({1, 2, 3}, {len(item.run_ms) for item in plan})

    def test_waves(self):
        """The share of arrivals in the high part must be as configured."""
        wave = "wave_period_s = 10.0\nwave_share = 0.25\nwave_height = 3.0\n"
        plan = arrivals.plan(parsed(SMALL + wave))
        high = sum(item.at_s % 10.0 < 2.5 for item in plan)
        self.assertLess(abs(high / len(plan) - 0.75), 0.08)
        self.assertLess(abs(len(plan) - 1000), 190)

    def test_ideal(self):
        cases = (((100,), 8, 0.1), ((100, 300), 8, 0.3), ((100,) * 4, 2, 0.2))
        flow = parsed().customer[0].flow[0]
        for run_ms, slots, expected in cases:
            with self.subTest(run_ms=run_ms):
                arrival = arrivals.Arrival(
                    0, 0.0, "c", flow, run_ms, arrivals.KeySource.NONE, None
                )
                self.assertEqual(expected, arrival.ideal_s(slots))


if __name__ == "__main__":
    unittest.main()
