"""Cost of unrepeatable actions with one claim object for each key."""

import dataclasses
import json
import random
import time
import tracemalloc
from typing import Any

from rattanpulley_core import claims
from rattanpulley_core import interfaces
from rattanpulley_standins._internal.measure import samples

ACTION_COUNTS = (100, 300, 1_000)
LISTING_COUNTS = (1_000, 3_000, 10_000)
REPEATS = 5
# The clock of the calls reads 0, so every record has expired at this time.
AFTER_RETENTION_S = 2 * claims.CLAIM_RETENTION_S
COMMAND = "make measure"
US_PER_S = 1e6


class _InMemoryStore(interfaces.ObjectStore):
    """In-memory object store that counts its writes."""

    def __init__(self) -> None:
        self.objects_by_key: dict[str, interfaces.StoredObject] = {}
        self.write_count = 0

    def get(self, key: str) -> interfaces.StoredObject | None:
        return self.objects_by_key.get(key)

    def put(
        self, key: str, value: Any, expected_version: int
    ) -> interfaces.StoredObject:
        current = self.objects_by_key.get(key)
        version = current.version if current is not None else 0
        if version != expected_version:
            raise interfaces.StoreConflictError(key, version)
        self.write_count += 1
        stored = interfaces.StoredObject(
            key, value, version + 1, self.write_count
        )
        self.objects_by_key[key] = stored
        return stored

    def delete(self, key: str, expected_version: int) -> None:
        current = self.objects_by_key[key]
        if current.version != expected_version:
            raise interfaces.StoreConflictError(key, current.version)
        self.write_count += 1
        del self.objects_by_key[key]

    def list_objects(
        self, prefix: str
    ) -> tuple[list[interfaces.StoredObject], int]:
        return list(self.objects_by_key.values()), self.write_count

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[interfaces.StoredObject], int]:
        return [], self.write_count


class _InstantService(interfaces.ServiceApi):
    """Service that answers immediately."""

    def call(
        self, order: interfaces.ServiceRequest
    ) -> interfaces.ServiceAnswer:
        return interfaces.ServiceAnswer(200, (), b'{"booked":true}')


class _FixedClock(interfaces.Clock):
    """Clock that always reads 0."""

    def monotonic_s(self) -> float:
        return 0.0

    def wall_s(self) -> float:
        return 0.0


def measure() -> list[samples.Slope]:
    """Returns the slopes of the claims component."""
    runs = [_run_actions(count) for count in ACTION_COUNTS]
    units = (
        ("claims.store_writes", "writes"),
        ("claims.stored_bytes", "bytes"),
        ("claims.cpu_us", "us"),
    )
    slopes = [
        samples.fit(name, "actions", unit, COMMAND, [run[i] for run in runs])
        for i, (name, unit) in enumerate(units)
    ]
    return [*slopes, *_measure_retention()]


def _measure_retention() -> list[samples.Slope]:
    """Returns the slopes of deleting, tracking and listing records."""
    writes = [_writes_with_deletes(count) for count in ACTION_COUNTS]
    memory = [_retention_memory_bytes(count) for count in ACTION_COUNTS]
    listing = [_listing_us(count) for count in LISTING_COUNTS]
    return [
        samples.fit(
            "claims.writes_with_delete",
            "actions",
            "writes, the delete after the retention included",
            COMMAND,
            writes,
        ),
        samples.fit(
            "claims.own_memory_bytes",
            "remembered records",
            "bytes",
            COMMAND,
            memory,
        ),
        samples.fit(
            "claims.listing_parse_us",
            "listed records",
            "us without a pause for one parse of the listing",
            COMMAND,
            listing,
        ),
    ]


def _writes_with_deletes(count: int) -> samples.Sample:
    store = _InMemoryStore()
    retention = claims.RecordRetention(random.Random(1), 0.0)
    for index in range(count):
        call = _make_call(index)
        claims.run(call, store, _InstantService(), _FixedClock())
        if call.expiring_record is not None:
            retention.remember(call.expiring_record)
    now_s = 0.0
    while retention.remembered_count:
        now_s += 0.1
        action = retention.tick(now_s, AFTER_RETENTION_S)
        if isinstance(action, claims.DeleteRecord):
            store.delete(action.record.key, action.record.version)
    return samples.Sample(count, float(store.write_count))


def _retention_memory_bytes(count: int) -> samples.Sample:
    retention = claims.RecordRetention(random.Random(1), 0.0)
    tracemalloc.start()
    for index in range(count):
        key = claims.claim_key("account", f"key-{index}")
        retention.remember(claims.ExpiringRecord(float(index), key, index + 2))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return samples.Sample(count, float(size))


def _listing_us(count: int) -> samples.Sample:
    store = _InMemoryStore()
    for index in range(count):
        claims.run(_make_call(index), store, _InstantService(), _FixedClock())
    rows, revision = store.list_objects(claims.KEY_PREFIX)
    text = json.dumps(
        {"objects": [dataclasses.asdict(r) for r in rows], "revision": revision}
    )
    best_s = float("inf")
    for _ in range(REPEATS):
        start_s = time.process_time()
        json.loads(text)
        best_s = min(best_s, time.process_time() - start_s)
    return samples.Sample(count, best_s * US_PER_S)


def _run_actions(
    count: int,
) -> tuple[samples.Sample, samples.Sample, samples.Sample]:
    store = _InMemoryStore()
    start_s = time.process_time()
    for index in range(count):
        claims.run(_make_call(index), store, _InstantService(), _FixedClock())
    cpu_us = (time.process_time() - start_s) * US_PER_S
    stored = sum(
        len(json.dumps(item.value)) for item in store.objects_by_key.values()
    )
    return (
        samples.Sample(count, float(store.write_count)),
        samples.Sample(count, float(stored)),
        samples.Sample(count, cpu_us),
    )


def _make_call(index: int) -> claims.ClaimCall:
    order = interfaces.ServiceRequest(
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
