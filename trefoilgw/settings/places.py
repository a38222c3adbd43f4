"""Finds the line of each key and array element in a TOML text.

tomllib reports no positions for valid text, but a finding about a wrong value
must name its line. The scan relies on tomllib having accepted the text; it
does not check the syntax itself.
"""

import re

_HEADER = re.compile(r"\s*\[+\s*([^\]]+?)\s*\]+")
_KEY = re.compile(r"\s*((?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')(?:\s*\.)?\s*)+=")
_QUOTES = ('"""', "'''", '"', "'")
_OPEN = "[{"
_CLOSE = "]}"


class _ValueScan:
    """Follows one value over its lines until it ends.

    Attributes:
        elements: Line of each element of a top-level array.
    """

    def __init__(self):
        self.elements: list[int] = []
        self._depth = 0
        self._quote = ""
        self._awaits_element = False

    def feed(self, text: str, line: int) -> bool:
        """Takes one line; returns True if the value goes on."""
        position = 0
        while position < len(text):
            if self._quote:
                position = self._in_string(text, position)
            elif text[position] == "#":
                break
            else:
                position = self._outside(text, position, line)
        if len(self._quote) == 1:
            self._quote = ""
        return bool(self._depth or self._quote)

    def _in_string(self, text: str, position: int) -> int:
        """Returns the position after one character or the closing quote."""
        if text[position] == "\\" and '"' in self._quote:
            return position + 2
        if text.startswith(self._quote, position):
            width = len(self._quote)
            self._quote = ""
            return position + width
        return position + 1

    def _outside(self, text: str, position: int, line: int) -> int:
        """Returns the position after one token outside strings."""
        char = text[position]
        if char.isspace():
            return position + 1
        if self._awaits_element and char not in "],":
            self.elements.append(line)
            self._awaits_element = False
        if char in _OPEN:
            self._depth += 1
            self._awaits_element = self._depth == 1 and char == "["
        elif char in _CLOSE:
            self._depth -= 1
        elif char == "," and self._depth == 1:
            self._awaits_element = True
        for quote in _QUOTES:
            if text.startswith(quote, position):
                self._quote = quote
                return position + len(quote)
        return position + 1


def lines_of(text: str) -> dict[tuple[str, ...], int]:
    """Returns the line of each key, table and array element.

    Args:
        text: TOML that tomllib accepts.

    Returns:
        Lines, from 1, by path. The path of an array element ends in its index
        as text, such as ``("peers", "0")``.
    """
    lines: dict[tuple[str, ...], int] = {}
    table: tuple[str, ...] = ()
    key: tuple[str, ...] = ()
    scan = None
    for number, line in enumerate(text.splitlines(), start=1):
        rest = line
        if scan is None:
            header = _HEADER.match(line)
            match = _KEY.match(line)
            if match:
                key = table + _path(match.group(0).rstrip().rstrip("="))
                _note(lines, key, number)
                scan = _ValueScan()
                rest = line[match.end() :]
            elif header:
                table = _path(header.group(1))
                _note(lines, table, number)
        if scan is not None and not scan.feed(rest, number):
            for index, element in enumerate(scan.elements):
                lines[(*key, str(index))] = element
            scan = None
    return lines


def _note(lines: dict, path: tuple[str, ...], number: int) -> None:
    """Notes the line of a path and of the tables that it opens."""
    for length in range(1, len(path) + 1):
        lines.setdefault(path[:length], number)


def _path(text: str) -> tuple[str, ...]:
    """Returns the parts of a dotted key without quotes."""
    return tuple(part.strip().strip("\"'") for part in text.split("."))
