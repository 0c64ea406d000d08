"""Facts that daemons exchange, and the rules for merging them.

State: `FactTable`, owned by one `PeerCore`. Merging is commutative, associative
and idempotent, so facts may arrive late, more than once and in any order.
"""

from collections.abc import Iterator
import dataclasses
import enum
import hashlib

BUCKET_COUNT = 16
DIGEST_BYTES = 8
FACTS_PER_MESSAGE = 200


class FactKind(enum.Enum):
    """Kind of a fact; it determines how two facts with the same key merge."""

    MEMBER = "member"
    TABLE = "table"
    VERDICT = "verdict"
    CRASH_REPORT = "crash_report"
    CLEARANCE = "clearance"
    EVIDENCE = "evidence"
    MOVE_REPORT = "move_report"


# Verdicts, crash reports and evidence have no order: the first stored value of
# a key is kept.
_NEWEST_VERSION_WINS = frozenset(
    {
        FactKind.MEMBER,
        FactKind.TABLE,
        FactKind.CLEARANCE,
        FactKind.MOVE_REPORT,
    }
)

# Kinds with many or large facts that are not urgent.
BULKY_KINDS = frozenset({FactKind.EVIDENCE, FactKind.MOVE_REPORT})

# Facts of these kinds must be kept as long as their subject exists.
_NEVER_EXPIRING_KINDS = frozenset({FactKind.TABLE, FactKind.VERDICT})


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """A versioned key-value entry that is replicated to all daemons.

    Attributes:
        kind: Kind; determines the meaning and the merge rule.
        key: Subject within the kind.
        version: Order of the facts with the same key; larger is newer.
        value: Payload, opaque to the merge.
        expires_s: Monotonic time at which the fact is removed, in seconds;
            None if it does not expire. In messages it is the remaining time,
            since hosts do not share a clock.
    """

    kind: FactKind
    key: str
    version: int
    value: bytes
    expires_s: float | None

    @property
    def identity(self) -> tuple[FactKind, str]:
        """Kind and key, which identify the subject of the fact."""
        return (self.kind, self.key)


class MergeResult(enum.Enum):
    """Result of merging a fact into a `FactTable`."""

    NEW = "new"
    KNOWN = "known"
    OLDER = "older"
    CONTRADICTS = "contradicts"  # Same version, other value.


class FactTable:
    """All facts that a daemon stores, with one digest per bucket of keys."""

    def __init__(self) -> None:
        self._facts_by_identity: dict[tuple[FactKind, str], Fact] = {}
        self._digest_by_bucket = [0] * BUCKET_COUNT

    def __len__(self) -> int:
        return len(self._facts_by_identity)

    def __iter__(self) -> Iterator[Fact]:
        return iter(list(self._facts_by_identity.values()))

    def get(self, kind: FactKind, key: str) -> Fact | None:
        """Returns the fact about a subject, or None."""
        return self._facts_by_identity.get((kind, key))

    def merge(self, fact: Fact) -> MergeResult:
        """Stores a fact unless the stored one takes precedence."""
        stored = self._facts_by_identity.get(fact.identity)
        if stored is None:
            self._store(fact)
            return MergeResult.NEW
        if fact.kind not in _NEWEST_VERSION_WINS:
            return MergeResult.KNOWN
        if fact.version < stored.version:
            return MergeResult.OLDER
        if fact.version > stored.version:
            self._remove(stored)
            self._store(fact)
            return MergeResult.NEW
        if fact.value != stored.value:
            return MergeResult.CONTRADICTS
        return MergeResult.KNOWN

    def expire(self, now_s: float) -> list[Fact]:
        """Removes and returns the expired facts."""
        expired = [
            fact
            for fact in self._facts_by_identity.values()
            if fact.expires_s is not None and fact.expires_s <= now_s
        ]
        for fact in expired:
            self._remove(fact)
        return expired

    def digests(self) -> tuple[bytes, ...]:
        """Returns one digest per bucket; equal digests mean equal facts."""
        return tuple(
            digest.to_bytes(DIGEST_BYTES, "big")
            for digest in self._digest_by_bucket
        )

    def facts_in_differing_buckets(
        self, digests: tuple[bytes, ...]
    ) -> list[Fact]:
        """Returns the facts of the buckets whose digests differ.

        Args:
            digests: Digests of another daemon, one per bucket.
        """
        own = self.digests()
        buckets = {
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket] != digests[bucket]
        }
        return [
            fact
            for fact in self._facts_by_identity.values()
            if _bucket_of(fact) in buckets
        ]

    def _store(self, fact: Fact) -> None:
        if fact.kind in _NEVER_EXPIRING_KINDS and fact.expires_s is not None:
            fact = dataclasses.replace(fact, expires_s=None)
        self._facts_by_identity[fact.identity] = fact
        self._digest_by_bucket[_bucket_of(fact)] ^= _digest_of(fact)

    def _remove(self, fact: Fact) -> None:
        del self._facts_by_identity[fact.identity]
        self._digest_by_bucket[_bucket_of(fact)] ^= _digest_of(fact)


def _bucket_of(fact: Fact) -> int:
    text = f"{fact.kind.value}/{fact.key}".encode()
    return hashlib.blake2b(text, digest_size=1).digest()[0] % BUCKET_COUNT


def _digest_of(fact: Fact) -> int:
    """Digests all fields but the expiry time, which is local to a daemon."""
    head = f"{fact.kind.value}/{fact.key}/{fact.version}/".encode()
    digest = hashlib.blake2b(head + fact.value, digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def to_wire(fact: Fact, now_s: float) -> Fact:
    """Returns the fact with its expiry time replaced by the remaining time."""
    if fact.expires_s is None:
        return fact
    return dataclasses.replace(fact, expires_s=fact.expires_s - now_s)


def from_wire(fact: Fact, now_s: float) -> Fact:
    """Returns the fact with its remaining time replaced by the expiry time."""
    if fact.expires_s is None:
        return fact
    return dataclasses.replace(fact, expires_s=fact.expires_s + now_s)


def split_for_messages(items: list[Fact]) -> list[list[Fact]]:
    """Splits facts into lists of at most `FACTS_PER_MESSAGE`."""
    return [
        items[start : start + FACTS_PER_MESSAGE]
        for start in range(0, len(items), FACTS_PER_MESSAGE)
    ]
