"""Cost of unrepeatable actions with one claim object for each key."""

import json
import time
from typing import Any

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_standins._internal.measure import samples

ACTION_COUNTS = (100, 300, 1_000)
COMMAND = "make measure"
US_PER_S = 1e6


class _DictStore(interfaces.ObjectStore):
    """Object store in memory that counts writes and stored bytes."""

    def __init__(self) -> None:
        self.objects_by_key: dict[str, interfaces.StoredObject] = {}
        self.write_count = 0

    def get(self, key: str) -> interfaces.StoredObject | None:
        return self.objects_by_key.get(key)

    def put(
        self, key: str, value: Any, expected_version: int
    ) -> interfaces.StoredObject:
        held = self.objects_by_key.get(key)
        version = held.version if held is not None else 0
        if version != expected_version:
            raise interfaces.StoreConflictError(key, version)
        self.write_count += 1
        stored = interfaces.StoredObject(
            key, value, version + 1, self.write_count
        )
        self.objects_by_key[key] = stored
        return stored

    def delete(self, key: str, expected_version: int) -> None:
        del self.objects_by_key[key]

    def list_objects(
        self, prefix: str
    ) -> tuple[list[interfaces.StoredObject], int]:
        return list(self.objects_by_key.values()), self.write_count

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[interfaces.StoredObject], int]:
        return [], self.write_count


class _Service(interfaces.ServiceApi):
    """Service that answers at once."""

    def call(self, order: interfaces.ServiceOrder) -> interfaces.ServiceAnswer:
        return interfaces.ServiceAnswer(200, (), b'{"booked":true}')


class _Clock(interfaces.Clock):
    """Clock that stands still."""

    def monotonic_s(self) -> float:
        return 0.0

    def wall_s(self) -> float:
        return 0.0


def measure() -> list[samples.Slope]:
    """Returns the slopes of the claims part."""
    runs = [_run_actions(count) for count in ACTION_COUNTS]
    units = (
        ("claims.store_writes", "writes"),
        ("claims.stored_bytes", "bytes"),
        ("claims.cpu_us", "us"),
    )
    return [
        samples.fit(name, "actions", unit, COMMAND, [run[i] for run in runs])
        for i, (name, unit) in enumerate(units)
    ]


def _run_actions(
    count: int,
) -> tuple[samples.Sample, samples.Sample, samples.Sample]:
    store = _DictStore()
    start_s = time.process_time()
    for index in range(count):
        claims.run(_call(index), store, _Service(), _Clock())
    busy_us = (time.process_time() - start_s) * US_PER_S
    stored = sum(
        len(json.dumps(item.value)) for item in store.objects_by_key.values()
    )
    return (
        samples.Sample(count, float(store.write_count)),
        samples.Sample(count, float(stored)),
        samples.Sample(count, busy_us),
    )


def _call(index: int) -> claims.ClaimCall:
    order = interfaces.ServiceOrder(
        target="deposits-1",
        url="http://127.0.0.1:1",
        path="/charge",
        method="POST",
        headers=(),
        body=b"{}",
        timeout_s=10.0,
        fresh_connection=True,
    )
    request = claims.ClaimRequest(
        account="account",
        idempotency_key=f"key-{index}",
        fingerprint="0" * 64,
        token=f"{index:032x}",
        daemon="entry-1",
        max_call_s=10.0,
        order=order,
    )
    return claims.ClaimCall(request)
