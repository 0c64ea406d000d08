"""Decides which waiting requests of a host are offered, held or rejected.

Each host decides about its own requests, from the reports of the few engines
that it has just asked. Hosts do not coordinate; engines order what they get by
the same ranks. An answer that has begun is never rejected here.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import math
import random

from rattanpulley_core._internal.serving import config
from rattanpulley_core._internal.serving import engine_room

# Rank of requests without a priority.
MIDDLE_RANK = 5
# A waiting request becomes one rank more urgent in this time, so that requests
# of rank 9 are not held forever by a stream of more urgent ones.
AGING_S_PER_RANK = 4.0
# Time in which the use of an account counts half.
USE_HALF_LIFE_S = 30.0
# An account with more than this many times the mean use counts as one rank
# less urgent while others wait or engines are full.
FAIR_USE_FACTOR = 1.5
MIN_FAIR_ACCOUNTS = 2
MIN_USED_TOKENS = 1.0
# An engine gets a request this long before the room is expected: the prompt
# takes that long to arrive, and reports are late by it.
OFFER_AHEAD_S = 0.4
# Requests that are more urgent than most runs are ahead of others in the queue
# of an engine as well, so that they are sent earlier.
URGENT_OFFER_AHEAD_S = 1.0
URGENT_SHARE = 0.5
# A begun answer waits this long for room, since its client sees a pause.
MAX_BEGUN_HOLD_S = 1.5
# Bounds of the interval at which a host asks engines for waiting requests.
MIN_CHECK_S = 0.2
MAX_CHECK_S = 0.6
# The order of the waiting requests stays valid for this time, in which slack
# and age change little.
FIRST_VALID_S = 0.05
# Half-life of the average number of requests that wait on this host.
WAITING_HALF_LIFE_S = 2.0
# Engines get no prompt while those before it need this much prefill: it would
# only wait there, and engines with much free memory would get too many.
MAX_PREFILL_QUEUE_S = 2.0
# Engines prefill one prompt after another, whatever memory they have.
MAX_BEGUN_AT_ONCE = 6.0
# Less urgent requests leave this many times the memory free that an engine
# spends on more urgent ones: their number varies from engine to engine.
KEPT_FREE_FACTOR = 2.0
# Less urgent requests leave at most this share of the memory of an engine.
MAX_KEPT_FREE_SHARE = 0.25
# Shortest time over which the returns of rejected clients are spread.
MIN_RETRY_SPREAD_S = 1.0


class Action(enum.Enum):
    """What happens with a waiting request.

    Attributes:
        OFFER: It is sent to an engine now.
        HOLD: It waits on this host.
        REJECT: It is answered with 503 and Retry-After.
    """

    OFFER = "offer"
    HOLD = "hold"
    REJECT = "reject"


class Cause(enum.Enum):
    """Why a request is offered, held or rejected, for log and metrics."""

    ROOM = "room"
    NO_REPORTS = "no_reports"
    BEGUN = "begun"
    NO_ROOM = "no_room"
    BEHIND_OTHERS = "behind_others"
    LEFT_FOR_URGENT = "left_for_urgent"
    LEFT_FOR_OTHER_HOSTS = "left_for_other_hosts"
    TOO_LATE = "too_late"
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class WaitingRequest:
    """A request that needs room on an engine.

    Attributes:
        request_id: Id of the request.
        account: Client account.
        priority: Rank, 0 first; None counts as the middle.
        need: Memory that it needs.
        received_at_s: When the client sent it.
        objective_at_s: Until when its first event is on time.
        deadline_s: When its client stops waiting.
        prefill_s: Expected duration of its prefill.
        entered_at_s: When it began to wait for an engine.
        begun: Whether its client has a part of the answer.
    """

    request_id: str
    account: str
    priority: int | None
    need: engine_room.TokenNeed
    received_at_s: float
    objective_at_s: float
    deadline_s: float
    prefill_s: float = 0.0
    entered_at_s: float = 0.0
    begun: bool = False

    @property
    def rank(self) -> int:
        """Its rank, 0 first."""
        return MIDDLE_RANK if self.priority is None else self.priority

    def slack_share(self, now_s: float) -> float:
        """Returns the share of its time that a request can still wait.

        It yields to others by this share; 1 if it is late already, so that it
        takes no room from those that can be on time.
        """
        latest_s = self.objective_at_s - self.prefill_s
        if now_s > latest_s:
            return 1.0
        whole_s = max(latest_s - self.received_at_s, 1e-9)
        return min(1.0, (latest_s - now_s) / whole_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision about a waiting request.

    Attributes:
        action: What happens with it.
        cause: Why.
        waits_by_id: Seconds until each engine has room, of those that the
            request may be sent to; empty if reports say nothing.
        check_in_s: When a held request is decided about again.
        retry_after_s: When the client of a rejected request returns.
    """

    action: Action
    cause: Cause
    waits_by_id: Mapping[str, float] = dataclasses.field(default_factory=dict)
    check_in_s: float = 0.0
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _AccountUse:
    """Tokens that were sent for an account, with exponential decay."""

    tokens: float
    at_s: float

    def tokens_at(self, now_s: float) -> float:
        halvings = (now_s - self.at_s) / USE_HALF_LIFE_S
        return self.tokens * math.pow(0.5, max(0.0, halvings))


