"""Runs that a host has left while their targets may have gone on with them.

A target that ends soon afterwards may have been ended by one of them.
"""

import collections
import dataclasses

# A target drops a run some time after its connection was closed.
LEFT_RUN_TTL_S = 4.0
MAX_TARGETS = 512
MAX_RUNS_PER_TARGET = 64

# Target and boot id.
Process = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class LeftRun:
    """A run that was left.

    Attributes:
        request_id: Id of the request.
        fingerprint: Fingerprint of the request.
        parts: Shared parts of its prompt.
        events: Events of the answer in this attempt.
        position: Id of the last event, those of earlier attempts included.
        writing_s: Seconds since the first event of this attempt, or 0.
        sent_s: When the request was sent to the target.
        left_s: When it was left.
    """

    request_id: str
    fingerprint: str
    parts: tuple[str, ...]
    events: int
    position: int
    sent_s: float
    left_s: float
    writing_s: float = 0.0


class LeftRuns:
    """Runs that were left, by the process of the target."""

    def __init__(self) -> None:
        self._runs_by_process: collections.OrderedDict[
            Process, list[LeftRun]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._runs_by_process)

    def add(self, target: str, boot_id: str, run: LeftRun) -> None:
        """Adds a run; the oldest ones yield if there are too many."""
        runs = self._runs_by_process.setdefault((target, boot_id), [])
        runs.append(run)
        del runs[:-MAX_RUNS_PER_TARGET]
        self._runs_by_process.move_to_end((target, boot_id))
        if len(self._runs_by_process) > MAX_TARGETS:
            self._runs_by_process.popitem(last=False)

    def has_any(self, target: str, boot_id: str, now_s: float) -> bool:
        """Returns whether a run was left recently."""
        self._expire(now_s)
        return (target, boot_id) in self._runs_by_process

    def processes(self) -> list[Process]:
        """Returns the processes at which runs were left."""
        return list(self._runs_by_process)

    def take(self, target: str, boot_id: str, now_s: float) -> list[LeftRun]:
        """Returns and removes the runs that were left recently."""
        self._expire(now_s)
        return self._runs_by_process.pop((target, boot_id), [])

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - LEFT_RUN_TTL_S
        for process, runs in list(self._runs_by_process.items()):
            recent = [run for run in runs if run.left_s >= oldest_s]
            if recent:
                self._runs_by_process[process] = recent
            else:
                del self._runs_by_process[process]
