"""What differs between two versions of a configuration.

Works on decoded JSON values and knows no field but the one that names the
records of a list, so that fields which the product ignores are shown as well.
"""

from collections.abc import Iterable

import attrs

# Field by which the records of a list are matched.
NAME_FIELD = "name"


@attrs.frozen
class Absent:
    """Stands for a value that one of the versions does not have."""


ABSENT = Absent()


@attrs.frozen
class Difference:
    """A value that differs.

    Attributes:
        path: Where it stands, such as ``services[proofer].slots``.
        old: Value in force, `ABSENT` if it is added.
        new: Value in the new version, `ABSENT` if it is removed.
    """

    path: str
    old: object
    new: object


def compare(old: object, new: object) -> tuple[Difference, ...]:
    """Returns the differences, in the order of the new version.

    Records of a list are matched by their names; other lists are compared as a
    whole.

    Example:
        >>> compare({"a": [{"name": "x", "n": 1}]},
        ...         {"a": [{"name": "x", "n": 2}]})
        (Difference(path='a[x].n', old=1, new=2),)
    """
    return tuple(_compare(old, new, ""))


def _compare(old: object, new: object, path: str) -> Iterable[Difference]:
    """Yields the differences of two values at a path."""
    if isinstance(old, dict) and isinstance(new, dict):
        prefix = f"{path}." if path else ""
        for key in _merged_keys(old, new):
            yield from _compare(
                old.get(key, ABSENT), new.get(key, ABSENT), f"{prefix}{key}"
            )
    elif _is_named(old) and _is_named(new):
        old_records = {x[NAME_FIELD]: x for x in old}
        new_records = {x[NAME_FIELD]: x for x in new}
        for name in _merged_keys(old_records, new_records):
            yield from _compare(
                old_records.get(name, ABSENT),
                new_records.get(name, ABSENT),
                f"{path}[{name}]",
            )
    elif type(old) is not type(new) or old != new:
        yield Difference(path, old, new)


def _merged_keys(old: dict, new: dict) -> list:
    """Returns the keys of the new version, then those that it lacks."""
    return [*new, *(x for x in old if x not in new)]


def _is_named(value: object) -> bool:
    """Returns whether a value is a list of records with different names."""
    if not isinstance(value, list):
        return False
    names = [x.get(NAME_FIELD) if isinstance(x, dict) else None for x in value]
    return all(isinstance(x, str) for x in names) and len(set(names)) == len(
        names
    )
