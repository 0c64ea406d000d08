"""Tests of joining the chunks of a body."""

import itertools

import h11
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulleyd._internal.relay import chunk_joiner

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked(parts: list[bytes], end: bytes = b"0\r\n\r\n") -> bytes:
    chunks = (b"%x\r\n%b\r\n" % (len(part), part) for part in parts if part)
    return b"".join(chunks) + end


def parse(reads: list[bytes], joins: bool) -> tuple[bytes, list[type], int]:
    """Returns the content, the kinds of events, and the number of parts."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(HEAD + reads[0])
    assert isinstance(connection.next_event(), h11.Request)
    joiner = chunk_joiner.ChunkJoiner(connection.trailing_data[0])
    content = b""
    kinds: list[type] = []
    parts = 0
    for data in [b"", *reads[1:]]:
        passed = joiner.feed(data) if joins else data
        if passed:
            connection.receive_data(passed)
        try:
            while (event := connection.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    content += event.data
                    parts += 1
                    continue
                kinds.append(type(event))
                if event is h11.PAUSED or isinstance(event, h11.EndOfMessage):
                    return content, kinds, parts
        except h11.RemoteProtocolError:
            return content, [*kinds, h11.RemoteProtocolError], parts
    return content, kinds, parts


ends = st.sampled_from(
    [b"0\r\n\r\n", b"0\r\na: b\r\n\r\n", b"0;x\r\n\r\n", b"00\r\n\r\nGET", b""]
)
oddities = st.sampled_from(
    [b"", b"3;x=y\r\nabc\r\n", b"zz\r\n", b"3\r\nabcd\r\n", b"-1\r\n", b"\r\n"]
)


# A rewritten body that lost, repeated or misread a byte would reach a target.
@given(
    st.lists(st.binary(max_size=12), max_size=8),
    oddities,
    ends,
    st.lists(st.integers(0, 120), max_size=10),
)
@settings(derandomize=True, deadline=None, max_examples=600)
def test_joined_body_is_that_of_the_parser_alone(
    parts: list[bytes], odd: bytes, end: bytes, splits: list[int]
) -> None:
    body = chunked(parts, b"") + odd + end
    bounds = sorted({0, len(body), *(n for n in splits if n < len(body))})
    reads = [body[a:b] for a, b in itertools.pairwise(bounds)]
    reads = reads or [b""]
    joined = parse(reads, joins=True)
    alone = parse(reads, joins=False)
    assert joined[1] == alone[1]
    # Before an error, the parser alone may return parts of a broken chunk.
    if h11.RemoteProtocolError not in alone[1]:
        assert joined[0] == alone[0]


# An upload of 4 MB in chunks of 4 bytes took the time of its request.
@pytest.mark.parametrize("size", [1, 4, 100])
def test_small_chunks_of_a_read_become_one(size: int) -> None:
    body = chunked([b"x" * size] * 1000)
    reads = [body[n : n + 1000] for n in range(0, len(body), 1000)]
    content, _, parts = parse(reads, joins=True)
    assert content == b"x" * size * 1000
    # The first read goes to the parser as it is.
    assert parts - 1000 // size <= 4 * len(reads)
