"""Tests for event ids and token hash chains."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulley_core import resume_token

GENERATION = "0123456789abcdef" * 2
NAMES = st.text(min_size=1, max_size=20)
FIXED = settings(derandomize=True, deadline=None, max_examples=60)


def encode(signer, target="t", version="v", index=7):
    binding = signer.binding(GENERATION, "account", "print", version)
    chain = signer.extend_chain(signer.start_chain(binding), "token")
    return signer.encode(
        binding, GENERATION, 3, target, version, index, chain
    ), chain


@FIXED
@given(target=NAMES, version=NAMES, index=st.integers(0, 65_535))
def test_event_id_round_trip(target, version, index):
    # Guards against names that break the event id's format or its header line.
    signer = resume_token.Signer([b"key"])
    text, chain = encode(signer, target, version, index)
    assert text.isascii()
    assert not any(character.isspace() for character in text)
    decoded = signer.decode(text, "account", "print")
    assert decoded.target == target
    assert decoded.version == version
    assert (decoded.index, decoded.chain, decoded.attempt) == (index, chain, 3)


@FIXED
@given(position=st.integers(0, 200), character=st.characters())
def test_altered_event_id_is_rejected(position, character):
    # Guards against a caller that changes the target or the position.
    signer = resume_token.Signer([b"key"])
    text, _ = encode(signer)
    position %= len(text)
    altered = text[:position] + character + text[position + 1 :]
    if altered != text:
        with pytest.raises(resume_token.ResumeTokenError):
            signer.decode(altered, "account", "print")


@pytest.mark.parametrize(
    ("text", "account", "fingerprint"),
    [
        (None, "other", "print"),
        (None, "account", "other"),
        ("", "account", "print"),
        ("x" * 5000, "account", "print"),
    ],
)
def test_event_id_of_another_request_is_rejected(text, account, fingerprint):
    # Guards against access to answers from other accounts and requests.
    signer = resume_token.Signer([b"key"])
    text = encode(signer)[0] if text is None else text
    with pytest.raises(resume_token.ResumeTokenError):
        signer.decode(text, account, fingerprint)


def test_event_ids_stay_valid_while_keys_are_rotated():
    # Callers must be able to reconnect while keys are rotated.
    text, _ = encode(resume_token.Signer([b"old"]))
    rotated = resume_token.Signer([b"new", b"old"])
    decoded = rotated.decode(text, "account", "print")
    assert encode(rotated.for_key(decoded.key_id))[0] == text
    assert encode(rotated)[0] != text
    with pytest.raises(resume_token.ResumeTokenError):
        resume_token.Signer([b"new"]).decode(text, "account", "print")


def test_chain_depends_on_every_token():
    # Guards against accepting an answer that differs before the caller's index.
    signer = resume_token.Signer([b"k" * 100])
    chains = set()
    for tokens in (["a", "b"], ["b", "a"], ["ab"], ["", "ab"], ["ab", ""]):
        chain = signer.start_chain(b"binding")
        for token in tokens:
            chain = signer.extend_chain(chain, token)
        chains.add(chain)
    assert len(chains) == 5
