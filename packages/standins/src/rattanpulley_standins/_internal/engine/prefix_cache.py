"""Bounded prefix cache in blocks of words, like the KV cache of an engine.

A block is identified by the hash of its words and of all blocks before it.
"""

import collections
import dataclasses
import hashlib

BLOCK_WORDS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the cache; `kind` is `stored` or `removed`."""

    seq: int
    kind: str
    block: str


class PrefixCache:
    """Set of blocks with LRU eviction.

    Args:
        capacity_blocks: Maximum number of blocks.
        kept_events: Number of recent events to keep.
    """

    def __init__(self, capacity_blocks: int, kept_events: int = 4096) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=kept_events
        )
        self._seq = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_words(self, words: list[str]) -> int:
        """Returns the length of the cached prefix of `words`, in words.

        Its blocks become the most recently used.
        """
        count = 0
        for block in _block_names(words):
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += BLOCK_WORDS
        return count

    def store(self, words: list[str]) -> None:
        """Stores all full blocks of `words` and evicts the oldest blocks."""
        for block in _block_names(words):
            if block not in self._blocks:
                self._record("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._record("removed", oldest)

    def events_after(self, seq: int) -> list[CacheEvent]:
        """Returns the kept events with a sequence number above `seq`."""
        return [event for event in self._events if event.seq > seq]

    def _record(self, kind: str, block: str) -> None:
        self._seq += 1
        self._events.append(CacheEvent(self._seq, kind, block))


def _block_names(words: list[str]) -> list[str]:
    names = []
    digest = hashlib.blake2b(digest_size=8)
    full_words = len(words) - len(words) % BLOCK_WORDS
    for start in range(0, full_words, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        digest.update(block.encode() + b"\n")
        names.append(digest.hexdigest())
    return names
