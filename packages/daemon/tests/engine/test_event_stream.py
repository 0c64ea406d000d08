"""Tests of the parser of an engine's events."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies as st
import pytest

from rattanpulley_core import generations
from rattanpulleyd._internal.engine import event_stream

GENERATION = "0123456789abcdef" * 2


def _event(index: int, **fields: Any) -> bytes:
    row = {
        "generation_id": GENERATION,
        "attempt": 1,
        "index": index,
        "version": "v1",
        **fields,
    }
    if "finish_reason" not in row:
        row.setdefault("token", f"t{index} é")
    return f"data: {json.dumps(row, ensure_ascii=False)}\n\n".encode()


def _stream() -> event_stream.EventStreamParser:
    return event_stream.EventStreamParser(GENERATION, 1)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.lists(st.integers(1, 400), max_size=30))
def test_any_division_into_reads_gives_the_same_tokens(
    sizes: list[int],
) -> None:
    """Guards against tokens lost or split at the border of a read."""
    data = b": accepted\n\n" + b"".join(_event(i) for i in range(8))
    data += _event(8, finish_reason="stop")
    stream = _stream()
    events: list[generations.Event] = []
    position = 0
    for size in [*sizes, len(data)]:
        events += stream.feed(data[position : position + size])
        position += size
    tokens = [
        token
        for event in events
        if isinstance(event, generations.TokensReceived)
        for token in event.tokens
    ]
    assert tokens == [f"t{index} é" for index in range(8)]
    assert isinstance(events[-1], generations.AttemptFinished)
    assert events[-1].token_count == 8


def test_one_read_gives_one_event() -> None:
    """Guards against one pass through the generation part per token."""
    events = _stream().feed(b"".join(_event(i) for i in range(5)))
    assert len(events) == 1


def test_gap_and_version_change_are_reported_as_received() -> None:
    """Guards against a parser that hides gaps from the generation part."""
    data = _event(0) + _event(2) + _event(3, version="v2")
    events = _stream().feed(data)
    found = [
        (event.first_index, event.version)
        for event in events
        if isinstance(event, generations.TokensReceived)
    ]
    assert found == [(0, "v1"), (2, "v1"), (3, "v2")]


@pytest.mark.parametrize(
    "data",
    [
        b"data: {\n\n",
        b"data: []\n\n",
        b"data: {}\n\n",
        b"\xff\n\n",
        _event(0, generation_id="f" * 32),
        _event(0, attempt=2),
        _event(0, token=None),
        _event(0, version=None),
        _event(0, finish_reason=None),
        b"x" * (event_stream.MAX_EVENT_BYTES + 1),
    ],
)
def test_foreign_bytes_are_refused(data: bytes) -> None:
    """Guards against tokens of another request or attempt in an answer."""
    with pytest.raises(event_stream.CorruptStreamError):
        _stream().feed(data)
