"""Tests for client accounts and generation ids."""

import hashlib
import hmac

import pytest

from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import identity

KEY = b"k" * 16


def test_signed_token_identifies_its_account() -> None:
    """Guards against callers that use an account without its signature."""
    signature = hmac.new(KEY, b"acme", hashlib.sha256).hexdigest()
    header = f"Bearer acme.{signature}"
    assert identity.account_of(header, (b"o" * 16, KEY)) == "acme"
    assert identity.account_of("Bearer acme.any", ()) == "acme"


@pytest.mark.parametrize(
    "header", ["", "Bearer", "Bearer .x", "Basic acme", "Bearer acme.\xe9"]
)
def test_invalid_tokens_are_rejected(header: str) -> None:
    """Guards against requests without an account."""
    with pytest.raises(exceptions.RequestError):
        identity.account_of(header, (KEY,))


def test_generation_id_depends_on_all_parts() -> None:
    """Guards against different requests that share a generation."""
    base = ("acme", "key", "fingerprint")
    ids = {identity.generation_id_of(KEY, *base)}
    for position in range(3):
        parts = list(base)
        parts[position] += "x"
        ids.add(identity.generation_id_of(KEY, *parts))
    ids.add(identity.generation_id_of(b"x" * 16, *base))
    assert len(ids) == 5
    assert identity.generation_id_of(KEY, *base) in ids


def test_requests_without_a_key_get_different_ids() -> None:
    """Guards against one account reading another one's answer."""
    ids = {identity.generation_id_of(KEY, "a", "", "f") for _ in range(9)}
    assert len(ids) == 9
