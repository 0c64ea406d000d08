"""Probability that a request was given to the new version.

The sequential test needs this probability for the requests of one route in one
failure domain. It follows from the daemon's share and from where the targets of
both versions are, and is corrected by where requests really went, because a
daemon prefers some failure domains and targets.
"""

import dataclasses

from rattanpulley_core._internal.tables import rows

# Requests that the expected numbers count for, against those that were seen.
_PRIOR_COUNT = 3.0
# Requests of the old version without which there is nothing to compare with.
_MIN_OLD = 3.0
# Each request reduces the weight of the earlier ones by this factor, because
# requests go other ways after a loss of targets.
_KEPT = 0.99
# If the odds of the new version differ more than this from the expected ones,
# the two versions are used differently there, for example after the loss of
# targets of one of them, and are not compared.
_MAX_ODDS_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class _Seen:
    """Requests of a stratum, expected and seen."""

    expected_new: float = 0.0
    expected_old: float = 0.0
    new: float = 0.0
    old: float = 0.0

    def odds_ratio(self) -> float:
        """Returns the odds of the new version against the expected odds."""
        new = (self.new + _PRIOR_COUNT) / (self.expected_new + _PRIOR_COUNT)
        old = (self.old + _PRIOR_COUNT) / (self.expected_old + _PRIOR_COUNT)
        return new / old


class Strata:
    """Shares by route and failure domain."""

    def __init__(self, pool: rows.Pool, move: rows.Move) -> None:
        self._new_parts = _parts_by_domain(pool, move.to_version)
        self._old_parts = _parts_by_domain(pool, move.from_version)
        self._seen_by_stratum: dict[tuple[str, str], _Seen] = {}

    def share(self, route: str, domain: str, share: float) -> float | None:
        """Returns the probability for one route and failure domain.

        Args:
            route: Name of the route.
            domain: Failure domain of the target.
            share: Share of the pool that the daemon gave to the new version.

        Returns:
            The probability, or None while there is no fair comparison.
        """
        seen = self._seen_by_stratum.get((route, domain))
        if seen is None or seen.old < _MIN_OLD:
            return None
        expected = self._expected(domain, share)
        ratio = seen.odds_ratio()
        if not 1 / _MAX_ODDS_RATIO <= ratio <= _MAX_ODDS_RATIO:
            return None
        return ratio * expected / (ratio * expected + 1.0 - expected)

    def remember(
        self, route: str, domain: str, share: float, is_new: bool
    ) -> None:
        """Counts a request; `share` is that of the whole pool."""
        seen = self._seen_by_stratum.setdefault((route, domain), _Seen())
        expected = self._expected(domain, share)
        seen.expected_new = seen.expected_new * _KEPT + expected
        seen.expected_old = seen.expected_old * _KEPT + 1.0 - expected
        seen.new = seen.new * _KEPT + is_new
        seen.old = seen.old * _KEPT + (not is_new)

    def _expected(self, domain: str, share: float) -> float:
        new = share * self._new_parts.get(domain, 0.0)
        old = (1.0 - share) * self._old_parts.get(domain, 0.0)
        return new / (new + old) if new + old > 0 else share


def _parts_by_domain(pool: rows.Pool, version: str) -> dict[str, float]:
    """Returns which part of a version's targets is in each domain."""
    domains = [
        target.failure_domain
        for target in pool.targets_by_name.values()
        if target.version == version
    ]
    return {
        domain: domains.count(domain) / len(domains) for domain in set(domains)
    }
