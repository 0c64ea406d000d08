"""How long engines take to read a prompt.

Prompts that meet at one engine are read one after another. A host learns the
usual time for each token from prompts that met no other, and so knows when a
prompt that still makes no event has been waiting behind another one.
"""

import dataclasses

# A fast sample shows the usual time; a slow one has mostly met another prompt.
FASTER_WEIGHT = 0.4
SLOWER_WEIGHT = 0.05
# Waiting behind another prompt begins to show after this much more than usual.
PATIENCE_FACTOR = 1.15
PATIENCE_S = 0.25
# An engine that reads one prompt alone and takes this much longer is slow.
SLOW_FACTOR = 2.0
# Part of the first unread prompt that is taken as read.
PART_READ = 0.5
# Events need a moment to arrive.
ON_TIME_SHARE = 0.95
# Fewer tokens say more about the delay of a step than about reading.
MIN_TOKENS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillWait:
    """The wait of a prompt that has made no event.

    Attributes:
        since_sent_s: Time since it was sent to the engine.
        since_request_s: Time since the client asked.
        prompts: Prompts that the engine has not read, this one included.
        objective_s: Time to the first event that is on time.
    """

    since_sent_s: float
    since_request_s: float
    prompts: int
    objective_s: float


class PrefillEstimator:
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

    def should_move(self, pool: str, tokens: int, wait: PrefillWait) -> bool:
        """Returns whether an unread prompt is better read by an idle engine.

        What was read of it is read again elsewhere, which costs as much as a
        late answer of a few streams is worth. It pays only where this engine
        will be late and the other one will not.

        Args:
            pool: Name of the pool.
            tokens: Tokens of the prompt.
            wait: The wait so far.
        """
        known = self._s_per_token_by_pool.get(pool)
        if known is None or tokens < MIN_TOKENS:
            return False
        reading_s = known * tokens
        if wait.since_sent_s <= reading_s * PATIENCE_FACTOR + PATIENCE_S:
            return False
        limit_s = wait.objective_s * ON_TIME_SHARE
        if wait.since_request_s + reading_s * PATIENCE_FACTOR >= limit_s:
            return False
        if wait.prompts <= 1:
            return wait.since_sent_s > reading_s * SLOW_FACTOR
        # The first of the unread prompts has been read in part.
        left_s = (wait.prompts - PART_READ) * reading_s
        return wait.since_request_s + left_s > limit_s
