"""Encodes peer messages as msgpack maps.

Compatibility: fields may be added but never removed or changed. A decoder
ignores unknown fields and message types, so that daemons of two releases can
communicate during an upgrade.
"""

from collections.abc import Callable
from typing import Any

import msgpack

from rattanpulley_core import peers

# Covers a table of the maximum value size of the object API, 1 MiB, and the
# other fields of its message.
MAX_MESSAGE_BYTES = 1_100_000


class MalformedMessageError(Exception):
    """A message violates the peer protocol."""


def encode(message: peers.Message) -> bytes:
    """Returns the msgpack encoding of a message."""
    name, encoder = _ENCODERS[type(message)]
    packed: bytes = msgpack.packb({"t": name, **encoder(message)})
    return packed


def make_unpacker() -> Any:
    """Returns a streaming msgpack decoder.

    Its buffer is limited to `MAX_MESSAGE_BYTES`.
    """
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)


def decode(value: Any) -> peers.Message | None:
    """Decodes a message.

    Args:
        value: Unpacked msgpack value.

    Returns:
        The message, or None if its type is unknown.

    Raises:
        MalformedMessageError: The value is not a map, or a message of a known
            type lacks a field or has a field of the wrong type.
    """
    if not isinstance(value, dict):
        raise MalformedMessageError("a message must be a map")
    decoder = _DECODERS.get(value.get("t"))
    if decoder is None:
        return None
    try:
        return decoder(value)
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError(f"{value['t']}: {error}") from error


def _encode_hello(message: peers.Hello) -> dict[str, Any]:
    member = message.member
    return {
        "name": member.name,
        "domain": member.failure_domain,
        "address": member.address,
        "incarnation": member.incarnation,
        "nonce": message.nonce,
    }


def _decode_hello(value: dict[str, Any]) -> peers.Message:
    member = peers.Member(
        _text_field(value, "name"),
        _text_field(value, "domain"),
        _text_field(value, "address"),
        _integer_field(value, "incarnation"),
    )
    return peers.Hello(member, _bytes_field(value, "nonce"))


def _encode_fact(fact: peers.Fact) -> list[Any]:
    return [fact.kind.value, fact.key, fact.version, fact.value, fact.expires_s]


def _decode_fact(item: Any) -> peers.Fact | None:
    kind_value, key, version, value, expires_s = item[:5]
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise TypeError("a fact must have a string key and a bytes value")
    if not isinstance(version, int):
        raise TypeError("the version of a fact must be an integer")
    if expires_s is not None and not isinstance(expires_s, int | float):
        raise TypeError("the remaining time of a fact must be a number")
    kind = _KINDS_BY_VALUE.get(kind_value)
    if kind is None:
        return None
    return peers.Fact(kind, key, version, value, expires_s)


def _decode_facts(value: dict[str, Any]) -> peers.Message:
    facts = [_decode_fact(item) for item in value["facts"]]
    return peers.Facts(tuple(fact for fact in facts if fact is not None))


def _decode_digests(value: dict[str, Any]) -> peers.Message:
    digests = tuple(value["digests"])
    if len(digests) != peers.BUCKET_COUNT:
        raise ValueError(f"unexpected number of digests: {len(digests)}")
    if not all(isinstance(digest, bytes) for digest in digests):
        raise TypeError("digests must be bytes")
    return peers.FactsRequest(digests)


def _typed_field(kind: type) -> Callable[[dict[str, Any], str], Any]:
    """Returns a function that reads a field and checks its type."""

    def read(value: dict[str, Any], field: str) -> Any:
        if not isinstance(value[field], kind):
            raise TypeError(f"{field} must be {kind.__name__}")
        return value[field]

    return read


_text_field = _typed_field(str)
_integer_field = _typed_field(int)
_bytes_field = _typed_field(bytes)
_KINDS_BY_VALUE = {kind.value: kind for kind in peers.FactKind}

_Encoder = tuple[str, Callable[[Any], dict[str, Any]]]
_ENCODERS: dict[type, _Encoder] = {
    peers.Hello: ("hello", _encode_hello),
    peers.Welcome: ("welcome", lambda message: {"proof": message.proof}),
    peers.Heartbeat: (
        "heartbeat",
        lambda message: {"incarnation": message.incarnation},
    ),
    peers.Facts: (
        "facts",
        lambda message: {"facts": [_encode_fact(f) for f in message.facts]},
    ),
    peers.FactsRequest: (
        "facts_request",
        lambda message: {"digests": list(message.digests)},
    ),
    peers.TableRequest: (
        "table_request",
        lambda message: {
            "table": message.table,
            "newer_than": message.newer_than,
        },
    ),
    peers.TableContent: (
        "table_content",
        lambda message: {
            "table": message.table,
            "version": message.version,
            "content": message.content,
        },
    ),
}

_DECODERS: dict[Any, Callable[[dict[str, Any]], peers.Message]] = {
    "hello": _decode_hello,
    "welcome": lambda value: peers.Welcome(_bytes_field(value, "proof")),
    "heartbeat": lambda value: peers.Heartbeat(
        _integer_field(value, "incarnation")
    ),
    "facts": _decode_facts,
    "facts_request": _decode_digests,
    "table_request": lambda value: peers.TableRequest(
        _text_field(value, "table"), _integer_field(value, "newer_than")
    ),
    "table_content": lambda value: peers.TableContent(
        _text_field(value, "table"),
        _integer_field(value, "version"),
        _bytes_field(value, "content"),
    ),
}
