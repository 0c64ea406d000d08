"""Tests of the line numbers of JSON fields."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanpulley._internal.documents import positions


def paths(value, keys=()):
    """Yields the paths of all fields in text order."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield (*keys, key)
            yield from paths(inner, (*keys, key))


NESTED = st.recursive(
    st.integers() | st.text(max_size=4) | st.lists(st.text(max_size=3)),
    lambda inner: st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=10,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.dictionaries(st.text(max_size=4), NESTED, max_size=3))
def test_line_number_is_that_of_the_key(value):
    # Guards against an error that is reported at the line of another field.
    text = json.dumps(value, indent=1)
    lines = text.split("\n")
    for keys in paths(value):
        line = lines[positions.line_number(text, keys) - 1]
        assert line.startswith(" " * len(keys) + json.dumps(keys[-1]) + ":")


def test_missing_field_has_the_line_of_its_parent():
    text = '{\n"rows": {\n"a": {}}}'
    assert positions.line_number(text, ("rows", "a", "pool")) == 3
