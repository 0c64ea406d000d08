"""Targets that accept new requests, by their entries and announcements.

An announcement belongs to one start of one target. It stays known when the
target is removed and listed again, and ends with that start.
"""

from collections import OrderedDict
from collections.abc import Iterable
import dataclasses
import enum
import math

from rattanpulley_core._internal.serving import announcements
from rattanpulley_core._internal.serving import target_registry

# Longest time that a target can ask for. It is far above the time of a restart
# or an overload, and a target that asks for a day by mistake is not lost.
MAX_RETRY_AFTER_S = 60.0
# How long a target counts as draining if its start is unknown: it may have been
# restarted under the same id.
UNKNOWN_START_DRAINING_S = 60.0
# Targets that are remembered, and starts of each; those without an announcement
# for longest go first.
MAX_REMEMBERED_TARGETS = 4096
MAX_REMEMBERED_STARTS = 4
# Time in which a target that is back gets more and more requests.
RAMP_S = 1.0
# Requests per slot of a target, at all hosts, while others of its pool ask for
# time: those that run and as many that wait.
SLOT_FACTOR = 2


class Reason(enum.Enum):
    """Why a target gets no new requests.

    Attributes:
        DRAINING: It is going to stop.
        RETRY_AFTER: It has asked for time.
    """

    DRAINING = "draining"
    RETRY_AFTER = "retry_after"


@dataclasses.dataclass(frozen=True, slots=True)
class AvailabilityChange:
    """Begin or end of the time in which a target gets no new requests.

    Attributes:
        target_id: Id of the target.
        reason: Why it gets none.
        since_s: When that began.
        until_s: When it ends; infinity if only a new start ends it.
        ended: Whether this is the end.
    """

    target_id: str
    reason: Reason
    since_s: float
    until_s: float
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """Why a pool has no target for a request.

    Attributes:
        back_in_s: Seconds until the first target is back that has asked for
            time; None if none has, or if another one is available.
        is_full: Whether each available target has as many requests as it can
            run and queue, while others ask for time.
    """

    back_in_s: float | None = None
    is_full: bool = False

    @property
    def reason(self) -> str:
        """Why the request got no target, for log and response."""
        if self.is_full:
            return "the targets that have not asked for time are full"
        if self.back_in_s is not None:
            return "all targets have asked for time"
        return "no target is ready"

    def outlasts(self, wait_s: float) -> bool:
        """Returns whether a request that waits so long gets no target."""
        if self.is_full:
            return True
        return self.back_in_s is not None and self.back_in_s > wait_s


@dataclasses.dataclass(slots=True)
class _Pause:
    """A time without new requests."""

    target_id: str
    reason: Reason
    since_s: float
    until_s: float
    ended: bool = False

    def change(self) -> AvailabilityChange:
        """Returns the begin, or the end, of this time."""
        return AvailabilityChange(
            self.target_id, self.reason, self.since_s, self.until_s, self.ended
        )


_Pauses = dict[Reason, _Pause]


