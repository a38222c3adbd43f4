"""Every subpackage has a page, and the pages name only what exists."""

import pathlib
import re
import unittest
from unittest import mock

from trefoilgw.agent import metrics as agent_metrics
from trefoilgw.entry import metrics as entry_metrics

PACKAGE_ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = PACKAGE_ROOT.parent / "docs"


class PagesTest(unittest.TestCase):
    def test_each_subpackage_has_a_page(self):
        """A package without a page has nowhere to state units and errors."""
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
        """An alarm on a metric that does not exist never goes off."""
        known = set()
        for make in (entry_metrics.make_registry, agent_metrics.make_registry):
            for family in make(mock.MagicMock()).families.values():
                end = "_total" if family.kind == "counter" else ""
                known.add(f"trefoilgw_{family.name}{end}")
        text = (DOCS / "operators.md").read_text("utf-8")
        named = set(re.findall(r"trefoilgw_\w+", text))
        self.assertEqual(set(), named ^ known)


if __name__ == "__main__":
    unittest.main()
