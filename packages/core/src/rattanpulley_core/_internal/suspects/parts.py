"""Decides which parts of prompts entry hosts refuse.

Such a part crashes each target that begins to write an answer on it, whatever
else the prompt holds. Requests with it are all different.
"""

import collections
from collections.abc import Collection, Iterable

from rattanpulley_core._internal.suspects import known_crashes
from rattanpulley_core._internal.suspects import part_causes
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared_reports

# An answer with this many events has got past its beginning. What ends a target
# later is not the beginning of this answer.
BEGINNING_EVENTS = 10
# Events past the latest crash of a part that clear it.
CLEARED_AFTER_EVENTS = 6
# An answer with this many events has passed whatever counts as a beginning.
SOUND_EVENTS = BEGINNING_EVENTS + CLEARED_AFTER_EVENTS
# Causes are found again at most this often.
EVALUATION_PERIOD_S = 0.1
MAX_REMEMBERED_PARTS = 8192


def part_key(pool: str, part: str) -> str:
    """Returns the fingerprint of a part: each pool runs other software."""
    return f"{pool}.{part}"


def _loss_key(target: str, boot_id: str) -> str:
    """Returns the fingerprint of a loss without its cause, which is no part.

    Each loss has its own, so that none has enough crashes for a refusal.
    """
    return f"-.{target}.{boot_id}"


class PartSuspects(known_crashes.KnownCrashes):
    """Parts of prompts that crash targets, as known to one entry host.

    Parts are named by `part_key`.
    """

    kind = shared_reports.SuspectKind.PART

    def __init__(self, log_id: str) -> None:
        """Creates an instance without reports.

        Args:
            log_id: Unique for each process.
        """
        super().__init__(log_id)
        # When the latest answer began that got past its beginning.
        self._sound_since_s_by_part: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._causes: tuple[part_causes.Cause, ...] = ()
        self._evaluated_position = 0
        self._evaluated_at_s = float("-inf")
        self._announced: set[str] = set()

    def record_crash(
        self,
        parts: Collection[str],
        target: str,
        boot_id: str,
        events: int,
        ran_s: float,
        now_s: float,
    ) -> None:
        """Records that a target crashed while it answered a prompt.

        Args:
            parts: Shared parts of the prompt.
            target: Id of the target.
            boot_id: Identifies the process that crashed.
            events: Events of the answer.
            ran_s: Seconds since the request was sent to the target.
            now_s: Current time.
        """
        if events >= BEGINNING_EVENTS:
            return
        run = reports.CrashedRun(now_s - ran_s, now_s, events)
        for part in parts:
            key = (part, target, boot_id)
            self._record_own(key, run, now_s, tuple(parts))

    def record_loss(self, target: str, boot_id: str, now_s: float) -> None:
        """Records that a target crashed, whatever it was doing.

        Targets that are lost together with those of a part, and had no answer
        to a prompt with it, show that something else took them all.

        Args:
            target: Id of the target.
            boot_id: Identifies the process that crashed.
            now_s: Current time.
        """
        key = (_loss_key(target, boot_id), target, boot_id)
        self._record_own(key, reports.CrashedRun(now_s, now_s, 0), now_s)

    def record_answer(
        self,
        parts: Iterable[str],
        began_s: float,
        events: int | None,
        now_s: float,
    ) -> list[str]:
        """Records that an answer goes on, which clears the parts of its prompt.

        Args:
            parts: Shared parts of the prompt.
            began_s: When the answer began.
            events: Events of the answer so far, or None if it is complete.
            now_s: Current time.

        Returns:
            The parts that were suspects and are cleared.
        """
        if events is None or events >= SOUND_EVENTS:
            for part in parts:
                self._remember(part, began_s)
        return [
            part
            for part in parts
            if self._is_past_crashes(part, events)
            and self._clear_if_sound(part, began_s, now_s)
        ]

    def merge(
        self,
        received: Iterable[shared_reports.SharedReport],
        now_s: float,
        error_s: float,
        is_upstream: bool,
    ) -> int:
        """Adds reports; clears parts that are known here to be sound."""
        received = tuple(received)
        changed = super().merge(received, now_s, error_s, is_upstream)
        for part in {report.fingerprint for report in received}:
            began_s = self._sound_since_s_by_part.get(part)
            if began_s is not None:
                self._clear_if_sound(part, began_s, now_s)
        return changed

    def losses(self, part: str) -> int:
        """Returns the number of losses under a part, settled or not."""
        rows_by_part = dict(self.log.active_by_fingerprint())
        runs = [row.run for row in rows_by_part.get(part, {}).values()]
        return part_causes.LossCounter(rows_by_part).count(part, runs)

    def prompt_refused_for_s(
        self, parts: Collection[str], now_s: float
    ) -> float:
        """Returns for how long a prompt is refused, 0 if it is not."""
        if not parts or not len(self):
            return 0.0
        expiries_s = (
            cause.expires_at_s
            for cause in self._find_causes(now_s)
            if cause.bundle.issubset(parts)
        )
        return max(0.0, max(expiries_s, default=0.0) - now_s)

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Returns for how long a part is still refused, 0 if it is not."""
        expiries_s = (
            cause.expires_at_s
            for cause in self._find_causes(now_s)
            if cause.part == fingerprint
        )
        return max(0.0, max(expiries_s, default=0.0) - now_s)

    def pop_newly_refused(self, now_s: float) -> list[str]:
        """Returns the parts that are refused from now on."""
        refused = {cause.part for cause in self._find_causes(now_s)}
        newly = sorted(refused - self._announced)
        self._announced = refused
        return newly

    def _find_causes(self, now_s: float) -> tuple[part_causes.Cause, ...]:
        """Returns the causes, found again as crashes arrive and settle."""
        if not len(self):
            return ()
        is_recent = now_s < self._evaluated_at_s + EVALUATION_PERIOD_S
        if is_recent and self.log.position == self._evaluated_position:
            return self._causes
        self._evaluated_at_s = now_s
        self._evaluated_position = self.log.position
        self._causes = part_causes.CauseFinder(
            dict(self.log.active_by_fingerprint()),
            now_s - known_crashes.SETTLE_S,
        ).find()
        return self._causes

    def _is_past_crashes(self, part: str, events: int | None) -> bool:
        """Returns whether an answer has passed the crashes of a part."""
        if events is None:
            return True
        rows = self.log.active(part).values()
        crashed = max((row.run.tokens for row in rows), default=0)
        return events >= crashed + CLEARED_AFTER_EVENTS

    def _clear_if_sound(self, part: str, began_s: float, now_s: float) -> bool:
        """Clears a part if an answer began after its first crash.

        An answer that had begun before may have been lucky: what crashes
        targets now may have been sound then.
        """
        rows_by_crash = self.log.active(part)
        crashed_s = [row.run.crashed_s for row in rows_by_crash.values()]
        if not crashed_s or began_s < min(crashed_s):
            return False
        for crash in list(rows_by_crash):
            self._clear((part, *crash), now_s, is_upstream=False)
        return True

    def _remember(self, part: str, began_s: float) -> None:
        known = self._sound_since_s_by_part
        known[part] = max(began_s, known.get(part, began_s))
        known.move_to_end(part)
        if len(known) > MAX_REMEMBERED_PARTS:
            known.popitem(last=False)
