"""Tests for the parser of an engine's events."""

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


def _parser() -> event_stream.EventStreamParser:
    return event_stream.EventStreamParser(GENERATION, 1)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.lists(st.integers(1, 400), max_size=30))
def test_tokens_do_not_depend_on_read_sizes(
    sizes: list[int],
) -> None:
    """Guards against tokens lost or split at the boundary of a read."""
    data = b": accepted\n\n" + b"".join(_event(i) for i in range(8))
    data += _event(8, finish_reason="stop")
    parser = _parser()
    events: list[generations.Event] = []
    position = 0
    for size in [*sizes, len(data)]:
        events += parser.feed(data[position : position + size])
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


def test_tokens_of_one_read_become_one_event() -> None:
    """Guards against one call of the generation core per token."""
    events = _parser().feed(b"".join(_event(i) for i in range(5)))
    assert len(events) == 1


def test_gap_and_version_change_are_reported_as_received() -> None:
    """Guards against a parser that hides gaps from the generation core."""
    data = _event(0) + _event(2) + _event(3, version="v2")
    events = _parser().feed(data)
    runs = [
        (event.first_index, event.version)
        for event in events
        if isinstance(event, generations.TokensReceived)
    ]
    assert runs == [(0, "v1"), (2, "v1"), (3, "v2")]


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
def test_invalid_events_are_rejected(data: bytes) -> None:
    """Guards against tokens of another request or attempt in an answer."""
    with pytest.raises(event_stream.CorruptStreamError):
        _parser().feed(data)