class AdmissionQueue:
    """Waiting requests of this host for one pool."""

    def __init__(self, rng: random.Random) -> None:
        """Creates an empty queue.

        Args:
            rng: Spreads the checks and the returns of clients.
        """
        self._rng = rng
        # Compared by identity: clients may use an id more than once.
        self._requests: set[WaitingRequest] = set()
        self._use_by_account: dict[str, _AccountUse] = {}
        self._use_of_all = _AccountUse(0.0, 0.0)
        self._dropped_at_s = 0.0
        self._held_mean = 0.0
        self._held_at_s = 0.0
        self._held: set[WaitingRequest] = set()
        self._check_at_s = float("-inf")
        self._answer_s = 0.0
        # The request that comes first, until the order may have changed.
        self._first: WaitingRequest | None = None
        self._first_until_s = float("-inf")

    def __len__(self) -> int:
        return len(self._requests)

    def in_order(self, now_s: float) -> list[WaitingRequest]:
        """Returns the waiting requests, first served first."""
        return sorted(self._requests, key=lambda row: self._order(row, now_s))

    def enter(self, request: WaitingRequest) -> None:
        """Adds a request that needs an engine."""
        self._requests.add(request)
        self._first = None

    def leave(self, request: WaitingRequest, now_s: float) -> None:
        """Removes a request that is sent, rejected or left by its client."""
        self._update_held(now_s)
        self._requests.discard(request)
        self._first = None
        self._held.discard(request)

    def record_sent(self, request: WaitingRequest, now_s: float) -> None:
        """Counts a request towards the use of its account."""
        used = self._used_tokens(request.account, now_s)
        self._use_by_account[request.account] = _AccountUse(
            used + request.need.total, now_s
        )
        total = self._use_of_all.tokens_at(now_s) + request.need.total
        self._use_of_all = _AccountUse(total, now_s)
        self._drop_unused(now_s)

    def check_in_s(self, request: WaitingRequest, now_s: float) -> float:
        """Returns when the host may ask engines for a request, in seconds.

        A new request asks at once. Of those that are held, only the first one
        asks, at the interval of the host.
        """
        if request not in self._held:
            return 0.0
        wait_s = max(0.0, self._check_at_s - now_s)
        if not self._is_first(request, now_s):
            return max(wait_s, FIRST_VALID_S)
        return wait_s

    def review(self, request: WaitingRequest, now_s: float) -> Verdict | None:
        """Returns the rejection of a held request whose time is too short.

        It needs no report, so that requests behind others are rejected as well
        as soon as an answer would end too late.
        """
        end_s = now_s + request.prefill_s + self._answer_s
        if request.begun or end_s <= request.deadline_s:
            return None
        return self._reject(Cause.TOO_LATE, max(0.0, self._check_at_s - now_s))

    def decide(
        self,
        request: WaitingRequest,
        rooms_by_id: Mapping[str, engine_room.EngineRoom],
        now_s: float,
        competitors: float = 0.0,
    ) -> Verdict:
        """Decides about a request from the room of a few engines.

        Args:
            request: A request that has entered.
            rooms_by_id: Room by target id; empty if engines report none.
            now_s: Current time.
            competitors: Hosts that ask the same engine for each request that
                waits at each host.
        """
        if not rooms_by_id:
            return Verdict(Action.OFFER, Cause.NO_REPORTS)
        if all(request.need.prompt > r.total for r in rooms_by_id.values()):
            # The engine knows its memory best, and answers by itself.
            return Verdict(Action.OFFER, Cause.TOO_LARGE)
        if not _is_urgent(request, rooms_by_id):
            rooms_by_id = {
                key: room.with_queue() for key, room in rooms_by_id.items()
            }
        waits_by_id = self._waits(request, rooms_by_id, now_s)
        if request.begun:
            return self._decide_begun(
                request, waits_by_id, rooms_by_id, now_s, competitors
            )
        return self._decide_new(
            request, waits_by_id, rooms_by_id, now_s, competitors
        )

    def _decide_new(
        self,
        request: WaitingRequest,
        waits_by_id: dict[str, float],
        rooms_by_id: Mapping[str, engine_room.EngineRoom],
        now_s: float,
        competitors: float,
    ) -> Verdict:
        """Offers, holds or rejects a request whose answer has not begun."""
        is_urgent = _is_urgent(request, rooms_by_id)
        ahead_s = URGENT_OFFER_AHEAD_S if is_urgent else OFFER_AHEAD_S
        soon_by_id = _until(waits_by_id, ahead_s)
        if soon_by_id and self._is_first(request, now_s):
            return self._decide_first(
                request, soon_by_id, rooms_by_id, now_s, competitors
            )
        rejection = self._rejection(request, rooms_by_id, now_s)
        if rejection is not None:
            return rejection
        if soon_by_id:
            return self._hold(request, Cause.BEHIND_OTHERS, 0.0, now_s)
        unreserved = _until(_plain_waits(request, rooms_by_id), OFFER_AHEAD_S)
        cause = Cause.LEFT_FOR_URGENT if unreserved else Cause.NO_ROOM
        wait_s = min(waits_by_id.values(), default=MAX_CHECK_S)
        if is_urgent:
            wait_s = 0.0
        return self._hold(request, cause, wait_s, now_s)

    def _decide_first(
        self,
        request: WaitingRequest,
        soon_by_id: dict[str, float],
        rooms_by_id: Mapping[str, engine_room.EngineRoom],
        now_s: float,
        competitors: float,
    ) -> Verdict:
        """Offers the first request of this host unless other hosts go first."""
        held = self._update_held(now_s)
        held *= _urgent_share(request.rank, rooms_by_id)
        held *= request.slack_share(now_s)
        slots_by_id = _slots_by_id(request, rooms_by_id, soon_by_id)
        drawn = self._draw(held * competitors, slots_by_id)
        if not drawn:
            return self._hold(request, Cause.LEFT_FOR_OTHER_HOSTS, 0.0, now_s)
        waits_by_id = {key: soon_by_id[key] for key in drawn}
        return Verdict(Action.OFFER, Cause.ROOM, waits_by_id)

    def _waits(
        self,
        request: WaitingRequest,
        rooms_by_id: Mapping[str, engine_room.EngineRoom],
        now_s: float,
    ) -> dict[str, float]:
        """Returns in how many seconds each engine has room for a request."""
        rank = self._rank(request, now_s)
        mean_before = sum(
            room.tokens_before(rank) for room in rooms_by_id.values()
        ) / len(rooms_by_id)
        waits_by_id = {}
        for target_id, room in rooms_by_id.items():
            kept_free = 0.0
            if not request.begun:
                kept_free = min(
                    KEPT_FREE_FACTOR * mean_before * request.slack_share(now_s),
                    MAX_KEPT_FREE_SHARE * room.total,
                )
                # An idle engine has room for any request that fits at all.
                kept_free = min(kept_free, room.used_in(0.0))
            wait_s = _wait_s(request, room, kept_free)
            if wait_s is not None:
                waits_by_id[target_id] = wait_s
        return waits_by_id

    def _decide_begun(
        self,
        request: WaitingRequest,
        waits_by_id: dict[str, float],
        rooms_by_id: Mapping[str, engine_room.EngineRoom],
        now_s: float,
        competitors: float,
    ) -> Verdict:
        """Offers a begun answer as soon as there is room, or after a while."""
        soon_by_id = _until(waits_by_id, OFFER_AHEAD_S)
        # Other hosts have lost answers with the same engines.
        begun = sum(row.begun for row in self._requests)
        slots_by_id = _slots_by_id(request, rooms_by_id, soon_by_id)
        drawn = self._draw(begun * competitors, slots_by_id)
        if drawn:
            waits_by_id = {key: soon_by_id[key] for key in drawn}
            return Verdict(Action.OFFER, Cause.BEGUN, waits_by_id)
        if now_s - request.entered_at_s < MAX_BEGUN_HOLD_S:
            cause = Cause.LEFT_FOR_OTHER_HOSTS if soon_by_id else Cause.NO_ROOM
            return self._hold(request, cause, 0.0, now_s)
        known = waits_by_id or dict.fromkeys(rooms_by_id, 0.0)
        first_s = min(known.values())
        return Verdict(Action.OFFER, Cause.BEGUN, _until(known, first_s))

    def _rejection(
        self,
        request: WaitingRequest,
        rooms_by_id: Mapping[str, engine_room.EngineRoom],
        now_s: float,
    ) -> Verdict | None:
        """Returns the rejection of a request that cannot be served in time."""
        waits = _plain_waits(request, rooms_by_id)
        if not waits or any(row.is_assumed for row in rooms_by_id.values()):
            # Only what is known of answers is a reason to reject a request.
            return None
        wait_s = min(waits.values())
        self._answer_s = min(room.duration_s for room in rooms_by_id.values())
        end_s = now_s + wait_s + request.prefill_s + self._answer_s
        if end_s <= request.deadline_s:
            return None
        return self._reject(Cause.TOO_LATE, wait_s)

    def _reject(self, cause: Cause, wait_s: float) -> Verdict:
        spread_s = max(MIN_RETRY_SPREAD_S, wait_s)
        retry_after_s = self._rng.uniform(wait_s, wait_s + spread_s)
        return Verdict(
            Action.REJECT, cause, retry_after_s=max(0.1, retry_after_s)
        )

    def _hold(
        self, request: WaitingRequest, cause: Cause, wait_s: float, now_s: float
    ) -> Verdict:
        self._update_held(now_s)
        self._held.add(request)
        longest_s = min(max(wait_s, MIN_CHECK_S), MAX_CHECK_S)
        check_s = self._rng.uniform(MIN_CHECK_S, max(MIN_CHECK_S, longest_s))
        if cause is not Cause.BEHIND_OTHERS:
            self._check_at_s = now_s + check_s
        return Verdict(Action.HOLD, cause, check_in_s=check_s)

    def _is_first(self, request: WaitingRequest, now_s: float) -> bool:
        """Returns whether a request comes first; many ask at the same time."""
        if self._first is None or now_s >= self._first_until_s:
            self._first = min(
                self._requests, key=lambda row: self._order(row, now_s)
            )
            self._first_until_s = now_s + FIRST_VALID_S
        return self._first is request

    def _draw(
        self, expected: float, slots_by_id: Mapping[str, float]
    ) -> list[str]:
        """Returns the engines whose room this host uses; empty if none.

        Hosts whose requests wait see the same room at the same time. Each takes
        it with a chance that leaves about as many of them as there is room for,
        on an engine that it draws by its room.

        Args:
            expected: Requests that see the same room.
            slots_by_id: Requests that each engine has room for.
        """
        slots = sum(slots_by_id.values())
        if expected <= 1.0 or not slots:
            return list(slots_by_id)
        if self._rng.random() * expected >= slots:
            return []
        ids = list(slots_by_id)
        return self._rng.choices(ids, list(slots_by_id.values()))

    def _update_held(self, now_s: float) -> float:
        """Returns the average number of requests held at this host."""
        elapsed_s = max(0.0, now_s - self._held_at_s)
        kept = math.pow(0.5, elapsed_s / WAITING_HALF_LIFE_S)
        held = len(self._held)
        self._held_mean = held + (self._held_mean - held) * kept
        self._held_at_s = now_s
        return self._held_mean

    def _order(
        self, request: WaitingRequest, now_s: float
    ) -> tuple[bool, float, bool, float, float, float, str]:
        """Returns what requests are sorted by, first served first."""
        slack_s = request.objective_at_s - request.prefill_s - now_s
        return (
            not request.begun,
            request.need.answer
            if request.begun
            else self._rank(request, now_s),
            # It is late already; others can still be on time.
            slack_s < 0.0,
            self._used_tokens(request.account, now_s),
            slack_s,
            float(request.need.total),
            request.request_id,
        )

    def _rank(self, request: WaitingRequest, now_s: float) -> int:
        """Returns the rank with age and the use of the account."""
        waited_s = now_s - request.received_at_s
        rank = request.rank - int(waited_s / AGING_S_PER_RANK)
        return max(0, rank) + self._is_over_share(request.account, now_s)

    def _is_over_share(self, account: str, now_s: float) -> bool:
        """Returns whether an account has used much more than the others."""
        accounts = len(self._use_by_account)
        if accounts < MIN_FAIR_ACCOUNTS:
            return False
        mean = self._use_of_all.tokens_at(now_s) / accounts
        return self._used_tokens(account, now_s) > FAIR_USE_FACTOR * mean

    def _used_tokens(self, account: str, now_s: float) -> float:
        used = self._use_by_account.get(account)
        return used.tokens_at(now_s) if used is not None else 0.0

    def _drop_unused(self, now_s: float) -> None:
        """Forgets accounts whose use has decayed, once in a half-life."""
        if now_s < self._dropped_at_s + USE_HALF_LIFE_S:
            return
        self._dropped_at_s = now_s
        self._use_by_account = {
            account: row
            for account, row in self._use_by_account.items()
            if row.tokens_at(now_s) >= MIN_USED_TOKENS
        }


