"""Blocks imports of modules that the agent does not need, to save memory.

eventlet and urllib3 import `ssl`, and `hashlib` imports `_hashlib`, if they are
installed. Both load OpenSSL, which takes 4.7 MB of the agent's 32 MB. The agent
uses plain HTTP to the target on its own host, and `hmac` and `hashlib` have a
SHA-256 implementation of their own. `block` must be called before any of these
modules is imported.
"""

import sys

UNUSED_MODULES = ("ssl", "_hashlib")


def block() -> None:
    """Makes later imports of the unused modules fail as if not installed.

    Modules that are already loaded stay available.
    """
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)
