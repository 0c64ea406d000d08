"""Probability that a request is sent to the new version, by stratum.

A stratum is one route in one failure domain. The sequential test needs the
probability of each stratum. It follows from the daemon's share and from the
failure domains of both versions' targets, and is corrected by the observed
distribution of requests, because a daemon prefers some domains and targets.
"""

import dataclasses

from rattanpulley_core._internal.tables import rows

# Requests that the expected numbers count for, against those that were seen.
_PRIOR_COUNT = 3.0
# Minimum of requests of the old version for a comparison.
_MIN_OLD = 3.0
# Each request reduces the weight of earlier requests by this factor, because
# the distribution of requests changes after a loss of targets.
_DECAY = 0.99
# The versions are not compared in a stratum where the odds of the new version
# differ from the expected odds by more than this factor, for example after the
# loss of targets of one version.
_MAX_ODDS_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class _StratumCounts:
    """Requests of a stratum, expected and seen."""

    expected_new: float = 0.0
    expected_old: float = 0.0
    new: float = 0.0
    old: float = 0.0

    def odds_ratio(self) -> float:
        """Returns the ratio of observed to expected odds of the new version."""
        new = (self.new + _PRIOR_COUNT) / (self.expected_new + _PRIOR_COUNT)
        old = (self.old + _PRIOR_COUNT) / (self.expected_old + _PRIOR_COUNT)
        return new / old


class Strata:
    """Shares of the new version by route and failure domain."""

    def __init__(self, pool: rows.Pool, move: rows.Move) -> None:
        self._new_fractions = _target_fractions_by_domain(pool, move.to_version)
        self._old_fractions = _target_fractions_by_domain(
            pool, move.from_version
        )
        self._counts_by_stratum: dict[tuple[str, str], _StratumCounts] = {}

    def share(self, route: str, domain: str, share: float) -> float | None:
        """Returns the probability for one route and failure domain.

        Args:
            route: Name of the route.
            domain: Failure domain of the target.
            share: Share of the pool's requests for the new version, 0 to 1.

        Returns:
            The probability, or None if the versions are not comparable.
        """
        counts = self._counts_by_stratum.get((route, domain))
        if counts is None or counts.old < _MIN_OLD:
            return None
        expected = self._expected(domain, share)
        ratio = counts.odds_ratio()
        if not 1 / _MAX_ODDS_RATIO <= ratio <= _MAX_ODDS_RATIO:
            return None
        return ratio * expected / (ratio * expected + 1.0 - expected)

    def record(
        self, route: str, domain: str, share: float, is_new: bool
    ) -> None:
        """Counts a request; `share` is the share of the whole pool."""
        counts = self._counts_by_stratum.setdefault(
            (route, domain), _StratumCounts()
        )
        expected = self._expected(domain, share)
        counts.expected_new = counts.expected_new * _DECAY + expected
        counts.expected_old = counts.expected_old * _DECAY + 1.0 - expected
        counts.new = counts.new * _DECAY + is_new
        counts.old = counts.old * _DECAY + (not is_new)

    def _expected(self, domain: str, share: float) -> float:
        new = share * self._new_fractions.get(domain, 0.0)
        old = (1.0 - share) * self._old_fractions.get(domain, 0.0)
        return new / (new + old) if new + old > 0 else share


def _target_fractions_by_domain(
    pool: rows.Pool, version: str
) -> dict[str, float]:
    """Returns the fraction of a version's targets in each domain."""
    domains = [
        target.failure_domain
        for target in pool.targets_by_name.values()
        if target.version == version
    ]
    return {
        domain: domains.count(domain) / len(domains) for domain in set(domains)
    }
