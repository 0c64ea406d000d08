"""Decides which parts of prompts entry hosts refuse.

Such a part crashes each target at some point of each run on a prompt with it,
whatever else the prompt holds. Requests with it are all different.
"""

import collections
from collections.abc import Collection, Iterable

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import known_crashes
from rattanpulley_core._internal.suspects import part_causes
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import run_points
from rattanpulley_core._internal.suspects import shared_reports

# Causes are found again as reports settle, and at once as they arrive. In a
# large log that takes some tenths of a second, during which nothing else runs.
EVALUATION_PERIOD_S = 0.1
LARGE_LOG_REPORTS = 1000
LARGE_LOG_PERIOD_S = 1.0
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
        # The complete answer of one target that began last.
        self._complete_by_part: collections.OrderedDict[
            str, run_points.SoundAnswer
        ] = collections.OrderedDict()
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
        position: int = 0,
        writing_s: float = 0.0,
    ) -> None:
        """Records that a target crashed while it had a prompt.

        Whether the prompt was being run or was queued is not known.

        Args:
            parts: Shared parts of the prompt.
            target: Id of the target.
            boot_id: Identifies the process that crashed.
            events: Events of the answer in this attempt.
            ran_s: Seconds since the request was sent to the target.
            now_s: Current time.
            position: Id of the last event, those of earlier attempts included.
            writing_s: Seconds since the first event of the attempt, or 0.
        """
        run = reports.CrashedRun(
            now_s - ran_s, now_s, events, 0.0, position, writing_s
        )
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

    def has_lost(self, target: str, boot_id: str) -> bool:
        """Returns whether a host has reported the loss of a target."""
        key = (_loss_key(target, boot_id), target, boot_id)
        return self.log.find(key) is not None

    def record_answer(
        self, parts: Iterable[str], answer: run_points.SoundAnswer, now_s: float
    ) -> list[str]:
        """Records that an answer goes on, which clears the parts of its prompt.

        Args:
            parts: Shared parts of the prompt.
            answer: The answer of one target.
            now_s: Current time.

        Returns:
            The parts that were suspects and of which crashes are cleared.
        """
        if answer.is_complete and not answer.base_id:
            for part in parts:
                self._remember(part, answer)
        return [
            part for part in parts if self._clear_if_sound(part, answer, now_s)
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
            answer = self._complete_by_part.get(part)
            if answer is not None:
                self._clear_if_sound(part, answer, now_s)
        return changed

    def losses(self, part: str) -> int:
        """Returns the number of losses under a part, settled or not."""
        return self.losses_by_part((part,))[part]

    def losses_by_part(self, parts: Iterable[str]) -> dict[str, int]:
        """Returns the number of losses under parts, settled or not."""
        rows_by_part = dict(self.log.active_by_fingerprint())
        counter = part_causes.LossCounter(rows_by_part)
        losses_by_part = {}
        for part in parts:
            rows = rows_by_part.get(part, {})
            losses_by_part[part] = counter.count(rows, rows.keys())
        return losses_by_part

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
        is_large = len(self) >= LARGE_LOG_REPORTS
        period_s = LARGE_LOG_PERIOD_S if is_large else EVALUATION_PERIOD_S
        is_changed = self.log.position != self._evaluated_position
        if now_s < self._evaluated_at_s + period_s and (
            is_large or not is_changed
        ):
            return self._causes
        self._evaluated_at_s = now_s
        self._evaluated_position = self.log.position
        self._causes = part_causes.CauseFinder(
            dict(self.log.active_by_fingerprint()),
            now_s - known_crashes.SETTLE_S,
        ).find()
        return self._causes

    def _clear_if_sound(
        self, part: str, answer: run_points.SoundAnswer, now_s: float
    ) -> bool:
        """Clears the crashes of a part that an answer has passed.

        An answer that had begun before the first one may have been lucky: what
        crashes targets now may have been sound then.
        """
        rows_by_crash = self.log.active(part)
        crashed_s = [row.run.crashed_s for row in rows_by_crash.values()]
        if not crashed_s or answer.began_s < min(crashed_s):
            return False
        is_cleared = False
        for crash, row in list(rows_by_crash.items()):
            refuted = row.refuted | run_points.refuted_by(answer, row.run)
            is_cleared |= self._refute((part, *crash), row, refuted, now_s)
        return is_cleared

    def _refute(
        self,
        key: crash_log.ReportKey,
        row: crash_log.LogRow,
        refuted: int,
        now_s: float,
    ) -> bool:
        """Notes what refutes a crash; returns whether it is cleared now."""
        if refuted == row.refuted:
            return False
        self.log.refute(key, refuted)
        if refuted != run_points.ALL_REFUTED:
            return False
        self._clear(key, now_s, is_upstream=False)
        return True

    def _remember(self, part: str, answer: run_points.SoundAnswer) -> None:
        known = self._complete_by_part
        earlier = known.get(part)
        if earlier is None or earlier.began_s <= answer.began_s:
            known[part] = answer
        known.move_to_end(part)
        if len(known) > MAX_REMEMBERED_PARTS:
            known.popitem(last=False)

    def _is_needed(self, fingerprint: str) -> bool:
        return any(cause.part == fingerprint for cause in self._causes)

    def _add_run(
        self,
        key: crash_log.ReportKey,
        row: crash_log.LogRow,
        run: reports.CrashedRun,
    ) -> None:
        """Combines the runs of all prompts with a part on a target.

        Which one has crashed it is not known; that one had come at least as
        far as the others by one measure.
        """
        combined = row.run.combined(run)
        covered = run_points.covered_by(row.run, combined)
        if covered != run_points.ALL_REFUTED:
            self.log.advance(key, combined, row.refuted & covered)
            return
        # The host that saw the end first knows best how long the run was.
        row.run = combined

    def _combine(
        self,
        row: crash_log.LogRow,
        report: shared_reports.SharedReport,
        now_s: float,
        error_s: float,
    ) -> bool:
        received = known_crashes.run_of(report, now_s, error_s)
        self._add_run(report.key, row, received)
        covered = run_points.covered_by(received, row.run)
        if covered != run_points.ALL_REFUTED:
            return False
        refuted = row.refuted | report.refuted
        if not row.cleared:
            self._refute(report.key, row, refuted, now_s)
        return report.refuted == row.refuted
