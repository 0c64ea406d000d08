"""Crash reports by request fingerprint."""

from collections.abc import Iterable, Sequence
import dataclasses

REPORT_TTL_S = 3600.0
# A request that was the cause of this many crashes is refused.
REFUSED_AT_CRASHES = 2


@dataclasses.dataclass(slots=True)
class CrashReport:
    """One crash that a request is held responsible for.

    Attributes:
        expires_at_s: Monotonic time at which the report stops counting.
        provisional: Whether a common cause may still withdraw the report.
        cleared: Whether the request has since run without a crash.
        run: When the request ran on the target; None for a report of a peer,
            which counts by itself.
    """

    expires_at_s: float
    provisional: bool = False
    cleared: bool = False
    run: "CrashedRun | None" = None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedRun:
    """The attempts of a request on a target that crashed.

    Attributes:
        started_s: Monotonic time at which the latest attempt started.
        crashed_s: Monotonic time of the crash.
        tokens: Largest number of tokens of an answer at the crash.
    """

    started_s: float
    crashed_s: float
    tokens: int


# A crash is identified by the target's name and the boot id that it ended.
CrashKey = tuple[str, str]


class SuspectTable:
    """Crash reports of this daemon and of its peers.

    A report is identified by fingerprint, target and boot id, so that several
    reports of one crash count once. One report makes a request a suspect; two
    make it refused.
    """

    def __init__(self) -> None:
        self._reports_by_fingerprint: dict[
            str, dict[CrashKey, CrashReport]
        ] = {}
        self._newly_refused: list[str] = []

    def __len__(self) -> int:
        return len(self._reports_by_fingerprint)

    def report(
        self,
        fingerprint: str,
        target: str,
        boot_id: str,
        now_s: float,
        provisional: bool = False,
        run: CrashedRun | None = None,
    ) -> None:
        """Adds a report of this daemon.

        Args:
            fingerprint: Content fingerprint of the request.
            target: Name of the target that crashed.
            boot_id: Process of the target that crashed.
            now_s: Monotonic time.
            provisional: Whether `confirm` or `withdraw` will follow.
            run: When the request ran there.
        """
        found = CrashReport(now_s + REPORT_TTL_S, provisional, run=run)
        self._add(fingerprint, (target, boot_id), found, now_s)

    def apply_remote(
        self,
        fingerprint: str,
        target: str,
        boot_id: str,
        now_s: float,
        ttl_s: float = REPORT_TTL_S,
    ) -> None:
        """Adds a report of a peer that is valid for `ttl_s` from `now_s`."""
        ttl_s = min(ttl_s, REPORT_TTL_S)
        if ttl_s <= 0:
            return
        found = CrashReport(now_s + ttl_s)
        self._add(fingerprint, (target, boot_id), found, now_s)

    def confirm(
        self, fingerprint: str, target: str, boot_id: str, now_s: float
    ) -> None:
        """Makes a provisional report final."""
        reports = self._reports_by_fingerprint.get(fingerprint, {})
        found = reports.get((target, boot_id))
        if found is not None and found.provisional:
            final = CrashReport(found.expires_at_s, run=found.run)
            self._add(fingerprint, (target, boot_id), final, now_s)

    def withdraw(self, fingerprint: str, target: str, boot_id: str) -> None:
        """Removes a provisional report."""
        reports = self._reports_by_fingerprint.get(fingerprint, {})
        found = reports.get((target, boot_id))
        if found is not None and found.provisional:
            del reports[target, boot_id]
            if not reports:
                del self._reports_by_fingerprint[fingerprint]

    def clear(self, fingerprint: str) -> bool:
        """Ends the suspicion; the same reports do not count again.

        Returns:
            Whether a final report was cleared, of which peers may know.
        """
        had_final = False
        for found in self._reports_by_fingerprint.get(fingerprint, {}).values():
            had_final = had_final or not (found.cleared or found.provisional)
            found.cleared = True
        return had_final

    def is_cleared(self, fingerprint: str, target: str, boot_id: str) -> bool:
        """Returns whether the report of a crash has been cleared."""
        reports = self._reports_by_fingerprint.get(fingerprint, {})
        found = reports.get((target, boot_id))
        return found is not None and found.cleared

    def crashed_tokens(self, fingerprint: str, now_s: float) -> int | None:
        """Returns the most tokens that an answer had at a counting crash."""
        tokens = [
            found.run.tokens
            for found in self._counting(fingerprint, now_s)
            if found.run is not None
        ]
        return max(tokens, default=None)

    def crash_count(
        self,
        fingerprint: str,
        now_s: float,
        open_runs: Iterable[CrashedRun] = (),
    ) -> int:
        """Returns how many crashes count, provisional ones included.

        Args:
            fingerprint: Content fingerprint of the request.
            now_s: Monotonic time.
            open_runs: Runs on targets whose crash is not confirmed yet.
        """
        counting = self._counting(fingerprint, now_s)
        return _count_waves([*(found.run for found in counting), *open_runs])

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether a report counts, provisional ones included."""
        return bool(self._counting(fingerprint, now_s))

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether the request is known to crash targets."""
        counting = self._counting(fingerprint, now_s)
        final = [found for found in counting if not found.provisional]
        waves = _count_waves([found.run for found in final])
        return waves >= REFUSED_AT_CRASHES

    def pop_newly_refused(self) -> list[str]:
        """Returns the fingerprints refused since the last call."""
        taken = self._newly_refused
        self._newly_refused = []
        return taken

    def expire(self, now_s: float) -> None:
        """Removes reports that have expired."""
        for fingerprint in list(self._reports_by_fingerprint):
            reports = self._reports_by_fingerprint[fingerprint]
            for key in [
                k for k, r in reports.items() if r.expires_at_s <= now_s
            ]:
                del reports[key]
            if not reports:
                del self._reports_by_fingerprint[fingerprint]

    def _add(
        self,
        fingerprint: str,
        key: CrashKey,
        report: CrashReport,
        now_s: float,
    ) -> None:
        was_refused = self.is_refused(fingerprint, now_s)
        reports = self._reports_by_fingerprint.setdefault(fingerprint, {})
        found = reports.setdefault(key, report)
        found.provisional = found.provisional and report.provisional
        if not was_refused and self.is_refused(fingerprint, now_s):
            self._newly_refused.append(fingerprint)

    def _counting(self, fingerprint: str, now_s: float) -> list[CrashReport]:
        reports = self._reports_by_fingerprint.get(fingerprint)
        if not reports:
            return []
        return [
            found
            for found in reports.values()
            if not found.cleared and found.expires_at_s > now_s
        ]


def _count_waves(runs: Sequence[CrashedRun | None]) -> int:
    """Counts crashes of which each could have followed from the one before.

    A request that crashes targets crashes the second one after it was moved
    there. Copies of a popular request that were running on two targets when
    both were lost are no evidence against it, so they count once.
    """
    known = sorted(
        (run for run in runs if run is not None),
        key=lambda run: run.crashed_s,
    )
    waves = sum(run is None for run in runs)
    first_crash_s = None
    for run in known:
        if first_crash_s is None or run.started_s >= first_crash_s:
            waves += 1
            first_crash_s = run.crashed_s
    return waves
