"""How long engines take to read a prompt.

Prompts that meet at one engine are read one after another. A host learns the
usual time for each token from prompts that met no other, and so knows when a
prompt that still makes no event has been waiting behind another one.
"""

# A fast sample shows the usual time; a slow one has mostly met another prompt.
FASTER_WEIGHT = 0.4
SLOWER_WEIGHT = 0.05
# Waiting behind another prompt begins to show after this much more than usual.
PATIENCE_FACTOR = 1.15
PATIENCE_S = 0.25
# Fewer tokens say more about the delay of a step than about reading.
MIN_TOKENS = 500


class ReadingTime:
    """Seconds for each token of a prompt, by pool.

    The estimate stays near the fast samples.
    """

    def __init__(self) -> None:
        self._s_per_token_by_pool: dict[str, float] = {}

    def record(self, pool: str, tokens: int, first_event_s: float) -> None:
        """Takes the time to the first event of a prompt that met no other.

        Args:
            pool: Name of the pool.
            tokens: Tokens of the prompt.
            first_event_s: Time from the send to the first event.
        """
        if tokens < MIN_TOKENS:
            return
        sample = first_event_s / tokens
        known = self._s_per_token_by_pool.get(pool, sample)
        weight = FASTER_WEIGHT if sample < known else SLOWER_WEIGHT
        sample = min(sample, known * 2)
        self._s_per_token_by_pool[pool] = known + (sample - known) * weight

    def has_waited(self, pool: str, tokens: int, silent_s: float) -> bool:
        """Returns whether a prompt would have been read by now.

        Args:
            pool: Name of the pool.
            tokens: Tokens of the prompt.
            silent_s: Time since it was sent.
        """
        known = self._s_per_token_by_pool.get(pool)
        if known is None or tokens < MIN_TOKENS:
            return False
        return silent_s > known * tokens * PATIENCE_FACTOR + PATIENCE_S
