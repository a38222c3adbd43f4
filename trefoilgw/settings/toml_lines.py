"""Finds the line number of each key and array element in a TOML text.

tomllib reports no positions for valid text, but a finding about an invalid
value must name its line. The scanner does not check the syntax: it only works
on text that tomllib has accepted.
"""

import re

_TABLE_HEADER = re.compile(r"\s*\[+\s*([^\]]+?)\s*\]+")
_KEY_AND_EQUALS = re.compile(
    r"\s*((?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')(?:\s*\.)?\s*)+="
)
_QUOTES = ('"""', "'''", '"', "'")
_OPENING_BRACKETS = "[{"
_CLOSING_BRACKETS = "]}"


class _ValueScanner:
    """Scans one value line by line until it ends.

    Attributes:
        elements: If the value is an array, line of each of its elements.
    """

    def __init__(self):
        self.elements: list[int] = []
        self._depth = 0
        self._quote = ""
        self._expects_element = False

    def feed(self, text: str, line: int) -> bool:
        """Scans one line; returns whether the value continues on the next.

        Args:
            text: The line, on the first line only the part after ``=``.
            line: Line number.
        """
        position = 0
        while position < len(text):
            if self._quote:
                position = self._scan_string(text, position)
            elif text[position] == "#":
                break
            else:
                position = self._scan_unquoted(text, position, line)
        if len(self._quote) == 1:
            self._quote = ""
        return bool(self._depth or self._quote)

    def _scan_string(self, text: str, position: int) -> int:
        """Scans one character, escape sequence or closing quote of a string.

        Returns:
            The position after it.
        """
        if text[position] == "\\" and '"' in self._quote:
            return position + 2
        if text.startswith(self._quote, position):
            width = len(self._quote)
            self._quote = ""
            return position + width
        return position + 1

    def _scan_unquoted(self, text: str, position: int, line: int) -> int:
        """Scans one character or opening quote outside strings.

        Returns:
            The position after it.
        """
        char = text[position]
        if char.isspace():
            return position + 1
        if self._expects_element and char not in "],":
            self.elements.append(line)
            self._expects_element = False
        if char in _OPENING_BRACKETS:
            self._depth += 1
            self._expects_element = self._depth == 1 and char == "["
        elif char in _CLOSING_BRACKETS:
            self._depth -= 1
        elif char == "," and self._depth == 1:
            self._expects_element = True
        for quote in _QUOTES:
            if text.startswith(quote, position):
                self._quote = quote
                return position + len(quote)
        return position + 1


def find_lines(text: str) -> dict[tuple[str, ...], int]:
    """Returns the line number of each key, table and array element.

    Args:
        text: TOML text that tomllib accepts.

    Returns:
        Line numbers, starting at 1, by path. The path of an array element
        ends in its index as a string, such as ``("peers", "0")``.
    """
    lines: dict[tuple[str, ...], int] = {}
    table: tuple[str, ...] = ()
    key: tuple[str, ...] = ()
    scanner = None
    for number, line in enumerate(text.splitlines(), start=1):
        unscanned = line
        if scanner is None:
            header = _TABLE_HEADER.match(line)
            match = _KEY_AND_EQUALS.match(line)
            if match:
                key = table + _split_key(match.group(0).rstrip().rstrip("="))
                _record_line(lines, key, number)
                scanner = _ValueScanner()
                unscanned = line[match.end() :]
            elif header:
                table = _split_key(header.group(1))
                _record_line(lines, table, number)
        if scanner is not None and not scanner.feed(unscanned, number):
            for index, element in enumerate(scanner.elements):
                lines[(*key, str(index))] = element
            scanner = None
    return lines


def _record_line(lines: dict, path: tuple[str, ...], number: int) -> None:
    """Records the line of a path and of the tables that it implies.

    A path that already has a line keeps it.
    """
    for length in range(1, len(path) + 1):
        lines.setdefault(path[:length], number)


def _split_key(text: str) -> tuple[str, ...]:
    """Returns the parts of a dotted key, without quotes."""
    return tuple(part.strip().strip("\"'") for part in text.split("."))
