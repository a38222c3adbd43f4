"""Checks the direction of imports between the layers of packages."""

import ast
import pathlib
import unittest

PACKAGE_ROOT = pathlib.Path(__file__).resolve().parent.parent
DECISION_PACKAGES = frozenset(
    {
        "admission",
        "configcheck",
        "evacuation",
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
        "subsets",
        "work",
    }
)
SERVICE_PACKAGES = frozenset(
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
PROGRAM_PACKAGES = frozenset(
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
LAYERS = (
    {name: 0 for name in DECISION_PACKAGES}
    | {name: 1 for name in SERVICE_PACKAGES}
    | {name: 2 for name in PROGRAM_PACKAGES}
)
# Modules that give access to clocks, sockets or the system's random numbers.
# Packages of the lowest layer must not import them.
IMPURE_MODULES = frozenset(
    {"eventlet", "greenlet", "os", "socket", "threading", "time", "urllib3"}
)


def imports_of(path: pathlib.Path) -> list[str]:
    """Returns the dotted names that a source file imports."""
    names = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names += [f"{node.module}.{alias.name}" for alias in node.names]
    return names


def violations(package: str, names: list[str]) -> list[str]:
    """Returns those of the imports that a package's layer forbids."""
    layer = LAYERS[package]
    forbidden = []
    for name in names:
        parts = name.split(".")
        if parts[0] == "trefoilgw" and len(parts) > 1:
            if LAYERS.get(parts[1], 0) > layer:
                forbidden.append(name)
        elif layer == 0 and parts[0] in IMPURE_MODULES:
            forbidden.append(name)
    return forbidden


class LayersTest(unittest.TestCase):
    def test_every_package_has_a_layer(self):
        """A package outside the three layers would escape the check."""
        packages = {
            path.parent.name for path in PACKAGE_ROOT.glob("*/__init__.py")
        }
        self.assertEqual(set(), packages - set(LAYERS) - {"tests"})

    def test_imports_point_downwards(self):
        """An import from a higher layer gives decisions sockets or clocks."""
        forbidden = []
        for path in sorted(PACKAGE_ROOT.glob("*/*.py")):
            package = path.parent.name
            if package in LAYERS:
                found = violations(package, imports_of(path))
                forbidden += [
                    f"{package}/{path.name}: {name}" for name in found
                ]
        self.assertEqual([], forbidden)

    def test_check_reports_violations(self):
        """The check must report a forbidden import and no other."""
        self.assertEqual(
            ["trefoilgw.streams.core"],
            violations("jobs", ["trefoilgw.streams.core"]),
        )
        self.assertEqual(["time"], violations("ledger", ["time"]))
        self.assertEqual([], violations("entry", ["time"]))


if __name__ == "__main__":
    unittest.main()
