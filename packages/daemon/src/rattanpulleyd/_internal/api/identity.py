"""Accounts of callers, fingerprints of requests and ids of generations."""

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
        keys: Keys that sign accounts; without keys a token is not verified.

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
    """Returns whether one of the keys made the signature."""
    given = signature.encode()
    wanted = [
        hmac.new(key, account.encode(), hashlib.sha256).hexdigest()
        for key in keys
    ]
    return any(hmac.compare_digest(given, item.encode()) for item in wanted)


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

    Requests with an Idempotency-Key get the same id through every daemon. The
    id is keyed, so that an account cannot guess the ids of another one.

    Args:
        key: Secret key that all daemons share.
        account: Account of the caller.
        idempotency_key: Header of the request; empty when it has none.
        fingerprint: Fingerprint of the request.
    """
    if not idempotency_key:
        return secrets.token_hex(GENERATION_ID_BYTES)
    parts = json.dumps([account, idempotency_key, fingerprint]).encode()
    digest = hmac.new(key, b"generation-id:" + parts, hashlib.sha256).digest()
    return digest[:GENERATION_ID_BYTES].hex()


def seed_of(generation_id: str) -> int:
    """Returns the seed of a request without one.

    A generation that is computed again must sample as before, also in another
    daemon.

    Args:
        generation_id: The generation id.
    """
    return int(generation_id[:8], 16) & 0x7FFFFFFF
