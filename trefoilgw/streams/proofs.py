"""Proofs that both ends of a stream know the shared key.

A proof is an HMAC with SHA-256 (RFC 2104). It covers the server's nonce, so
that a recorded handshake can't be replayed.
"""

import hashlib
import hmac

import attrs

from trefoilgw.messages import codec


def hello_proof(key: bytes, nonce: bytes, hello) -> bytes:
    """Returns the proof of a hello, computed with its proof field empty."""
    unsigned = attrs.evolve(hello, proof=b"")
    return hmac.digest(key, nonce + codec.encode(unsigned), hashlib.sha256)


def welcome_proof(
    key: bytes, nonce: bytes, client_proof: bytes, welcome
) -> bytes:
    """Returns the proof of a welcome, which covers the client's proof too."""
    unsigned = attrs.evolve(welcome, proof=b"")
    data = b"welcome" + nonce + client_proof + codec.encode(unsigned)
    return hmac.digest(key, data, hashlib.sha256)
