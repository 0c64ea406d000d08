"""The operator's side of the platform: configuration, replicas and orders.

The store is the project's own stand-in.
"""

import threading
import time
from typing import Any

from platform_tests.standin import store as store_lib
from review_fleet import clients
from review_fleet import record as record_lib
from review_fleet import replica as replica_lib

SERVICE = "kiosk"


def config(
    version: int, timeout_ms: int = 2500, slo_ms: int = 200
) -> dict[str, Any]:
    """Returns a configuration with an unsafe and a safe route."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{kind}",
                "host": clients.HOST_NAME,
                "path_prefix": prefix,
                "kind": kind,
                "timeout_ms": timeout_ms,
                "slo_ms": slo_ms,
                "priority": 2,
                "service": SERVICE,
                "max_attempts": attempts,
                "public": False,
            }
            for prefix, kind, attempts in (
                ("/pay/", "unsafe", 1),
                ("/stock/", "safe", 2),
            )
        ],
        "services": [
            {"name": SERVICE, "health_path": "/h", "max_connections": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "north", "api_keys": [clients.KEY]}],
    }


class Platform:
    """Writes to the store as the operator and the replicas do.

    Attributes:
        store: The store.
        replicas: All replicas that were started, also those that have left.
    """

    def __init__(self, record: record_lib.Record) -> None:
        """Starts a store with a configuration."""
        self.store = store_lib.Store()
        self.replicas: list[replica_lib.Replica] = []
        self._record = record
        self.store.put("config", "main", config(1))

    def add_replicas(
        self,
        count: int,
        version: str,
        fault: replica_lib.Fault = replica_lib.SOUND,
    ) -> list[replica_lib.Replica]:
        """Starts replicas of a version and registers them."""
        started = []
        for _ in range(count):
            name = f"i-{version}-{len(self.replicas)}"
            row = replica_lib.Replica(name, version, self._record, fault)
            self.replicas.append(row)
            started.append(row)
            self.store.put("servers", name, row.entry(SERVICE))
            self._record.write("replica is ready", replica=name)
        return started

    def order(self, version: str, duration_s: float) -> float:
        """Orders a version; returns when the store has acknowledged that.

        Only the spec is replaced: the status stays until a host writes one.
        """
        spec = {
            "service": SERVICE,
            "target": version,
            "duration_s": duration_s,
        }
        self.store.put("rollouts", SERVICE, spec, self.status())
        return self._record.write("order", target=version, duration=duration_s)

    def status(self) -> Any:
        """Returns the status of the order, or None."""
        try:
            return self.store.status_of("rollouts", SERVICE)
        except KeyError:
            return None

    def wait_for_state(
        self, version: str, states: tuple[str, ...], until_s: float
    ) -> str | None:
        """Waits until a host has recorded one of these states for a version.

        Args:
            version: Target of the order.
            states: States to wait for.
            until_s: Time limit on the clock of the record.

        Returns:
            The state, or None if there was none in time.
        """
        while self._record.now_s() < until_s:
            status = self.status() or {}
            state = status.get("state")
            if status.get("target") == version and state in states:
                self._record.write("recorded", **status)
                return str(state)
            time.sleep(0.02)
        return None

    def stop_now(self, rows: list[replica_lib.Replica]) -> None:
        """Stops replicas without draining, as at `completed`."""
        for row in rows:
            self.store.delete("servers", row.replica_id)
            self._record.write("replica stops", replica=row.replica_id)
            row.close()

    def drain_after(
        self, rows: list[replica_lib.Replica], wait_s: float
    ) -> threading.Thread:
        """Lets replicas report `draining` after a time, then leave."""

        def drain() -> None:
            time.sleep(wait_s)
            for row in rows:
                entry = row.entry(SERVICE, "draining")
                self.store.put("servers", row.replica_id, entry)
                self._record.write("replica drains", replica=row.replica_id)
            time.sleep(4.0)
            for row in rows:
                self.store.delete("servers", row.replica_id)

        thread = threading.Thread(target=drain, daemon=True)
        thread.start()
        return thread

    def close(self) -> None:
        """Stops the store and all replicas."""
        for row in self.replicas:
            row.close()
        self.store.close()
