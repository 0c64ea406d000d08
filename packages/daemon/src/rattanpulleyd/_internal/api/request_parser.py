"""Parses and validates the bodies of generation requests.

Fields that would change the answer but that engines do not support are
rejected, because ignoring them would give an answer that the caller did not ask
for.
"""

import dataclasses
import json
import math
from typing import Any

from rattanpulley_core import results
from rattanpulleyd import exceptions

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_SEED = 2**63 - 1
DEFAULT_TEMPERATURE = 1.0

# Unsupported fields and their values that request nothing; these are accepted.
_NEUTRAL_VALUES_BY_FIELD: dict[str, tuple[Any, ...]] = {
    "n": (1, None),
    "best_of": (1, None),
    "top_p": (1, None),
    "echo": (False, None),
    "logprobs": (False, None),
    "frequency_penalty": (0, None),
    "presence_penalty": (0, None),
    "stop": (None, []),
    "suffix": (None, ""),
    "tools": (None, []),
    "store": (False, None),
}
# Fields that do not affect the answer.
_IGNORED_FIELDS = frozenset({"user", "metadata"})
_KNOWN_FIELDS = frozenset(
    {"model", "max_tokens", "seed", "temperature", "stream", "stream_options"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A validated body.

    Attributes:
        model: Model name.
        prompt: Prompt text.
        max_tokens: Token limit that the caller set, or None.
        seed: Seed that the caller set, or None.
        temperature: Sampling temperature.
        stream: Whether the answer is streamed.
        include_usage: Whether a stream ends with token usage.
        canonical: JSON value of the fields that determine the answer.
    """

    model: str
    prompt: str
    max_tokens: int | None
    seed: int | None
    temperature: float
    stream: bool
    include_usage: bool
    canonical: dict[str, Any]


def malformed(path: str, problem: str) -> exceptions.RequestError:
    """Returns the error for an invalid value at a JSON path.

    Args:
        path: JSON path.
        problem: Description of what is wrong.
    """
    return exceptions.RequestError(
        results.ResultCode.MALFORMED_REQUEST, f"{path}: {problem}"
    )


def decode(data: bytes) -> dict[str, Any]:
    """Decodes a JSON body.

    Args:
        data: The body.

    Raises:
        exceptions.RequestError: The body is not a JSON object.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise malformed("$", "the body is not JSON") from error
    if not isinstance(value, dict):
        raise malformed("$", "the body is not a JSON object")
    return value


def parse(body: dict[str, Any], is_chat: bool) -> ParsedRequest:
    """Validates a body and returns its parsed form.

    Args:
        body: Decoded body.
        is_chat: Whether the request is a chat completion.

    Raises:
        exceptions.RequestError: The body is malformed.
    """
    _check_field_names(body, is_chat)
    prompt = _chat_prompt(body) if is_chat else _text(body, "prompt")
    limit_name = "max_tokens"
    if is_chat and body.get("max_completion_tokens") is not None:
        limit_name = "max_completion_tokens"
    model = _text(body, "model")
    max_tokens = _optional_integer(body, limit_name, 1, 2**31)
    seed = _optional_integer(body, "seed", 0, MAX_SEED)
    temperature = _temperature(body)
    stream = _flag(body, "$.", "stream")
    return ParsedRequest(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        seed=seed,
        temperature=temperature,
        stream=stream,
        include_usage=_include_usage(body, stream),
        canonical={
            "prompt": prompt,
            "max_tokens": max_tokens,
            "seed": seed,
            "temperature": temperature,
        },
    )


def _check_field_names(body: dict[str, Any], is_chat: bool) -> None:
    """Rejects unsupported fields that would change the answer."""
    specific = {"prompt"}
    if is_chat:
        specific = {"messages", "max_completion_tokens"}
    known = _KNOWN_FIELDS | _IGNORED_FIELDS | specific
    for name in sorted(body.keys() - known):
        if name not in _NEUTRAL_VALUES_BY_FIELD:
            raise malformed(f"$.{name}", "the field is not supported")
        if body[name] not in _NEUTRAL_VALUES_BY_FIELD[name]:
            raise malformed(f"$.{name}", "this value is not supported")


def _text(fields: dict[str, Any], name: str, path: str = "$") -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise malformed(f"{path}.{name}", "must be a string that is not empty")
    # A JSON escape can be an unpaired surrogate, which has no UTF-8 encoding.
    if not _is_encodable(value):
        raise malformed(f"{path}.{name}", "is not valid Unicode")
    return value


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _chat_prompt(body: dict[str, Any]) -> str:
    """Returns the messages as one prompt text."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise malformed("$.messages", "must be a list that is not empty")
    lines = []
    for number, message in enumerate(messages):
        path = f"$.messages[{number}]"
        if not isinstance(message, dict):
            raise malformed(path, "must be an object")
        role = _text(message, "role", path)
        lines.append(f"{role}: {_content(message.get('content'), path)}\n")
    return "".join(lines) + "assistant:"


def _content(value: Any, path: str) -> str:
    """Returns the text of a message; parts other than text are rejected."""
    if isinstance(value, list):
        parts = [
            _text_part(part, f"{path}.content[{number}]")
            for number, part in enumerate(value)
        ]
        return "".join(parts)
    return _text({"content": value}, "content", path)


def _text_part(part: Any, path: str) -> str:
    if not isinstance(part, dict) or part.get("type") != "text":
        raise malformed(path, "must be a part of type text")
    return _text(part, "text", path)


def _optional_integer(
    fields: dict[str, Any], name: str, minimum: int, maximum: int
) -> int | None:
    value = fields.get(name)
    if value is None:
        return None
    if type(value) is not int or not minimum <= value <= maximum:
        raise malformed(f"$.{name}", f"must be a whole number from {minimum}")
    return value


def _temperature(body: dict[str, Any]) -> float:
    value = body.get("temperature")
    if value is None:
        return DEFAULT_TEMPERATURE
    if type(value) not in (int, float) or not math.isfinite(value):
        raise malformed("$.temperature", "must be a number")
    if not 0 <= value <= 2:
        raise malformed("$.temperature", "must be a number from 0 to 2")
    return float(value)


def _flag(fields: dict[str, Any], path: str, name: str) -> bool:
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise malformed(f"{path}{name}", "must be true or false")
    return bool(value)


def _include_usage(body: dict[str, Any], stream: bool) -> bool:
    options = body.get("stream_options")
    if options is None:
        return False
    if not stream or not isinstance(options, dict):
        raise malformed("$.stream_options", "must be an object, with a stream")
    unknown = sorted(options.keys() - {"include_usage"})
    if unknown:
        path = f"$.stream_options.{unknown[0]}"
        raise malformed(path, "the field is not supported")
    return _flag(options, "$.stream_options.", "include_usage")
