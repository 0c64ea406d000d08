"""Tests for the validation of request bodies."""

from typing import Any

import pytest

from rattanpulley_core import results
from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import request_parser


def test_chat_messages_become_one_prompt() -> None:
    """Guards against lost roles or message parts."""
    body = {
        "model": "m",
        "messages": [
            {"role": "system", "content": "short"},
            {"role": "user", "content": [{"type": "text", "text": "hi"}]},
        ],
        "max_completion_tokens": 5,
        "n": 1,
    }
    parsed = request_parser.parse(body, is_chat=True)
    assert parsed.prompt == "system: short\nuser: hi\nassistant:"
    assert parsed.max_tokens == 5


def test_stream_and_user_do_not_change_the_canonical_body() -> None:
    """Guards against different fingerprints for the same computation."""
    body: dict[str, Any] = {"model": "m", "prompt": "p", "seed": 1}
    one = request_parser.parse(body, is_chat=False)
    body |= {"stream": True, "user": "u"}
    other = request_parser.parse(body, is_chat=False)
    assert one.canonical == other.canonical


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"model": ""}, "$.model"),
        ({"prompt": ["a"]}, "$.prompt"),
        ({"prompt": "\ud800"}, "$.prompt"),
        ({"max_tokens": 0}, "$.max_tokens"),
        ({"max_tokens": True}, "$.max_tokens"),
        ({"seed": -1}, "$.seed"),
        ({"seed": 1.5}, "$.seed"),
        ({"temperature": "hot"}, "$.temperature"),
        ({"temperature": float("nan")}, "$.temperature"),
        ({"stream": 1}, "$.stream"),
        ({"stream_options": {"include_usage": True}}, "$.stream_options"),
        ({"n": 2}, "$.n"),
        ({"stop": ["x"]}, "$.stop"),
        ({"tools": [{}]}, "$.tools"),
        ({"unknown": None}, "$.unknown"),
    ],
)
def test_invalid_field_is_rejected_with_its_path(
    fields: dict[str, Any], path: str
) -> None:
    """Guards against fields that are silently ignored."""
    body = {"model": "m", "prompt": "p", **fields}
    with pytest.raises(exceptions.RequestError) as raised:
        request_parser.parse(body, is_chat=False)
    assert raised.value.code is results.ResultCode.MALFORMED_REQUEST
    assert raised.value.message.startswith(path + ":")


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b"\xff", b"[" * 10**5])
def test_bodies_without_an_object_are_rejected(data: bytes) -> None:
    """Guards against an internal error for a body that is not an object."""
    with pytest.raises(exceptions.RequestError):
        request_parser.decode(data)
