"""Decides which client connections may hold memory, and which are ended.

One budget holds for all connections of a process. Each connection has one
reservation, which holds whatever is reserved for it and ends with it. The
caller reserves before it reads; if there is not enough left, it waits and asks
again. While someone waits, connections without progress are ended, so that
their bytes can be reserved by others.
"""

from collections.abc import Iterable
import dataclasses
import enum

# The socket, greenlet and parser of a connection.
CONNECTION_BYTES = 32 * 1024
# The head of an ordinary request and one read. Allowances are never waited for
# and not counted; `PROGRAM_SHARE` leaves room for them.
REQUEST_ALLOWANCE_BYTES = 32 * 1024
# An ordinary answer.
ANSWER_ALLOWANCE_BYTES = 16 * 1024
# A growing buffer has up to an eighth to spare, and the allocator leaves gaps.
BUFFER_FACTOR = 1.25
# For each line of a head: the parser and the request keep objects for it, and
# headers that are sent to a target take more.
HEADER_LINE_BYTES = 256
# What is left of the memory for the program with its tables, when it is idle
# 45 MB, and for copies that exist while a body or an answer is joined.
MIN_PROGRAM_BYTES = 70_000_000
# The same as a share: large hosts have larger tables and more gaps.
PROGRAM_SHARE = 0.3
# Holds the longest body and the longest answer with their spare bytes.
MIN_BUDGET_BYTES = 36_000_000
# Set aside for connections, so that one can be accepted when bodies and answers
# have taken the rest.
CONNECTION_SHARE = 0.25
# Of the rest. Answers find some memory left when bodies have taken theirs.
MAX_REQUEST_SHARE = 0.75
# Lost packets are sent again within this time on a path that works.
STALL_LIMIT_S = 2.0
# Longer than `STALL_LIMIT_S`, so that the bytes of connections without progress
# can still be reserved.
WAIT_LIMIT_S = 4.0
# Ended also if enough memory has become free for others.
MAX_WAIT_S = 8.0
# A client sends its first request within this time after it has connected.
FIRST_REQUEST_WAIT_S = 1.0
# Share of the connections that is kept free for clients with requests.
SPARE_CONNECTION_SHARE = 0.125


class ByteUse(enum.Enum):
    """What bytes are reserved for.

    Attributes:
        REQUEST: Head and body of a request, until its answer has been sent.
        ANSWER: The answer of a target, until the client has received it.
    """

    REQUEST = "request"
    ANSWER = "answer"


class Phase(enum.Enum):
    """What a connection is doing.

    Attributes:
        NEW: No request has begun yet.
        KEPT: It waits for another request.
        HEAD: The head of a request arrives.
        BODY: The body of a request arrives.
        RUNNING: A target runs the request.
        SENDING: The client receives bytes of an answer.
        CLOSING: The last answer has been sent.
    """

    NEW = "new"
    KEPT = "kept"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    SENDING = "sending"
    CLOSING = "closing"


class EndCause(enum.Enum):
    """Why a connection is ended.

    Attributes:
        STALLED: It made no progress while others waited for memory.
        WAITED: It has waited for memory for too long.
        CROWDED: It made no progress, and there are too many connections.
    """

    STALLED = "stalled"
    WAITED = "waited"
    CROWDED = "crowded"


@dataclasses.dataclass(frozen=True, slots=True)
class _UseRule:
    """How much may be reserved for a use.

    Attributes:
        allowance_bytes: Bytes that each connection may use without a wait.
        max_share: Share of the budget without connections, up to which further
            ones are reserved.
    """

    allowance_bytes: int
    max_share: float


_RULE_BY_USE = {
    ByteUse.REQUEST: _UseRule(REQUEST_ALLOWANCE_BYTES, MAX_REQUEST_SHARE),
    ByteUse.ANSWER: _UseRule(ANSWER_ALLOWANCE_BYTES, 1.0),
}
# Only these depend on the client alone; a request that runs is never ended.
_STALL_PHASES = frozenset({Phase.HEAD, Phase.BODY, Phase.SENDING})
# Time without progress after which a connection is ended if there are too many.
# A kept one has carried a response and may be reused at any time; the number of
# these is limited otherwise.
_CROWD_LIMIT_S_BY_PHASE = {
    Phase.NEW: FIRST_REQUEST_WAIT_S,
    Phase.HEAD: FIRST_REQUEST_WAIT_S,
    Phase.CLOSING: FIRST_REQUEST_WAIT_S,
    Phase.BODY: STALL_LIMIT_S,
    Phase.SENDING: STALL_LIMIT_S,
}


def budget_bytes(memory_bytes: int) -> int:
    """Returns the budget of a process on a machine with some memory."""
    program_bytes = max(MIN_PROGRAM_BYTES, int(memory_bytes * PROGRAM_SHARE))
    return max(MIN_BUDGET_BYTES, memory_bytes - program_bytes)


@dataclasses.dataclass(slots=True)
class Want:
    """What a connection waits for.

    Attributes:
        use: What the bytes are for.
        size_bytes: How many more it needs.
        since_s: Since when it waits.
    """

    use: ByteUse
    size_bytes: int
    since_s: float


