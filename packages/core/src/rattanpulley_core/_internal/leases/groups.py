"""Claims of a leased key range, grouped into one write.

The holder of fence F writes its groups as the objects
`claim-groups/RANGE/F/0`, `.../1` and so on, one at a time, and creates each of
them once. A new holder reads the groups of the lower fences and creates a seal
at the first unused number of each. The next write of an old holder that still
runs conflicts with the seal, so the store decides who holds the range, not a
clock.

Groups and seals are never deleted: a takeover treats the first unused number
as the end of a fence, so a gap would hide the groups after it.
"""

from collections.abc import Callable, Mapping
import dataclasses
import enum
from typing import Any

from rattanpulley_core._internal import transitions
from rattanpulley_core._internal.claims import messages

SCHEMA = 1
KEY_PREFIX = "claim-groups/"
# Time during which claims are collected for one write. Longer windows save
# writes but delay each action; at 20 ms a busy range makes at most 50 writes a
# second.
GROUP_WINDOW_S = 0.020
# Largest number of entries in a group, so that it stays far below the store's
# limit of 1 MB per value.
GROUP_ENTRY_LIMIT = 500


def group_key(range_name: str, fence: int, number: int) -> str:
    """Returns the object key of a group; keys sort in the order of writing."""
    return f"{KEY_PREFIX}{range_name}/{fence:012d}/{number:012d}"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCommitted(messages.Action):
    """Reports entries that are durable, in the order in which they were added.

    Attributes:
        entries: Pairs of digest and record.
    """

    entries: tuple[tuple[str, Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRefused(messages.Action):
    """Reports entries that are not written because the range was taken over.

    Attributes:
        not_written: Pairs of digest and record: the entries that were never
            sent, and those of the last group, because its number holds a seal
            or another group.
    """

    not_written: tuple[tuple[str, Any], ...]


class GroupWriter:
    """Writes the groups of one fence; reads no clock.

    The caller adds an entry for each claim and each outcome. It starts an
    action only after `GroupCommitted` and if `Lease.may_act` returns True.
    During an outage of the store the writer repeats its action; the caller
    limits the rate.
    """

    def __init__(
        self,
        range_name: str,
        fence: int,
        token: str,
        window_s: float = GROUP_WINDOW_S,
    ) -> None:
        """Initializes the writer of a new fence.

        Args:
            range_name: Name of the key range.
            fence: Fence of the lease.
            token: Unique token of the holder.
            window_s: Time in seconds during which entries are collected.
        """
        self._range_name = range_name
        self._fence = fence
        self._token = token
        self._window_s = window_s
        self._group_number = 0
        self._pending: list[tuple[str, Any]] = []
        self._window_start_s = 0.0
        self._in_flight: list[tuple[str, Any]] = []
        self._refused = False

    def add(self, digest: str, record: Any, now_s: float) -> bool:
        """Adds an entry.

        Args:
            digest: Digest of the key that is claimed.
            record: JSON value of the claim record.
            now_s: Monotonic seconds.

        Returns:
            False if the range was taken over; the entry is then not written.
        """
        if self._refused:
            return False
        if not self._pending:
            self._window_start_s = now_s
        self._pending.append((digest, record))
        return True

    def due_s(self) -> float | None:
        """Returns the monotonic seconds of the next useful `tick`, or None."""
        if self._in_flight or not self._pending:
            return None
        return self._window_start_s + self._window_s

    def tick(self, now_s: float) -> list[messages.Action]:
        """Writes the next group if its window has ended or it is full."""
        due_s = self.due_s()
        if due_s is None:
            return []
        if now_s < due_s and len(self._pending) < GROUP_ENTRY_LIMIT:
            return []
        self._in_flight = self._pending[:GROUP_ENTRY_LIMIT]
        self._pending = self._pending[GROUP_ENTRY_LIMIT:]
        return [self._put()]

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Processes the result of the last store action."""
        if isinstance(event, messages.StoreAnswered):
            return self._on_answer(event, now_s)
        # Another object, or this group, has the number, or the outcome of the
        # write is unknown.
        return [messages.StoreGet(self._key())]

    def _key(self) -> str:
        return group_key(self._range_name, self._fence, self._group_number)

    def _put(self) -> messages.StorePut:
        value = {
            "schema": SCHEMA,
            "token": self._token,
            "entries": [list(entry) for entry in self._in_flight],
        }
        return messages.StorePut(self._key(), value, 0)

    def _on_answer(
        self, event: messages.StoreAnswered, now_s: float
    ) -> list[messages.Action]:
        if event.stored is None:
            return [self._put()]
        if event.stored.value["token"] != self._token:
            return self._refuse()
        committed = tuple(self._in_flight)
        self._in_flight = []
        self._group_number += 1
        return [GroupCommitted(committed), *self.tick(now_s)]

    def _refuse(self) -> list[messages.Action]:
        entries = (*self._in_flight, *self._pending)
        self._in_flight = []
        self._pending = []
        self._refused = True
        return [GroupRefused(entries)]


class TakeoverState(enum.Enum):
    """State of a takeover: the store action that it waits for."""

    NEW = "new"
    READING = "reading"
    SEALING = "sealing"
    DONE = "done"


class Takeover:
    """Reads and seals the groups of all fences lower than a new one.

    During an outage of the store it repeats its action; the caller limits the
    rate.

    Attributes:
        state: State of the takeover.
        records_by_digest: Newest record of each claim read so far; complete
            when `state` is `DONE`.
    """

    def __init__(self, range_name: str, fence: int) -> None:
        """Initializes the takeover of a key range.

        Args:
            range_name: Name of the key range.
            fence: Fence of the new holder; all lower fences are read.
        """
        self.state = TakeoverState.NEW
        self.records_by_digest: dict[str, Any] = {}
        self._range_name = range_name
        self._end_fence = fence
        self._fence = 1
        self._group_number = 0

    def begin(self) -> list[messages.Action]:
        """Returns the action that reads the first group."""
        return self._read()

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Processes the result of the last store action.

        Raises:
            ValueError: The event does not occur in the current state.
        """
        del now_s
        handler = transitions.find_handler(
            TAKEOVER_TRANSITIONS, self.state, event
        )
        return handler(self, event)

    def _read(self) -> list[messages.Action]:
        if self._fence == self._end_fence:
            self.state = TakeoverState.DONE
            return []
        self.state = TakeoverState.READING
        return [messages.StoreGet(self._key())]

    def _key(self) -> str:
        return group_key(self._range_name, self._fence, self._group_number)

    def _on_read(self, event: messages.Event) -> list[messages.Action]:
        assert isinstance(event, messages.StoreAnswered)
        if event.stored is None:
            self.state = TakeoverState.SEALING
            seal = {"schema": SCHEMA, "token": "", "sealed": self._end_fence}
            return [messages.StorePut(self._key(), seal, 0)]
        value: Mapping[str, Any] = event.stored.value
        if "sealed" in value:
            return self._next_fence(event)
        for digest, record in value["entries"]:
            self.records_by_digest[digest] = record
        self._group_number += 1
        return self._read()

    def _next_fence(self, event: messages.Event) -> list[messages.Action]:
        del event
        self._fence += 1
        self._group_number = 0
        return self._read()

    def _read_again(self, event: messages.Event) -> list[messages.Action]:
        del event
        return self._read()


_Handler = Callable[[Takeover, messages.Event], list[messages.Action]]

TAKEOVER_TRANSITIONS: dict[
    tuple[TakeoverState, type[messages.Event]], _Handler
] = {
    (TakeoverState.READING, messages.StoreAnswered): Takeover._on_read,
    (TakeoverState.READING, messages.StoreOutcomeUnknown): Takeover._read_again,
    (TakeoverState.SEALING, messages.StoreAnswered): Takeover._next_fence,
    (TakeoverState.SEALING, messages.StoreConflict): Takeover._read_again,
    (TakeoverState.SEALING, messages.StoreOutcomeUnknown): Takeover._read_again,
}
