"""Tests for the token journal of a generation."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanpulley_core import resume_token
from rattanpulley_core._internal.generations import journal as journals

SIGNER = resume_token.Signer([b"key"])


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    tokens=st.lists(st.text(max_size=4), min_size=1, max_size=200),
    first=st.integers(0, 200),
)
def test_tokens_and_chains_from_any_index(tokens, first):
    # Guards against delivering tokens or chain values of a wrong index to a
    # reconnected caller.
    first %= len(tokens)
    journal = journals.Journal()
    journal.start_chain(SIGNER, b"binding")
    chains = [journal.append(token) for token in tokens]
    assert journal.tokens(first) == tuple(tokens[first:])
    assert journal.chains(first) == tuple(chains[first:])
    assert journal.chain_at(first, SIGNER, b"binding") == chains[first]
