"""Engine of the simulation that compares choosers."""

import collections

from rattanpulley_core import targets

ENGINE_COUNT = 24
PREFIX_TOKENS = 2000
OWN_TOKENS = 200
CACHED_GROUPS = 12
# Name, start and end in seconds, latency factor.
SLOW_ENGINE = ("e3", 60.0, 120.0, 5.0)
# Name, start and end in seconds.
REFUSING_ENGINE = ("e7", 100.0, 160.0)

# Target, prefix group, answer length in tokens, arrival and dispatch times.
QueuedRequest = tuple[targets.Target, int, int, float, float]


class SimulatedEngine:
    """Engine with serial prefills, a prefix cache and batched decoding."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.cache: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )
        self.free_at_s = 0.0
        self.running = 0
        self.waiting: collections.deque[QueuedRequest] = collections.deque()
        self.uncached_tokens = 0

    def is_refusing(self, now_s: float) -> bool:
        """Returns whether the engine refuses all requests."""
        return (
            self.name == REFUSING_ENGINE[0]
            and REFUSING_ENGINE[1] <= now_s < REFUSING_ENGINE[2]
        )

    def slowness(self, now_s: float) -> float:
        """Returns the factor of the engine's latencies."""
        is_slow = (
            self.name == SLOW_ENGINE[0]
            and SLOW_ENGINE[1] <= now_s < SLOW_ENGINE[2]
        )
        return SLOW_ENGINE[3] if is_slow else 1.0

    def prefill(self, group: int, now_s: float) -> float:
        """Starts a prefill and returns the time of its first token."""
        tokens = OWN_TOKENS
        if group not in self.cache:
            tokens += PREFIX_TOKENS
        self.cache[group] = True
        self.cache.move_to_end(group)
        if len(self.cache) > CACHED_GROUPS:
            self.cache.popitem(last=False)
        self.uncached_tokens += tokens
        cost_s = (0.005 + 0.00005 * tokens) * self.slowness(now_s)
        self.free_at_s = max(now_s, self.free_at_s) + cost_s
        return self.free_at_s

    def interval_s(self, now_s: float) -> float:
        """Returns the time between tokens, which grows with the batch size."""
        batch_factor = 1.0 + max(0, self.running - 32) / 32
        return 0.03 * batch_factor * self.slowness(now_s)