class TargetAvailability:
    """Which targets accept new requests, by their entries and own answers."""

    def __init__(self, max_targets: int = MAX_REMEMBERED_TARGETS) -> None:
        """Creates a table without announcements of targets.

        Args:
            max_targets: Number of targets that are remembered.
        """
        self._max_targets = max_targets
        self._hosts = 1
        # By target id, then by its start; a start of 0 is unknown.
        self._starts_by_id: OrderedDict[str, dict[int, _Pauses]] = OrderedDict()

    def record(
        self,
        entry: target_registry.TargetEntry,
        announcement: announcements.Announcement,
        now_s: float,
    ) -> list[AvailabilityChange]:
        """Records what a target says in an answer.

        Args:
            entry: The target, with the start to which the request was sent.
            announcement: What it says.
            now_s: Current time.

        Returns:
            The times without new requests that end or begin now.
        """
        until_by_reason: dict[Reason, float] = {}
        if announcement.draining:
            until_by_reason[Reason.DRAINING] = (
                float("inf")
                if entry.started_ms
                else now_s + UNKNOWN_START_DRAINING_S
            )
        if announcement.retry_after_s > 0.0:
            wait_s = min(announcement.retry_after_s, MAX_RETRY_AFTER_S)
            until_by_reason[Reason.RETRY_AFTER] = now_s + wait_s
        changes = []
        for reason, until_s in until_by_reason.items():
            changes += self._extend(entry, reason, now_s, until_s)
        return changes

    def _extend(
        self,
        entry: target_registry.TargetEntry,
        reason: Reason,
        now_s: float,
        until_s: float,
    ) -> list[AvailabilityChange]:
        """Begins a time without new requests, or extends the current one."""
        pauses = self._pauses_of(entry)
        pause = pauses.get(reason)
        if pause is not None and now_s < pause.until_s:
            # A shorter time does not end an earlier one.
            pause.until_s = max(pause.until_s, until_s)
            return []
        changes = _end([pause] if pause else [])
        pauses[reason] = _Pause(entry.target_id, reason, now_s, until_s)
        return [*changes, pauses[reason].change()]

    def is_draining(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> bool:
        """Returns whether a target is draining, by its entry or by itself."""
        if entry.leaving:
            return True
        return now_s < self._until_s(entry, Reason.DRAINING)

    def back_in_s(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> float:
        """Returns the rest of the time that a target has asked for, or 0."""
        return max(0.0, self._until_s(entry, Reason.RETRY_AFTER) - now_s)

    def reason_of(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> Reason | None:
        """Returns why a target gets no new requests; None if it gets some."""
        if entry.leaving:
            return Reason.DRAINING
        if entry.target_id not in self._starts_by_id:
            return None
        if self.is_draining(entry, now_s):
            return Reason.DRAINING
        if self.back_in_s(entry, now_s) > 0.0:
            return Reason.RETRY_AFTER
        return None

    def available(
        self, entries: Iterable[target_registry.TargetEntry], now_s: float
    ) -> list[target_registry.TargetEntry]:
        """Returns the targets that get new requests."""
        return [e for e in entries if self.reason_of(e, now_s) is None]

    def set_host_count(self, hosts: int) -> None:
        """Sets the number of hosts that share the targets."""
        self._hosts = max(1, hosts)

    def is_ramping(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> bool:
        """Returns whether a target is back since a short time only."""
        if entry.target_id not in self._starts_by_id:
            return False
        return self._back_for_s(entry, now_s) < RAMP_S

    def own_limit(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> int:
        """Returns how many requests of this host a scarce target may have.

        It is the host's share of the slots and queue of the target, of which a
        target that has just come back gets a growing part.
        """
        share = math.ceil(entry.slots * SLOT_FACTOR / self._hosts)
        if not self.is_ramping(entry, now_s):
            return share
        back_for_s = self._back_for_s(entry, now_s)
        return min(share, 1 + int(share * back_for_s / RAMP_S))

    def _back_for_s(
        self, entry: target_registry.TargetEntry, now_s: float
    ) -> float:
        return now_s - self._until_s(entry, Reason.RETRY_AFTER)

    def pauses(self, now_s: float) -> list[AvailabilityChange]:
        """Returns the current times without new requests."""
        return [p.change() for p in self._all_pauses() if now_s < p.until_s]

    def expire(self, now_s: float) -> list[AvailabilityChange]:
        """Returns the times without new requests that have ended, each once."""
        return _end([p for p in self._all_pauses() if now_s >= p.until_s])

    def _all_pauses(self) -> list[_Pause]:
        return [
            pause
            for starts in self._starts_by_id.values()
            for pauses in starts.values()
            for pause in pauses.values()
        ]

    def _until_s(
        self, entry: target_registry.TargetEntry, reason: Reason
    ) -> float:
        """Returns when a time without new requests ends or has ended.

        An announcement with an unknown start counts for all starts. An entry
        without a start may be of any of them, so that their announcements count
        for a short time.
        """
        starts = self._starts_by_id.get(entry.target_id, {})
        until_s = float("-inf")
        for started_ms, pauses in starts.items():
            pause = pauses.get(reason)
            if pause is None:
                continue
            if entry.started_ms == 0:
                limit_s = pause.since_s + UNKNOWN_START_DRAINING_S
                until_s = max(until_s, min(pause.until_s, limit_s))
            elif started_ms in (0, entry.started_ms):
                until_s = max(until_s, pause.until_s)
        return until_s

    def _pauses_of(self, entry: target_registry.TargetEntry) -> _Pauses:
        """Returns the pauses of one start; forgets the oldest targets."""
        starts = self._starts_by_id.setdefault(entry.target_id, {})
        self._starts_by_id.move_to_end(entry.target_id)
        if len(self._starts_by_id) > self._max_targets:
            self._starts_by_id.popitem(last=False)
        pauses = starts.setdefault(entry.started_ms, {})
        if len(starts) > MAX_REMEMBERED_STARTS:
            del starts[next(iter(starts))]
        return pauses


def _end(pauses: list[_Pause]) -> list[AvailabilityChange]:
    """Ends times without new requests, and returns each end once."""
    open_pauses = [pause for pause in pauses if not pause.ended]
    for pause in open_pauses:
        pause.ended = True
    return [pause.change() for pause in open_pauses]
