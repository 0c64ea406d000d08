"""Tests the lookup in the transition tables of state machines."""

import enum

import pytest

from rattanpulley_core._internal import transitions


class _State(enum.Enum):
    WAITING = "waiting"
    ENDED = "ended"


class _Answered:
    pass


class _SpecialAnswered(_Answered):
    pass


HANDLERS = {(_State.WAITING, _Answered): "on_answered"}


def test_handler_is_found_by_state_and_event():
    # Guards against a handler of another state.
    handler = transitions.find_handler(HANDLERS, _State.WAITING, _Answered())
    assert handler == "on_answered"


@pytest.mark.parametrize(
    ("state", "event", "message"),
    [
        (_State.ENDED, _Answered(), "_Answered does not occur in ended"),
        (
            _State.WAITING,
            _SpecialAnswered(),
            "_SpecialAnswered does not occur in waiting",
        ),
    ],
)
def test_unlisted_event_is_an_error(state, event, message):
    # Guards against an event that is ignored or handled as another one.
    with pytest.raises(ValueError, match=message):
        transitions.find_handler(HANDLERS, state, event)
