"""Estimates how long engines take to prefill a prompt.

An engine prefills prompts one after another. A host learns the usual time per
token from prompts that did not wait for another one. From this it infers when a
prompt without an event has been queued behind another one.
"""

import dataclasses

# A fast sample shows the usual time; a slow one usually includes the wait for
# another prompt and therefore has a small weight.
FASTER_WEIGHT = 0.4
SLOWER_WEIGHT = 0.05
# A prompt is assumed to wait behind another one after its usual time multiplied
# by this factor, plus this many seconds.
WAIT_TOLERANCE_FACTOR = 1.15
WAIT_TOLERANCE_S = 0.25
# An engine is slow if it takes this many times the usual time for a prompt that
# is its only one.
SLOW_FACTOR = 2.0
# Fraction of the first pending prompt that is assumed to be processed.
FIRST_PREFILL_PROGRESS = 0.5
# Fraction of the objective that is available, since events take time to arrive.
OBJECTIVE_FRACTION = 0.95
# The time of shorter prompts depends more on the duration of an engine step
# than on the prefill.
MIN_TOKENS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillWait:
    """Wait of a prompt that has produced no event yet.

    Attributes:
        since_sent_s: Seconds since the prompt was sent to the engine.
        since_request_s: Seconds since the client sent the request.
        prompts: Prompts whose prefill is not finished, including this one.
        objective_s: Latest time in seconds at which a first event is on time.
    """

    since_sent_s: float
    since_request_s: float
    prompts: int
    objective_s: float


class PrefillEstimator:
    """Prefill time per token of each pool.

    The estimate stays close to the fast samples.
    """

    def __init__(self) -> None:
        self._s_per_token_by_pool: dict[str, float] = {}

    def record(self, pool: str, tokens: int, first_event_s: float) -> None:
        """Records the time to the first event of a prompt that did not wait.

        Args:
            pool: Name of the pool.
            tokens: Number of tokens in the prompt.
            first_event_s: Seconds from sending the prompt to the first event.
        """
        if tokens < MIN_TOKENS:
            return
        sample = first_event_s / tokens
        known = self._s_per_token_by_pool.get(pool, sample)
        weight = FASTER_WEIGHT if sample < known else SLOWER_WEIGHT
        sample = min(sample, known * 2)
        self._s_per_token_by_pool[pool] = known + (sample - known) * weight

    def expected_s(self, pool: str, tokens: int) -> float:
        """Returns the usual prefill time of a prompt, or 0 if unknown."""
        return self._s_per_token_by_pool.get(pool, 0.0) * tokens

    def should_move(self, pool: str, tokens: int, wait: PrefillWait) -> bool:
        """Returns whether a pending prompt should move to an idle engine.

        The other engine repeats the prefill from the start, which costs about
        as much as a late response to a few streams. A move is therefore only
        worthwhile if this engine will miss the objective and the other one will
        meet it.

        Args:
            pool: Name of the pool.
            tokens: Number of tokens in the prompt.
            wait: Wait of the prompt so far.
        """
        known = self._s_per_token_by_pool.get(pool)
        if known is None or tokens < MIN_TOKENS:
            return False
        prefill_s = known * tokens
        if (
            wait.since_sent_s
            <= prefill_s * WAIT_TOLERANCE_FACTOR + WAIT_TOLERANCE_S
        ):
            return False
        limit_s = wait.objective_s * OBJECTIVE_FRACTION
        if wait.since_request_s + prefill_s * WAIT_TOLERANCE_FACTOR >= limit_s:
            return False
        if wait.prompts <= 1:
            return wait.since_sent_s > prefill_s * SLOW_FACTOR
        # The first of the pending prompts is partly processed.
        remaining_s = (wait.prompts - FIRST_PREFILL_PROGRESS) * prefill_s
        return wait.since_request_s + remaining_s > limit_s
