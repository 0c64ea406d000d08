"""Admission of the requests of one host to the engines of all pools."""

from collections.abc import Sequence
import dataclasses
import random

from rattanpulley_core._internal.serving import admission
from rattanpulley_core._internal.serving import engine_room
from rattanpulley_core._internal.serving import reports

# Bounds what a request is said to need until an engine has reported its memory.
UNKNOWN_MEMORY_TOKENS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSize:
    """How many share the engines of a pool.

    Attributes:
        hosts: Hosts of the deployment, this one included.
        engines: Engines of the pool.
    """

    hosts: int
    engines: int

    @property
    def other_hosts_per_engine(self) -> float:
        """Number of other hosts for each engine."""
        return max(0, self.hosts - 1) / max(1, self.engines)


class AdmissionControl:
    """What a host knows about the room of engines and its waiting requests."""

    def __init__(self, rng: random.Random) -> None:
        """Creates an instance without requests.

        Args:
            rng: Spreads the checks and the returns of clients.
        """
        self._rng = rng
        self._queues_by_pool: dict[str, admission.AdmissionQueue] = {}
        self._sent_by_pool: dict[str, engine_room.SentRequests] = {}
        self._answers = engine_room.AnswerHistory()
        # Memory of an engine of each pool, as last reported.
        self._memory_by_pool: dict[str, int] = {}

    def queue_of(self, pool: str) -> admission.AdmissionQueue:
        """Returns the waiting requests of a pool."""
        queue = self._queues_by_pool.get(pool)
        if queue is None:
            queue = admission.AdmissionQueue(self._rng)
            self._queues_by_pool[pool] = queue
        return queue

    def need_of(
        self, pool: str, prompt_tokens: int, answer_tokens: int, events: int
    ) -> engine_room.TokenNeed:
        """Returns the memory that a request needs.

        Args:
            pool: Name of the pool.
            prompt_tokens: Tokens of the prompt.
            answer_tokens: Expected tokens of the answer.
            events: Events of the answer that its client has.
        """
        # Clients say what they want; no engine has more than its memory.
        memory = self._memory_by_pool.get(pool, UNKNOWN_MEMORY_TOKENS)
        answer_tokens = min(answer_tokens, memory)
        made_share = min(1.0, events / self._answers.shape_of(pool).events)
        made = int(answer_tokens * made_share)
        return engine_room.TokenNeed(prompt_tokens + made, answer_tokens - made)

    def decide(
        self,
        pool: str,
        request: admission.WaitingRequest,
        reported: Sequence[tuple[str, reports.TargetReport]],
        size: PoolSize,
        now_s: float,
    ) -> admission.Verdict:
        """Decides about a waiting request.

        Args:
            pool: Name of the pool.
            request: A request that has entered the queue of the pool.
            reported: Ids and reports of the engines that were asked.
            size: How many share the engines.
            now_s: Current time.
        """
        shape = self._answers.shape_of(pool)
        if shape.tokens <= 0.0:
            # Nothing is known of other answers yet.
            shape = dataclasses.replace(
                shape, tokens=float(request.need.answer)
            )
        sent = self._sent_of(pool)
        # Other hosts probably send as much as this one.
        others = (
            sent.tokens_per_s(now_s)
            * size.other_hosts_per_engine
            * engine_room.REPORT_LAG_S
        )
        rooms_by_id = {}
        for target_id, report in reported:
            unreported = sent.unreported(target_id, report, now_s)
            room = engine_room.estimate_room(
                report, unreported, shape, others, now_s
            )
            if room is not None:
                rooms_by_id[target_id] = room
                self._memory_by_pool[pool] = room.total
        if len(rooms_by_id) < len(reported):
            # Some engines say nothing about their memory.
            rooms_by_id = {}
        return self.queue_of(pool).decide(
            request,
            rooms_by_id,
            now_s,
            size.other_hosts_per_engine * len(reported),
        )

    def record_sent(
        self,
        pool: str,
        target_id: str,
        request: admission.WaitingRequest,
        now_s: float,
    ) -> None:
        """Records that a request is sent to an engine."""
        if request.need.prompt > self._memory_by_pool.get(
            pool, UNKNOWN_MEMORY_TOKENS
        ):
            # The engine will reject it.
            return
        self._sent_of(pool).record(
            target_id, request.request_id, request.need, now_s
        )
        self.queue_of(pool).record_sent(request, now_s)

    def record_answer(
        self, pool: str, events: int, duration_s: float, tokens: int
    ) -> None:
        """Records a complete answer, which shows what others will need.

        Args:
            pool: Name of the pool.
            events: Number of its events.
            duration_s: Seconds from its first event to the end.
            tokens: Its expected tokens.
        """
        self._answers.record(pool, events, duration_s, tokens)

    def record_cut(self, pool: str, events: int, duration_s: float) -> None:
        """Records an answer that its time has cut off.

        Args:
            pool: Name of the pool.
            events: Number of its events so far.
            duration_s: Seconds since its first event.
        """
        self._answers.record_cut(pool, events, duration_s)

    def _sent_of(self, pool: str) -> engine_room.SentRequests:
        return self._sent_by_pool.setdefault(pool, engine_room.SentRequests())
