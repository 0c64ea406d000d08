"""Service stand-in that counts the runs of each idempotency key."""

import os
import random
import time
from typing import Any

import bottle

from rattanpulley_standins._internal import faults
from rattanpulley_standins._internal import serving

CRASH_STATUS = 70
FAULT_CHECKS_BY_NAME: dict[str, faults.Check] = {
    "crash_before_run": faults.is_flag,
    "crash_after_run": faults.is_flag,
    "lose_answers": faults.is_count,
    "refuse": faults.is_flag,
    "slow_ms": faults.is_number,
}


def run(settings: dict[str, Any]) -> None:
    """Runs a service until the process exits.

    Args:
        settings: Settings with `name`, `version` and `listen`.
    """
    http = ServiceHttp(settings["name"], settings["version"])
    serving.serve(http.app, settings["listen"])


class ServiceHttp:
    """HTTP routes of the service.

    Args:
        name: Name of the target.
        version: Version that it runs.
    """

    def __init__(self, name: str, version: str) -> None:
        self.app = serving.new_app()
        self._name = name
        self._version = version
        self._boot_id = f"{random.SystemRandom().getrandbits(64):016x}"
        self._faults = faults.Faults(FAULT_CHECKS_BY_NAME)
        self._requests = 0
        self._runs = 0
        self._runs_by_key: dict[str, int] = {}
        self._add_routes()

    def _add_routes(self) -> None:
        app = self.app
        app.get("/health", callback=self._health)
        app.get("/stats", callback=self._stats)
        app.get("/faults", callback=self._faults.as_json)
        app.post("/faults", callback=self._set_faults)
        app.post("/<path:path>", callback=self._handle_call)

    def _handle_call(self, path: str) -> Any:
        body = serving.json_object()
        self._requests += 1
        if self._faults.get("refuse"):
            raise serving.RequestError(503, "the service refuses calls")
        if self._faults.get("crash_before_run"):
            os._exit(CRASH_STATUS)
        time.sleep((self._faults.get("slow_ms") or 0) / 1000)
        answer = self._run(path, body)
        if self._faults.get("crash_after_run"):
            os._exit(CRASH_STATUS)
        if self._faults.consume_one("lose_answers"):
            serving.abort_connection()
        return answer

    def _run(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        key = bottle.request.get_header("Idempotency-Key", "")
        self._runs += 1
        self._runs_by_key[key] = self._runs_by_key.get(key, 0) + 1
        return {
            "service": self._name,
            "path": path,
            "key": key,
            "runs": self._runs_by_key[key],
            "received": body,
        }

    def _health(self) -> dict[str, Any]:
        return {
            "boot_id": self._boot_id,
            "version": self._version,
            "state": "ready",
        }

    def _stats(self) -> dict[str, Any]:
        return {
            "requests": self._requests,
            "runs": self._runs,
            "runs_by_key": self._runs_by_key,
        }

    def _set_faults(self) -> dict[str, Any]:
        self._faults.update(serving.json_object())
        return self._faults.as_json()
