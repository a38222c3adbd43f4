"""Checks for individual field values of records.

A check returns an empty string for a valid value, and otherwise an error
message that continues the name of the field, such as ``must be a string``.
"""

import re
from collections.abc import Callable

MAX_NAME_CHARS = 63
MAX_TEXT_CHARS = 500

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_MAX_REPR_CHARS = 60

Check = Callable[[object], str]


def shorten_repr(value: object) -> str:
    """Returns the `repr` of a value, truncated for use in a finding."""
    text = repr(value)
    if len(text) <= _MAX_REPR_CHARS:
        return text
    return text[:_MAX_REPR_CHARS] + "..."


def shorten_key(value: str) -> str:
    """Returns a JSON key, escaped and truncated for a finding's place."""
    safe = value if value.isprintable() else ascii(value)
    return safe[:MAX_NAME_CHARS]


def name(value: object) -> str:
    """Checks the name of a record or an agent."""
    if not isinstance(value, str):
        return f"must be a string, not {shorten_repr(value)}"
    if len(value) <= MAX_NAME_CHARS and _NAME.fullmatch(value):
        return ""
    return (
        "must be 1 to 63 lower case letters, digits, '-', '_' or '.', with a "
        f"letter or digit at both ends, not {shorten_repr(value)}"
    )


def digest(value: object) -> str:
    """Checks a SHA-256 digest in lower case hex.

    The error message never quotes the value.
    """
    if isinstance(value, str) and _SHA256_HEX.fullmatch(value):
        return ""
    return "must be the SHA-256 of the token as 64 lower case hex digits"


def text(value: object) -> str:
    """Checks a single line of free text."""
    if (
        isinstance(value, str)
        and len(value) <= MAX_TEXT_CHARS
        and value.isprintable()
    ):
        return ""
    return (
        f"must be at most 500 printable characters, not {shorten_repr(value)}"
    )


def boolean(value: object) -> str:
    """Checks a boolean."""
    return (
        ""
        if isinstance(value, bool)
        else f"must be true or false{_actual_value(value)}"
    )


def integer(minimum: int, maximum: int) -> Check:
    """Returns a check for an integer from `minimum` to `maximum`."""

    def check(value: object) -> str:
        valid = type(value) is int and minimum <= value <= maximum
        expected = f"must be an integer from {minimum} to {maximum}"
        return "" if valid else expected + _actual_value(value)

    return check


def number(above: float, maximum: float) -> Check:
    """Returns a check for a number above `above` and at most `maximum`."""

    def check(value: object) -> str:
        valid = (
            # NaN and infinities fail the comparisons.
            type(value) in (int, float) and above < value <= maximum
        )
        expected = f"must be a number above {above:g} and up to {maximum:g}"
        return "" if valid else expected + _actual_value(value)

    return check


def one_of(*choices: object) -> Check:
    """Returns a check for a value equal to one of `choices`, also in type."""

    def check(value: object) -> str:
        valid = any(
            type(value) is type(choice) and value == choice
            for choice in choices
        )
        names = ", ".join(repr(choice) for choice in choices)
        return "" if valid else f"must be one of {names}{_actual_value(value)}"

    return check


def names(minimum: int) -> Check:
    """Returns a check for a list of at least `minimum` distinct names."""

    def check(value: object) -> str:
        if not isinstance(value, list):
            return f"must be a list of names{_actual_value(value)}"
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


def _actual_value(value: object) -> str:
    """Returns the end of an error message that shows the value."""
    return f", not {shorten_repr(value)}"
