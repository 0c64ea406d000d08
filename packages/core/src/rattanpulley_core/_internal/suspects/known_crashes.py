"""Crash reports that one entry host knows, of its own and of other hosts."""

import abc
from collections.abc import Iterable
from typing import ClassVar

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared_reports

# How long a crash counts; what was refused may run again afterwards.
SHARED_REPORT_TTL_S = 900.0
# Reports of other hosts on a crash arrive within this time.
SETTLE_S = 2.0
# Hosts that were cut off learn of a clearance within this time.
CLEARED_TTL_S = 60.0
MAX_REPORTS = 4096


class KnownCrashes(abc.ABC):
    """Reports on what was running when targets crashed.

    What a report is about, its subject, has a fingerprint: a request or a part
    of prompts.

    Attributes:
        kind: What the reports are about.
        log: The reports, for the exchange with other hosts.
    """

    kind: ClassVar[shared_reports.SuspectKind]

    def __init__(self, log_id: str) -> None:
        """Creates an instance without reports.

        Args:
            log_id: Unique for each process.
        """
        self.log = crash_log.CrashLog(log_id, self.kind)

    def __len__(self) -> int:
        return len(self.log)

    @abc.abstractmethod
    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Returns for how long a subject is still refused, 0 if it is not."""

    @abc.abstractmethod
    def pop_newly_refused(self, now_s: float) -> list[str]:
        """Returns the subjects that are refused for long from now on."""

    def merge(
        self,
        received: Iterable[shared_reports.SharedReport],
        now_s: float,
        error_s: float,
        is_upstream: bool,
    ) -> int:
        """Adds reports of another host or of the store.

        Args:
            received: The reports.
            now_s: Current time.
            error_s: Largest error that the transfer adds to their ages.
            is_upstream: Whether they come from the host that this one queries.

        Returns:
            Number of reports that were new or newly cleared.
        """
        changed = 0
        for report in received:
            row = self.log.find(report.key)
            if row is None:
                if not self._accepts(report):
                    continue
                row = self._add(
                    report.key,
                    run_of(report, now_s, error_s),
                    now_s,
                    is_own=False,
                    is_upstream=is_upstream,
                    companions=report.companions,
                )
                changed += not report.cleared
            elif not self._combine(row, report, now_s, error_s):
                continue
            row.is_upstream = row.is_upstream or is_upstream
            if report.cleared and not row.cleared:
                self._clear(report.key, now_s, is_upstream)
                changed += 1
        return changed

    def has_cleared(self, fingerprint: str) -> bool:
        """Returns whether all known crashes of a subject were cleared."""
        return self.log.knows(fingerprint) and not self.log.active(fingerprint)

    def is_own(self, fingerprint: str) -> bool:
        """Returns whether this host saw a crash that counts."""
        return any(row.is_own for row in self.log.active(fingerprint).values())

    def expire(self, now_s: float) -> None:
        """Removes reports that have expired."""
        self.log.expire(now_s)

    def _accepts(self, report: shared_reports.SharedReport) -> bool:
        """Returns whether an unknown report still counts."""
        return report.crashed_ago_s < SHARED_REPORT_TTL_S

    def _combine(
        self,
        row: crash_log.LogRow,
        report: shared_reports.SharedReport,
        now_s: float,
        error_s: float,
    ) -> bool:
        """Combines a known report with a received one on the same crash.

        Returns:
            Whether the received one has all that the known one has.
        """
        del row, report, now_s, error_s
        return True

    def _record_own(
        self,
        key: crash_log.ReportKey,
        run: reports.CrashedRun,
        now_s: float,
        companions: tuple[str, ...] = (),
    ) -> None:
        """Adds a crash that this host saw, unless it is known."""
        known = self.log.find(key)
        if known is not None:
            known.is_own = True
            self._add_run(key, known, run)
            return
        self._add(
            key,
            run,
            now_s,
            is_own=True,
            is_upstream=False,
            companions=companions,
        )

    def _add(
        self,
        key: crash_log.ReportKey,
        run: reports.CrashedRun,
        now_s: float,
        is_own: bool,
        is_upstream: bool,
        companions: tuple[str, ...],
    ) -> crash_log.LogRow:
        """Adds a report, in place of the oldest one if there are too many."""
        if len(self.log) >= MAX_REPORTS:
            self._remove(self._oldest_unneeded())
        expires_at_s = run.crashed_s + SHARED_REPORT_TTL_S
        row = crash_log.LogRow(
            run, expires_at_s, is_own, is_upstream, companions
        )
        self.log.add(key, row)
        return row

    def _oldest_unneeded(self) -> crash_log.ReportKey:
        """Returns the report to remove from a full log."""
        keys = self.log.keys()
        return next(
            (key for key in keys if not self._is_needed(key[0])),
            self.log.oldest(),
        )

    def _is_needed(self, fingerprint: str) -> bool:
        """Returns whether the reports on a subject stay in a full log."""
        del fingerprint
        return False

    def _add_run(
        self,
        key: crash_log.ReportKey,
        row: crash_log.LogRow,
        run: reports.CrashedRun,
    ) -> None:
        """Adds another run to a report that this host has."""
        del key, row, run

    def _remove(self, key: crash_log.ReportKey) -> None:
        self.log.remove(key)

    def _clear(
        self, key: crash_log.ReportKey, now_s: float, is_upstream: bool
    ) -> None:
        self.log.clear(key, now_s + CLEARED_TTL_S, is_upstream)


def run_of(
    report: shared_reports.SharedReport, now_s: float, error_s: float
) -> reports.CrashedRun:
    """Returns the run of a received report in this host's time."""
    crashed_s = now_s - report.crashed_ago_s
    return reports.CrashedRun(
        crashed_s - report.ran_s,
        crashed_s,
        report.events,
        report.error_s + error_s,
        report.position,
        report.writing_s,
    )
