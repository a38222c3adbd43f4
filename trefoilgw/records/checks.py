"""Checks of single values of the records.

Each check returns a sentence that says what is expected, or an empty text.
"""

import re
from collections.abc import Callable

NAME_LIMIT_CHARS = 63
TEXT_LIMIT_CHARS = 500

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_SHOWN_CHARS = 60

Check = Callable[[object], str]


def shown(value: object) -> str:
    """Returns a value for a finding, shortened."""
    text = repr(value)
    if len(text) <= _SHOWN_CHARS:
        return text
    return text[:_SHOWN_CHARS] + "..."


def key(value: str) -> str:
    """Returns an object's key for the place of a finding, shortened."""
    safe = value if value.isprintable() else ascii(value)
    return safe[:NAME_LIMIT_CHARS]


def name(value: object) -> str:
    """Checks a name of a record or an agent."""
    if not isinstance(value, str):
        return f"must be a string, not {shown(value)}"
    if len(value) <= NAME_LIMIT_CHARS and _NAME.fullmatch(value):
        return ""
    return (
        "must be 1 to 63 lower case letters, digits, '-', '_' or '.', with a "
        f"letter or digit at both ends, not {shown(value)}"
    )


def digest(value: object) -> str:
    """Checks a SHA-256 in lower case hex; a finding never quotes it."""
    if isinstance(value, str) and _DIGEST.fullmatch(value):
        return ""
    return "must be the SHA-256 of the token as 64 lower case hex digits"


def text(value: object) -> str:
    """Checks a free text of one line."""
    if (
        isinstance(value, str)
        and len(value) <= TEXT_LIMIT_CHARS
        and value.isprintable()
    ):
        return ""
    return f"must be at most 500 printable characters, not {shown(value)}"


def boolean(value: object) -> str:
    """Checks a boolean."""
    return (
        "" if isinstance(value, bool) else f"must be true or false{_not(value)}"
    )


def integer(minimum: int, maximum: int) -> Check:
    """Returns a check of an integer in a range, ends included."""

    def check(value: object) -> str:
        good = type(value) is int and minimum <= value <= maximum
        expected = f"must be an integer from {minimum} to {maximum}"
        return "" if good else expected + _not(value)

    return check


def number(above: float, maximum: float) -> Check:
    """Returns a check of a finite number above one limit, up to another."""

    def check(value: object) -> str:
        good = (
            # NaN and infinities fail the comparison.
            type(value) in (int, float) and above < value <= maximum
        )
        expected = f"must be a number above {above:g} and up to {maximum:g}"
        return "" if good else expected + _not(value)

    return check


def one_of(*choices: object) -> Check:
    """Returns a check of a value out of a few."""

    def check(value: object) -> str:
        known = any(
            type(value) is type(choice) and value == choice
            for choice in choices
        )
        names = ", ".join(repr(choice) for choice in choices)
        return "" if known else f"must be one of {names}{_not(value)}"

    return check


def names(minimum: int) -> Check:
    """Returns a check of a list of distinct names."""

    def check(value: object) -> str:
        if not isinstance(value, list):
            return f"must be a list of names{_not(value)}"
        if len(value) < minimum:
            return f"must have at least {minimum} name"
        seen = set()
        for item in value:
            fault = name(item)
            if fault:
                return f"each name {fault}"
            if item in seen:
                return f"has {item!r} more than once"
            seen.add(item)
        return ""

    return check


def _not(value: object) -> str:
    """Returns the end of a finding that shows the value."""
    return f", not {shown(value)}"
