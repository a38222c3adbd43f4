"""Keeps modules out of the agent that it does not use.

eventlet and urllib3 import `ssl`, and `hashlib` imports `_hashlib`, if they are
there. Both load OpenSSL, 4.7 MB of the agent's 32 MB. The agent speaks plain
HTTP to the target beside it, and `hmac` and `hashlib` have SHA-256 of their
own. This module must be imported before any of them.
"""

import sys

UNUSED_MODULES = ("ssl", "_hashlib")


def block() -> None:
    """Makes later imports of the unused modules fail as if not installed.

    Modules that are loaded already stay.
    """
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)
