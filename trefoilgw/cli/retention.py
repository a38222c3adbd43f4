"""Prunes the audit trail; its entries would otherwise grow without end."""

from trefoilgw import keyvalue as platform
from trefoilgw import registry

# A month at 680 changes a day.
KEPT_ENTRIES = 20_000
# Enough to catch up after pruning failed for a while, and below the usual
# limit of 128 operations in a transaction.
PRUNED_LIMIT = 50


def prune(client: platform.Client, kept_entries: int = KEPT_ENTRIES) -> int:
    """Deletes the oldest audit entries beyond the retention.

    Best effort: what can't be deleted now is left to the next write. Two
    operators who prune at once delete the same keys, which is harmless.

    Args:
        client: Client of the platform.
        kept_entries: Entries that are kept.

    Returns:
        Entries deleted, at most `PRUNED_LIMIT`; 0 also if the platform did
        not answer.
    """
    page = client.range(
        platform.Read(
            registry.AUDIT_PREFIX,
            prefix=True,
            keys_only=True,
            limit=PRUNED_LIMIT,
        )
    )
    if not isinstance(page, platform.Page):
        return 0
    surplus = max(0, page.count - kept_entries)
    keys = [item.key for item in page.items[:surplus]]
    if not keys:
        return 0
    result = client.txn([], [platform.Delete(key) for key in keys])
    return len(keys) if isinstance(result, platform.Committed) else 0
