"""Selection of the target with the least expected cost among a few.

The candidates are the targets that a prompt's prefix hashes to, and two random
ones (power of two choices). Comparing a few keeps daemons that know the same
from choosing the same target at once.
"""

from collections.abc import Iterable, Sequence
import hashlib
import heapq
import random

from rattanpulley_core._internal.targets import choosers
from rattanpulley_core._internal.targets import ejection
from rattanpulley_core._internal.targets import rows
from rattanpulley_core._internal.targets import table as target_table

RANDOM_CANDIDATES = 2
HASHED_CANDIDATES = 2
# A hashed target may have this many times the mean load, so that a popular
# prefix spills over to the next one. In measure_choosers the first token's
# p99 grows from 0.13 s to 1.5 s with a bound of 1.25.
LOAD_BOUND = 1.1
# Prefill cost of a token that is not cached, from the engines' cost model.
PREFILL_S_PER_TOKEN = 0.00005
# Delay that one more stream adds to a first token through larger batches.
STREAM_COST_S = 0.005
# Time to a first token of a target that has not been measured.
UNKNOWN_FIRST_TOKEN_S = 0.05

_MASK = 2**64 - 1
_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
_MULTIPLIER_2 = 0x94D049BB133111EB


class ExpectedCostChooser(choosers.TargetChooser):
    """Weighs recomputation against load, own failure domain first."""

    def __init__(
        self, table: target_table.TargetTable, rng: random.Random
    ) -> None:
        self._table = table
        self._rng = rng
        self._ejector = ejection.Ejector()
        self._hashes_by_name: dict[str, int] = {}

    def choose(self, query: choosers.TargetQuery, now_s: float) -> str | None:
        """Returns the cheapest candidate, or None without any."""
        found = choosers.eligible_targets(self._table, query)
        found = self._ejector.retain(found, now_s)
        if not query.is_resume:
            found = [t for t in found if t.in_flight < t.load.limit]
        if query.version is None:
            found = choosers.pick_version(self._table, query, found, self._rng)
        if not found:
            return None
        found = choosers.prefer_own_domain(self._table, found)
        hashed = self._hashed(found, query, now_s)
        drawn = self._rng.sample(found, min(RANDOM_CANDIDATES, len(found)))
        return min(
            [*hashed, *drawn],
            key=lambda target: self._cost_s(target, query, hashed, now_s),
        ).name

    def _hashed(
        self,
        found: list[rows.Target],
        query: choosers.TargetQuery,
        now_s: float,
    ) -> list[rows.Target]:
        """Returns the targets that the prefix hashes to, within the bound.

        The bound holds for the own attempts alone, too. Daemons that share a
        stale report of an idle target would otherwise each fill it up to the
        mean: in a test with 30 daemons it got 210 of 300 requests, and 60 with
        both bounds.
        """
        if not query.prefix_block_hashes:
            return []
        key = query.prefix_block_hashes[-1]
        running = [_running(target, now_s) for target in found]
        bound = _load_bound(running)
        own_bound = _load_bound([target.in_flight for target in found])
        open_targets = [
            target
            for target, count in zip(found, running, strict=True)
            if count <= bound * target.load.slow_start_share(now_s)
            and target.in_flight <= own_bound
        ]
        return heapq.nlargest(
            HASHED_CANDIDATES,
            open_targets,
            key=lambda target: self._weight(key, target.name),
        )

    def _weight(self, key: int, name: str) -> int:
        """Returns the rendezvous weight of a target for a key."""
        hashed = self._hashes_by_name.get(name)
        if hashed is None:
            digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
            hashed = int.from_bytes(digest, "big")
            self._hashes_by_name[name] = hashed
        mixed = ((key ^ hashed) * _MULTIPLIER_1) & _MASK
        return ((mixed ^ (mixed >> 29)) * _MULTIPLIER_2) & _MASK

    def _cost_s(
        self,
        target: rows.Target,
        query: choosers.TargetQuery,
        hashed: Iterable[rows.Target],
        now_s: float,
    ) -> float:
        """Returns the expected time to the first token."""
        load = target.load
        freshness = load.report_weight(now_s)
        waiting = target.awaiting_first_token + freshness * load.others_waiting
        running = _running(target, now_s)
        first_token_s = target.first_token_s or UNKNOWN_FIRST_TOKEN_S
        cost_s = waiting * first_token_s + running * STREAM_COST_S
        cost_s = (cost_s + first_token_s) / load.slow_start_share(now_s)
        tokens = query.prefix_tokens
        if all(target is not other for other in hashed):
            tokens += query.prompt_tokens
        return cost_s + tokens * PREFILL_S_PER_TOKEN


def _load_bound(counts: Sequence[float]) -> float:
    """Returns the load up to which a hashed target takes requests."""
    return LOAD_BOUND * sum(counts) / len(counts) + 1.0


def _running(target: rows.Target, now_s: float) -> float:
    """Returns the attempts of this daemon and, by the report, of others."""
    load = target.load
    return target.in_flight + load.report_weight(now_s) * load.others_running
