"""Keys of unrepeatable calls that this daemon claimed recently."""

import collections

MAX_KEYS = 10_000


class RecentKeys:
    """A bounded set that forgets the oldest keys.

    While the object API is down, a call that comes again cannot be told from a
    new one by its record. The set keeps this daemon from saying `not_run` for
    a key that it claimed itself.
    """

    def __init__(self) -> None:
        self._keys: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def add(self, account: str, key: str) -> None:
        """Adds a key as the newest one."""
        self._keys[(account, key)] = None
        self._keys.move_to_end((account, key))
        if len(self._keys) > MAX_KEYS:
            self._keys.popitem(last=False)

    def has(self, account: str, key: str) -> bool:
        """Returns whether the key is held."""
        return (account, key) in self._keys
