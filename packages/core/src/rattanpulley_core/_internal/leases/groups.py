"""Claims of a leased key range, many in one write.

The holder of fence F writes its groups as the objects
`claim-groups/RANGE/F/0`, `.../1` and so on, one at a time and each created
once. A new holder reads the groups of the fences before its own and creates a
seal in the first empty place of each. An old holder that still runs meets the
seal at its next write, so the store decides, not a clock.

Groups and seals are never deleted: a takeover takes the first empty place for
the end of a fence, so a hole would hide the groups behind it.
"""

from collections.abc import Callable, Mapping
import dataclasses
import enum
from typing import Any

from rattanpulley_core._internal.claims import messages

SCHEMA = 1
KEY_PREFIX = "claim-groups/"
# Longer windows save writes but delay each action; at 20 ms a busy range
# makes at most 50 writes a second.
GROUP_WINDOW_S = 0.020
# A group stays far below the store's limit of 1 MB per value.
GROUP_ENTRY_LIMIT = 500


def group_key(range_name: str, fence: int, number: int) -> str:
    """Returns the key of a group; keys sort in the order of writing."""
    return f"{KEY_PREFIX}{range_name}/{fence:012d}/{number:012d}"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCommitted(messages.Action):
    """Reports entries that are durable, in the order in which they came."""

    entries: tuple[tuple[str, Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRefused(messages.Action):
    """Reports entries of a range that was taken over.

    Entries that were never sent are in `not_written`; those of the last group
    are in `not_written` too, because the place of the group holds a seal or
    another group.
    """

    not_written: tuple[tuple[str, Any], ...]


class GroupWriter:
    """Writes the groups of one fence; holds no clock.

    The caller adds an entry for each claim and each outcome, and starts an
    action only after `GroupCommitted` and after `Lease.may_act`. During an
    outage of the store the writer repeats its action; the caller paces it.
    """

    def __init__(
        self,
        range_name: str,
        fence: int,
        token: str,
        window_s: float = GROUP_WINDOW_S,
    ) -> None:
        """Prepares the groups of a fence that starts now."""
        self._range_name = range_name
        self._fence = fence
        self._token = token
        self._window_s = window_s
        self._number = 0
        self._waiting: list[tuple[str, Any]] = []
        self._window_from_s = 0.0
        self._in_flight: list[tuple[str, Any]] = []
        self._refused = False

    def add(self, digest: str, record: Any, now_s: float) -> bool:
        """Takes an entry; returns False once the range was taken over."""
        if self._refused:
            return False
        if not self._waiting:
            self._window_from_s = now_s
        self._waiting.append((digest, record))
        return True

    def due_s(self) -> float | None:
        """Returns the monotonic time of the next useful `tick`, or None."""
        if self._in_flight or not self._waiting:
            return None
        return self._window_from_s + self._window_s

    def tick(self, now_s: float) -> list[messages.Action]:
        """Writes the next group when its window is over or it is full."""
        due_s = self.due_s()
        if due_s is None:
            return []
        if now_s < due_s and len(self._waiting) < GROUP_ENTRY_LIMIT:
            return []
        self._in_flight = self._waiting[:GROUP_ENTRY_LIMIT]
        self._waiting = self._waiting[GROUP_ENTRY_LIMIT:]
        return [self._put()]

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Takes the result of the last store action."""
        if isinstance(event, messages.StoreAnswered):
            return self._on_answer(event, now_s)
        # The place is taken, perhaps by this group, or nothing is known.
        return [messages.StoreGet(self._key())]

    def _key(self) -> str:
        return group_key(self._range_name, self._fence, self._number)

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
        self._number += 1
        return [GroupCommitted(committed), *self.tick(now_s)]

    def _refuse(self) -> list[messages.Action]:
        entries = (*self._in_flight, *self._waiting)
        self._in_flight = []
        self._waiting = []
        self._refused = True
        return [GroupRefused(entries)]


class TakeoverState(enum.Enum):
    """What a takeover waits for."""

    NEW = "new"
    READING = "reading"
    SEALING = "sealing"
    DONE = "done"


class Takeover:
    """Reads and seals the groups of the fences before a new one.

    During an outage of the store it repeats its action; the caller paces it.

    Attributes:
        state: What the takeover waits for.
        records_by_digest: Newest entry of each claim read so far; complete
            when `state` is `DONE`.
    """

    def __init__(self, range_name: str, fence: int) -> None:
        """Prepares to read every fence below `fence`."""
        self.state = TakeoverState.NEW
        self.records_by_digest: dict[str, Any] = {}
        self._range_name = range_name
        self._end_fence = fence
        self._fence = 1
        self._number = 0

    def begin(self) -> list[messages.Action]:
        """Reads the first group."""
        return self._read()

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Takes the result of the last store action.

        Raises:
            ValueError: The takeover does not wait for such an event.
        """
        del now_s
        handler = TAKEOVER_TRANSITIONS.get((self.state, type(event)))
        if handler is None:
            raise ValueError(
                f"{type(event).__name__} does not occur in {self.state.value}"
            )
        return handler(self, event)

    def _read(self) -> list[messages.Action]:
        if self._fence == self._end_fence:
            self.state = TakeoverState.DONE
            return []
        self.state = TakeoverState.READING
        return [messages.StoreGet(self._key())]

    def _key(self) -> str:
        return group_key(self._range_name, self._fence, self._number)

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
        self._number += 1
        return self._read()

    def _next_fence(self, event: messages.Event) -> list[messages.Action]:
        del event
        self._fence += 1
        self._number = 0
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