def _wait_s(
    request: WaitingRequest,
    room: engine_room.EngineRoom,
    kept_free: float = 0.0,
) -> float | None:
    """Returns in how many seconds an engine can begin a request, or None."""
    wait_s = room.fits_in_s(request.need, kept_free)
    if wait_s is None:
        return None
    prefill_s = room.prompts * request.prefill_s
    return max(wait_s, prefill_s - MAX_PREFILL_QUEUE_S)


def _plain_waits(
    request: WaitingRequest,
    rooms_by_id: Mapping[str, engine_room.EngineRoom],
) -> dict[str, float]:
    """Returns in how many seconds each engine has room, nothing kept free."""
    return {
        target_id: wait_s
        for target_id, room in rooms_by_id.items()
        if (wait_s := _wait_s(request, room)) is not None
    }


def _is_urgent(
    request: WaitingRequest,
    rooms_by_id: Mapping[str, engine_room.EngineRoom],
) -> bool:
    """Returns whether a request is more urgent than most that run."""
    return _urgent_share(request.rank, rooms_by_id) <= URGENT_SHARE


def _urgent_share(
    rank: int, rooms_by_id: Mapping[str, engine_room.EngineRoom]
) -> float:
    """Returns the share of running requests that are at least as urgent.

    The requests that wait at other hosts are about as urgent.
    """
    rooms = rooms_by_id.values()
    all_tokens = sum(
        room.tokens_before(config.LOWEST_PRIORITY + 1) for room in rooms
    )
    if all_tokens <= 0.0:
        return 1.0
    return sum(room.tokens_before(rank + 1) for room in rooms) / all_tokens


def _slots_by_id(
    request: WaitingRequest,
    rooms_by_id: Mapping[str, engine_room.EngineRoom],
    ids: Iterable[str],
) -> dict[str, float]:
    """Returns how many requests of this size each engine can begin soon."""
    size = max(1, request.need.total)
    slots_by_id = {}
    for target_id in ids:
        room = rooms_by_id[target_id]
        slots = min(max(1.0, room.free_tokens() / size), MAX_BEGUN_AT_ONCE)
        slots_by_id[target_id] = slots / (1.0 + room.prompts)
    return slots_by_id


def _until(
    waits_by_id: Mapping[str, float], limit_s: float
) -> dict[str, float]:
    return {key: row for key, row in waits_by_id.items() if row <= limit_s}
