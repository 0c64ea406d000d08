"""Fakes of the store, the service and the clock for the claim tests."""

import json
import string

from rattanpulley_core import claims
from rattanpulley_core import interfaces

SAFE_CHARACTERS = string.ascii_letters + string.digits + "-_"
SERVICE_ANSWER = interfaces.ServiceAnswer(
    200, (("X-Kind", "a"),), b"\x00served"
)
ORDER = interfaces.ServiceRequest(
    "s1", "u", "/p", "POST", (), b"x", 60.0, False
)


def round_trip_json(value):
    return json.loads(json.dumps(value))


class FakeStore(interfaces.ObjectStore):
    """In-memory store; `script` lists the faults of the next calls.

    The faults are `ok` (none), `down` (no effect, no answer), `lost_after` (a
    write takes effect without an answer), `conflict` (another writer writes
    first), `stale` (a read returns the previous version) and `late` (no answer;
    a write takes effect before the call after the next one, unless the version
    has changed).
    """

    def __init__(self):
        self.history_by_key = {}
        self.script = []
        self.writes = 0
        self.delayed_writes = []

    def _begin_call(self):
        if self.delayed_writes and self.delayed_writes[0][0] == 0:
            _, key, value, expected = self.delayed_writes.pop(0)
            if self._version(key) == expected:
                self._append(key, value)
        self.delayed_writes = [
            (n - 1, *rest) for n, *rest in self.delayed_writes
        ]
        fault = self.script.pop(0) if self.script else "ok"
        if fault == "down":
            raise interfaces.StoreUnavailableError
        return fault

    def _version(self, key):
        return len(self.history_by_key.get(key, ()))

    def _append(self, key, value):
        self.writes += 1
        history = self.history_by_key.setdefault(key, [])
        history.append(round_trip_json(value))
        return self._object(key, len(history))

    def _object(self, key, version):
        if version == 0:
            return None
        value = self.history_by_key[key][version - 1]
        return interfaces.StoredObject(key, value, version, self.writes)

    def get(self, key):
        stale = self._begin_call() == "stale"
        return self._object(key, max(0, self._version(key) - stale))

    def put(self, key, value, expected_version):
        fault = self._begin_call()
        if fault == "conflict":
            self._append(key, self.history_by_key[key][-1])
        if fault == "late":
            self.delayed_writes.append((1, key, value, expected_version))
            raise interfaces.StoreUnavailableError
        if self._version(key) != expected_version:
            raise interfaces.StoreConflictError(key, self._version(key))
        stored = self._append(key, value)
        if fault == "lost_after":
            raise interfaces.StoreUnavailableError
        return stored

    def delete(self, key, expected_version):
        raise NotImplementedError

    def list_objects(self, prefix):
        keys = [key for key in self.history_by_key if key.startswith(prefix)]
        rows = [self._object(key, self._version(key)) for key in keys]
        return rows, self.writes

    def watch(self, prefix, after_revision, timeout_s):
        raise NotImplementedError


class ScriptedService(interfaces.ServiceApi):
    """Fake service; `script` lists the results ok, not_sent and unknown."""

    def __init__(self, script=()):
        self.script = list(script)
        self.orders = []
        self.runs = 0

    def call(self, order):
        result = self.script.pop(0) if self.script else "ok"
        self.orders.append(order)
        if result == "not_sent":
            raise interfaces.ServiceNotSentError
        self.runs += 1
        if result != "ok":
            raise interfaces.ServiceOutcomeUnknownError
        return SERVICE_ANSWER


class StepClock(interfaces.Clock):
    """Fake clock that advances by the next of `steps_s` at each reading."""

    def __init__(self, now_s=0.0, steps_s=()):
        self.now_s = now_s
        self.steps_s = list(steps_s)

    def monotonic_s(self):
        self.now_s += self.steps_s.pop(0) if self.steps_s else 0.0
        return self.now_s

    def wall_s(self):
        return 1000.0 + self.now_s


def request(token="token", key="key", fingerprint="print"):
    return claims.ClaimRequest(
        "account", key, fingerprint, token, "entry-1", 10.0, ORDER
    )


def run_call(store, service, clock=None, deliver=None, **fields):
    call = claims.ClaimCall(request(**fields))
    return claims.run(call, store, service, clock or StepClock(), deliver)
