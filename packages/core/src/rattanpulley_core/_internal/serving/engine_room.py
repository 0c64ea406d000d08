"""Memory of an engine that a request can use, now and soon.

A report is some hundred milliseconds old. What this host has sent to the engine
since then is added, and so is a share for the simultaneous sends of other
hosts. The running answers grow until they end, and then free their memory.
"""

from collections.abc import Iterable
import dataclasses
import math

from rattanpulley_core._internal.serving import reports

# Requests that were sent this long ago are in the report of their engine.
REPORT_LAG_S = 0.6
# Assumed of answers until one of the pool has been completed on this host.
DEFAULT_EVENTS = 100.0
DEFAULT_EVENT_S = 0.1
# Weight of the newest answer in the averages of a pool.
NEWEST_WEIGHT = 0.2
# The share for other hosts is bounded, since it is worked out from what clients
# say of their prompts.
MAX_OTHERS_SHARE = 0.25
# Further requests in the queue of an engine change no decision.
MAX_QUEUED = 64
# An engine without requests cannot have more of its memory in use than this.
IDLE_USE_SHARE = 0.5
# Time in which the tokens that this host has sent count half in its rate.
RATE_HALF_LIFE_S = 10.0
# A run that has made more events than usual ends soon, but not at once.
MIN_LEFT_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class TokenNeed:
    """Memory that a request needs on an engine.

    Attributes:
        prompt: Tokens of the prompt and of the answer so far.
        answer: Tokens that the answer is expected to add.
    """

    prompt: int
    answer: int

    @property
    def total(self) -> int:
        """Tokens at the end of the answer."""
        return self.prompt + self.answer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerShape:
    """Usual length and pace of the answers of a pool.

    Attributes:
        events: Number of events.
        event_s: Seconds from one event to the next.
        tokens: Tokens of an answer, or 0 if unknown.
        is_assumed: Whether no answer has been completed yet.
    """

    events: float = DEFAULT_EVENTS
    event_s: float = DEFAULT_EVENT_S
    tokens: float = 0.0
    is_assumed: bool = False

    @property
    def duration_s(self) -> float:
        """Seconds from the first event to the last one."""
        return self.events * self.event_s


