"""Tests that the change log is built from its fragments."""

import pathlib
import tempfile
import unittest

from tools import changes


class ChangesTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        """Users would miss a change whose fragment is not in the page."""
        built = changes.build(changes.ROOT)
        page = (changes.ROOT / "CHANGES.md").read_text("utf-8")
        self.assertEqual(built, page, "run make changes")

    def test_fragments_in_order(self):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            fragments = root / "docs" / "changes"
            fragments.mkdir(parents=True)
            project = '[project]\nversion = "9.1"\n'
            (root / "pyproject.toml").write_text(project)
            (fragments / "b.md").write_text("- second\n  line\n")
            (fragments / "a.md").write_text("- first\n\n")
            expected = (
                "## 9.1\n\n### a\n\n- first\n\n### b\n\n- second\n  line\n"
            )
            self.assertTrue(changes.build(root).endswith(expected))
            (fragments / "c.md").write_text("no list")
            with self.assertRaises(ValueError):
                changes.build(root)


if __name__ == "__main__":
    unittest.main()
