"""Blocks imports of modules that no process needs, to save memory and time.

eventlet and urllib3 import `ssl`, and `hashlib` imports `_hashlib`, if they are
installed. Both load OpenSSL, which takes 4.7 MB of the 32 MB of an agent or a
runner. They use plain HTTP to the target on their own host, and `hmac` and
`hashlib` have a SHA-256 implementation of their own. `block` must be called
before any of these modules is imported.
"""

import sys

UNUSED_MODULES = ("ssl", "_hashlib")


def block() -> None:
    """Makes later imports of the unused modules fail as if not installed.

    Modules that are already loaded stay available.
    """
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)
