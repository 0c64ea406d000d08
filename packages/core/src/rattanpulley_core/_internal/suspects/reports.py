"""Table of crash reports by request fingerprint."""

from collections.abc import Iterable, Sequence
import dataclasses

REPORT_TTL_S = 3600.0
# Crashes attributed to a request from which the request is refused.
REFUSAL_CRASH_COUNT = 2


@dataclasses.dataclass(slots=True)
class CrashReport:
    """One crash attributed to a request.

    Attributes:
        expires_at_s: Monotonic time at which the report expires.
        provisional: Whether a common cause may still withdraw the report.
        cleared: Whether the request has since run without a crash.
        run: Run of the request on the target. None if a peer did not report
            it; the crash then always counts as one of its own.
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
        clock_error_s: Largest error of the times against this daemon's clock;
            0 for a run of its own.
        position: Id of the last event of the stream at the crash, those of
            earlier attempts included; 0 if unknown.
        writing_s: Seconds since the first event of the attempt; 0 before it.
    """

    started_s: float
    crashed_s: float
    tokens: int
    clock_error_s: float = 0.0
    position: int = 0
    writing_s: float = 0.0

    @property
    def reached(self) -> int:
        """The last event before the crash, by id or by number."""
        return max(self.position, self.tokens)

    def combined(self, other: "CrashedRun") -> "CrashedRun":
        """Returns how far either of two runs on the target had come."""
        return CrashedRun(
            min(self.started_s, other.started_s),
            min(self.crashed_s, other.crashed_s),
            max(self.tokens, other.tokens),
            max(self.clock_error_s, other.clock_error_s),
            max(self.position, other.position),
            max(self.writing_s, other.writing_s),
        )

    def may_follow(self, earlier: "CrashedRun") -> bool:
        """Returns whether the run may have started after an earlier crash."""
        error_s = self.clock_error_s + earlier.clock_error_s
        return self.started_s + error_s >= earlier.crashed_s


# A crash is identified by the target's name and the boot id of the process.
CrashKey = tuple[str, str]


class SuspectTable:
    """Crash reports of this daemon and of its peers.

    A report is identified by fingerprint, target and boot id, so that several
    reports of one crash count once. One report makes a request suspect; two
    cause its refusal, unless another number is given.
    """

    def __init__(self, refusal_crash_count: int = REFUSAL_CRASH_COUNT) -> None:
        """Creates an empty table.

        Args:
            refusal_crash_count: Crashes from which a request is refused.
        """
        self._refusal_crash_count = refusal_crash_count
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
            boot_id: Boot id of the process that crashed.
            now_s: Monotonic time.
            provisional: Whether `confirm` or `withdraw` follows.
            run: Run of the request on the target.
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
        run: CrashedRun | None = None,
    ) -> None:
        """Adds a report of a peer, valid for `ttl_s` seconds from `now_s`.

        Args:
            fingerprint: Content fingerprint of the request.
            target: Name of the target that crashed.
            boot_id: Boot id of the process that crashed.
            now_s: Monotonic time.
            ttl_s: Seconds for which the report is valid.
            run: Run of the request on the target, in this daemon's time; None
                if the peer did not report it.
        """
        ttl_s = min(ttl_s, REPORT_TTL_S)
        if ttl_s <= 0:
            return
        found = CrashReport(now_s + ttl_s, run=run)
        self._add(fingerprint, (target, boot_id), found, now_s)

    def confirm(
        self, fingerprint: str, target: str, boot_id: str, now_s: float
    ) -> None:
        """Makes a provisional report final."""
        found = self._find(fingerprint, target, boot_id)
        if found is not None and found.provisional:
            final = CrashReport(found.expires_at_s, run=found.run)
            self._add(fingerprint, (target, boot_id), final, now_s)

    def withdraw(self, fingerprint: str, target: str, boot_id: str) -> None:
        """Removes a provisional report."""
        found = self._find(fingerprint, target, boot_id)
        if found is not None and found.provisional:
            self.remove(fingerprint, target, boot_id)

    def clear(self, fingerprint: str) -> bool:
        """Clears all reports of a request; they do not count again.

        Returns:
            Whether a final report, which peers may have, was cleared.
        """
        had_final = False
        for found in self._reports_by_fingerprint.get(fingerprint, {}).values():
            had_final = had_final or not (found.cleared or found.provisional)
            found.cleared = True
        return had_final

    def clear_report(self, fingerprint: str, target: str, boot_id: str) -> None:
        """Clears one report of a request; it does not count again."""
        found = self._find(fingerprint, target, boot_id)
        if found is not None:
            found.cleared = True

    def remove(self, fingerprint: str, target: str, boot_id: str) -> None:
        """Removes one report of a request."""
        reports = self._reports_by_fingerprint.get(fingerprint, {})
        reports.pop((target, boot_id), None)
        if not reports:
            self._reports_by_fingerprint.pop(fingerprint, None)

    def is_cleared(self, fingerprint: str, target: str, boot_id: str) -> bool:
        """Returns whether the report of a crash has been cleared."""
        found = self._find(fingerprint, target, boot_id)
        return found is not None and found.cleared

    def crashed_tokens(self, fingerprint: str, now_s: float) -> int | None:
        """Returns the most tokens of an answer at an active report's crash.

        None if no active report has a run.
        """
        tokens = [
            found.run.tokens
            for found in self._active_reports(fingerprint, now_s)
            if found.run is not None
        ]
        return max(tokens, default=None)

    def crash_count(
        self,
        fingerprint: str,
        now_s: float,
        open_runs: Iterable[CrashedRun] = (),
    ) -> int:
        """Returns the number of crashes, including provisional reports.

        Args:
            fingerprint: Content fingerprint of the request.
            now_s: Monotonic time.
            open_runs: Runs on targets whose crash is unconfirmed.
        """
        active = self._active_reports(fingerprint, now_s)
        return _count_consecutive_crashes(
            [*(found.run for found in active), *open_runs]
        )

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether a report is active, including provisional ones."""
        return bool(self._active_reports(fingerprint, now_s))

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether the request is known to crash targets."""
        active = self._active_reports(fingerprint, now_s)
        final = [found for found in active if not found.provisional]
        crashes = _count_consecutive_crashes([found.run for found in final])
        return crashes >= self._refusal_crash_count

    def pop_newly_refused(self) -> list[str]:
        """Returns and removes the fingerprints refused since the last call."""
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

    def _find(
        self, fingerprint: str, target: str, boot_id: str
    ) -> CrashReport | None:
        reports = self._reports_by_fingerprint.get(fingerprint, {})
        return reports.get((target, boot_id))

    def _active_reports(
        self, fingerprint: str, now_s: float
    ) -> list[CrashReport]:
        reports = self._reports_by_fingerprint.get(fingerprint)
        if not reports:
            return []
        return [
            found
            for found in reports.values()
            if not found.cleared and found.expires_at_s > now_s
        ]


def _count_consecutive_crashes(runs: Sequence[CrashedRun | None]) -> int:
    """Counts crashes whose run started after the previously counted crash.

    A request that crashes targets crashes the second one after it is placed
    there. Copies of a popular request that run on two targets when both are
    lost are not evidence against it, so they count once. Runs of None count
    individually.
    """
    known = sorted(
        (run for run in runs if run is not None),
        key=lambda run: run.crashed_s,
    )
    crashes = sum(run is None for run in runs)
    counted: CrashedRun | None = None
    for run in known:
        if counted is None or run.may_follow(counted):
            crashes += 1
            counted = run
    return crashes
