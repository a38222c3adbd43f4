"""Tests of the calculation of figures and of the demo's verdict."""

import unittest

from tools import central_queue
from tools import demo
from tools import figures
from tools import fleet_metrics
from trefoilgw.load import arrivals
from trefoilgw.load import results
from trefoilgw.load import scenario as scenarios

# Figures of section 16 of the design page, in its order.
REQUIRED_FIGURES = (
    "response_ratio_p50",
    "response_ratio_p99",
    "response_ratio_p99_85",
    "added_latency_p50_ms",
    "added_latency_p99_ms",
    "messages_per_task_single",
    "messages_per_task_310",
    "wasted_messages_pct",
    "flood_low_kept_pct",
    "flood_urgent_kept_pct",
    "config_in_force_s",
    "agent_rss_mb",
    "entry_rss_mb",
    "agent_control_cpu_pct",
    "agent_control_kb_s",
    "entry_starts_per_core_s",
)


class FiguresTest(unittest.TestCase):
    def test_lines_stand_in_the_order_of_the_page(self):
        """A figure without a value must be printed as not measured."""
        collected = figures.Figures()
        collected.values["agent_rss_mb"] = 30.0
        collected.add("baseline_x", 2.0, "ratio")
        lines = [line.split() for line in collected.lines()]
        names = [line[0] for line in lines]
        self.assertEqual([*REQUIRED_FIGURES, "baseline_x"], names)
        values = {line[0]: line[1] for line in lines}
        self.assertEqual("30.000", values["agent_rss_mb"])
        self.assertEqual("not-measured", values["response_ratio_p50"])

    def test_scenarios_load(self):
        for name in ("70", "85", "310", "base", "flood-low", "flood-urgent"):
            with self.subTest(name):
                loaded = scenarios.load(figures.scenario_path(name))
                self.assertIsInstance(loaded, scenarios.Scenario)

    def test_other_work_is_the_same_in_base_and_floods(self):
        """Kept work is comparable only if the same work arrives."""

        def other(name):
            plan = arrivals.plan(scenarios.load(figures.scenario_path(name)))
            return [
                (item.at_s, item.run_ms) for item in plan if not item.flow.flood
            ]

        base = other("base")
        self.assertGreater(len(base), 300)
        self.assertEqual(base, other("flood-low"))
        self.assertEqual(base, other("flood-urgent"))

    def test_messages_are_counted_once(self):
        """Messages between entries appear in the counts of both ends."""
        sent, received = (
            fleet_metrics.MESSAGES_SENT,
            fleet_metrics.MESSAGES_RECEIVED,
        )
        reading = fleet_metrics.Reading(
            1.0,
            (),
            {
                f'{sent}{{type="RunBatch"}}': 5.0,
                f'{sent}{{type="Forward"}}': 2.0,
                f'{sent}{{type="Pong"}}': 90.0,
                f'{received}{{type="Forward"}}': 2.0,
                f'{received}{{type="BatchDone"}}': 5.0,
                f'{received}{{type="Ping"}}': 90.0,
            },
        )
        self.assertEqual(12.0, fleet_metrics.task_messages(reading))
        self.assertEqual(2.0, fleet_metrics.forwards(reading))
        empty = fleet_metrics.Reading(1.0, (), {})
        self.assertIsNone(fleet_metrics.wasted_messages(empty))
        counted = fleet_metrics.Reading(
            1.0, (), {}, frozenset({fleet_metrics.MESSAGES_WASTED})
        )
        self.assertEqual(0.0, fleet_metrics.wasted_messages(counted))
        self.assertIsNone(fleet_metrics.task_messages(empty))
        self.assertIsNone(fleet_metrics.stream_bytes(empty, ""))

    def test_central_queue(self):
        """With one slot, the second of two tasks waits for the first."""
        flow = scenarios.Flow("k", jobs_s=1.0)
        none = arrivals.KeySource.NONE
        plan = tuple(
            arrivals.Arrival(number, 0.0, "c", flow, (100,), none, None)
            for number in range(2)
        )
        model = central_queue.simulate(plan, 1)
        self.assertAlmostEqual(1.0, model.ratio_at(50), places=2)
        self.assertAlmostEqual(2.0, model.ratio_at(100), places=2)


class DemoTest(unittest.TestCase):
    def test_verdict(self):
        """The demo must not report success after any kind of failure."""
        good = {"planned": 2, "complete": 2, "tasks_complete": 3}
        tally = {
            "starts": {"a/0": 1, "a/1": 1, "b/0": 1},
            "double": [],
            "max_at_once": 8,
            "slots": 8,
        }
        cases = (
            ("", good, tally),
            ("no job was sent", {}, {**tally, "starts": {}}),
            ("not complete", {**good, "complete": 1}, tally),
            ("partial", {**good, "partial": 1}, tally),
            ("started twice", good, {**tally, "double": ["a/0"]}),
            ("starts for", good, {**tally, "starts": {"a/0": 1}}),
            ("more tasks than slots", good, {**tally, "max_at_once": 9}),
        )
        for expected, counts, counted in cases:
            with self.subTest(expected):
                run = results.Results()
                run.flow("c", "k", False).counts.update(counts)
                found = " ".join(demo.find_problems(run, [counted]))
                self.assertIn(expected, found)
                self.assertEqual(not expected, not found)


if __name__ == "__main__":
    unittest.main()
