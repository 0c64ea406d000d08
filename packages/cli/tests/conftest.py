"""In-memory object store whose calls can fail or be interleaved."""

import copy

import pytest

from rattanpulley_core import interfaces


class FakeStore(interfaces.ObjectStore):
    """Object store in memory with scripted call outcomes.

    Attributes:
        call_outcomes: Outcomes of the next calls: "ok", "lost" (takes effect
            but the response is lost), "down" (no effect and no response),
            "stale" (a read returns the previous state), or a function that is
            called before a successful call. All calls succeed when empty.
    """

    def __init__(self):
        self.objects_by_key = {}
        self.revision = 0
        self.call_outcomes = []
        self.history = []

    def get(self, key):
        self._begin()
        stored = self.objects_by_key.get(key)
        former = [s for s in self.history if s.key == key][:-1]
        if self._outcome == "stale" and former:
            stored = former[-1]
        self._end()
        return copy.deepcopy(stored)

    def put(self, key, value, expected_version):
        self._begin()
        version = self._checked_version(key, expected_version)
        self.revision += 1
        stored = interfaces.StoredObject(
            key, copy.deepcopy(value), version + 1, self.revision
        )
        self.objects_by_key[key] = stored
        self.history.append(stored)
        self._end()
        return stored

    def delete(self, key, expected_version):
        self._begin()
        self._checked_version(key, expected_version)
        self.revision += 1
        del self.objects_by_key[key]
        self._end()

    def _checked_version(self, key, expected_version):
        """Returns the present version; it must be the expected one."""
        present = self.objects_by_key.get(key)
        version = present.version if present else 0
        if version != expected_version:
            self._end()
            raise interfaces.StoreConflictError(key, version)
        return version

    def list_objects(self, prefix):
        self._begin()
        found = [
            copy.deepcopy(stored)
            for key, stored in sorted(self.objects_by_key.items())
            if key.startswith(prefix)
        ]
        self._end()
        return found, self.revision

    def watch(self, prefix, after_revision, timeout_s):
        self._begin()
        found = [
            stored
            for stored in self.history
            if stored.key.startswith(prefix)
            and stored.revision > after_revision
        ]
        self._end()
        return found, self.revision

    def _begin(self):
        self._outcome = (
            self.call_outcomes.pop(0) if self.call_outcomes else "ok"
        )
        if callable(self._outcome):
            self._outcome()
            self._outcome = "ok"
        if self._outcome == "down":
            raise interfaces.StoreUnavailableError("down")

    def _end(self):
        if self._outcome == "lost":
            raise interfaces.StoreUnavailableError("lost")


@pytest.fixture
def store_class():
    """Returns the class, so that tests can create several stores."""
    return FakeStore
