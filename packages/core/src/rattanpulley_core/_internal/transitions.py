"""Lookup in the transition tables of state machines."""

from collections.abc import Mapping
import enum
from typing import TypeVar

_State = TypeVar("_State", bound=enum.Enum)
_Event = TypeVar("_Event")
_Handler = TypeVar("_Handler")


def find_handler(
    handlers: Mapping[tuple[_State, type[_Event]], _Handler],
    state: _State,
    event: _Event,
) -> _Handler:
    """Returns the handler of an event in a state.

    Args:
        handlers: The transition table.
        state: Current state.
        event: The event; its type selects the handler.

    Raises:
        ValueError: The event does not occur in the state.
    """
    handler = handlers.get((state, type(event)))
    if handler is None:
        raise ValueError(
            f"{type(event).__name__} does not occur in {state.value}"
        )
    return handler
