"""Checks for individual settings values.

A check takes a value as tomllib returns it, and returns the faults found:
none for a valid value, at most one for an invalid value, and for an invalid
list possibly several, each with the position of the element.
"""

import re
import socket
from collections.abc import Callable

import attrs

MAX_NAME_CHARS = 63
MAX_AUTHOR_CHARS = 100
MAX_LIST_VALUES = 256
# 128 bits; a shorter key could be found by exhaustive search.
MIN_STREAM_KEY_DIGITS = 32
MAX_STREAM_KEY_DIGITS = 256

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
_HEX_DIGITS = re.compile(r"[0-9a-fA-F]+")
_WILDCARD = "0.0.0.0"

_TYPE_NAMES = {
    bool: "a boolean",
    int: "an integer",
    float: "a float",
    str: "a string",
    list: "an array",
    dict: "a table",
}


@attrs.frozen
class Fault:
    """Why a value is invalid.

    Attributes:
        text: What is wrong and what is expected, to follow the key's name.
        index: Position of the invalid element in a list, or None if the
            fault concerns the whole value.
    """

    text: str
    index: int | None = None


Check = Callable[[object], tuple[Fault, ...]]


def type_name(value: object) -> str:
    """Returns the name of a value's TOML type, with its article."""
    return _TYPE_NAMES.get(type(value), "a date or time")


def name(value: object) -> tuple[Fault, ...]:
    """Checks a name: lower case letters, digits, ``-``, ``_`` and ``.``."""
    return _check_text(
        value,
        lambda text: (
            len(text) <= MAX_NAME_CHARS and bool(_NAME.fullmatch(text))
        ),
        "must be 1 to 63 lower case letters, digits, '-', '_' or '.', with a "
        "letter or digit at both ends",
    )


def author(value: object) -> tuple[Fault, ...]:
    """Checks the name of an operator as it appears in the audit trail."""
    return _check_text(
        value,
        lambda text: (
            len(text.strip()) > 0
            and len(text) <= MAX_AUTHOR_CHARS
            and text.isprintable()
        ),
        "must be 1 to 100 printable characters",
    )


def stream_key(value: object) -> tuple[Fault, ...]:
    """Checks the shared key of the streams.

    A fault never quotes the key, because it is a secret.
    """
    if not isinstance(value, str):
        return (Fault(f"must be a string, not {type_name(value)}"),)
    if not _HEX_DIGITS.fullmatch(value) or len(value) % 2:
        return (Fault("must be an even number of hex digits"),)
    if not MIN_STREAM_KEY_DIGITS <= len(value) <= MAX_STREAM_KEY_DIGITS:
        return (Fault(f"must be 32 to 256 hex digits, not {len(value)}"),)
    return ()


def listen_address(value: object) -> tuple[Fault, ...]:
    """Checks an ``ip:port`` to listen on; port 0 selects a free port."""
    return _check_address(value, min_port=0)


def announced_address(value: object) -> tuple[Fault, ...]:
    """Checks an ``ip:port`` to listen on that other processes connect to.

    The wildcard address is invalid, because no process could connect to it.
    """
    faults = _check_address(value, min_port=0)
    if not faults and value.startswith(_WILDCARD + ":"):
        return (
            Fault(
                "is announced to other processes, so it must be this host's "
                "own IP number, not 0.0.0.0"
            ),
        )
    return faults


def dial_address(value: object) -> tuple[Fault, ...]:
    """Checks the ``ip:port`` of another process."""
    return _check_address(value, min_port=1)


def optional(check: Check) -> Check:
    """Returns a check that accepts an empty string or what `check` accepts."""
    return lambda value: () if value == "" else check(value)


def integer(minimum: int, maximum: int) -> Check:
    """Returns a check for an integer from `minimum` to `maximum`."""

    def check(value: object) -> tuple[Fault, ...]:
        if isinstance(value, bool) or not isinstance(value, int):
            return (Fault(f"must be an integer, not {type_name(value)}"),)
        if not minimum <= value <= maximum:
            text = f"must be {minimum} to {maximum}, not {value}"
            return (Fault(text),)
        return ()

    return check


def list_of(check: Check, minimum: int = 0) -> Check:
    """Returns a check for a list of distinct values.

    Args:
        check: Check for each element.
        minimum: Minimum number of elements; the maximum is MAX_LIST_VALUES.
    """

    def check_list(value: object) -> tuple[Fault, ...]:
        if not isinstance(value, list):
            return (Fault(f"must be an array, not {type_name(value)}"),)
        if not minimum <= len(value) <= MAX_LIST_VALUES:
            text = f"must have {minimum} to {MAX_LIST_VALUES} values"
            return (Fault(f"{text}, not {len(value)}"),)
        faults = []
        for index, item in enumerate(value):
            item_faults = check(item)
            faults += [Fault(fault.text, index) for fault in item_faults]
            if not item_faults and item in value[:index]:
                faults.append(Fault(f"{item!r} is listed twice", index))
        return tuple(faults)

    return check_list


def _check_text(
    value: object, accepts: Callable[[str], bool], expected: str
) -> tuple[Fault, ...]:
    """Checks that a value is a string that a predicate accepts.

    Args:
        value: Value to check.
        accepts: Predicate for the string.
        expected: Start of the fault's text, which says what is valid.
    """
    if not isinstance(value, str):
        return (Fault(f"must be a string, not {type_name(value)}"),)
    return () if accepts(value) else (Fault(f"{expected}, not {value!r}"),)


def _check_address(value: object, min_port: int) -> tuple[Fault, ...]:
    """Checks an ``ip:port`` with a port from `min_port` to 65535."""
    if not isinstance(value, str):
        return (Fault(f"must be a string, not {type_name(value)}"),)
    host, _, port = value.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        text = f"must be an IPv4 address and a port (ip:port), not {value!r}"
        return (Fault(text),)
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return (Fault(f"must end in a port number, not {port!r}"),)
    if not min_port <= int(port) <= 65535:
        return (Fault(f"port must be {min_port} to 65535, not {port}"),)
    return ()
