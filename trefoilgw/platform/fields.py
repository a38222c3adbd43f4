"""Typed access to decoded JSON bodies.

JSON has a single type for numbers and no schema, and some writers send fields
of the wrong type. Every accessor checks the type and raises `FieldError` with
the location of an invalid field.
"""

import json
import sys

import attrs

# Larger integers lose digits in other JSON implementations, and messages
# between processes hold 64 bits.
MAX_INTEGER = 2**53
# Bytes of memory of the decoder, and for each occurrence of a character in
# JSON: for an object and an array with their references, for a key beside its
# text, for half of a short string, and for a number with its reference.
_DECODED_BASE_BYTES = 4096
_DECODED_BYTES = {b"{": 208, b"[": 104, b":": 90, b'"': 44, b",": 44}


class FieldError(Exception):
    """A body has a missing or invalid field; the message says where."""


def estimate_decoded_bytes(data: bytes) -> int:
    """Returns an upper bound of the memory that a decoded JSON body takes.

    The decoded form of a body can be forty times as large as the body: `{}` and
    a comma are three bytes, and an empty object is 72 with its reference.

    Notes:
        It counts the characters that begin or separate values, also those in
        strings. A character of a string takes up to four bytes if another one
        needs them, and escapes can stand for such a character.
    """
    if not data.isascii():
        text_factor = 8
    elif b"\\u" in data:
        text_factor = 5
    else:
        text_factor = 2
    value_bytes = sum(
        data.count(character) * size_bytes
        for character, size_bytes in _DECODED_BYTES.items()
    )
    return _DECODED_BASE_BYTES + text_factor * len(data) + value_bytes


def parse(data: bytes, decoded_limit_bytes: int | None = None) -> dict:
    """Decodes a body that must be a JSON object.

    Args:
        data: The body.
        decoded_limit_bytes: Memory that the decoded form may take, None for
            any.

    Raises:
        FieldError: The body is not JSON, not an object, or has too many values.
    """
    if decoded_limit_bytes is not None:
        size_bytes = estimate_decoded_bytes(data)
        if size_bytes > decoded_limit_bytes:
            raise FieldError(
                f"its values may take {size_bytes} bytes of memory, the limit "
                f"is {decoded_limit_bytes}"
            )
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise FieldError("not a JSON object")
    return body


@attrs.frozen
class Fields:
    """Fields of one JSON object.

    Attributes:
        values: The decoded object.
        location: Prefix for field names in errors, such as ``steps[0].``.
    """

    values: dict
    location: str = ""

    def _get(self, name: str, types: tuple, default):
        """Returns a field after checking its type.

        A field that is null counts as absent. A bool is an int in Python but
        is accepted only if `types` names it.

        Args:
            name: Name of the field.
            types: Types that are accepted.
            default: Value for an absent field, None if it is required.
        """
        value = self.values.get(name)
        if value is None:
            if default is None:
                raise FieldError(f"{self.location}{name} is missing")
            return default
        wrong_bool = isinstance(value, bool) and bool not in types
        if wrong_bool or not isinstance(value, types):
            raise FieldError(f"{self.location}{name} has the wrong type")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a string that can be encoded as UTF-8."""
        value = self._get(name, (str,), default)
        try:
            value.encode()
        except UnicodeEncodeError as error:
            # JSON can escape half of a surrogate pair.
            detail = f"{self.location}{name} is not valid Unicode"
            raise FieldError(detail) from error
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns an integer from 0 to `MAX_INTEGER`."""
        value = self._get(name, (int,), default)
        if value < 0:
            raise FieldError(f"{self.location}{name} is negative")
        if value > MAX_INTEGER:
            raise FieldError(f"{self.location}{name} is out of range")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a finite number that is not negative, as a float."""
        value = self._get(name, (int, float), default)
        if not 0 <= value <= sys.float_info.max:
            raise FieldError(f"{self.location}{name} is out of range")
        return float(value)

    def boolean(self, name: str) -> bool:
        """Returns a boolean, False if it is absent."""
        return self._get(name, (bool,), False)

    def array(self, name: str) -> list:
        """Returns an array, empty if it is absent."""
        return self._get(name, (list,), [])

    def object(self, name: str) -> "Fields":
        """Returns a nested object."""
        return Fields(self._get(name, (dict,), None), f"{self.location}{name}.")

    def objects(self, name: str) -> list["Fields"]:
        """Returns an array of nested objects, empty if it is absent."""
        return [self.item(name, x) for x in range(len(self.array(name)))]

    def item(self, name: str, index: int) -> "Fields":
        """Returns one object of an array."""
        value = self.array(name)[index]
        location = f"{self.location}{name}[{index}]"
        if not isinstance(value, dict):
            raise FieldError(f"{location} is not an object")
        return Fields(value, f"{location}.")
