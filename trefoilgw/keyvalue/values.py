"""What calls to the key-value service take and return."""

import attrs


@attrs.frozen
class KeyValue:
    """A key that is there.

    Attributes:
        data: Its value.
        mod_revision: The service's revision at its last change.
        key: Its name.
        lease: Number of its lease, 0 if none.
    """

    data: bytes
    mod_revision: int
    key: str = ""
    lease: int = 0


@attrs.frozen
class Missing:
    """A key or a lease that is not there."""


@attrs.frozen
class Committed:
    """A write took effect.

    Attributes:
        revision: The service's revision afterwards.
    """

    revision: int


@attrs.frozen
class Conflict:
    """A transaction had no effect because a comparison failed.

    Attributes:
        values: What the compared keys hold now, in the order compared.
    """

    values: tuple[KeyValue | Missing, ...]

    @property
    def value(self) -> KeyValue | Missing:
        """What the first compared key holds now."""
        return self.values[0]


@attrs.frozen
class Unavailable:
    """No usable answer came.

    Attributes:
        detail: What happened, for a person.
        may_have_taken_effect: False only if the call certainly changed
            nothing and never will.
    """

    detail: str
    may_have_taken_effect: bool


@attrs.frozen
class Rejected:
    """The service refused the request itself; it had no effect.

    Attributes:
        code: gRPC status code.
        detail: The service's text.
    """

    code: int
    detail: str


@attrs.frozen
class Lease:
    """A lease as granted or renewed."""

    lease_id: int
    ttl_s: int


@attrs.frozen
class Compare:
    """Holds if the key's last change has this revision; 0 means absent."""

    key: str
    mod_revision: int


@attrs.frozen
class Put:
    """Writes a key, bound to a lease unless that is 0."""

    key: str
    data: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """Deletes a key."""

    key: str


@attrs.frozen
class Read:
    """What to read: one key, or all keys that start with it.

    Attributes:
        key: Key or prefix.
        prefix: Whether `key` is a prefix.
        keys_only: Leaves out the values.
        limit: Most keys to return; 0 for all.
        descending: Sorts by key in descending order.
        before: With a prefix, only keys below this one, unless empty.
    """

    key: str
    prefix: bool = False
    keys_only: bool = False
    limit: int = 0
    descending: bool = False
    before: str = ""


@attrs.frozen
class Page:
    """Keys that were read.

    Attributes:
        items: The keys, in order.
        revision: The service's revision at the time.
        more: True if the limit cut keys off.
        count: Keys in the range, also those that the limit cut off.
    """

    items: tuple[KeyValue, ...]
    revision: int
    more: bool = False
    count: int = 0


Failure = Unavailable | Rejected
