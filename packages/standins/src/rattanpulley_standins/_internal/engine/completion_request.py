"""Strict validation of completion requests."""

from collections.abc import Callable
import dataclasses
import re
from typing import Any

from rattanpulley_standins._internal import faults
from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.engine import tokens

MAX_TOKENS = 65_536
_GENERATION_ID = re.compile(r"[0-9a-f]{32}")
_LENGTH = re.compile(r"\blength=([1-9][0-9]{0,5})\b")


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Request to compute a generation.

    Attributes:
        generation_id: 32 hex digits.
        attempt: Number of the attempt, starting at 1.
        model: Name of the model.
        version: Version that the engine is expected to run.
        prompt: Prompt text.
        max_tokens: Maximum length of the answer, in tokens.
        seed: Seed of the sampling.
        temperature: Temperature of the sampling.
        priority: Priority; larger values are scheduled first.
        resume_tokens: Tokens at the start of the answer that were already
            generated.
    """

    generation_id: str
    attempt: int
    model: str
    version: str
    prompt: str
    max_tokens: int
    seed: int
    temperature: float
    priority: int
    resume_tokens: tuple[str, ...]

    def answer_length(self) -> int:
        """Returns the number of tokens of the complete answer.

        The prompt sets it with `length=N`, up to `max_tokens`.
        """
        match = _LENGTH.search(self.prompt)
        if match is None:
            return self.max_tokens
        return min(int(match[1]), self.max_tokens)


def _is_string_list(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(t, str) for t in value)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_generation_id(value: Any) -> bool:
    return isinstance(value, str) and bool(_GENERATION_ID.fullmatch(value))


def _is_max_tokens(value: Any) -> bool:
    return faults.is_count(value) and 1 <= value <= MAX_TOKENS


_CHECKS_BY_FIELD: dict[str, Callable[[Any], bool]] = {
    "model": faults.is_text,
    "version": faults.is_text,
    "prompt": lambda value: isinstance(value, str),
    "stream": lambda value: value is True,
    "max_tokens": _is_max_tokens,
    "seed": _is_integer,
    "temperature": faults.is_number,
    "generation_id": _is_generation_id,
    "attempt": lambda value: faults.is_count(value) and value >= 1,
    "resume_tokens": _is_string_list,
    "priority": _is_integer,
}


def parse(body: dict[str, Any], engine_version: str) -> CompletionRequest:
    """Parses the body of `POST /v1/completions`.

    Args:
        body: JSON object of the request.
        engine_version: Version that the engine runs.

    Raises:
        serving.RequestError: The request is malformed or expects another
            version; status 422.
    """
    _check_fields(body)
    fields = {name: body[name] for name in body if name != "stream"}
    fields["resume_tokens"] = tuple(body["resume_tokens"])
    request = CompletionRequest(**fields)
    if request.version != engine_version:
        raise serving.RequestError(
            422, f"this engine runs {engine_version}, not {request.version}"
        )
    error = tokens.find_prefix_error(
        request.generation_id, request.version, body["resume_tokens"]
    )
    if error is not None:
        raise serving.RequestError(422, error)
    if len(request.resume_tokens) > request.answer_length():
        raise serving.RequestError(
            422, "there are more resume tokens than the answer has tokens"
        )
    return request


def _check_fields(body: dict[str, Any]) -> None:
    unknown = sorted(body.keys() - _CHECKS_BY_FIELD.keys())
    missing = sorted(_CHECKS_BY_FIELD.keys() - body.keys())
    if unknown or missing:
        raise serving.RequestError(
            422, f"unknown fields {unknown}, missing fields {missing}"
        )
    for name, check in _CHECKS_BY_FIELD.items():
        if not check(body[name]):
            raise serving.RequestError(422, f"{name} is not valid")
