"""Peer messages as msgpack maps.

Fields are only ever added. A decoder ignores fields and message types that it
does not know, so that two releases can talk to each other during an upgrade.
"""

from collections.abc import Callable
from typing import Any

import msgpack

from rattanpulley_core import peers

# A table may be as large as a value of the object API.
MAX_MESSAGE_BYTES = 1_100_000


class MalformedMessageError(Exception):
    """A message does not follow the protocol."""


def encode(message: peers.Message) -> bytes:
    """Returns the bytes of a message."""
    name, encoder = _ENCODERS[type(message)]
    packed: bytes = msgpack.packb({"t": name, **encoder(message)})
    return packed


def make_unpacker() -> Any:
    """Returns a decoder of msgpack values with bounded memory."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)


def decode(value: Any) -> peers.Message | None:
    """Returns the message of an unpacked value, or None when unknown.

    Raises:
        MalformedMessageError: A known message lacks a field or has a field of
            another type.
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
        _text(value, "name"),
        _text(value, "domain"),
        _text(value, "address"),
        _integer(value, "incarnation"),
    )
    return peers.Hello(member, _data(value, "nonce"))


def _encode_fact(fact: peers.Fact) -> list[Any]:
    return [fact.kind.value, fact.key, fact.version, fact.value, fact.expires_s]


def _decode_fact(item: Any) -> peers.Fact | None:
    kind_name, key, version, value, expires_s = item[:5]
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise TypeError("a fact needs a text key and a bytes value")
    if not isinstance(version, int):
        raise TypeError("a fact's version must be an integer")
    if expires_s is not None and not isinstance(expires_s, int | float):
        raise TypeError("a fact's time left must be a number")
    kind = _KINDS_BY_NAME.get(kind_name)
    if kind is None:
        return None
    return peers.Fact(kind, key, version, value, expires_s)


def _decode_facts(value: dict[str, Any]) -> peers.Message:
    facts = [_decode_fact(item) for item in value["facts"]]
    return peers.Facts(tuple(fact for fact in facts if fact is not None))


def _decode_digests(value: dict[str, Any]) -> peers.Message:
    digests = tuple(value["digests"])
    if len(digests) != peers.BUCKET_COUNT:
        raise ValueError(f"{len(digests)} digests")
    if not all(isinstance(digest, bytes) for digest in digests):
        raise TypeError("digests must be bytes")
    return peers.FactsRequest(digests)


def _typed(kind: type) -> Callable[[dict[str, Any], str], Any]:
    def read(value: dict[str, Any], field: str) -> Any:
        if not isinstance(value[field], kind):
            raise TypeError(f"{field} must be {kind.__name__}")
        return value[field]

    return read


_text = _typed(str)
_integer = _typed(int)
_data = _typed(bytes)
_KINDS_BY_NAME = {kind.value: kind for kind in peers.FactKind}

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
    "welcome": lambda value: peers.Welcome(_data(value, "proof")),
    "heartbeat": lambda value: peers.Heartbeat(_integer(value, "incarnation")),
    "facts": _decode_facts,
    "facts_request": _decode_digests,
    "table_request": lambda value: peers.TableRequest(
        _text(value, "table"), _integer(value, "newer_than")
    ),
    "table_content": lambda value: peers.TableContent(
        _text(value, "table"),
        _integer(value, "version"),
        _data(value, "content"),
    ),
}
