"""Proofs that both ends of a stream know the shared key.

HMAC with SHA-256 (RFC 2104), bound to the server's nonce, so that a recorded
handshake proves nothing later.
"""

import hashlib
import hmac

import attrs

from trefoilgw.messages import codec


def of_hello(key: bytes, nonce: bytes, hello) -> bytes:
    """Returns the proof of a hello whose own proof field is empty."""
    bare = attrs.evolve(hello, proof=b"")
    return hmac.digest(key, nonce + codec.encode(bare), hashlib.sha256)


def of_welcome(key: bytes, nonce: bytes, client_proof: bytes, welcome) -> bytes:
    """Returns the proof of a welcome, bound to the client's proof."""
    bare = attrs.evolve(welcome, proof=b"")
    text = b"welcome" + nonce + client_proof + codec.encode(bare)
    return hmac.digest(key, text, hashlib.sha256)
