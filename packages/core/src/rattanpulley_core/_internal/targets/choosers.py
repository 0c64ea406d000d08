"""Selection of a target for one attempt."""

import abc
import dataclasses
import random

from rattanpulley_core._internal.tables import rows as table_rows
from rattanpulley_core._internal.targets import rows
from rattanpulley_core._internal.targets import table as target_table

# Resumes of this daemon on one target that have not produced a token. More
# would make the prefills of a mass failure delay each other.
RESUME_SLOTS_PER_TARGET = 4


@dataclasses.dataclass(frozen=True, slots=True)
class TargetQuery:
    """What an attempt needs.

    Attributes:
        pool: Name of the pool.
        version: Pinned version, or None for any by weight.
        prefix_block_hashes: Hashes of the prompt's prefix blocks, shortest
            prefix first.
        excluded: Names that must not be chosen.
        is_resume: Whether the attempt continues a generation.
        suspect: Whether the request is suspected of crashing targets.
        kind: Kind of target.
        prefix_tokens: Tokens that a resume has to compute again.
        prompt_tokens: Estimated tokens of the prompt.
        has_failed: Whether a target ended the request with an error.
    """

    pool: str
    version: str | None = None
    prefix_block_hashes: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()
    is_resume: bool = False
    suspect: bool = False
    kind: table_rows.TargetKind = table_rows.TargetKind.ENGINE
    prefix_tokens: int = 0
    prompt_tokens: int = 0
    has_failed: bool = False


class TargetChooser(abc.ABC):
    """Chooses targets by one policy."""

    @abc.abstractmethod
    def choose(self, query: TargetQuery, now_s: float) -> str | None:
        """Returns a target's name, or None when no target is eligible."""


def eligible_targets(
    table: target_table.TargetTable, query: TargetQuery
) -> list[rows.Target]:
    """Returns the targets that may take the attempt, of any version allowed.

    A suspect request gets a target without another suspect, where there is one.
    """
    found = [
        target
        for target in table.targets_by_name.values()
        if _is_eligible(target, query)
    ]
    if query.suspect:
        apart = [target for target in found if target.suspects_in_flight == 0]
        return apart or found
    return found


def pick_version(
    table: target_table.TargetTable,
    query: TargetQuery,
    found: list[rows.Target],
    rng: random.Random,
) -> list[rows.Target]:
    """Returns the targets of one version, drawn by the pool's weights."""
    weights = table.version_weights(query.pool)
    versions = sorted({target.version for target in found})
    shares = [max(0.0, weights.get(version, 0.0)) for version in versions]
    if sum(shares) <= 0.0:
        retry_version = table.retry_version(query.pool)
        if query.has_failed and retry_version in versions:
            return [t for t in found if t.version == retry_version]
        return []
    if len(versions) == 1:
        return found
    version = rng.choices(versions, shares)[0]
    return [target for target in found if target.version == version]


def prefer_own_domain(
    table: target_table.TargetTable, found: list[rows.Target]
) -> list[rows.Target]:
    """Returns the targets of the daemon's failure domain, or else all."""
    own = [
        target
        for target in found
        if target.failure_domain == table.own_failure_domain
    ]
    return own or found


class LeastOutstandingChooser(TargetChooser):
    """Own failure domain first, then the fewest attempts in flight."""

    def __init__(
        self, table: target_table.TargetTable, rng: random.Random
    ) -> None:
        self._table = table
        self._rng = rng

    def choose(self, query: TargetQuery, now_s: float) -> str | None:
        """Returns the least loaded target; ties are broken at random."""
        found = eligible_targets(self._table, query)
        if query.version is None:
            found = pick_version(self._table, query, found, self._rng)
        if not found:
            return None
        found = prefer_own_domain(self._table, found)
        fewest = min(target.in_flight for target in found)
        least = [target for target in found if target.in_flight == fewest]
        return self._rng.choice(least).name


def _is_eligible(target: rows.Target, query: TargetQuery) -> bool:
    if target.pool != query.pool or target.kind is not query.kind:
        return False
    if query.version is not None and target.version != query.version:
        return False
    if target.state is not rows.TargetState.LIVE or not target.in_pool:
        return False
    if target.awaiting_probe or target.name in query.excluded:
        return False
    return (
        not query.is_resume
        or target.resumes_awaiting_first_token < RESUME_SLOTS_PER_TARGET
    )
