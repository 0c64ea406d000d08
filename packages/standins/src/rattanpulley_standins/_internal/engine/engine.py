"""Engine stand-in: generation batch, cost model and buffered answers."""

from collections.abc import Callable
import dataclasses
import os
import random
from typing import Any

from rattanpulley_standins._internal import faults
from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.engine import completion_request
from rattanpulley_standins._internal.engine import generation as generation_lib
from rattanpulley_standins._internal.engine import prefix_cache
from rattanpulley_standins._internal.engine import tokens

CRASH_STATUS = 70
FAULT_CHECKS_BY_NAME: dict[str, faults.Check] = {
    "exit_after_tokens": faults.is_count,
    "pause": faults.is_number,
    "silent_connections": faults.is_flag,
    "slow": faults.is_factor,
    "crash_on_content": faults.is_text,
    "fail_route": faults.is_text,
    "ignore_cancel": faults.is_flag,
    "nondeterministic": faults.is_flag,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CostModel:
    """Durations that an engine simulates, in seconds.

    Attributes:
        token_interval_s: Duration of one decoding step of the batch.
        first_token_s: Fixed part of the time to the first token.
        prefill_s_per_token: Prefill time of one uncached prefix token.
        grace_s: How long a generation without a reader is kept.
    """

    token_interval_s: float = 0.030
    first_token_s: float = 0.005
    prefill_s_per_token: float = 0.00005
    grace_s: float = 10.0


@dataclasses.dataclass(slots=True)
class Stats:
    """Counters of an engine since its start.

    `engine_seconds` is the time spent on prefill plus one token interval for
    each generated token.
    """

    requests: int = 0
    resumes: int = 0
    attaches: int = 0
    cancels: int = 0
    refused: int = 0
    generated_tokens: int = 0
    uncached_prefix_tokens: int = 0
    recomputed_prefix_tokens: int = 0
    engine_seconds: float = 0.0


def _exit_abruptly() -> None:
    os._exit(CRASH_STATUS)


class Engine:
    """Generations of one engine process.

    Callers pass in the time, and `step` does all work that is due, so tests
    can run the engine without waiting.

    Args:
        name: Name of the target.
        version: Version that it runs.
        cost: Cost model.
        slots: Maximum number of generations in the batch.
        cache_blocks: Capacity of the prefix cache, in blocks.
        rng: Source of the boot id and of the suffixes of nondeterministic
            tokens.
        exit_abruptly: Ends the process when a crash fault triggers.
    """

    def __init__(
        self,
        name: str,
        version: str,
        cost: CostModel,
        slots: int,
        cache_blocks: int,
        rng: random.Random,
        exit_abruptly: Callable[[], None] = _exit_abruptly,
    ) -> None:
        self.name = name
        self.version = version
        self.boot_id = f"{rng.getrandbits(64):016x}"
        self.state = "ready"
        self.fencing_token = 0
        self.stats = Stats()
        self.faults = faults.Faults(FAULT_CHECKS_BY_NAME)
        self.staller = generation_lib.ConnectionStaller()
        self.cache = prefix_cache.PrefixCache(cache_blocks)
        self.generations_by_id: dict[str, generation_lib.Generation] = {}
        self._cost = cost
        self._slots = slots
        self._rng = rng
        self._exit_abruptly = exit_abruptly
        self._next_step_s = 0.0

    def start(
        self, request: completion_request.CompletionRequest, now_s: float
    ) -> generation_lib.Generation:
        """Starts a generation; a newer attempt replaces an older one.

        Args:
            request: Validated request.
            now_s: Monotonic time in seconds.

        Returns:
            The generation, which waits for a slot if the batch is full.

        Raises:
            serving.RequestError: The engine is leaving (503), the fault
                `fail_route` applies to the model (500), or the engine has the
                same or a newer attempt (409).
        """
        self._check_accepts(request)
        existing = self.generations_by_id.get(request.generation_id)
        if existing is not None:
            if request.attempt <= existing.request.attempt:
                self.stats.refused += 1
                raise serving.RequestError(
                    409, f"attempt {existing.request.attempt} already exists"
                )
            self._remove(existing)
        generation = generation_lib.Generation(request, now_s)
        self.generations_by_id[request.generation_id] = generation
        self.stats.requests += 1
        self.stats.resumes += bool(request.resume_tokens)
        self._admit(now_s)
        return generation

    def _check_accepts(
        self, request: completion_request.CompletionRequest
    ) -> None:
        if self.state != "ready":
            self.stats.refused += 1
            raise serving.RequestError(503, f"{self.name} is leaving")
        if request.model == self.faults.get("fail_route"):
            self.stats.refused += 1
            raise serving.RequestError(500, f"the model {request.model} fails")

    def get_generation(self, generation_id: str) -> generation_lib.Generation:
        """Returns a generation by its id.

        Raises:
            serving.RequestError: The engine does not have it; status 404.
        """
        generation = self.generations_by_id.get(generation_id)
        if generation is None:
            raise serving.RequestError(
                404, f"generation {generation_id} does not exist"
            )
        return generation

    def cancel(self, generation_id: str, attempt: int) -> bool:
        """Stops a generation unless a newer attempt is reading it.

        Returns:
            Whether the generation was stopped.

        Raises:
            serving.RequestError: The engine does not have it; status 404.
        """
        generation = self.get_generation(generation_id)
        self.stats.cancels += 1
        if self.faults.get("ignore_cancel"):
            return False
        if generation.newest_reading_attempt() > attempt:
            return False
        self._remove(generation)
        return True

    def running(self) -> list[generation_lib.Generation]:
        """Returns the generations that have a slot."""
        return [g for g in self._unfinished() if g.ready_at_s is not None]

    def waiting(self) -> list[generation_lib.Generation]:
        """Returns the generations without a slot, most urgent first."""
        waiting = [g for g in self._unfinished() if g.ready_at_s is None]
        return sorted(waiting, key=lambda g: -g.request.priority)

    def step(self, now_s: float) -> None:
        """Produces the tokens that are due and removes unread generations."""
        self._drop_abandoned(now_s)
        self._admit(now_s)
        decode = now_s >= self._next_step_s
        if decode:
            self._next_step_s = now_s + self._interval_s()
        for generation in self.running():
            self._step_generation(generation, now_s, decode)
        # Reuse the slots that this step freed without waiting for the next one.
        self._admit(now_s)

    def next_wake_s(self) -> float:
        """Returns the monotonic time of the next work, or infinity."""
        starts = [
            g.ready_at_s
            for g in self.running()
            if g.ready_at_s is not None and self._is_prefilling(g)
        ]
        if len(starts) < len(self.running()):
            starts.append(self._next_step_s)
        starts.extend(
            g.unread_since_s + self._cost.grace_s
            for g in self.generations_by_id.values()
            if not g.has_reader
        )
        return min(starts, default=float("inf"))

    def load(self) -> dict[str, Any]:
        """Returns the current load; the route `/load` reports it with a lag."""
        return {
            "running": len(self.running()),
            "waiting": len(self.waiting()),
            "kv_used": sum(len(g.tokens) for g in self.running()),
        }

    def _unfinished(self) -> list[generation_lib.Generation]:
        return [g for g in self.generations_by_id.values() if not g.ended]

    def _interval_s(self) -> float:
        slow: float = self.faults.get("slow") or 1.0
        return self._cost.token_interval_s * slow

    def _admit(self, now_s: float) -> None:
        free = self._slots - len(self.running())
        for generation in self.waiting()[: max(free, 0)]:
            self._prefill(generation, now_s)

    def _prefill(
        self, generation: generation_lib.Generation, now_s: float
    ) -> None:
        words = _words(generation)
        uncached = len(words) - self.cache.cached_words(words)
        self.cache.store(words)
        cost = self._cost
        duration_s = cost.first_token_s + uncached * cost.prefill_s_per_token
        duration_s *= self.faults.get("slow") or 1.0
        generation.ready_at_s = now_s + duration_s
        self.stats.engine_seconds += duration_s
        self.stats.uncached_prefix_tokens += uncached
        if generation.request.resume_tokens:
            self.stats.recomputed_prefix_tokens += uncached

    def _is_prefilling(self, generation: generation_lib.Generation) -> bool:
        prefix = len(generation.request.resume_tokens)
        return len(generation.tokens) == prefix

    def _step_generation(
        self,
        generation: generation_lib.Generation,
        now_s: float,
        decode: bool,
    ) -> None:
        if generation.ready_at_s is None or now_s < generation.ready_at_s:
            return
        if self._is_prefilling(generation):
            self._crash_on_content(generation)
            generation.finish_if_complete()
        elif not decode:
            return
        if not generation.ended:
            self._generate(generation)
        if generation.ended:
            self.cache.store(_words(generation))

    def _generate(self, generation: generation_lib.Generation) -> None:
        variation = ""
        if self.faults.get("nondeterministic"):
            variation = f"{self._rng.getrandbits(16):04x}"
        text = tokens.token_text(
            generation.generation_id,
            self.version,
            len(generation.tokens),
            variation,
        )
        generation.append(text)
        self.stats.generated_tokens += 1
        self.stats.engine_seconds += self._interval_s()
        self._crash_after_tokens()

    def _crash_on_content(self, generation: generation_lib.Generation) -> None:
        content = self.faults.get("crash_on_content")
        if content is not None and content in generation.request.prompt:
            self._exit_abruptly()

    def _crash_after_tokens(self) -> None:
        if self.faults.get("exit_after_tokens") is None:
            return
        if not self.faults.consume_one("exit_after_tokens"):
            self._exit_abruptly()

    def _drop_abandoned(self, now_s: float) -> None:
        for generation in list(self.generations_by_id.values()):
            unread_s = now_s - generation.unread_since_s
            if not generation.has_reader and unread_s >= self._cost.grace_s:
                self._remove(generation)

    def _remove(self, generation: generation_lib.Generation) -> None:
        self.cache.store(_words(generation))
        generation.stop()
        self.generations_by_id.pop(generation.generation_id, None)


def _words(generation: generation_lib.Generation) -> list[str]:
    answer = [token.rstrip() for token in generation.tokens]
    return generation.request.prompt.split() + answer
