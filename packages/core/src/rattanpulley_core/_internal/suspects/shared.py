"""Crash reports that entry hosts share, so that all refuse the same requests.

Each host keeps the reports in a log. Another host asks for those after the
position that it has, and passes on its own. Reports carry ages instead of
times, so that hosts need no common clock.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any

from rattanpulley_core._internal.suspects import reports

# Crashes in succession from which a request is refused. A request that runs
# beside the cause may follow it to a second target.
REFUSAL_CRASHES = 3
# How long a crash counts; a request that was refused may run again afterwards.
SHARED_REPORT_TTL_S = 900.0
# Hosts that were cut off learn of a clearance within this time.
CLEARED_TTL_S = 60.0
# Events of a stream past the point of its crash that clear the request.
CLEARED_AFTER_EVENTS = 30
# Crashes from which a request is refused although another one was at all of
# them too.
AMBIGUOUS_CRASHES = 5
# Reports of other hosts on a crash arrive within this time. A request that is
# refused earlier may turn out to have run beside the cause.
SETTLE_S = 2.0
MAX_REPORTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class SharedReport:
    """One crash of a target under a request, as hosts exchange it.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Id of the target.
        boot_id: Identifies the process of the target that crashed.
        events: Events of the stream at the crash; 0 for a plain request.
        crashed_ago_s: Seconds since the crash.
        ran_s: Seconds for which the target had the request.
        error_s: Largest error of `crashed_ago_s`.
        cleared: Whether the request has since run without a crash.
    """

    fingerprint: str
    target: str
    boot_id: str
    events: int
    crashed_ago_s: float
    ran_s: float
    error_s: float = 0.0
    cleared: bool = False

    @classmethod
    def parse(cls, row: Any) -> "SharedReport":
        """Returns the report of a row with the fields in order.

        Raises:
            TypeError, ValueError: The row is not a report.
        """
        fingerprint, target, boot_id, events, ago_s, ran_s, error_s, cleared = (
            row
        )
        return cls(
            str(fingerprint),
            str(target),
            str(boot_id),
            int(events),
            max(0.0, float(ago_s)),
            max(0.0, float(ran_s)),
            max(0.0, float(error_s)),
            bool(cleared),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBatch:
    """Reports of a host's log after a position.

    Attributes:
        log_id: Identifies the log; a host that restarts has a new one.
        position: Position of the newest report.
        reports: The reports.
    """

    log_id: str
    position: int
    reports: tuple[SharedReport, ...]


@dataclasses.dataclass(slots=True)
class _LogRow:
    """One report in the log.

    Attributes:
        run: Run of the request, in this host's time.
        expires_at_s: When the report expires.
        position: Position in the log, renewed when the report is cleared.
        is_own: Whether this host saw the crash.
        is_upstream: Whether the host that this one queries has the report.
        cleared: Whether the request has since run without a crash.
    """

    run: reports.CrashedRun
    expires_at_s: float
    position: int
    is_own: bool
    is_upstream: bool
    cleared: bool = False


# Fingerprint, target and boot id.
_Key = tuple[str, str, str]
# Target and boot id.
_Crash = tuple[str, str]


class SharedSuspects:
    """Requests that crash targets, as known to one entry host.

    Attributes:
        log_id: Identifies the log of this process.
    """

    def __init__(self, log_id: str) -> None:
        """Creates an empty log.

        Args:
            log_id: Unique for each process.
        """
        self.log_id = log_id
        self._table = reports.SuspectTable(REFUSAL_CRASHES)
        self._rows_by_key: dict[_Key, _LogRow] = {}
        self._crashes_by_fingerprint: dict[str, set[_Crash]] = {}
        # Requests that count as refused in the table alone.
        self._candidates: list[str] = []
        self._position = 0

    def __len__(self) -> int:
        return len(self._rows_by_key)

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
        run = reports.CrashedRun(now_s - ran_s, now_s, events)
        key = (fingerprint, target, boot_id)
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
        if not self._table.is_suspect(fingerprint, now_s):
            return False
        for key, row in list(self._rows_by_key.items()):
            if key[0] == fingerprint and not row.cleared:
                self._clear(key, row, now_s, is_upstream=False)
        return True

    def merge(
        self,
        received: Iterable[SharedReport],
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
            key = (report.fingerprint, report.target, report.boot_id)
            row = self._rows_by_key.get(key)
            if row is None and self._accepts(report):
                row = self._add(
                    key,
                    _run_of(report, now_s, error_s),
                    now_s,
                    is_own=False,
                    is_upstream=is_upstream,
                )
                changed += not report.cleared
            if row is None:
                continue
            row.is_upstream = row.is_upstream or is_upstream
            if report.cleared and not row.cleared:
                self._clear(key, row, now_s, is_upstream)
                changed += 1
        return changed

    def since(self, log_id: str, position: int, now_s: float) -> ReportBatch:
        """Returns the reports after a position of this log.

        Args:
            log_id: Log that the position is of; all reports are returned if it
                is another one.
            position: Position that the other host has.
            now_s: Current time.
        """
        after = position if log_id == self.log_id else 0
        rows = {
            k: r for k, r in self._rows_by_key.items() if r.position > after
        }
        return self._batch(rows, now_s)

    def missing_upstream(self, now_s: float) -> ReportBatch:
        """Returns the reports that the host that this one queries lacks."""
        rows = {k: r for k, r in self._rows_by_key.items() if not r.is_upstream}
        return self._batch(rows, now_s)

    def mark_upstream(self, batch: ReportBatch) -> None:
        """Records that the queried host has received a batch."""
        for report in batch.reports:
            key = (report.fingerprint, report.target, report.boot_id)
            row = self._rows_by_key.get(key)
            if row is not None and row.cleared == report.cleared:
                row.is_upstream = True

    def forget_upstream(self) -> None:
        """Records that another host, or a restarted one, is queried now."""
        for row in self._rows_by_key.values():
            row.is_upstream = False

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
        crashes = self._crashes_by_fingerprint.get(fingerprint, set())
        if len(crashes) >= AMBIGUOUS_CRASHES:
            return not self._has_cause(fingerprint, crashes, strict=True)
        return not self._has_cause(fingerprint, crashes, strict=False)

    def _has_cause(
        self, fingerprint: str, crashes: set[_Crash], strict: bool
    ) -> bool:
        """Returns whether another request was at all of the crashes.

        Args:
            fingerprint: Fingerprint of the request.
            crashes: Its crashes that are not cleared.
            strict: Whether the other one must also be at further crashes.
        """
        return any(
            crashes < others if strict else crashes <= others
            for other, others in self._crashes_by_fingerprint.items()
            if other != fingerprint
        )

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Returns for how long a request is still refused, 0 if it is not.

        The time is short while reports of other hosts may still be on their
        way.
        """
        if not self.is_refused(fingerprint, now_s):
            return 0.0
        unsettled_s = self._unsettled_s(fingerprint, now_s)
        if unsettled_s > 0:
            return unsettled_s
        expiries = sorted(
            row.expires_at_s
            for key, row in self._rows_by_key.items()
            if key[0] == fingerprint and not row.cleared
        )
        return max(0.0, expiries[-REFUSAL_CRASHES] - now_s)

    def _unsettled_s(self, fingerprint: str, now_s: float) -> float:
        """Returns how long reports of the latest crash may still arrive."""
        latest_s = max(
            row.run.crashed_s
            for key, row in self._rows_by_key.items()
            if key[0] == fingerprint and not row.cleared
        )
        return latest_s + SETTLE_S - now_s

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

    def has_cleared(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether all known crashes of a request were cleared."""
        rows = [
            row
            for key, row in self._rows_by_key.items()
            if key[0] == fingerprint
        ]
        return bool(rows) and not self._table.is_suspect(fingerprint, now_s)

    def is_own(self, fingerprint: str) -> bool:
        """Returns whether this host saw a crash under the request."""
        return any(
            row.is_own
            for key, row in self._rows_by_key.items()
            if key[0] == fingerprint
        )

    def reports_of(
        self, fingerprint: str, now_s: float
    ) -> tuple[SharedReport, ...]:
        """Returns the reports of one request that are not cleared."""
        rows = {
            key: row
            for key, row in self._rows_by_key.items()
            if key[0] == fingerprint and not row.cleared
        }
        return self._batch(rows, now_s).reports

    def expire(self, now_s: float) -> None:
        """Removes reports that have expired."""
        self._table.expire(now_s)
        for key, row in list(self._rows_by_key.items()):
            if row.expires_at_s <= now_s:
                self._remove(key)

    def _accepts(self, report: SharedReport) -> bool:
        """Returns whether an unknown report is neither old nor cleared here."""
        if report.crashed_ago_s >= SHARED_REPORT_TTL_S:
            return False
        return not self._table.is_cleared(
            report.fingerprint, report.target, report.boot_id
        )

    def _add(
        self,
        key: _Key,
        run: reports.CrashedRun,
        now_s: float,
        is_own: bool,
        is_upstream: bool,
    ) -> _LogRow:
        known = self._rows_by_key.get(key)
        if known is not None:
            known.is_own = known.is_own or is_own
            return known
        if len(self._rows_by_key) >= MAX_REPORTS:
            oldest = next(iter(self._rows_by_key))
            self._remove(oldest)
            self._table.remove(*oldest)
        expires_at_s = run.crashed_s + SHARED_REPORT_TTL_S
        self._position += 1
        row = _LogRow(run, expires_at_s, self._position, is_own, is_upstream)
        self._rows_by_key[key] = row
        fingerprint, target, boot_id = key
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, set())
        crashes.add((target, boot_id))
        self._table.apply_remote(*key, now_s, expires_at_s - now_s, run)
        return row

    def _clear(
        self, key: _Key, row: _LogRow, now_s: float, is_upstream: bool
    ) -> None:
        self._position += 1
        row.cleared = True
        row.position = self._position
        row.is_upstream = is_upstream
        row.expires_at_s = min(row.expires_at_s, now_s + CLEARED_TTL_S)
        self._table.clear_report(*key)
        self._forget_crash(key)

    def _remove(self, key: _Key) -> None:
        del self._rows_by_key[key]
        self._forget_crash(key)

    def _forget_crash(self, key: _Key) -> None:
        fingerprint, target, boot_id = key
        crashes = self._crashes_by_fingerprint.get(fingerprint, set())
        crashes.discard((target, boot_id))
        if not crashes:
            self._crashes_by_fingerprint.pop(fingerprint, None)

    def _batch(self, rows: dict[_Key, _LogRow], now_s: float) -> ReportBatch:
        return ReportBatch(
            self.log_id,
            self._position,
            tuple(_report_of(key, row, now_s) for key, row in rows.items()),
        )


def _run_of(
    report: SharedReport, now_s: float, error_s: float
) -> reports.CrashedRun:
    """Returns the run of a received report in this host's time."""
    crashed_s = now_s - report.crashed_ago_s
    return reports.CrashedRun(
        crashed_s - report.ran_s,
        crashed_s,
        report.events,
        report.error_s + error_s,
    )


def _report_of(key: _Key, row: _LogRow, now_s: float) -> SharedReport:
    """Returns a row of the log as it is sent to another host."""
    run = row.run
    return SharedReport(
        *key,
        events=run.tokens,
        crashed_ago_s=now_s - run.crashed_s,
        ran_s=run.crashed_s - run.started_s,
        error_s=run.clock_error_s,
        cleared=row.cleared,
    )
