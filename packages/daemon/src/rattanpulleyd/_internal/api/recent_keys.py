"""Idempotency keys that this daemon claimed recently."""

import collections

MAX_KEYS = 10_000


class RecentKeys:
    """Bounded set of keys that evicts the oldest ones.

    While the object API is unavailable, a retried call cannot be distinguished
    from a new one by its claim record. The set prevents this daemon from
    returning `not_run` for a key that it claimed itself.
    """

    def __init__(self) -> None:
        self._keys: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def add(self, account: str, key: str) -> None:
        """Adds a key, or makes it the newest if it is present."""
        self._keys[(account, key)] = None
        self._keys.move_to_end((account, key))
        if len(self._keys) > MAX_KEYS:
            self._keys.popitem(last=False)

    def has(self, account: str, key: str) -> bool:
        """Returns whether the set contains the key."""
        return (account, key) in self._keys
