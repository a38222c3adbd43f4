"""Checks that names of the platform's protocol stay in its adapter."""

import ast
import pathlib
import re
import unittest

PACKAGE_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Fields, paths, headers and variables of the platform's protocol that have no
# other meaning in the product.
WIRE_NAMES = re.compile(
    r"lastSeen|deadlineMs|waitMs|clockMs|memMb|estimateMs|bestEffort"
    r"|expectedRev|storeRevision|allowStale|hasMore|ttlMs"
    r"|coldRemainingMs|admissionCheck|maxAttempts|targetLatencyMs"
    r"|requiredLabels|longRunning|antiAffinity|heartbeatUrl"
    r"|maxHoldMs|graceS\b|portRange|machineClass|TREFOILGW_BOOT"
    r"|/kv-|/run-st|/hold\b|/advise|Instances\.|X-Expect|X-Deadline"
    r"|op/config|op/evacuate|evacuateMs|\bkv-txn"
)


def texts_of(path: pathlib.Path) -> list[str]:
    """Returns a module's string constants, names and attributes."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            found.append(node.value)
        elif isinstance(node, ast.Name):
            found.append(node.id)
        elif isinstance(node, ast.Attribute):
            found.append(node.attr)
    return found


class WireNamesTest(unittest.TestCase):
    def test_wire_names_stay_in_the_adapter(self):
        """Names used elsewhere would tie other packages to one protocol."""
        leaks = []
        for path in sorted(PACKAGE_ROOT.rglob("*.py")):
            relative = path.relative_to(PACKAGE_ROOT)
            if relative.parts[0] == "platform" or "tests" in relative.parts:
                continue
            leaks += [
                f"{relative}: {text[:60]!r}"
                for text in texts_of(path)
                if WIRE_NAMES.search(text)
            ]
        self.assertEqual([], leaks)

    def test_check_finds_the_names_in_the_adapter(self):
        """The pattern must match the names that the adapter uses."""
        texts = texts_of(PACKAGE_ROOT / "platform" / "targets.py")
        found = [x for x in texts if WIRE_NAMES.search(x)]
        self.assertIn("lastSeen", found)


if __name__ == "__main__":
    unittest.main()
