"""Fingerprints that identify repetitions of one request."""

from collections.abc import Iterable
import hashlib

FINGERPRINT_BYTES = 12


def request_fingerprint(account: str, parts: Iterable[bytes]) -> str:
    """Returns the fingerprint of a request's content as a hex string.

    Each attempt of a client has a request id of its own, and a client may
    change its key; the fingerprint stays the same.

    Args:
        account: Client account that sent the request.
        parts: What the request asks for: method, host, target and body.
    """
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (account.encode(), *parts):
        # The length keeps parts apart that would be equal when joined.
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    return hasher.hexdigest()
