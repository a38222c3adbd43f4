"""Tests of `trefoilgw check-config`, run as an operator types it."""

import json
import pathlib
import tempfile
import unittest

from cleo.testers.application_tester import ApplicationTester

from trefoilgw.cli import main
from trefoilgw.platform.tests import test_configuration_files as samples


class CheckConfigTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, document):
        path = self.folder / name
        path.write_bytes(samples.encode(document))
        return str(path)

    def run_command(self, arguments):
        tester = ApplicationTester(main.make_application())
        code = tester.execute(f"check-config {arguments}")
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    def test_sound_file(self):
        path = self.write("new.json", samples.DOCUMENT)
        code, output, error = self.run_command(path)
        self.assertEqual((0, ""), (code, error))
        self.assertIn("version 7, 1 queues, 1 services", output)

    def test_differences_to_the_version_in_force(self):
        """What a change does must be seen before it is sent."""
        old = self.write("old.json", samples.DOCUMENT)
        changed = {**samples.DOCUMENT["routes"][0], "timeoutMs": 900}
        added = {**changed, "name": "r-b", "prefix": "/b/"}
        new = self.write(
            "new.json",
            {**samples.DOCUMENT, "version": 9, "routes": [changed, added]},
        )
        code, output, error = self.run_command(f"{new} --in-force {old}")
        self.assertEqual((0, ""), (code, error))
        self.assertIn("routes[r-a].timeoutMs: 1608 -> 900", output)
        self.assertIn("+ routes[r-b] = ", output)
        code, output, _ = self.run_command(f"{new} --in-force {old} --json")
        values = json.loads(output)
        self.assertEqual(
            {"path": "version", "old": 7, "new": 9}, values["differences"][0]
        )
        self.assertNotIn("old", values["differences"][2])

    def test_errors_name_their_place(self):
        path = self.write("new.json", {**samples.DOCUMENT, "services": []})
        code, _, error = self.run_command(path)
        self.assertEqual(1, code)
        self.assertIn("new.json:12 routes[0].service: ", error)

    def test_version_in_force_is_not_sent_again(self):
        path = self.write("new.json", samples.DOCUMENT)
        code, _, error = self.run_command(f"{path} --in-force {path}")
        self.assertEqual(1, code)
        self.assertIn("would be ignored", error)

    def test_files_and_options_that_cannot_be_read(self):
        path = self.write("new.json", samples.DOCUMENT)
        cases = (
            (f"{self.folder}/none.json", "can't read"),
            (f"{path} --in-force {self.folder}/none.json", "can't read"),
            (f"{path} --target-connections 0", "whole number above 0"),
            (f"{path} --target-connections x", "whole number above 0"),
        )
        for arguments, text in cases:
            with self.subTest(arguments):
                code, _, error = self.run_command(arguments)
                self.assertEqual(1, code)
                self.assertIn(text, error)


if __name__ == "__main__":
    unittest.main()
