"""Tests of hosts whose answers or addresses are not as agreed."""

import dataclasses
import json

import pytest
import relay_builders

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import bounded_http
from rattanpulleyd._internal.relay import peer_reader
from rattanpulleyd._internal.relay import state_exchange

PEER = serving.HostEntry("a", "north", "127.0.0.1:9")
OWN = serving.HostEntry("b", "north", "")
TARGET = relay_builders.target("t")
ROW = list(dataclasses.astuple(TARGET))
DEEP = b"[" * 100_000 + b"]" * 100_000


class Pool:
    """Connections to a host that returns the same body to each request."""

    status = 200

    def request(self, *_arguments, **_options):
        return self


ODD_FIELDS = [
    {"target_id": 7},
    {"pool": None},
    {"host": None},
    {"port": 0},
    {"port": 65536},
    {"port": True},
    {"domain": []},
    {"slots": 1.5},
    {"leaving": "yes"},
    {"warmup_left_s": "0.0"},
    {"started_ms": True},
]
ODD_ROWS = [
    *(
        list(dataclasses.astuple(dataclasses.replace(TARGET, **change)))
        for change in ODD_FIELDS
    ),
    ROW[:-1],
    [*ROW, 1],
    7,
]


def read(monkeypatch, body: bytes, address: str = "") -> object:
    """Returns what a host takes from the body as configuration and targets."""
    entry = dataclasses.replace(PEER, address=address or PEER.address)
    context = relay_builders.make_context("b")
    context.cached_config.accept(relay_builders.config(7), 0.0)
    context.fleet.replace_all([entry, OWN])
    if not address:
        monkeypatch.setattr(
            state_exchange.PeerClient, "_pool", lambda *_arguments: Pool()
        )
        monkeypatch.setattr(bounded_http, "read_body", lambda *_a: body)
    confirmed = peer_reader.PeerReader(context, OWN).config_confirmed_at_s(9.0)
    changes = peer_reader.PeerReader(context, OWN).fetch_target_changes(1, 9.0)
    return confirmed, changes


@pytest.mark.parametrize(
    "address", ["x", "", ":", "127.0.0.1:70000", "127.0.0.1:²", "[::", "a b:1"]
)
def test_host_with_an_odd_address_is_passed_over(monkeypatch, address):
    # Guards against a single entry that stops all state from being followed.
    assert read(monkeypatch, b"{}", address or " ") == (None, None)


@pytest.mark.parametrize(
    "body", [DEEP, b'{"a":' + b"9" * 6000 + b"}", b"\xff", b"7"]
)
def test_host_with_an_odd_answer_is_passed_over(monkeypatch, body):
    # Guards against a single host that stops all state from being followed.
    assert read(monkeypatch, body) == (None, None)


@pytest.mark.parametrize("age_s", [-1e9, float("nan"), float("inf"), 10**400])
def test_report_from_the_future_confirms_nothing(monkeypatch, age_s):
    # Guards against removed keys that stay valid.
    config = {"version": 7, "age_s": age_s}
    digest = state_exchange.ConfigDigest().compute(relay_builders.config(7))
    targets = {"position": 2, "changed": [], "removed": []}
    body = json.dumps(config | targets | {"digest": digest}).encode()
    assert read(monkeypatch, body) == (None, None)


@pytest.mark.parametrize("row", ODD_ROWS)
def test_odd_target_of_a_host_is_not_used(monkeypatch, row):
    # Guards against targets that fail each request that is sent to them.
    document = {"position": 2, "removed": [], "age_s": 0.0}
    sound = json.dumps(document | {"changed": [ROW]}).encode()
    assert read(monkeypatch, sound)[1] is not None
    odd = json.dumps(document | {"changed": [row]}).encode()
    assert read(monkeypatch, odd)[1] is None


@pytest.mark.parametrize("field", ["crashes", "part_crashes"])
@pytest.mark.parametrize("reports", [7, [7], [[1] * 8], [[[]] * 9]])
def test_odd_crash_reports_are_no_program_error(monkeypatch, field, reports):
    # Guards against a single host that stops all state from being followed.
    batch = {"log": "l", "position": 1, "reports": reports}
    document = {"behind": True, "age_s": 0.0, field: batch}
    read(monkeypatch, json.dumps(document).encode())
    read(monkeypatch, json.dumps(document | {field: 7}).encode())
