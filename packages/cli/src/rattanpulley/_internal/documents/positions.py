"""Lines of the fields of a JSON text."""

from collections.abc import Sequence
import json

_WHITESPACE = " \t\n\r"
_DECODER = json.JSONDecoder()


def line_of(text: str, keys: Sequence[str]) -> int:
    """Returns the line, from 1, of the field that `keys` lead to.

    If a field on the way is missing, this is the line of the last object that
    exists.

    Args:
        text: A valid JSON text.
        keys: Keys from the top of the text to the field.
    """
    position = found = _skip(text, 0)
    for key in keys:
        place = _find(text, position, key)
        if place is None:
            break
        found, position = place
    return text.count("\n", 0, found) + 1


def _find(text: str, position: int, key: str) -> tuple[int, int] | None:
    """Returns the positions of a key and its value in an object."""
    if text[position] != "{":
        return None
    result = None
    position = _skip(text, position + 1)
    while text[position] == '"':
        start = position
        name, position = _DECODER.raw_decode(text, position)
        value_at = _skip(text, _skip(text, position) + 1)
        if name == key:
            # The last of several equal keys counts, as for `json.loads`.
            result = (start, value_at)
        _, position = _DECODER.raw_decode(text, value_at)
        position = _skip(text, position)
        if text[position] == ",":
            position = _skip(text, position + 1)
    return result


def _skip(text: str, position: int) -> int:
    while position < len(text) and text[position] in _WHITESPACE:
        position += 1
    return position
