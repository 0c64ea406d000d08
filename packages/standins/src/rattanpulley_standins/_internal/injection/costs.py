"""Sums the engines' counters across restarts and crashes."""

import dataclasses
from typing import Any

from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.launch import deployment as deployment_lib

SAMPLE_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Computation of all engines.

    Attributes:
        generated_tokens: Number of tokens that engines generated.
        recomputed_prefix_tokens: Number of prefix tokens of resumed generations
            that were not cached.
        engine_seconds: Time spent on prefill and decoding, in seconds.
    """

    generated_tokens: int
    recomputed_prefix_tokens: int
    engine_seconds: float

    def overhead_fraction(self, delivered_tokens: int) -> float:
        """Returns the fraction of tokens generated beyond the delivered ones.

        Args:
            delivered_tokens: Number of tokens that callers received.
        """
        if not delivered_tokens:
            return 0.0
        return self.generated_tokens / delivered_tokens - 1


class CostMeter:
    """Keeps the latest counters of each engine process.

    The counters of a killed engine are those of the last sample, so the sums
    miss up to the last `SAMPLE_INTERVAL_S` of it.

    Args:
        deployment: The running deployment.
    """

    def __init__(self, deployment: deployment_lib.Deployment) -> None:
        self._deployment = deployment
        self._stats_by_process: dict[tuple[str, int], dict[str, Any]] = {}

    def sample(self) -> None:
        """Reads the counters of all engines that respond."""
        for engine in self._deployment.engines:
            if not self._deployment.is_running(engine.name):
                continue
            try:
                stats = self._deployment.stats(engine.name)
            except http_json.CallError:
                continue
            key = (engine.name, self._deployment.pid(engine.name))
            self._stats_by_process[key] = stats

    def costs(self) -> Costs:
        """Returns the sums over all engine processes."""
        return Costs(
            generated_tokens=int(self._sum("generated_tokens")),
            recomputed_prefix_tokens=int(self._sum("recomputed_prefix_tokens")),
            engine_seconds=self._sum("engine_seconds"),
        )

    def _sum(self, name: str) -> float:
        rows = self._stats_by_process.values()
        return sum(float(row[name]) for row in rows)