class AnswerHistory:
    """Shape of the recent answers of each pool."""

    def __init__(self) -> None:
        self._shapes_by_pool: dict[str, AnswerShape] = {}

    def shape_of(self, pool: str) -> AnswerShape:
        """Returns the usual shape of an answer of a pool."""
        return self._shapes_by_pool.get(pool, AnswerShape(is_assumed=True))

    def record(
        self, pool: str, events: int, duration_s: float, tokens: int
    ) -> None:
        """Records a complete answer.

        Args:
            pool: Name of the pool.
            events: Number of its events.
            duration_s: Seconds from the first event to the end.
            tokens: Its expected tokens.
        """
        if events < 1 or duration_s <= 0.0:
            return
        sample = AnswerShape(float(events), duration_s / events, float(tokens))
        known = self._shapes_by_pool.get(pool, sample)
        self._shapes_by_pool[pool] = AnswerShape(
            _average(known.events, sample.events),
            _average(known.event_s, sample.event_s),
            _average(known.tokens, sample.tokens),
        )

    def record_cut(self, pool: str, events: int, duration_s: float) -> None:
        """Records an answer that its time has cut off, which shows the pace.

        Without these, only the answers that were fast enough would count.

        Args:
            pool: Name of the pool.
            events: Number of its events so far.
            duration_s: Seconds since the first event.
        """
        if events < 1 or duration_s <= 0.0:
            return
        known = self.shape_of(pool)
        self._shapes_by_pool[pool] = dataclasses.replace(
            known, event_s=_average(known.event_s, duration_s / events)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that this host has sent to an engine.

    Attributes:
        need: Memory that it needs.
        at_s: When it was sent.
    """

    need: TokenNeed
    at_s: float


class SentRequests:
    """Requests that this host has recently sent to each engine."""

    def __init__(self) -> None:
        self._sent_by_target: dict[str, dict[str, SentRequest]] = {}
        self._tokens = 0.0
        self._tokens_at_s = 0.0

    def record(
        self, target_id: str, run_id: str, need: TokenNeed, now_s: float
    ) -> None:
        """Records a request that is sent to an engine now."""
        self._prune(now_s)
        sent = self._sent_by_target.setdefault(target_id, {})
        sent[run_id] = SentRequest(need, now_s)
        self._tokens = self._decayed_tokens(now_s) + need.total
        self._tokens_at_s = now_s

    def tokens_per_s(self, now_s: float) -> float:
        """Returns the tokens per second that this host sends to engines."""
        return self._decayed_tokens(now_s) * math.log(2.0) / RATE_HALF_LIFE_S

    def _decayed_tokens(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._tokens_at_s)
        return self._tokens * math.pow(0.5, elapsed_s / RATE_HALF_LIFE_S)

    def unreported(
        self, target_id: str, report: reports.TargetReport, now_s: float
    ) -> list[SentRequest]:
        """Returns the requests that a report may not contain yet."""
        recent = self._recent(target_id, now_s)
        return [
            sent
            for run_id, sent in recent.items()
            if run_id not in report.runs_by_id
        ]

    def _prune(self, now_s: float) -> None:
        """Drops all requests that reports contain by now."""
        kept_by_target = {
            target_id: self._recent(target_id, now_s)
            for target_id in self._sent_by_target
        }
        self._sent_by_target = {
            target_id: kept
            for target_id, kept in kept_by_target.items()
            if kept
        }

    def _recent(self, target_id: str, now_s: float) -> dict[str, SentRequest]:
        sent = self._sent_by_target.get(target_id, {})
        since_s = now_s - REPORT_LAG_S
        return {key: row for key, row in sent.items() if row.at_s > since_s}


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryUse:
    """Memory of one run.

    Attributes:
        tokens: Tokens now.
        growth: Tokens that it adds until its end.
        left_s: Seconds until it ends and frees its memory.
    """

    tokens: float
    growth: float
    left_s: float

    def tokens_in(self, after_s: float) -> float:
        """Returns its tokens in some seconds; 0 after its end."""
        if after_s > self.left_s:
            return 0.0
        return self.tokens + self.growth * after_s / max(self.left_s, 1e-9)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRoom:
    """Memory of one engine over the next seconds.

    Attributes:
        total: Capacity in tokens.
        uses: What the memory is used for.
        queued: What requests in the queue of the engine will use.
        others: Tokens that other hosts probably take at the same time.
        duration_s: Usual duration of an answer, assumed or known.
        urgent_tokens: Tokens of the runs of each rank, lowest rank first.
        prompts: Prompts that wait or are in prefill.
        is_assumed: Whether no answer has shown the usual duration yet.
    """

    total: int
    uses: tuple[MemoryUse, ...]
    queued: tuple[MemoryUse, ...]
    others: float
    duration_s: float
    urgent_tokens: tuple[tuple[int, float], ...] = ()
    prompts: int = 0
    is_assumed: bool = False

    def with_queue(self) -> "EngineRoom":
        """Returns the room behind the requests in the queue of the engine."""
        return dataclasses.replace(self, uses=self.uses + self.queued)

    def used_in(self, after_s: float) -> float:
        """Returns the used tokens in some seconds, without new requests."""
        return sum(use.tokens_in(after_s) for use in self.uses)

    def free_tokens(self) -> float:
        """Returns the tokens that are free now."""
        return self.total - self.others - self.used_in(0.0)

    def fits_in_s(
        self, need: TokenNeed, kept_free: float = 0.0
    ) -> float | None:
        """Returns in how many seconds a request fits until its end.

        Args:
            need: Memory that the request needs.
            kept_free: Tokens that it has to leave free.

        Returns:
            The seconds, or None if it never fits.
        """
        limit = self.total - self.others - kept_free
        if need.prompt > self.total:
            return None
        # What is expected at most must not exclude it from an idle engine.
        limit = max(limit, float(min(need.total, self.total)))
        need = TokenNeed(
            need.prompt, min(need.answer, self.total - need.prompt)
        )
        # The use is greatest just before a run ends.
        ends_s = sorted({use.left_s for use in self.uses})
        used = [(end_s, self.used_in(end_s)) for end_s in ends_s]
        begins = [(0.0, self.used_in(0.0))]
        # The run that ends at a time has freed its memory just after it.
        begins += [(end_s, self.used_in(end_s + 1e-6)) for end_s in ends_s]
        for begin_s, used_tokens in begins:
            if used_tokens + need.prompt <= limit and self._stays_below(
                need, begin_s, used, limit
            ):
                return begin_s
        return None

    def _stays_below(
        self,
        need: TokenNeed,
        begin_s: float,
        used: list[tuple[float, float]],
        limit: float,
    ) -> bool:
        """Returns whether the memory suffices until the request has ended."""
        duration_s = max(self.duration_s, 1e-9)
        return all(
            tokens
            + need.prompt
            + need.answer * min(1.0, (at_s - begin_s) / duration_s)
            <= limit
            for at_s, tokens in used
            if begin_s < at_s <= begin_s + duration_s
        )

    def tokens_before(self, rank: int) -> float:
        """Returns the tokens of the runs that are more urgent than a rank."""
        return sum(tokens for row, tokens in self.urgent_tokens if row < rank)


def estimate_room(
    report: reports.TargetReport,
    sent: Iterable[SentRequest],
    shape: AnswerShape,
    others: float,
    now_s: float,
) -> EngineRoom | None:
    """Returns the room of an engine, or None if it reports no memory.

    Args:
        report: Report of the engine.
        sent: Requests of this host that the report may not contain yet.
        shape: Usual answers of the pool.
        others: Tokens that other hosts probably take at the same time.
        now_s: Current time.
    """
    if report.memory_tokens <= 0 or _is_inconsistent(report):
        return None
    uses = _reported_uses(report, shape)
    sent = list(sent)
    waiting = MemoryUse(report.next_tokens, shape.tokens, shape.duration_s)
    duration_s = shape.duration_s
    uses += [
        MemoryUse(
            row.need.prompt,
            row.need.answer,
            max(MIN_LEFT_SHARE * duration_s, duration_s - (now_s - row.at_s)),
        )
        for row in sent
    ]
    tokens_by_rank: dict[int, float] = {}
    for run in report.runs_by_id.values():
        known = tokens_by_rank.get(run.priority, 0.0)
        tokens_by_rank[run.priority] = known + run.tokens
    return EngineRoom(
        report.memory_tokens,
        tuple(uses),
        (waiting,) * min(report.waiting, MAX_QUEUED),
        min(others, MAX_OTHERS_SHARE * report.memory_tokens),
        duration_s,
        tuple(sorted(tokens_by_rank.items())),
        report.prompts + len(sent),
        shape.is_assumed,
    )


def _is_inconsistent(report: reports.TargetReport) -> bool:
    """Returns whether a report says both that nothing runs and no room is left.

    Such an engine would never get a request that shows whether it has room.
    """
    is_idle = report.running == 0 and report.waiting == 0
    return (
        is_idle and report.used_tokens > IDLE_USE_SHARE * report.memory_tokens
    )


def _reported_uses(
    report: reports.TargetReport, shape: AnswerShape
) -> list[MemoryUse]:
    """Returns the memory that the requests of a report use."""
    uses = []
    for run in report.runs_by_id.values():
        left_share = max(MIN_LEFT_SHARE, 1.0 - run.events / shape.events)
        growth = shape.tokens * left_share
        uses.append(
            MemoryUse(run.tokens, growth, shape.duration_s * left_share)
        )
    # Prompts in prefill are not listed, and have only a part of their memory.
    listed = sum(use.tokens for use in uses)
    prompts = max(0, report.running - len(uses))
    usual = listed / len(uses) if uses else 0.0
    rest = max(report.used_tokens - listed, prompts * usual)
    if rest > 0.0:
        uses.append(MemoryUse(rest, prompts * shape.tokens, shape.duration_s))
    return uses


def _average(known: float, sample: float) -> float:
    return known + (sample - known) * NEWEST_WEIGHT
