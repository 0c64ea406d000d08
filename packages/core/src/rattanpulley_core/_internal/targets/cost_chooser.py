"""Selection of the target with the lowest expected cost among candidates.

The candidates are the targets that a prompt's prefix hashes to (rendezvous
hashing) and two random targets (power of two choices). With few candidates,
daemons with the same information do not all select the same target at once.
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
# Maximum load of a hashed target as a multiple of the mean load, so that a
# popular prefix spills over to the next target. In measure_choosers a bound of
# 1.25 raises the p99 of the time to first token from 0.13 s to 1.5 s.
LOAD_BOUND = 1.1
# Prefill cost of an uncached token, from the engines' cost model.
PREFILL_S_PER_TOKEN = 0.00005
# Delay of a first token per running stream, due to larger batches.
STREAM_COST_S = 0.005
# Assumed time to first token of a target without a sample.
UNKNOWN_FIRST_TOKEN_S = 0.05

_MASK = 2**64 - 1
_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
_MULTIPLIER_2 = 0x94D049BB133111EB


class ExpectedCostChooser(choosers.TargetChooser):
    """Selects by expected prefill and load cost, own domain first."""

    def __init__(
        self, table: target_table.TargetTable, rng: random.Random
    ) -> None:
        self._table = table
        self._rng = rng
        self._ejector = ejection.Ejector()
        self._hashes_by_name: dict[str, int] = {}

    def choose(self, query: choosers.TargetQuery, now_s: float) -> str | None:
        """Returns the name of the cheapest candidate, or None without one."""
        eligible = choosers.eligible_targets(self._table, query)
        eligible = self._ejector.retain(eligible, now_s)
        if not query.is_resume:
            eligible = [t for t in eligible if t.in_flight < t.load.limit]
        if query.version is None:
            eligible = choosers.sample_version(
                self._table, query, eligible, self._rng
            )
        if not eligible:
            return None
        eligible = choosers.prefer_own_domain(self._table, eligible)
        hashed = self._hashed(eligible, query, now_s)
        drawn = self._rng.sample(
            eligible, min(RANDOM_CANDIDATES, len(eligible))
        )
        return min(
            [*hashed, *drawn],
            key=lambda target: self._cost_s(target, query, hashed, now_s),
        ).name

    def _hashed(
        self,
        eligible: list[rows.Target],
        query: choosers.TargetQuery,
        now_s: float,
    ) -> list[rows.Target]:
        """Returns the targets that the prefix hashes to, within the load bound.

        The bound also applies to this daemon's attempts alone. Otherwise each
        daemon with the same stale report of an idle target would load it up to
        the mean: in a test with 30 daemons the target got 210 of 300 requests,
        and 60 with both bounds.
        """
        if not query.prefix_block_hashes:
            return []
        key = query.prefix_block_hashes[-1]
        running = [_estimated_running(target, now_s) for target in eligible]
        bound = _load_bound(running)
        own_bound = _load_bound([target.in_flight for target in eligible])
        open_targets = [
            target
            for target, count in zip(eligible, running, strict=True)
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
        """Returns the expected time to first token, in seconds."""
        load = target.load
        report_weight = load.report_weight(now_s)
        waiting = (
            target.awaiting_first_token + report_weight * load.others_waiting
        )
        running = _estimated_running(target, now_s)
        first_token_s = target.first_token_s or UNKNOWN_FIRST_TOKEN_S
        cost_s = waiting * first_token_s + running * STREAM_COST_S
        cost_s = (cost_s + first_token_s) / load.slow_start_share(now_s)
        tokens = query.prefix_tokens
        if all(target is not other for other in hashed):
            tokens += query.prompt_tokens
        return cost_s + tokens * PREFILL_S_PER_TOKEN


def _load_bound(counts: Sequence[float]) -> float:
    """Returns the maximum load of a hashed target."""
    return LOAD_BOUND * sum(counts) / len(counts) + 1.0


def _estimated_running(target: rows.Target, now_s: float) -> float:
    """Returns this daemon's attempts plus the reported ones of others."""
    load = target.load
    return target.in_flight + load.report_weight(now_s) * load.others_running
