"""Client accounts, request fingerprints and generation ids."""

import hashlib
import hmac
import json
import secrets
from typing import Any

from rattanpulley_core import results
from rattanpulleyd import exceptions

GENERATION_ID_BYTES = 16


def account_of(authorization: str, keys: tuple[bytes, ...]) -> str:
    """Returns the account of a caller.

    Args:
        authorization: Value of the Authorization header.
        keys: Keys that sign accounts; if empty, signatures are not verified.

    Raises:
        exceptions.RequestError: There is no valid bearer token.
    """
    scheme, _, token = authorization.partition(" ")
    account, _, signature = token.strip().partition(".")
    if scheme.lower() != "bearer" or not account:
        raise _unauthenticated("The request has no bearer token.")
    if keys and not _is_signed(account, signature, keys):
        raise _unauthenticated("The bearer token is not valid.")
    return account


def _is_signed(account: str, signature: str, keys: tuple[bytes, ...]) -> bool:
    """Returns whether the signature was made with one of the keys."""
    given = signature.encode()
    expected = [
        hmac.new(key, account.encode(), hashlib.sha256).hexdigest()
        for key in keys
    ]
    return any(hmac.compare_digest(given, item.encode()) for item in expected)


def _unauthenticated(message: str) -> exceptions.RequestError:
    return exceptions.RequestError(results.ResultCode.UNAUTHENTICATED, message)


def fingerprint_of(route: str, model: str, body: Any) -> str:
    """Returns the digest of route, model and canonical body.

    Args:
        route: Name of the route.
        model: Name of the model.
        body: JSON value with the fields that determine the answer.
    """
    text = json.dumps([route, model, body], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def generation_id_of(
    key: bytes, account: str, idempotency_key: str, fingerprint: str
) -> str:
    """Returns the generation id of a request.

    A request with an Idempotency-Key has the same id on every daemon. The id
    is an HMAC, so that an account cannot guess the ids of another one.

    Args:
        key: Secret key that all daemons share.
        account: Account of the caller.
        idempotency_key: The Idempotency-Key header; empty if there is none, in
            which case the id is random.
        fingerprint: Fingerprint of the request.
    """
    if not idempotency_key:
        return secrets.token_hex(GENERATION_ID_BYTES)
    parts = json.dumps([account, idempotency_key, fingerprint]).encode()
    digest = hmac.new(key, b"generation-id:" + parts, hashlib.sha256).digest()
    return digest[:GENERATION_ID_BYTES].hex()


def seed_of(generation_id: str) -> int:
    """Returns the sampling seed of a request that does not set one.

    It is derived from the generation id, because a recomputed generation must
    sample the same tokens, on another daemon too.

    Args:
        generation_id: The generation id.
    """
    return int(generation_id[:8], 16) & 0x7FFFFFFF
