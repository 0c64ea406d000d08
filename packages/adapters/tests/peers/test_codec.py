"""Tests of the peer message codec."""

import msgpack
import pytest

from rattanpulley_adapters import peer_codec
from rattanpulley_core import peers

MEMBER = peers.Member("d0", "north", "127.0.0.1:1", 7)
FACT = peers.Fact(peers.FactKind.CRASH_REPORT, "k", 1, b"v", 12.5)


@pytest.mark.parametrize(
    "message",
    [
        peers.Hello(MEMBER, b"n" * 16),
        peers.Welcome(b"p" * 32),
        peers.Heartbeat(7),
        peers.Facts((FACT,)),
        peers.FactsRequest((b"12345678",) * peers.BUCKET_COUNT),
        peers.TableRequest("routes", 3),
        peers.TableContent("routes", 4, b"content"),
    ],
)
def test_messages_round_trip(message):
    # Guards against a field that the encoder or the decoder drops.
    value = msgpack.unpackb(peer_codec.encode(message))
    assert peer_codec.decode(value) == message


def test_unknown_types_and_fields_are_ignored():
    # Guards against streams that fail while only one end is upgraded.
    assert peer_codec.decode({"t": "introduced_later"}) is None
    assert peer_codec.decode({"t": "heartbeat", "incarnation": 1, "new": 2})
    fact_of_unknown_kind = ["introduced_later", "k", 1, b"v", None]
    decoded = peer_codec.decode({"t": "facts", "facts": [fact_of_unknown_kind]})
    assert decoded == peers.Facts(())


@pytest.mark.parametrize(
    "value",
    [
        [],
        {"t": "heartbeat"},
        {"t": "heartbeat", "incarnation": "1"},
        {"t": "facts", "facts": [["member", 1, 1, b"", None]]},
        {"t": "facts", "facts": [[]]},
        {"t": "facts_request", "digests": []},
    ],
)
def test_malformed_messages_are_rejected(value):
    # Guards against malformed messages that reach `PeerCore`.
    with pytest.raises(peer_codec.MalformedMessageError):
        peer_codec.decode(value)
