"""Checks the import direction between the layers."""

import ast
import pathlib
import unittest

PACKAGE_ROOT = pathlib.Path(__file__).resolve().parent.parent
DECISIONS = frozenset(
    {
        "admission",
        "findings",
        "jobs",
        "keys",
        "ledger",
        "membership",
        "messages",
        "outcomes",
        "placement",
        "records",
        "retries",
        "rollout",
        "room",
        "scheduling",
        "slots",
        "work",
    }
)
PARTS = frozenset(
    {
        "callers",
        "logs",
        "metrics",
        "keyvalue",
        "platform",
        "registry",
        "streams",
        "targets",
        "timers",
    }
)
PROGRAMS = frozenset(
    {
        "agent",
        "cli",
        "entry",
        "load",
        "processes",
        "runner",
        "scheduler",
        "settings",
    }
)
RANKS = (
    {name: 0 for name in DECISIONS}
    | {name: 1 for name in PARTS}
    | {name: 2 for name in PROGRAMS}
)
# Modules that read clocks, sockets or chance, barred from decisions.
IMPURE = frozenset(
    {"eventlet", "greenlet", "os", "socket", "threading", "time", "urllib3"}
)


def imports_of(path: pathlib.Path) -> list[str]:
    """Returns the dotted names that a module imports."""
    names = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names += [f"{node.module}.{alias.name}" for alias in node.names]
    return names


def violations(package: str, names: list[str]) -> list[str]:
    """Returns the imports that a package may not have."""
    rank = RANKS[package]
    bad = []
    for name in names:
        parts = name.split(".")
        if parts[0] == "trefoilgw" and len(parts) > 1:
            if RANKS.get(parts[1], 0) > rank:
                bad.append(name)
        elif rank == 0 and parts[0] in IMPURE:
            bad.append(name)
    return bad


class LayersTest(unittest.TestCase):
    def test_every_package_has_a_layer(self):
        """A package outside the three layers would escape the check."""
        packages = {
            path.parent.name for path in PACKAGE_ROOT.glob("*/__init__.py")
        }
        self.assertEqual(set(), packages - set(RANKS) - {"tests"})

    def test_imports_point_downwards(self):
        """An upward import ties decision code to sockets or clocks."""
        bad = []
        for path in sorted(PACKAGE_ROOT.glob("*/*.py")):
            package = path.parent.name
            if package in RANKS:
                found = violations(package, imports_of(path))
                bad += [f"{package}/{path.name}: {name}" for name in found]
        self.assertEqual([], bad)

    def test_check_reports_violations(self):
        """Guards against a check that accepts everything."""
        self.assertEqual(
            ["trefoilgw.streams.core"],
            violations("jobs", ["trefoilgw.streams.core"]),
        )
        self.assertEqual(["time"], violations("ledger", ["time"]))
        self.assertEqual([], violations("entry", ["time"]))


if __name__ == "__main__":
    unittest.main()
