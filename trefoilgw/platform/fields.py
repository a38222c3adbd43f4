"""Typed access to decoded JSON bodies.

JSON has one type for numbers and none that is checked, and some writers send
fields of another type. Each function raises `FieldError` with the place.
"""

import json

import attrs


class FieldError(Exception):
    """A body does not hold what it should; the text says where."""


def parse(data: bytes) -> dict:
    """Returns the object of a JSON body."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise FieldError("not a JSON object")
    return body


@attrs.frozen
class Fields:
    """The fields of one object.

    Attributes:
        values: The decoded object.
        place: Where it stands, for errors.
    """

    values: dict
    place: str = ""

    def _get(self, name: str, kinds: tuple, default):
        """Returns a field of some types, or the default if it is absent."""
        value = self.values.get(name)
        if value is None:
            if default is None:
                raise FieldError(f"{self.place}{name} is missing")
            return default
        wrong_bool = isinstance(value, bool) and bool not in kinds
        if wrong_bool or not isinstance(value, kinds):
            raise FieldError(f"{self.place}{name} has the wrong type")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a string."""
        return self._get(name, (str,), default)

    def whole(self, name: str, default: int | None = None) -> int:
        """Returns a whole number that is not negative."""
        value = self._get(name, (int,), default)
        if value < 0:
            raise FieldError(f"{self.place}{name} is negative")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a number that is not negative."""
        value = self._get(name, (int, float), default)
        if not 0 <= value < float("inf"):
            raise FieldError(f"{self.place}{name} is out of range")
        return float(value)

    def flag(self, name: str) -> bool:
        """Returns a truth value, False if it is absent."""
        return self._get(name, (bool,), False)

    def rows(self, name: str) -> list:
        """Returns a list, empty if it is absent."""
        return self._get(name, (list,), [])

    def object(self, name: str) -> "Fields":
        """Returns a nested object."""
        return Fields(self._get(name, (dict,), None), f"{self.place}{name}.")

    def objects(self, name: str) -> list["Fields"]:
        """Returns a list of nested objects."""
        found = []
        for index, value in enumerate(self.rows(name)):
            place = f"{self.place}{name}[{index}]"
            if not isinstance(value, dict):
                raise FieldError(f"{place} is not an object")
            found.append(Fields(value, f"{place}."))
        return found
