"""Proof between two daemons that both know a peer key.

Each end sends a nonce and then an HMAC over its own name and both nonces. The
sender's name is part of the proof, so a proof cannot be reflected. The first
key proves and every key is accepted; a key is rotated by adding the new one
last everywhere, then moving it to the front, then removing the old one.
"""

from collections.abc import Sequence
import hmac

NONCE_BYTES = 16


def prove(
    keys: Sequence[bytes], own_name: str, own_nonce: bytes, peer_nonce: bytes
) -> bytes:
    """Returns the proof that this daemon sends."""
    return _proof(keys[0], own_name, own_nonce, peer_nonce)


def verify(
    keys: Sequence[bytes],
    proof: bytes,
    peer_name: str,
    peer_nonce: bytes,
    own_nonce: bytes,
) -> bool:
    """Returns whether a peer's proof holds under one of the keys."""
    return any(
        hmac.compare_digest(
            proof, _proof(key, peer_name, peer_nonce, own_nonce)
        )
        for key in keys
    )


def _proof(key: bytes, name: str, first: bytes, second: bytes) -> bytes:
    return hmac.digest(key, name.encode() + b"\0" + first + second, "sha256")
