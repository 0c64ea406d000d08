"""In-memory object store with the semantics of the platform's object API."""

import dataclasses
import threading
from typing import Any

MAX_VALUE_BYTES = 1_000_000


class ConflictError(Exception):
    """The condition of a write does not hold.

    Attributes:
        version: Stored version; 0 if the object does not exist.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"the stored version is {version}")
        self.version = version


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """State of an object.

    Attributes:
        key: Key of the object.
        value: JSON value; None after a delete.
        version: Number of the write to this object, starting at 1.
        revision: Number of the write to the store, starting at 1.
        deleted: Whether the object was deleted.
    """

    key: str
    value: Any
    version: int
    revision: int
    deleted: bool = False

    def as_json(self) -> dict[str, Any]:
        """Returns the JSON representation in the object API."""
        fields = dataclasses.asdict(self)
        if not self.deleted:
            del fields["deleted"]
        return fields


class Store:
    """All objects with their current and previous states.

    Attributes:
        revision: Number of the newest write.
        changed: Condition that is notified of each write.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.changed = threading.Condition()
        self._entries_by_key: dict[str, Entry] = {}
        self._previous_by_key: dict[str, Entry] = {}

    def get(self, key: str, stale: bool = False) -> Entry | None:
        """Returns an object or None; `stale` selects its previous state."""
        entry = self._entries_by_key.get(key)
        if stale:
            entry = self._previous_by_key.get(key, entry)
        return None if entry is None or entry.deleted else entry

    def put(self, key: str, value: Any, expected_version: int) -> Entry:
        """Writes an object if it has the expected version (0: absent).

        Raises:
            ConflictError: The stored version is another one.
        """
        self._check_version(key, expected_version)
        return self._write(key, value, deleted=False)

    def delete(self, key: str, expected_version: int) -> Entry:
        """Deletes an object if it has the expected version.

        Raises:
            ConflictError: The stored version is another one.
        """
        self._check_version(key, expected_version)
        return self._write(key, None, deleted=True)

    def list_objects(self, prefix: str, stale: bool = False) -> list[Entry]:
        """Returns the objects whose keys have a prefix, sorted by key."""
        keys = sorted(k for k in self._entries_by_key if k.startswith(prefix))
        found = [self.get(key, stale) for key in keys]
        return [entry for entry in found if entry is not None]

    def changes(self, prefix: str, after_revision: int) -> list[Entry]:
        """Returns the objects with a prefix that changed after a revision.

        Deleted objects are included. The result is sorted by revision.
        """
        entries = [
            entry
            for entry in self._entries_by_key.values()
            if entry.key.startswith(prefix) and entry.revision > after_revision
        ]
        return sorted(entries, key=lambda entry: entry.revision)

    def _check_version(self, key: str, expected_version: int) -> None:
        entry = self.get(key)
        version = 0 if entry is None else entry.version
        if version != expected_version:
            raise ConflictError(version)

    def _write(self, key: str, value: Any, deleted: bool) -> Entry:
        with self.changed:
            previous = self._entries_by_key.get(key)
            version = 1 if previous is None else previous.version + 1
            self.revision += 1
            entry = Entry(key, value, version, self.revision, deleted)
            if previous is not None:
                self._previous_by_key[key] = previous
            self._entries_by_key[key] = entry
            self.changed.notify_all()
        return entry
