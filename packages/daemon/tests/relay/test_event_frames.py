"""Tests of parsing and filtering event streams."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from rattanpulleyd._internal.relay import event_frames

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM))))
@settings(derandomize=True, deadline=None)
def test_any_split_of_the_bytes_yields_the_same_events(
    splits: list[int],
) -> None:
    """Network reads split the bytes at any position."""
    frames = event_frames.EventParser()
    sequence = event_frames.EventSequence(None)
    bounds = [0, *sorted(splits), len(STREAM)]
    parts = [STREAM[start:end] for start, end in itertools.pairwise(bounds)]
    passed = b"".join(sequence.admit(frames.feed(part)) for part in parts)
    assert passed == STREAM
    assert not frames.incomplete


def test_incomplete_event_is_held_back() -> None:
    """Guards against a truncated event from a crashed target."""
    frames = event_frames.EventParser()
    sequence = event_frames.EventSequence(None)
    passed = sequence.admit(frames.feed(STREAM[:-3]))
    assert passed == STREAM[: len(passed)]
    assert passed.endswith(b"\n\n")
    assert frames.incomplete


def test_events_that_the_client_has_are_dropped() -> None:
    """A resumed run may repeat events."""
    sequence = event_frames.EventSequence(5)
    passed = sequence.admit(event_frames.EventParser().feed(STREAM))
    assert passed == b"id: 6\ndata: t6\n\nid: 7\ndata: t7\n\n"


def test_missing_event_breaks_the_stream() -> None:
    """Guards against a gap; the stream must resume on another target."""
    sequence = event_frames.EventSequence(2)
    with pytest.raises(event_frames.MalformedEventError):
        sequence.admit(event_frames.EventParser().feed(b"id: 4\n\n"))


@pytest.mark.parametrize(
    "data", [b"id: 1\nid: 2\n\n", b"x" * (event_frames.MAX_EVENT_BYTES + 1)]
)
def test_malformed_event_is_rejected(data: bytes) -> None:
    """Guards against forwarding corrupt bytes to the client."""
    with pytest.raises(event_frames.MalformedEventError):
        event_frames.EventSequence(0).admit(
            event_frames.EventParser().feed(data)
        )


@given(st.lists(st.integers(0, 40)), st.sampled_from([b"\n", b"\r\n"]))
@settings(derandomize=True, deadline=None)
def test_blank_lines_belong_to_no_event(
    splits: list[int], blank: bytes
) -> None:
    """Guards against the work of an event for each blank line."""
    events = [b"id: 1\ndata: t1\n\n", b"id: 2\ndata: t2\n\n"]
    data = blank * 3 + events[0] + blank * 5 + events[1] + blank
    bounds = [0, *sorted(splits), len(data)]
    frames = event_frames.EventParser()
    found = [
        frame.data
        for start, end in itertools.pairwise(bounds)
        for frame in frames.feed(data[start:end])
    ]
    assert found == events
    assert not frames.incomplete


def test_bytes_without_a_new_event_are_limited() -> None:
    """Guards against comments and repeated events without end."""
    sequence = event_frames.EventSequence(0)
    limit = event_frames.ProgressLimit(sequence)
    most = event_frames.MAX_BYTES_WITHOUT_PROGRESS
    limit.check(most)
    sequence.last_id = 1
    limit.check(most)
    limit.check(most)
    with pytest.raises(event_frames.MalformedEventError):
        limit.check(1)
