"""Checks of single settings values.

Each check takes a value as tomllib gives it and returns what is wrong with
it, or an empty text. Checks of a list return one text per faulty element.
"""

import re
import socket
from collections.abc import Callable

import attrs

NAME_LIMIT_CHARS = 63
AUTHOR_LIMIT_CHARS = 100
LIST_LIMIT = 256
# 128 bits: a shorter key could be searched.
STREAM_KEY_MIN_DIGITS = 32
STREAM_KEY_MAX_DIGITS = 256

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
_HEX = re.compile(r"[0-9a-fA-F]+")
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
    """One fault of a value.

    Attributes:
        text: What is wrong and what is expected.
        index: Position in a list, or None if the whole value is wrong.
    """

    text: str
    index: int | None = None


Check = Callable[[object], tuple[Fault, ...]]


def type_name(value: object) -> str:
    """Returns the TOML name of a value's type."""
    return _TYPE_NAMES.get(type(value), "a date or time")


def name(value: object) -> tuple[Fault, ...]:
    """Checks a name: lower case letters, digits, ``-``, ``_`` and ``.``."""
    return _text_fault(
        value,
        lambda text: (
            len(text) <= NAME_LIMIT_CHARS and bool(_NAME.fullmatch(text))
        ),
        "must be 1 to 63 lower case letters, digits, '-', '_' or '.', with a "
        "letter or digit at both ends",
    )


def author(value: object) -> tuple[Fault, ...]:
    """Checks the name of an operator as it appears in the audit trail."""
    return _text_fault(
        value,
        lambda text: (
            len(text.strip()) > 0
            and len(text) <= AUTHOR_LIMIT_CHARS
            and text.isprintable()
        ),
        "must be 1 to 100 printable characters",
    )


def stream_key(value: object) -> tuple[Fault, ...]:
    """Checks the shared key of the streams; faults never quote the key."""
    if not isinstance(value, str):
        return (Fault(f"must be a string, not {type_name(value)}"),)
    if not _HEX.fullmatch(value) or len(value) % 2:
        return (Fault("must be an even number of hex digits"),)
    if not STREAM_KEY_MIN_DIGITS <= len(value) <= STREAM_KEY_MAX_DIGITS:
        return (Fault(f"must be 32 to 256 hex digits, not {len(value)}"),)
    return ()


def listen_address(value: object) -> tuple[Fault, ...]:
    """Checks an ``ip:port`` to listen on; port 0 takes a free one."""
    return _address_fault(value, min_port=0)


def announced_address(value: object) -> tuple[Fault, ...]:
    """Checks an ``ip:port`` to listen on that other processes dial."""
    faults = _address_fault(value, min_port=0)
    if not faults and value.startswith(_WILDCARD + ":"):
        return (
            Fault(
                "is announced to other processes, so it must be this host's "
                "own IP number, not 0.0.0.0"
            ),
        )
    return faults


def dial_address(value: object) -> tuple[Fault, ...]:
    """Checks an ``ip:port`` of another process."""
    return _address_fault(value, min_port=1)


def optional(check: Check) -> Check:
    """Returns a check that also accepts an empty string."""
    return lambda value: () if value == "" else check(value)


def integer(minimum: int, maximum: int) -> Check:
    """Returns a check of an integer in a range, ends included."""

    def check(value: object) -> tuple[Fault, ...]:
        if isinstance(value, bool) or not isinstance(value, int):
            return (Fault(f"must be an integer, not {type_name(value)}"),)
        if not minimum <= value <= maximum:
            text = f"must be {minimum} to {maximum}, not {value}"
            return (Fault(text),)
        return ()

    return check


def list_of(check: Check, minimum: int = 0) -> Check:
    """Returns a check of a list of distinct values."""

    def check_list(value: object) -> tuple[Fault, ...]:
        if not isinstance(value, list):
            return (Fault(f"must be an array, not {type_name(value)}"),)
        if not minimum <= len(value) <= LIST_LIMIT:
            text = f"must have {minimum} to {LIST_LIMIT} values"
            return (Fault(f"{text}, not {len(value)}"),)
        faults = []
        for index, item in enumerate(value):
            found = check(item)
            faults += [Fault(fault.text, index) for fault in found]
            if not found and item in value[:index]:
                faults.append(Fault(f"{item!r} stands there twice", index))
        return tuple(faults)

    return check_list


def _text_fault(
    value: object, accepts: Callable[[str], bool], expected: str
) -> tuple[Fault, ...]:
    """Returns the fault of a text that isn't as expected."""
    if not isinstance(value, str):
        return (Fault(f"must be a string, not {type_name(value)}"),)
    return () if accepts(value) else (Fault(f"{expected}, not {value!r}"),)


def _address_fault(value: object, min_port: int) -> tuple[Fault, ...]:
    """Returns the fault of an address."""
    if not isinstance(value, str):
        return (Fault(f"must be a string, not {type_name(value)}"),)
    host, _, port = value.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        text = f"must be an IPv4 number and a port (ip:port), not {value!r}"
        return (Fault(text),)
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return (Fault(f"must end in a port number, not {port!r}"),)
    if not min_port <= int(port) <= 65535:
        return (Fault(f"port must be {min_port} to 65535, not {port}"),)
    return ()
