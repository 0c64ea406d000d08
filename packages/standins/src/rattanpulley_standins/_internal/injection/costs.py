"""Sums the engines' counters over restarts and crashes."""

import dataclasses
from typing import Any

from rattanpulley_standins._internal import http_json
from rattanpulley_standins._internal.launch import deployment as deployment_lib

SAMPLE_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Sums over all engines.

    Attributes:
        generated_tokens: Tokens that engines computed.
        recomputed_prefix_tokens: Prefix tokens of resumes that were not in a
            cache.
        engine_seconds: Time spent on prefill and tokens.
    """

    generated_tokens: int
    recomputed_prefix_tokens: int
    engine_seconds: float

    def overhead_fraction(self, delivered_tokens: int) -> float:
        """Returns computed tokens beyond the delivered ones, as a share."""
        if not delivered_tokens:
            return 0.0
        return self.generated_tokens / delivered_tokens - 1


class CostMeter:
    """Keeps the newest counters of each engine process.

    The counters of a killed engine are those of the last sample, so its last
    `SAMPLE_INTERVAL_S` is missing from the sums.

    Args:
        deployment: The running deployment.
    """

    def __init__(self, deployment: deployment_lib.Deployment) -> None:
        self._deployment = deployment
        self._stats_by_process: dict[tuple[str, int], dict[str, Any]] = {}

    def sample(self) -> None:
        """Reads the counters of all engines that answer."""
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
        """Returns the sums."""
        return Costs(
            generated_tokens=int(self._sum("generated_tokens")),
            recomputed_prefix_tokens=int(self._sum("recomputed_prefix_tokens")),
            engine_seconds=self._sum("engine_seconds"),
        )

    def _sum(self, name: str) -> float:
        rows = self._stats_by_process.values()
        return sum(float(row[name]) for row in rows)
