"""Arguments and results of calls to the key-value service."""

import attrs


@attrs.frozen
class KeyValue:
    """An existing key and its value.

    Attributes:
        data: The value.
        mod_revision: Revision of the last change of the key.
        key: Name of the key.
        lease: ID of the lease that the key is attached to, 0 if none.
    """

    data: bytes
    mod_revision: int
    key: str = ""
    lease: int = 0


@attrs.frozen
class Missing:
    """The key or lease does not exist."""


@attrs.frozen
class Committed:
    """The write took effect.

    Attributes:
        revision: Revision of the service after the write.
    """

    revision: int


@attrs.frozen
class Conflict:
    """The transaction had no effect because a comparison failed.

    Attributes:
        values: Current state of the compared keys, in the order of the
            comparisons.
    """

    values: tuple[KeyValue | Missing, ...]

    @property
    def value(self) -> KeyValue | Missing:
        """Current state of the first compared key."""
        return self.values[0]


@attrs.frozen
class Unavailable:
    """The call received no valid response.

    Attributes:
        detail: Description of the failure, for people.
        may_have_taken_effect: False only if the call has certainly changed
            nothing and never will.
    """

    detail: str
    may_have_taken_effect: bool


@attrs.frozen
class Rejected:
    """The service rejected the request, which had no effect.

    Attributes:
        code: gRPC status code.
        detail: Error message of the service.
    """

    code: int
    detail: str


@attrs.frozen
class Lease:
    """A lease when it was granted or last renewed.

    Attributes:
        lease_id: ID that the service assigned.
        ttl_s: Seconds until the lease expires without a renewal.
    """

    lease_id: int
    ttl_s: int


@attrs.frozen
class Compare:
    """Comparison of a transaction: a key has not changed since a revision.

    Attributes:
        key: Key to compare.
        mod_revision: Expected revision of the key's last change; 0 if the key
            must not exist.
    """

    key: str
    mod_revision: int


@attrs.frozen
class Put:
    """Operation that writes a key.

    Attributes:
        key: Key to write.
        data: The value.
        lease: ID of the lease to attach the key to, 0 for none.
    """

    key: str
    data: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """Operation that deletes a key."""

    key: str


@attrs.frozen
class Read:
    """A read of one key, or of all keys with a prefix.

    Attributes:
        key: Key or prefix.
        prefix: Whether `key` is a prefix.
        keys_only: Whether to leave out the values.
        limit: Maximum number of keys to return; 0 for all.
        descending: Whether to sort by key in descending order.
        before: With a prefix, exclusive upper bound of the keys; empty for
            none.
    """

    key: str
    prefix: bool = False
    keys_only: bool = False
    limit: int = 0
    descending: bool = False
    before: str = ""


@attrs.frozen
class Page:
    """The result of a read.

    Attributes:
        items: The keys and their values, sorted as requested.
        revision: Revision of the service at the read.
        more: Whether the limit left out keys.
        count: Number of keys in the range, including those left out.
    """

    items: tuple[KeyValue, ...]
    revision: int
    more: bool = False
    count: int = 0


Failure = Unavailable | Rejected
