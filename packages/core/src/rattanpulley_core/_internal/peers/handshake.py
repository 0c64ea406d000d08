"""Mutual authentication of two daemons that share a peer key.

Each end sends a nonce and then an HMAC over its own name and both nonces. The
name of the sender is part of the proof, which prevents reflection attacks. The
first key signs and every key is accepted. To rotate a key, append the new key
on all daemons, then move it to the front, then remove the old one.
"""

from collections.abc import Sequence
import hmac

NONCE_BYTES = 16


def prove(
    keys: Sequence[bytes], own_name: str, own_nonce: bytes, peer_nonce: bytes
) -> bytes:
    """Returns the proof of this daemon, signed with the first key."""
    return _proof(keys[0], own_name, own_nonce, peer_nonce)


def verify(
    keys: Sequence[bytes],
    proof: bytes,
    peer_name: str,
    peer_nonce: bytes,
    own_nonce: bytes,
) -> bool:
    """Returns whether the proof of a peer matches any of the keys."""
    return any(
        hmac.compare_digest(
            proof, _proof(key, peer_name, peer_nonce, own_nonce)
        )
        for key in keys
    )


def _proof(key: bytes, name: str, first: bytes, second: bytes) -> bytes:
    return hmac.digest(key, name.encode() + b"\0" + first + second, "sha256")
