"""Policies that select a target for an attempt."""

import abc
import dataclasses
import random

from rattanpulley_core._internal.tables import rows as table_rows
from rattanpulley_core._internal.targets import rows
from rattanpulley_core._internal.targets import table as target_table

# Maximum of this daemon's resumes on one target that have not produced a token.
# With more, the prefills after a mass failure delay each other.
RESUME_SLOTS_PER_TARGET = 4


@dataclasses.dataclass(frozen=True, slots=True)
class TargetQuery:
    """Requirements of an attempt.

    Attributes:
        pool: Name of the pool.
        version: Pinned version, or None to draw one by weight.
        prefix_block_hashes: Hashes of the prompt's prefix blocks, shortest
            prefix first.
        excluded: Names of targets that must not be selected.
        is_resume: Whether the attempt continues a generation.
        suspect: Whether the request is suspected of crashing targets.
        kind: Kind of target.
        prefix_tokens: Tokens that a resume must recompute.
        prompt_tokens: Estimated number of tokens of the prompt.
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
    """Policy for the selection of targets."""

    @abc.abstractmethod
    def choose(self, query: TargetQuery, now_s: float) -> str | None:
        """Returns a target's name, or None when no target is eligible."""


def eligible_targets(
    table: target_table.TargetTable, query: TargetQuery
) -> list[rows.Target]:
    """Returns the targets that are eligible for the attempt.

    A suspect request gets a target without another suspect if there is one.
    """
    eligible = [
        target
        for target in table.targets_by_name.values()
        if _is_eligible(target, query)
    ]
    if query.suspect:
        isolated = [
            target for target in eligible if target.suspects_in_flight == 0
        ]
        return isolated or eligible
    return eligible


def sample_version(
    table: target_table.TargetTable,
    query: TargetQuery,
    eligible: list[rows.Target],
    rng: random.Random,
) -> list[rows.Target]:
    """Returns the targets of one version, sampled by the pool's weights.

    If no version has a positive weight, a request that failed gets the pool's
    retry version, and other requests get no target.
    """
    weights = table.version_weights(query.pool)
    versions = sorted({target.version for target in eligible})
    shares = [max(0.0, weights.get(version, 0.0)) for version in versions]
    if sum(shares) <= 0.0:
        retry_version = table.retry_version(query.pool)
        if query.has_failed and retry_version in versions:
            return [t for t in eligible if t.version == retry_version]
        return []
    if len(versions) == 1:
        return eligible
    version = rng.choices(versions, shares)[0]
    return [target for target in eligible if target.version == version]


def prefer_own_domain(
    table: target_table.TargetTable, eligible: list[rows.Target]
) -> list[rows.Target]:
    """Returns the targets in the daemon's failure domain, or all if none."""
    own = [
        target
        for target in eligible
        if target.failure_domain == table.own_failure_domain
    ]
    return own or eligible


class LeastOutstandingChooser(TargetChooser):
    """Prefers the own failure domain, then the fewest attempts in flight."""

    def __init__(
        self, table: target_table.TargetTable, rng: random.Random
    ) -> None:
        self._table = table
        self._rng = rng

    def choose(self, query: TargetQuery, now_s: float) -> str | None:
        """Returns the least loaded target; ties are broken at random."""
        eligible = eligible_targets(self._table, query)
        if query.version is None:
            eligible = sample_version(self._table, query, eligible, self._rng)
        if not eligible:
            return None
        eligible = prefer_own_domain(self._table, eligible)
        fewest = min(target.in_flight for target in eligible)
        least = [target for target in eligible if target.in_flight == fewest]
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
