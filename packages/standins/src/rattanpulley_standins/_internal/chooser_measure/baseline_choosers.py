"""Choosers that the daemon's choosers are compared with."""

import hashlib
import random

from rattanpulley_core import targets
from rattanpulley_standins._internal.chooser_measure import simulated_engine


class RoundRobinChooser(targets.TargetChooser):
    """Baseline: round robin over the eligible targets."""

    def __init__(self, table: targets.TargetTable, rng: random.Random) -> None:
        self._table = table
        self._start = rng.randrange(simulated_engine.ENGINE_COUNT)

    def choose(self, query: targets.TargetQuery, now_s: float) -> str | None:
        """Returns the next eligible target."""
        eligible = targets.eligible_targets(self._table, query)
        if not eligible:
            return None
        self._start += 1
        return eligible[self._start % len(eligible)].name


class HashingChooser(targets.TargetChooser):
    """Baseline: rendezvous hashing on the prefix, regardless of load."""

    def __init__(self, table: targets.TargetTable, rng: random.Random) -> None:
        self._table = table

    def choose(self, query: targets.TargetQuery, now_s: float) -> str | None:
        """Returns the eligible target with the largest hash."""
        eligible = targets.eligible_targets(self._table, query)
        if not eligible:
            return None
        key = str(query.prefix_block_hashes[-1])
        return max(eligible, key=lambda target: self._weight(key, target)).name

    def _weight(self, key: str, target: targets.Target) -> bytes:
        return hashlib.blake2b((key + target.name).encode()).digest()
