"""Lease of a key range, as seen by one daemon.

The holder measures the validity of its lease by its own monotonic clock, from
before it sent the last confirmed write. Another daemon takes the lease over
after it has seen the same version of the object for the lease's duration by
its own clock, so that clocks of different hosts are never compared. Each
takeover increments the fence.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
from typing import Any

from rattanpulley_core._internal import transitions
from rattanpulley_core._internal.claims import messages

SCHEMA = 1
KEY_PREFIX = "leases/"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Durations of a lease, identical on all daemons.

    Attributes:
        duration_s: Seconds without a write after which other daemons may take
            the lease over.
        margin_s: Seconds by which the holder stops earlier. They cover the
            difference of the clock rates over `duration_s`.
        fencing_wait_s: Seconds that a new holder waits before its first
            effect. They cover an effect that the old holder started while its
            lease was valid and that reaches the target later. Not needed for
            targets that refuse old fences.
    """

    duration_s: float = 10.0
    margin_s: float = 2.0
    fencing_wait_s: float = 5.0

    def __post_init__(self) -> None:
        if not 0 <= self.margin_s < self.duration_s:
            raise ValueError("margin_s must be at least 0 and < duration_s")
        if self.fencing_wait_s < 0:
            raise ValueError("fencing_wait_s must not be negative")

    @property
    def renew_s(self) -> float:
        """Seconds after which the holder renews; leaves time for a retry."""
        return (self.duration_s - self.margin_s) / 3


class LeaseState(enum.Enum):
    """State of a lease at one daemon."""

    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"
    WRITING = "writing"
    HELD = "held"


class Lease:
    """Acquires and renews one lease and checks its validity; reads no clock.

    `tick` and `handle` return at most one store action, which is answered by a
    store event of `rattanpulley_core.claims`. The caller calls `tick` at least
    twice per `LeaseSettings.renew_s` and never deletes the lease object, which
    stores the fence.

    Attributes:
        state: State of the lease at this daemon.
        fence: Fence of the newest lease that this daemon held; 0 if none.
    """

    def __init__(
        self, range_name: str, token: str, settings: LeaseSettings
    ) -> None:
        """Initializes a lease that is not held.

        Args:
            range_name: Name of the key range.
            token: Unique token of this start of the process, because a
                restarted process does not know when its lease was written.
            settings: Durations of the lease.
        """
        self.state = LeaseState.IDLE
        self.fence = 0
        self._key = KEY_PREFIX + range_name
        self._token = token
        self._settings = settings
        self._writes = 0
        self._written_fence = 0
        self._sent_s_by_write: dict[int, float] = {}
        self._seen_version = -1
        self._seen_s = -math.inf
        self._seen_fence = 0
        self._held_version = 0
        self._renew_at_s = math.inf
        self._valid_until_s = -math.inf
        self._act_from_s = math.inf

    def may_act(self, now_s: float) -> bool:
        """Returns whether an effect may start; checked before each one."""
        return self._act_from_s <= now_s < self._valid_until_s

    def tick(self, now_s: float) -> list[messages.Action]:
        """Reads, takes over or renews the lease when this is due."""
        if self.state is LeaseState.IDLE:
            return self._read()
        if self.state is LeaseState.WATCHING:
            return self._watch(now_s)
        if self.state is LeaseState.HELD and now_s >= self._renew_at_s:
            return self._renew(now_s)
        return []

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Processes the result of the last action.

        Raises:
            ValueError: The event does not occur in the current state.
        """
        handler = transitions.find_handler(TRANSITIONS, self.state, event)
        return handler(self, event, now_s)

    def _read(self) -> list[messages.Action]:
        self.state = LeaseState.READING
        return [messages.StoreGet(self._key)]

    def _watch(self, now_s: float) -> list[messages.Action]:
        if now_s - self._seen_s >= self._settings.duration_s:
            return self._write(self._seen_fence + 1, self._seen_version, now_s)
        return self._read()

    def _renew(self, now_s: float) -> list[messages.Action]:
        # An expired lease is not renewed: another daemon may have held it.
        if now_s >= self._valid_until_s:
            self._mark_lost()
            return self._read()
        return self._write(self.fence, self._held_version, now_s)

    def _write(
        self, fence: int, version: int, now_s: float
    ) -> list[messages.Action]:
        self.state = LeaseState.WRITING
        self._writes += 1
        self._written_fence = fence
        self._sent_s_by_write[self._writes] = now_s
        value = {
            "schema": SCHEMA,
            "token": self._token,
            "fence": fence,
            "write": self._writes,
        }
        return [messages.StorePut(self._key, value, version)]

    def _mark_lost(self) -> None:
        self._valid_until_s = -math.inf
        self._act_from_s = math.inf
        self.state = LeaseState.IDLE

    def _on_written(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        assert isinstance(event, messages.StoreAnswered)
        assert event.stored is not None
        self._mark_held(
            self._writes, self._written_fence, event.stored.version, now_s
        )
        return []

    def _mark_held(
        self, write: int, fence: int, version: int, now_s: float
    ) -> None:
        sent_s = self._sent_s_by_write[write]
        self._sent_s_by_write = {write: sent_s}
        if fence > self.fence:
            wait_s = self._settings.fencing_wait_s if fence > 1 else 0.0
            self._act_from_s = now_s + wait_s
        self.fence = fence
        self.state = LeaseState.HELD
        self._held_version = version
        self._renew_at_s = sent_s + self._settings.renew_s
        self._valid_until_s = (
            sent_s + self._settings.duration_s - self._settings.margin_s
        )

    def _read_back(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del event, now_s
        return self._read()

    def _on_read(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        assert isinstance(event, messages.StoreAnswered)
        if event.stored is None:
            return self._write(1, 0, now_s)
        version = event.stored.version
        value: dict[str, Any] = event.stored.value
        fence, write = int(value["fence"]), int(value["write"])
        if value["token"] == self._token and self._is_write_valid(write, now_s):
            self._mark_held(write, fence, version, now_s)
            return []
        self._mark_lost()
        self.state = LeaseState.WATCHING
        if version > self._seen_version:
            self._seen_version = version
            self._seen_fence = fence
            self._seen_s = now_s
        return []

    def _is_write_valid(self, write: int, now_s: float) -> bool:
        # A stale read can return a write that was removed from
        # `_sent_s_by_write`; the lease of that write has expired.
        sent_s = self._sent_s_by_write.get(write, -math.inf)
        valid_s = self._settings.duration_s - self._settings.margin_s
        return now_s < sent_s + valid_s

    def _on_read_failed(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        # A lease that was confirmed before stays valid until it expires.
        del event, now_s
        self.state = LeaseState.IDLE
        return []


_Handler = Callable[[Lease, messages.Event, float], list[messages.Action]]

TRANSITIONS: dict[tuple[LeaseState, type[messages.Event]], _Handler] = {
    (LeaseState.READING, messages.StoreAnswered): Lease._on_read,
    (LeaseState.READING, messages.StoreOutcomeUnknown): Lease._on_read_failed,
    (LeaseState.WRITING, messages.StoreAnswered): Lease._on_written,
    (LeaseState.WRITING, messages.StoreConflict): Lease._read_back,
    (LeaseState.WRITING, messages.StoreOutcomeUnknown): Lease._read_back,
}
