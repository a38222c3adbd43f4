"""Checks that only the adapter knows the names on the platform's wire."""

import ast
import pathlib
import re
import unittest

PACKAGE_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Names of fields, paths, headers and variables that stand on the wire and
# have no other meaning in the product.
WIRE_NAMES = re.compile(
    r"lastSeen|deadlineMs|waitMs|clockMs|memMb|estimateMs|bestEffort"
    r"|expectedRev|storeRevision|allowStale|hasMore|ttlMs"
    r"|coldRemainingMs|admissionCheck|maxAttempts|targetLatencyMs"
    r"|requiredLabels|longRunning|antiAffinity|heartbeatUrl"
    r"|maxHoldMs|graceS\b|portRange|machineClass|TREFOILGW_BOOT"
    r"|/kv-|/run-st|/hold\b|/advise|Instances\.|X-Expect|X-Deadline"
    r"|op/config|\bkv-txn"
)


def strings_of(path: pathlib.Path) -> list[str]:
    """Returns the string constants and identifiers of a module."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            found.append(node.value)
        elif isinstance(node, ast.Name):
            found.append(node.id)
        elif isinstance(node, ast.Attribute):
            found.append(node.attr)
    return found


class PlatformWordsTest(unittest.TestCase):
    def test_wire_names_stay_in_the_adapter(self):
        """A name that leaks ties decisions to one platform's spelling."""
        leaks = []
        for path in sorted(PACKAGE_ROOT.rglob("*.py")):
            place = path.relative_to(PACKAGE_ROOT)
            if place.parts[0] == "platform" or "tests" in place.parts:
                continue
            leaks += [
                f"{place}: {text[:60]!r}"
                for text in strings_of(path)
                if WIRE_NAMES.search(text)
            ]
        self.assertEqual([], leaks)

    def test_check_finds_the_names_in_the_adapter(self):
        """Guards against a check that matches nothing."""
        texts = strings_of(PACKAGE_ROOT / "platform" / "targets.py")
        found = [x for x in texts if WIRE_NAMES.search(x)]
        self.assertIn("lastSeen", found)


if __name__ == "__main__":
    unittest.main()