@dataclasses.dataclass(eq=False, slots=True)
class Reservation:
    """What is reserved for one connection.

    Attributes:
        phase: What the connection is doing.
        bytes_by_use: Bytes reserved beyond the allowances.
        began_at_s: When its request, or its wait for one, began.
        progress_at_s: When bytes last arrived or were accepted.
        want: What it waits for, or None.
        is_ending: Whether it is being ended, so that its bytes become free.
    """

    began_at_s: float
    progress_at_s: float
    phase: Phase = Phase.NEW
    bytes_by_use: dict[ByteUse, int] = dataclasses.field(default_factory=dict)
    want: Want | None = None
    is_ending: bool = False

    @property
    def held_bytes(self) -> int:
        """Bytes reserved beyond the allowances."""
        return sum(self.bytes_by_use.values())

    @property
    def wanted_bytes(self) -> int:
        """Bytes that it waits for."""
        return self.want.size_bytes if self.want else 0

    def stalled_s(self, now_s: float) -> float:
        """Returns how long the connection has made no progress."""
        return now_s - self.progress_at_s


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """A connection that is to be ended.

    Attributes:
        reservation: Its reservation.
        cause: Why.
    """

    reservation: Reservation
    cause: EndCause


class MemoryBudget:
    """The memory of a process for its client connections."""

    def __init__(self, total_bytes: int) -> None:
        """Creates a budget without connections.

        Args:
            total_bytes: Maximum number of bytes to reserve.
        """
        self._total_bytes = total_bytes
        self._max_connections: int | None = None
        self._used_bytes = 0
        # In order of their creation.
        self._reservations: dict[Reservation, None] = {}
        self._waiting: dict[Reservation, None] = {}

    @property
    def total_bytes(self) -> int:
        """Maximum number of bytes to reserve."""
        return self._total_bytes

    @property
    def held_bytes(self) -> int:
        """Reserved bytes, with those of the connections themselves."""
        return self._used_bytes + self.connection_count * CONNECTION_BYTES

    @property
    def connection_count(self) -> int:
        """Number of connections."""
        return len(self._reservations)

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for memory."""
        return len(self._waiting)

    @property
    def is_crowded(self) -> bool:
        """Whether there are so many connections that some are ended."""
        return self._excess() > 0

    @property
    def affordable_connections(self) -> int:
        """How many connections the budget allows."""
        share_bytes = self._total_bytes * CONNECTION_SHARE
        return max(1, int(share_bytes / CONNECTION_BYTES))

    def set_total(self, total_bytes: int) -> None:
        """Changes the budget; what is reserved stays reserved."""
        self._total_bytes = total_bytes

    def set_max_connections(self, count: int) -> None:
        """Sets the number of connections that the caller accepts."""
        self._max_connections = count

    def open(self, now_s: float) -> Reservation:
        """Returns the reservation of a new connection."""
        reservation = Reservation(now_s, now_s)
        self._reservations[reservation] = None
        return reservation

    def close(self, reservation: Reservation) -> None:
        """Ends a reservation; a second call does nothing."""
        if reservation not in self._reservations:
            return
        self.release(reservation, *ByteUse)
        self._waiting.pop(reservation, None)
        del self._reservations[reservation]

    def hold(
        self,
        reservation: Reservation,
        use: ByteUse,
        size_bytes: int,
        now_s: float,
    ) -> bool:
        """Reserves memory for a buffer that is about to grow.

        Args:
            reservation: Reservation of the connection.
            use: What the buffer is for.
            size_bytes: Size that the buffer may then have.
            now_s: Current time.

        Returns:
            Whether the memory is reserved. Otherwise the connection waits, and
            the caller asks again or cancels the wait.
        """
        missing_bytes = self._missing_bytes(reservation, use, size_bytes)
        if missing_bytes > 0:
            if not self._may_hold(reservation, use, missing_bytes):
                self._wait(reservation, use, missing_bytes, now_s)
                return False
            held_bytes = reservation.bytes_by_use.get(use, 0)
            reservation.bytes_by_use[use] = held_bytes + missing_bytes
            self._used_bytes += missing_bytes
        self.cancel_wait(reservation)
        return True

    def release(self, reservation: Reservation, *uses: ByteUse) -> None:
        """Frees what is reserved for some uses beyond the allowances."""
        for use in uses:
            self._used_bytes -= reservation.bytes_by_use.pop(use, 0)

    def cancel_wait(self, reservation: Reservation) -> None:
        """Ends the wait of a connection that no longer asks."""
        reservation.want = None
        self._waiting.pop(reservation, None)

    def grantable(self) -> Reservation | None:
        """Returns a connection whose wait can end now, or None.

        Its next call of `hold` succeeds if nothing else happens before.
        """
        first = self._first_waiting()
        if first is None or first.want is None:
            return None
        fits = self._fits(first.want.use, first.want.size_bytes)
        return first if fits else None

    def choose_endings(self, now_s: float) -> list[Ending]:
        """Returns the connections to end now, and marks them as ending.

        Connections that wait need memory. Those without progress are ended
        first, the longest without progress before the others and the largest
        among equal ones, until enough becomes free. A connection that sends
        slowly makes progress.
        """
        chosen: list[Ending] = []
        for choose in (self._choose_for_memory, self._choose_crowd):
            endings = choose(now_s)
            for ending in endings:
                ending.reservation.is_ending = True
            chosen += endings
        return chosen

    def _missing_bytes(
        self, reservation: Reservation, use: ByteUse, size_bytes: int
    ) -> int:
        needed_bytes = int(size_bytes * BUFFER_FACTOR)
        needed_bytes -= _RULE_BY_USE[use].allowance_bytes
        return needed_bytes - reservation.bytes_by_use.get(use, 0)

    def _limit_bytes(self, use: ByteUse) -> int:
        rest_bytes = self._total_bytes * (1.0 - CONNECTION_SHARE)
        return int(rest_bytes * _RULE_BY_USE[use].max_share)

    def _fits(self, use: ByteUse, size_bytes: int) -> bool:
        return self._used_bytes + size_bytes <= self._limit_bytes(use)

    def _may_hold(
        self, reservation: Reservation, use: ByteUse, size_bytes: int
    ) -> bool:
        """Returns whether memory is left that nobody before it waits for."""
        if not self._fits(use, size_bytes):
            return False
        first = self._first_waiting()
        if first is None or first is reservation:
            return True
        return _order(reservation, use) < _order(first)

    def _first_waiting(self) -> Reservation | None:
        return min(self._waiting, key=_order, default=None)

    def _wait(
        self,
        reservation: Reservation,
        use: ByteUse,
        size_bytes: int,
        now_s: float,
    ) -> None:
        since_s = reservation.want.since_s if reservation.want else now_s
        reservation.want = Want(use, size_bytes, since_s)
        self._waiting[reservation] = None

    def _choose_for_memory(self, now_s: float) -> list[Ending]:
        """Chooses connections whose memory others wait for."""
        if not self._waiting:
            return []
        needed_bytes = self._needed_bytes()
        chosen: list[Ending] = []
        for row in _longest_stalled(self._reservations, now_s):
            cause = _end_cause(row, now_s)
            is_over = row.want and now_s - row.want.since_s >= MAX_WAIT_S
            if cause is None or (needed_bytes <= 0 and not is_over):
                continue
            if not row.held_bytes and cause is EndCause.STALLED:
                continue
            chosen.append(Ending(row, cause))
            needed_bytes -= row.held_bytes + row.wanted_bytes
        return chosen

    def _needed_bytes(self) -> int:
        """Returns how much must become free for all that wait."""
        first = self._first_waiting()
        use = first.want.use if first and first.want else ByteUse.REQUEST
        wanted_bytes = sum(
            row.wanted_bytes for row in self._waiting if not row.is_ending
        )
        ending_bytes = sum(
            row.held_bytes for row in self._reservations if row.is_ending
        )
        free_bytes = max(0, self._limit_bytes(use) - self._used_bytes)
        return wanted_bytes - ending_bytes - free_bytes

    def _choose_crowd(self, now_s: float) -> list[Ending]:
        """Chooses connections without progress if there are too many."""
        if not self.is_crowded:
            return []
        ending_count = sum(row.is_ending for row in self._reservations)
        excess = self._excess() - ending_count
        if excess <= 0:
            return []
        candidates = [
            Ending(row, EndCause.CROWDED)
            for row in _longest_stalled(self._reservations, now_s)
            if row.want is None
            and row.stalled_s(now_s)
            >= _CROWD_LIMIT_S_BY_PHASE.get(row.phase, float("inf"))
        ]
        return candidates[:excess]

    def _excess(self) -> int:
        """Returns by how many connections the spare ones are fewer."""
        if self._max_connections is None:
            return 0
        spare = max(1, int(self._max_connections * SPARE_CONNECTION_SHARE))
        return self.connection_count - self._max_connections + spare


def _order(
    reservation: Reservation, use: ByteUse | None = None
) -> tuple[bool, float]:
    """Returns the order in which memory is given.

    Answers come first: their requests hold memory until they are sent. Then the
    oldest request, so that some complete instead of all being held up halfway.
    """
    if use is None and reservation.want is not None:
        use = reservation.want.use
    return (use is not ByteUse.ANSWER, reservation.began_at_s)


def _longest_stalled(
    reservations: Iterable[Reservation], now_s: float
) -> list[Reservation]:
    """Returns those that are not ending, the longest stalled one first."""
    return sorted(
        (row for row in reservations if not row.is_ending),
        key=lambda row: (-row.stalled_s(now_s), -row.held_bytes),
    )


def _end_cause(row: Reservation, now_s: float) -> EndCause | None:
    """Returns why a connection may be ended for its memory, or None."""
    if row.want is not None:
        has_waited = now_s - row.want.since_s >= WAIT_LIMIT_S
        is_request = row.want.use is ByteUse.REQUEST
        return EndCause.WAITED if has_waited and is_request else None
    if row.phase in _STALL_PHASES and row.stalled_s(now_s) >= STALL_LIMIT_S:
        return EndCause.STALLED
    return None
