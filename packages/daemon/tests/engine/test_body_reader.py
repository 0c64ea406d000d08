"""Tests for the chunk decoder."""

import hypothesis
from hypothesis import strategies as st
import pytest

from rattanpulleyd._internal.engine import body_reader
from rattanpulleyd._internal.engine import event_stream


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    st.lists(st.integers(1, 60), max_size=20),
)
def test_content_does_not_depend_on_read_sizes(
    chunks: list[bytes], sizes: list[int]
) -> None:
    """Guards against bytes lost at the boundary of a read or a chunk."""
    data = b"".join(b"%X;x=1\r\n%s\r\n" % (len(c), c) for c in chunks)
    data += b"0\r\n\r\n"
    decoder = body_reader.ChunkDecoder()
    content = b""
    position = 0
    for size in [*sizes, len(data)]:
        content += decoder.feed(data[position : position + size])
        position += size
    assert content == b"".join(chunks)
    assert decoder.is_finished


@pytest.mark.parametrize(
    "data",
    [b"x\r\n", b"-1\r\n", b"\r\n", b"FFFFFFFF\r\n" + b"x" * (2 << 20)],
)
def test_invalid_chunks_are_rejected(data: bytes) -> None:
    """Guards against unbounded buffering of a body that is not chunked."""
    with pytest.raises(event_stream.CorruptStreamError):
        body_reader.ChunkDecoder().feed(data)
