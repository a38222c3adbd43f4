"""Retention of the audit trail, which would otherwise grow without bound."""

from trefoilgw import keyvalue
from trefoilgw import registry

# One month at 680 changes per day.
RETAINED_ENTRIES = 20_000
# Deletions per write: enough to catch up after pruning failed for a while, and
# below the usual limit of 128 operations per transaction.
MAX_PRUNED_ENTRIES = 50


def prune(
    client: keyvalue.Client, retained_entries: int = RETAINED_ENTRIES
) -> int:
    """Deletes the oldest audit entries that exceed the retention.

    Pruning is best effort: entries that can't be deleted now are left to the
    next write. Two operators who prune concurrently delete the same keys, which
    is harmless.

    Args:
        client: Client of the platform.
        retained_entries: Number of entries to keep.

    Returns:
        Number of deleted entries, at most `MAX_PRUNED_ENTRIES`; 0 also if the
        platform did not answer.
    """
    page = client.range(
        keyvalue.Read(
            registry.AUDIT_PREFIX,
            prefix=True,
            keys_only=True,
            limit=MAX_PRUNED_ENTRIES,
        )
    )
    if not isinstance(page, keyvalue.Page):
        return 0
    surplus = max(0, page.count - retained_entries)
    keys = [item.key for item in page.items[:surplus]]
    if not keys:
        return 0
    result = client.txn([], [keyvalue.Delete(key) for key in keys])
    return len(keys) if isinstance(result, keyvalue.Committed) else 0
