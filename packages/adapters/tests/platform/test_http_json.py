"""Tests of the limits of a response of the object API."""

import types

import pytest

from rattanpulley_adapters._internal.platform import http_json
from rattanpulley_core import interfaces


class EndlessResponse:
    """A response whose body does not end; each read takes a second."""

    def __init__(self, part: bytes, clock: types.SimpleNamespace) -> None:
        self.part = part
        self.clock = clock
        self.ends: list[str] = []

    def read1(self, _size: int) -> bytes:
        self.clock.now += 1.0
        return self.part

    def close(self) -> None:
        self.ends.append("closed")

    def release_conn(self) -> None:
        self.ends.append("released")


# A body that trickled kept its call for ever, since each read had a timeout of
# its own; unread bytes went back to the pool with their connection.
@pytest.mark.parametrize(
    ("part", "reason"), [(b"x", "in time"), (b"x" * (8 << 20), "too large")]
)
def test_endless_body_is_an_error(monkeypatch, part, reason):
    clock = types.SimpleNamespace(now=0.0)
    fake_time = types.SimpleNamespace(monotonic=lambda: clock.now)
    monkeypatch.setattr(http_json, "time", fake_time)
    response = EndlessResponse(part, clock)
    with pytest.raises(interfaces.StoreUnavailableError, match=reason):
        http_json._read_bounded(response)
    assert response.ends == ["closed", "released"]
