"""OpenAI-compatible wire format of answers."""

from collections.abc import Callable
import dataclasses
import json
from json import encoder
from typing import Any

from rattanpulley_core import generations

DONE = b"data: [DONE]\n\n"
KEEP_ALIVE = b": keep-alive\n\n"

EventIdFunction = Callable[[generations.DeliverTokens, int], str]

_quote = encoder.encode_basestring_ascii


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Fields that are the same in all parts of an answer.

    Attributes:
        generation_id: Id of the generation.
        model: Model name of the request.
        created_s: Time of the request in Unix seconds.
        is_chat: Whether the request is a chat completion.
        include_usage: Whether a stream ends with token usage.
    """

    generation_id: str
    model: str
    created_s: int
    is_chat: bool
    include_usage: bool = False

    @property
    def response_id(self) -> str:
        """Id of the answer in the OpenAI format."""
        prefix = "chatcmpl" if self.is_chat else "cmpl"
        return f"{prefix}-{self.generation_id}"


class StreamFormat:
    """Renders the parts of one streamed answer."""

    def __init__(
        self,
        metadata: ResponseMetadata,
        event_id_of: EventIdFunction,
        last_event_id: str,
    ) -> None:
        """Renders the fields that all parts share.

        Args:
            metadata: Fields that are the same in all parts.
            event_id_of: Returns the event id of a token in a delivery.
            last_event_id: Event id with which the caller reconnected, or "".
        """
        self._metadata = metadata
        self._event_id_of = event_id_of
        self._last_event_id = last_event_id
        kind = (
            "chat.completion.chunk" if metadata.is_chat else "text_completion"
        )
        self._start = (
            f'{{"id":{_quote(metadata.response_id)},"object":"{kind}",'
            f'"created":{metadata.created_s},"model":{_quote(metadata.model)},'
            '"choices":['
        )
        field = '"delta":{"content":' if metadata.is_chat else '"text":'
        first_field = '"delta":{"role":"assistant","content":'
        close = "}" if metadata.is_chat else ""
        self._first_token_start = (
            f'data: {self._start}{{"index":0,{first_field}'
        )
        self._token_start = f'data: {self._start}{{"index":0,{field}'
        self._token_end = (
            f'{close},"logprobs":null,"finish_reason":null}}]}}\n\n'
        )

    def tokens(self, action: generations.DeliverTokens) -> bytes:
        """Returns one event for each token of a delivery.

        Args:
            action: The delivery.
        """
        parts = []
        event_id = self._last_event_id
        for position, token in enumerate(action.tokens):
            event_id = self._event_id_of(action, position)
            start = self._token_start
            if self._metadata.is_chat and action.first_index + position == 0:
                start = self._first_token_start
            parts.append(
                f"id: {event_id}\n{start}{_quote(token)}{self._token_end}"
            )
        self._last_event_id = event_id
        return "".join(parts).encode()

    def finish(self, action: generations.FinishAnswer) -> bytes:
        """Returns the events that end the answer.

        They carry the id of the last token, so that a caller that loses the
        connection between them receives all of them again.

        Args:
            action: The end of the answer.
        """
        field = '"delta":{}' if self._metadata.is_chat else '"text":""'
        choice = (
            f'{{"index":0,{field},"logprobs":null,'
            f'"finish_reason":{_quote(action.finish_reason)}}}'
        )
        id_line = f"id: {self._last_event_id}\n" if self._last_event_id else ""
        text = f"{id_line}data: {self._start}{choice}]}}\n\n"
        if self._metadata.include_usage:
            counts = json.dumps(usage(action.token_count))
            text += f'{id_line}data: {self._start}],"usage":{counts}}}\n\n'
        return f"{text}{id_line}".encode() + DONE


def usage(completion_tokens: int) -> dict[str, int]:
    """Returns the token usage of an answer.

    Engines do not report the length of the prompt, so it is given as 0.

    Args:
        completion_tokens: Number of tokens of the answer.
    """
    return {
        "prompt_tokens": 0,
        "completion_tokens": completion_tokens,
        "total_tokens": completion_tokens,
    }


def completion_body(
    metadata: ResponseMetadata, text: str, action: generations.FinishAnswer
) -> dict[str, Any]:
    """Returns the body of an answer that is not streamed.

    Args:
        metadata: Fields that stream parts and complete answers share.
        text: Text of the answer.
        action: The end of the answer.
    """
    choice: dict[str, Any] = {"index": 0, "logprobs": None}
    if metadata.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = action.finish_reason
    return {
        "id": metadata.response_id,
        "object": "chat.completion" if metadata.is_chat else "text_completion",
        "created": metadata.created_s,
        "model": metadata.model,
        "choices": [choice],
        "usage": usage(action.token_count),
    }


def model_list(models: list[str]) -> dict[str, Any]:
    """Returns the body of the list of models.

    Args:
        models: Names of the models.
    """
    rows = [
        {
            "id": name,
            "object": "model",
            "created": 0,
            "owned_by": "rattanpulley",
        }
        for name in models
    ]
    return {"object": "list", "data": rows}
