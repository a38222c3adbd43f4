"""Checks that `docs/logs.md` lists the events that the programs write."""

import ast
import pathlib
import re
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parents[1]
PAGE = PACKAGE.parent / "docs" / "logs.md"
# Packages of the scheduler and the runner.
PACKAGES = (
    "callers",
    "evacuation",
    "logs",
    "platform",
    "processes",
    "room",
    "runner",
    "scheduler",
    "scheduling",
    "streams",
    "timers",
)
METHODS = {"debug", "info", "warning", "error", "exception", "critical", "log"}


def written_events():
    """Returns the fields of each event in the log calls of the packages."""
    found = {}
    for package in PACKAGES:
        for path in (PACKAGE / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if _is_log_call(node):
                    for event in _event_names(node):
                        found.setdefault(event, set()).update(_fields(node))
    return found


def _is_log_call(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in METHODS
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "log"
    )


def _event_names(node):
    """Returns the events of a call.

    A conditional expression gives two, a variable none.
    """
    text = node.args[1 if node.func.attr == "log" else 0]
    parts = [text.body, text.orelse] if isinstance(text, ast.IfExp) else [text]
    return [x.value for x in parts if isinstance(x, ast.Constant)]


def _fields(node):
    """Returns the keys of the `extra` dictionary of a log call."""
    for keyword in node.keywords:
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
            return {x.value for x in keyword.value.keys if x is not None}
    return set()


def documented_events():
    """Returns the fields of each event in the tables of the page."""
    found = {}
    for line in PAGE.read_text().splitlines():
        cells = [x.strip() for x in line.strip("|").split("|")]
        if line.startswith("| `") and len(cells) == 3:
            for event in re.findall(r"`([^`]+)`", cells[0]):
                found[event] = set(re.findall(r"`([^`]+)`", cells[1]))
    return found


class LogEventsTest(unittest.TestCase):
    def test_every_event_and_its_fields_are_documented(self):
        """Operators search logs by events and fields that the page lists."""
        written, documented = written_events(), documented_events()
        for event, fields in written.items():
            with self.subTest(event=event):
                self.assertIn(event, documented)
                self.assertEqual(set(), fields - documented[event])

    def test_documented_events_are_written(self):
        """An event that is documented but never written misleads operators."""
        written = set(written_events())
        # These are chosen by a variable or written without a logger.
        written |= {"store lost", "store back", "lines left out"}
        self.assertEqual(set(), set(documented_events()) - written)
