"""Probability that a request was given to the new version.

The sequential test needs this probability for the requests of one route in one
failure domain. It follows from the daemon's share and from where the targets of
both versions are, and is corrected by where requests really went, because a
daemon prefers some failure domains and targets.
"""

import dataclasses

from rattanpulley_core._internal.tables import rows

# Requests of the new version that the expected share counts for, against those
# that were seen. A smaller number lets a few fast failures count as share.
_PRIOR_COUNT = 5.0
_MAX_CORRECTION = 4.0


@dataclasses.dataclass(slots=True)
class _Seen:
    expected_new: float = 0.0
    new: float = 0.0


class Strata:
    """Shares by route and failure domain."""

    def __init__(self, pool: rows.Pool, move: rows.Move) -> None:
        self._new_parts = _parts_by_domain(pool, move.to_version)
        self._old_parts = _parts_by_domain(pool, move.from_version)
        self._seen_by_stratum: dict[tuple[str, str], _Seen] = {}

    def share(self, route: str, domain: str, share: float) -> float:
        """Returns the probability for one route and failure domain.

        Args:
            route: Name of the route.
            domain: Failure domain of the target.
            share: Share of the pool that the daemon gave to the new version.
        """
        expected = self._expected(domain, share)
        seen = self._seen_by_stratum.get((route, domain))
        if seen is None:
            return expected
        ratio = (seen.new + _PRIOR_COUNT) / (seen.expected_new + _PRIOR_COUNT)
        ratio = min(max(ratio, 1 / _MAX_CORRECTION), _MAX_CORRECTION)
        return ratio * expected / (ratio * expected + 1.0 - expected)

    def remember(
        self, route: str, domain: str, share: float, is_new: bool
    ) -> None:
        """Counts a request; `share` is that of the whole pool."""
        seen = self._seen_by_stratum.setdefault((route, domain), _Seen())
        seen.expected_new += self._expected(domain, share)
        seen.new += is_new

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
