"""Keys of the platform's key-value service."""

PREFIX = "/trefoilgw/"
CONFIG_KEY = PREFIX + "config"
ROSTER_KEY = PREFIX + "roster"
AUDIT_PREFIX = PREFIX + "audit/"
ENTRIES_PREFIX = PREFIX + "entries/"
# Width of the revision in audit keys, padded with zeros so that the keys sort
# by revision.
REVISION_DIGITS = 12


def audit_key(revision: int) -> str:
    """Returns the key of the audit entry of a configuration revision."""
    return f"{AUDIT_PREFIX}{revision:0{REVISION_DIGITS}}"


def audit_revision(key: str) -> int:
    """Returns the revision in an audit key, 0 if the key is not one."""
    digits = key.removeprefix(AUDIT_PREFIX)
    return int(digits) if digits.isascii() and digits.isdigit() else 0


def entry_key(incarnation: str) -> str:
    """Returns the lease key of the entry with this incarnation."""
    return ENTRIES_PREFIX + incarnation
