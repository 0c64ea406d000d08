"""Tests of letting other greenlets run."""

import types

import gevent
import pytest

from rattanpulleyd._internal.sockets import read_turn


@pytest.fixture
def turn(monkeypatch):
    """A turn on a clock of the test, with the times of its breaks."""
    state = types.SimpleNamespace(now=0.0, loop=0.0, breaks=[])
    hub = types.SimpleNamespace(
        loop=types.SimpleNamespace(now=lambda: state.loop)
    )

    def sleep(_seconds: float) -> None:
        state.breaks.append(state.now)
        state.loop = state.now

    monkeypatch.setattr(gevent, "get_hub", lambda: hub)
    monkeypatch.setattr(gevent, "sleep", sleep)
    monkeypatch.setattr(read_turn.time, "monotonic", lambda: state.now)
    state.turn = read_turn.ReadTurn()
    return state


def test_reader_that_never_waits_takes_breaks(turn):
    # Guards against a peer that stops all other connections.
    for step in range(1, 101):
        turn.now = step * read_turn.MAX_TURN_S / 4
        turn.turn.yield_if_long()
    assert len(turn.breaks) > 20


def test_reader_that_waits_for_bytes_takes_no_break(turn):
    # Guards against a switch of greenlets for each event of a calm stream.
    for step in range(1, 101):
        turn.now = turn.loop = step * read_turn.MAX_TURN_S * 2
        turn.turn.yield_if_long()
    assert not turn.breaks
