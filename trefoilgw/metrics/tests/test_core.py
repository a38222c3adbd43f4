"""Tests of the metrics, read back with the parser of prometheus_client."""

import pathlib
import subprocess
import sys
import unittest

from prometheus_client import parser

from trefoilgw.metrics import core as metrics

ROOT = pathlib.Path(__file__).resolve().parents[3]


def parse(registry):
    """Returns the exposed values by sample name and labels."""
    text = registry.exposition().decode("utf-8")
    values = {}
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            labels = tuple(sorted(sample.labels.items()))
            values[(sample.name, *labels)] = sample.value
    return values


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = metrics.Registry()

    def test_exposition_can_be_parsed(self):
        """A scrape that can't be parsed loses all metrics."""
        started = self.registry.counter("tasks_started", "Tasks", "customer")
        started.add(2, "a")
        started.add(1, "a")
        started.add(1, 'b"\n\\')
        self.registry.gauge("slots", "Slots\nof it").set(8)
        run_s = self.registry.histogram("run_s", "Runs", "kind", bounds=(1, 2))
        for value in (0.5, 1.0, 1.5, 9.0):
            run_s.observe(value, "k")
        values = parse(self.registry)
        started_name = "trefoilgw_tasks_started_total"
        self.assertEqual(3, values[(started_name, ("customer", "a"))])
        self.assertEqual(1, values[(started_name, ("customer", 'b"\n\\'))])
        self.assertEqual(8, values[("trefoilgw_slots",)])
        kind = ("kind", "k")
        for bound, count in {"1": 2, "2": 3, "+Inf": 4}.items():
            key = ("trefoilgw_run_s_bucket", kind, ("le", bound))
            self.assertEqual(count, values[key])
        self.assertEqual(12.0, values[("trefoilgw_run_s_sum", kind)])
        self.assertGreater(values[("process_resident_memory_bytes",)], 0)

    def test_observable_metrics_are_read_at_each_scrape(self):
        """A value read only once would become stale."""
        state = {"d1": 1}

        def read():
            return [metrics.Sample(v, (k,)) for k, v in state.items()]

        self.registry.observable_gauge("agents", "Agents", read, "domain")
        self.registry.observable_counter(
            "sent", "Sent", lambda: [metrics.Sample(5)]
        )
        key = ("trefoilgw_agents", ("domain", "d1"))
        self.assertEqual(1, parse(self.registry)[key])
        state["d1"] = 2
        values = parse(self.registry)
        self.assertEqual(2, values[key])
        self.assertEqual(5, values[("trefoilgw_sent_total",)])

    def test_failing_callback_does_not_hide_other_metrics(self):
        def fail():
            raise RuntimeError("expected in this test")

        self.registry.observable_gauge("bad", "Bad", fail)
        self.registry.gauge("good", "Good").set(1)
        with self.assertLogs("trefoilgw.metrics.core", "ERROR"):
            values = parse(self.registry)
        self.assertEqual(1, values[("trefoilgw_good",)])

    def test_number_of_label_sets_is_limited(self):
        """Label values set by callers must not exhaust the memory."""
        counter = self.registry.counter("seen", "Seen", "name")
        for number in range(metrics.MAX_LABEL_SETS + 50):
            counter.add(1, str(number))
        self.assertEqual(metrics.MAX_LABEL_SETS + 1, len(counter.values))
        self.assertEqual(50, counter.values[(metrics.OVERFLOW_LABEL,)])

    def test_invalid_use_raises_value_error(self):
        counter = self.registry.counter("n", "N", "label")
        with self.assertRaises(ValueError):
            counter.add(-1, "a")
        with self.assertRaises(ValueError):
            counter.add(1)
        with self.assertRaises(ValueError):
            self.registry.gauge("n", "again")


class MemoryTest(unittest.TestCase):
    def test_import_does_not_load_prometheus_client(self):
        """The library must use memory of an agent only if it is scraped."""
        code = (
            "import sys, trefoilgw.metrics;"
            "sys.exit('prometheus_client' in sys.modules)"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], check=False, cwd=ROOT
        )
        self.assertEqual(0, done.returncode)

    def test_process_without_ssl_can_be_scraped(self):
        """Agents block the import of `ssl`, which prometheus_client imports."""
        code = (
            "import sys; sys.modules['ssl'] = None; import urllib.request;"
            "from trefoilgw.metrics import core;"
            "registry = core.Registry(); registry.counter('n', 'N').add(3);"
            "text = [registry.exposition() for _ in range(2)][1];"
            "assert b'trefoilgw_n_total 3.0' in text;"
            "sys.exit(sys.modules['ssl'] is not None)"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], check=False, cwd=ROOT
        )
        self.assertEqual(0, done.returncode)


if __name__ == "__main__":
    unittest.main()
