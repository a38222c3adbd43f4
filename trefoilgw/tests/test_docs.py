"""Checks that subpackages have pages and that pages name real metrics."""

import pathlib
import re
import unittest
from unittest import mock

from trefoilgw.agent import metrics as agent_metrics
from trefoilgw.entry import metrics as entry_metrics

PACKAGE_ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = PACKAGE_ROOT.parent / "docs"


class DocumentationTest(unittest.TestCase):
    def test_each_subpackage_has_a_page(self):
        """Each subpackage needs a page that documents its units and errors."""
        packages = [
            path.parent.name
            for path in PACKAGE_ROOT.glob("*/__init__.py")
            if path.parent.name != "tests"
        ]
        self.assertIn("keys", packages)
        for name in packages:
            with self.subTest(name):
                text = (DOCS / f"{name}.md").read_text("utf-8")
                self.assertRegex(text, rf"\A# {name}\b")
                self.assertGreater(len(text.split()), 40)

    def test_operators_page_names_only_metrics_that_exist(self):
        """An alert on a metric that does not exist never fires.

        Metrics that the page does not name fail the test as well.
        """
        known = set()
        for make in (entry_metrics.make_registry, agent_metrics.make_registry):
            for family in make(mock.MagicMock()).families.values():
                suffix = "_total" if family.kind == "counter" else ""
                known.add(f"trefoilgw_{family.name}{suffix}")
        text = (DOCS / "operators.md").read_text("utf-8")
        documented = set(re.findall(r"trefoilgw_\w+", text))
        self.assertEqual(set(), documented ^ known)


if __name__ == "__main__":
    unittest.main()
