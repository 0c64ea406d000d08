"""Line numbers of the fields in a JSON text."""

from collections.abc import Sequence
import json

_WHITESPACE = " \t\n\r"
_DECODER = json.JSONDecoder()


def line_number(text: str, keys: Sequence[str]) -> int:
    """Returns the line number, from 1, of the field at a path.

    If a field of the path is missing, this is the line of the innermost object
    that exists.

    Args:
        text: A valid JSON text.
        keys: Keys from the root of the text to the field.
    """
    position = key_position = _skip_whitespace(text, 0)
    for key in keys:
        field = _find_field(text, position, key)
        if field is None:
            break
        key_position, position = field
    return text.count("\n", 0, key_position) + 1


def _find_field(text: str, position: int, key: str) -> tuple[int, int] | None:
    """Returns the positions of a key and its value in an object."""
    if text[position] != "{":
        return None
    result = None
    position = _skip_whitespace(text, position + 1)
    while text[position] == '"':
        start = position
        name, position = _DECODER.raw_decode(text, position)
        value_at = _skip_whitespace(text, _skip_whitespace(text, position) + 1)
        if name == key:
            # `json.loads` also uses the last of several equal keys.
            result = (start, value_at)
        _, position = _DECODER.raw_decode(text, value_at)
        position = _skip_whitespace(text, position)
        if text[position] == ",":
            position = _skip_whitespace(text, position + 1)
    return result


def _skip_whitespace(text: str, position: int) -> int:
    while position < len(text) and text[position] in _WHITESPACE:
        position += 1
    return position
