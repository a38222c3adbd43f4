"""Encodes and decodes messages as length-prefixed msgpack frames.

A frame is a 4-byte big-endian length followed by one msgpack array, which
holds the message's code and its fields in order. Nested values are arrays as
well. The codec does not interpret the messages.
"""

import functools
import itertools
import math
import operator
import struct
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

import attrs
import msgpack

from trefoilgw.messages import core

# Fits a batch with all 310 tasks of a job whose body is at the 4 MB limit.
MAX_FRAME_BYTES = 8 * 1024 * 1024

_LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """A frame is malformed or larger than the limit."""


@attrs.frozen
class _Field:
    """Wire form of one field of a message class.

    Attributes:
        name: Attribute name.
        item_class: Class of the items if the field is a tuple of values.
        value_class: Class of the value if the field is a nested value.
        types: Types that a plain field may have once decoded; msgpack may
            turn a whole float into an int, and turns tuples into lists.
    """

    name: str
    item_class: type | None
    value_class: type | None
    types: tuple[type, ...]


def _plain_types(annotation) -> tuple[type, ...]:
    """Returns the wire types of a field that holds no nested value."""
    if annotation is float:
        return (float, int)
    if annotation in (int, str, bytes, bool):
        return (annotation,)
    return (list,)


@functools.cache
def _fields(cls: type) -> tuple[_Field, ...]:
    """Returns the wire fields of a message or value class."""
    return tuple(
        _Field(
            field.name,
            field.metadata.get("item"),
            field.metadata.get("value"),
            _plain_types(field.type),
        )
        for field in attrs.fields(cls)
    )


@functools.cache
def _required_count(cls: type) -> int:
    """Returns the number of fields without a default."""
    return sum(field.default is attrs.NOTHING for field in attrs.fields(cls))


@functools.cache
def _field_getter(cls: type) -> Callable | None:
    """Returns a getter of all fields, or None if the class nests values.

    Classes without nested values, of which there is one per task, make up most
    of what an entry encodes, so they take this faster path. A class with a
    single field also gets None, as `attrgetter` would not return a tuple.
    """
    fields = _fields(cls)
    if len(fields) < 2 or any(f.item_class or f.value_class for f in fields):
        return None
    return operator.attrgetter(*(field.name for field in fields))


def _flatten(value) -> Sequence:
    """Returns the fields of an attrs value as a sequence for msgpack."""
    getter = _field_getter(type(value))
    if getter is not None:
        return getter(value)
    flat = []
    for field in _fields(type(value)):
        content = getattr(value, field.name)
        if field.item_class is not None:
            content = [_flatten(item) for item in content]
        elif field.value_class is not None:
            content = _flatten(content)
        flat.append(content)
    return flat


@functools.cache
def _plain_signatures(cls: type) -> frozenset[tuple[type, ...]]:
    """Returns the type combinations that need no conversion when decoded.

    The set is empty if any field holds a list or a nested value.
    """
    fields = _fields(cls)
    if any(f.item_class or f.value_class or list in f.types for f in fields):
        return frozenset()
    return frozenset(itertools.product(*(field.types for field in fields)))


@functools.cache
def _float_indexes(cls: type) -> tuple[int, ...]:
    """Returns the positions of the fields that hold a float."""
    return tuple(
        index
        for index, field in enumerate(_fields(cls))
        if float in field.types
    )


def _check_finite(cls: type, flat: list) -> None:
    """Checks the floats of a value; comparisons with NaN are always false.

    Raises:
        FrameError: A float is infinite or not a number.
    """
    for index in _float_indexes(cls):
        if index < len(flat) and not math.isfinite(flat[index]):
            name = _fields(cls)[index].name
            raise FrameError(f"field {name} is not a finite number")


def _read_field(field: _Field, content):
    """Returns the value of one field from its wire form.

    Raises:
        FrameError: The field or a nested value has the wrong type.
    """
    if field.value_class is not None:
        return _decode_value(field.value_class, content)
    if not isinstance(content, field.types):
        raise FrameError(f"field {field.name} has the wrong type")
    if field.item_class is not None:
        return tuple(_decode_value(field.item_class, item) for item in content)
    return tuple(content) if isinstance(content, list) else content


def _decode_value(cls: type, flat: list):
    """Returns an attrs value from the array of its fields.

    Surplus fields are ignored, as a newer sender may have appended them.

    Raises:
        FrameError: Fields are missing or have the wrong type.
    """
    if not isinstance(flat, list) or len(flat) < _required_count(cls):
        raise FrameError(f"{cls.__name__} has too few fields")
    if tuple(map(type, flat)) in _plain_signatures(cls):
        _check_finite(cls, flat)
        return cls(*flat)
    pairs = zip(_fields(cls), flat, strict=False)
    values = [_read_field(field, content) for field, content in pairs]
    _check_finite(cls, values)
    return cls(*values)


def encode(message) -> bytes:
    """Returns the frame of a message.

    Raises:
        FrameError: The frame would exceed `MAX_FRAME_BYTES`.
    """
    body = msgpack.packb([message.code, *_flatten(message)])
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(body)} bytes exceeds the limit")
    return _LENGTH.pack(len(body)) + body


def _decode(body: bytes):
    """Returns the message in a frame's body.

    Raises:
        FrameError: The body is not a valid message.
    """
    try:
        flat = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"not msgpack: {error}") from error
    if not isinstance(flat, list) or not flat:
        raise FrameError("frame is not a non-empty array")
    code = flat[0]
    cls = core.CLASSES.get(code) if isinstance(code, int) else None
    if cls is None:
        raise FrameError(f"unknown message code {code!r}")
    return _decode_value(cls, flat[1:])


@attrs.define
class Decoder:
    """Splits a byte stream into messages.

    Attributes:
        buffer: Bytes of the incomplete frame at the end of the stream.
    """

    buffer: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> Iterator:
        """Appends `data` and yields the messages that are now complete.

        Raises:
            FrameError: A frame is invalid; the stream can't be decoded any
                further.
        """
        self.buffer += data
        while len(self.buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes exceeds the limit")
            end = _LENGTH.size + length
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[_LENGTH.size : end])
            del self.buffer[:end]
            yield _decode(body)
