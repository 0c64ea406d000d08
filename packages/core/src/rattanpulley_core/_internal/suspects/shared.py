"""Decides which requests entry hosts refuse because they crash targets.

The crashes that all hosts see count together; the log is what they exchange.
"""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared_reports

# Crashes in succession from which a request is refused. A request that runs
# beside the cause may follow it to a second target.
REFUSAL_CRASHES = 3
# Crashes from which a request is refused although another one was at all of
# them too.
AMBIGUOUS_CRASHES = 5
# How long a crash counts; a request that was refused may run again afterwards.
SHARED_REPORT_TTL_S = 900.0
# Reports of other hosts on a crash arrive within this time. A request that is
# refused earlier may turn out to have run beside the cause.
SETTLE_S = 2.0
# Hosts that were cut off learn of a clearance within this time.
CLEARED_TTL_S = 60.0
# Events of a stream past the point of its crash that clear the request.
CLEARED_AFTER_EVENTS = 30
MAX_REPORTS = 4096


class SharedSuspects:
    """Requests that crash targets, as known to one entry host.

    Attributes:
        log: The reports, for the exchange with other hosts.
    """

    def __init__(self, log_id: str) -> None:
        """Creates an instance without reports.

        Args:
            log_id: Unique for each process.
        """
        self.log = crash_log.CrashLog(log_id)
        self._table = reports.SuspectTable(REFUSAL_CRASHES)
        # Requests with enough crashes that are not yet refused for long.
        self._candidates: list[str] = []

    def __len__(self) -> int:
        return len(self.log)

    def record_crash(
        self,
        fingerprint: str,
        target: str,
        boot_id: str,
        events: int,
        ran_s: float,
        now_s: float,
    ) -> None:
        """Records that a target crashed while it had a request.

        Args:
            fingerprint: Fingerprint of the request.
            target: Id of the target.
            boot_id: Identifies the process that crashed.
            events: Id of the last event of the stream, or 0.
            ran_s: Seconds since the request was sent to the target.
            now_s: Current time.
        """
        key = (fingerprint, target, boot_id)
        known = self.log.find(key)
        if known is not None:
            known.is_own = True
            return
        run = reports.CrashedRun(now_s - ran_s, now_s, events)
        self._add(key, run, now_s, is_own=True, is_upstream=False)

    def record_events(
        self, fingerprint: str, events: int, now_s: float
    ) -> bool:
        """Clears a request whose stream has passed the point of its crash.

        Args:
            fingerprint: Fingerprint of the request.
            events: Id of the last event of the stream.
            now_s: Current time.

        Returns:
            Whether the request was a suspect and is cleared.
        """
        crashed = self._table.crashed_tokens(fingerprint, now_s)
        if crashed is None or events < crashed + CLEARED_AFTER_EVENTS:
            return False
        return self.record_success(fingerprint, now_s)

    def record_success(self, fingerprint: str, now_s: float) -> bool:
        """Clears a request that a target has run without a crash.

        Returns:
            Whether the request was a suspect.
        """
        crashes = list(self.log.active(fingerprint))
        for crash in crashes:
            self._clear((fingerprint, *crash), now_s, is_upstream=False)
        return bool(crashes)

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
                run = _run_of(report, now_s, error_s)
                row = self._add(
                    report.key,
                    run,
                    now_s,
                    is_own=False,
                    is_upstream=is_upstream,
                )
                changed += not report.cleared
            row.is_upstream = row.is_upstream or is_upstream
            if report.cleared and not row.cleared:
                self._clear(report.key, now_s, is_upstream)
                changed += 1
        return changed

    def crash_count(self, fingerprint: str, now_s: float) -> int:
        """Returns the number of crashes in succession."""
        return self._table.crash_count(fingerprint, now_s)

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether the request must not run again for now.

        A request that ran beside the cause at each of its crashes is refused
        only if it cannot be told from the cause for long.
        """
        if not self._table.is_refused(fingerprint, now_s):
            return False
        crashes = self.log.active(fingerprint).keys()
        if len(crashes) >= AMBIGUOUS_CRASHES:
            return not any(crashes < o for o in self._others(fingerprint))
        return not any(crashes <= o for o in self._others(fingerprint))

    def _others(
        self, fingerprint: str
    ) -> Iterable[AbstractSet[crash_log.Crash]]:
        """Iterates over the crashes of each other request."""
        for other, rows_by_crash in self.log.active_by_fingerprint():
            if other != fingerprint:
                yield rows_by_crash.keys()

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Returns for how long a request is still refused, 0 if it is not.

        The time is short while reports of other hosts may still be on their
        way.
        """
        if not self.is_refused(fingerprint, now_s):
            return 0.0
        rows = self.log.active(fingerprint).values()
        latest_s = max(row.run.crashed_s for row in rows)
        if now_s < latest_s + SETTLE_S:
            return latest_s + SETTLE_S - now_s
        expiries = sorted(row.expires_at_s for row in rows)
        return max(0.0, expiries[-REFUSAL_CRASHES] - now_s)

    def pop_newly_refused(self, now_s: float) -> list[str]:
        """Returns the requests that are refused for long from now on."""
        self._candidates += self._table.pop_newly_refused()
        due = [
            fingerprint
            for fingerprint in self._candidates
            if self.refused_for_s(fingerprint, now_s) > SETTLE_S
        ]
        self._candidates = [
            fingerprint
            for fingerprint in self._candidates
            if fingerprint not in due
            and self._table.is_refused(fingerprint, now_s)
        ]
        return due

    def has_cleared(self, fingerprint: str) -> bool:
        """Returns whether all known crashes of a request were cleared."""
        return self.log.knows(fingerprint) and not self.log.active(fingerprint)

    def is_own(self, fingerprint: str) -> bool:
        """Returns whether this host saw a crash that counts."""
        return any(row.is_own for row in self.log.active(fingerprint).values())

    def expire(self, now_s: float) -> None:
        """Removes reports that have expired."""
        self._table.expire(now_s)
        self.log.expire(now_s)

    def _accepts(self, report: shared_reports.SharedReport) -> bool:
        """Returns whether an unknown report is neither old nor cleared here."""
        if report.crashed_ago_s >= SHARED_REPORT_TTL_S:
            return False
        return not self._table.is_cleared(*report.key)

    def _add(
        self,
        key: crash_log.ReportKey,
        run: reports.CrashedRun,
        now_s: float,
        is_own: bool,
        is_upstream: bool,
    ) -> crash_log.LogRow:
        """Adds a report, in place of the oldest one if there are too many."""
        if len(self.log) >= MAX_REPORTS:
            oldest = self.log.oldest()
            self.log.remove(oldest)
            self._table.remove(*oldest)
        expires_at_s = run.crashed_s + SHARED_REPORT_TTL_S
        row = crash_log.LogRow(run, expires_at_s, is_own, is_upstream)
        self.log.add(key, row)
        self._table.apply_remote(*key, now_s, expires_at_s - now_s, run)
        return row

    def _clear(
        self, key: crash_log.ReportKey, now_s: float, is_upstream: bool
    ) -> None:
        self.log.clear(key, now_s + CLEARED_TTL_S, is_upstream)
        self._table.clear_report(*key)


def _run_of(
    report: shared_reports.SharedReport, now_s: float, error_s: float
) -> reports.CrashedRun:
    """Returns the run of a received report in this host's time."""
    crashed_s = now_s - report.crashed_ago_s
    return reports.CrashedRun(
        crashed_s - report.ran_s,
        crashed_s,
        report.events,
        report.error_s + error_s,
    )
