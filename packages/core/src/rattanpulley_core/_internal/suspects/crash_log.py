"""Log of the crash reports that one entry host knows.

Another host asks for the reports after the position that it has. The log also
notes which of them the host that this one queries, called upstream, has.
"""

from collections.abc import Callable, Iterator
import dataclasses
import itertools

from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared_reports

# Size of a batch, so that it fits an answer between hosts; the rest follows
# with the next ones. Names are some tens of bytes long.
MAX_BATCH_NAMES = 16_384
# What a report takes besides its companions, in names.
REPORT_NAMES = 6

# Target and boot id.
Crash = tuple[str, str]
# Fingerprint of the request, target and boot id.
ReportKey = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class LogRow:
    """One report in the log.

    Attributes:
        run: Run of the request, in this host's time.
        expires_at_s: When the report expires.
        is_own: Whether this host saw the crash.
        is_upstream: Whether the upstream host has the report.
        companions: Fingerprints of all subjects of the run that crashed.
        cleared: Whether the request has since run without a crash.
        position: Position in the log, renewed when the report changes.
        refuted: Measures of the point of the crash that an answer has passed,
            as bits.
    """

    run: reports.CrashedRun
    expires_at_s: float
    is_own: bool
    is_upstream: bool
    companions: tuple[str, ...] = ()
    cleared: bool = False
    position: int = 0
    refuted: int = 0


class CrashLog:
    """Reports by request and crash.

    Attributes:
        log_id: Identifies the log; a host that restarts has a new one.
        kind: What the reports are about.
    """

    def __init__(self, log_id: str, kind: shared_reports.SuspectKind) -> None:
        """Creates an empty log.

        Args:
            log_id: Unique for each process.
            kind: What the reports are about.
        """
        self.log_id = log_id
        self.kind = kind
        self._rows_by_key: dict[ReportKey, LogRow] = {}
        self._active_by_fingerprint: dict[str, dict[Crash, LogRow]] = {}
        self._position = 0

    def __len__(self) -> int:
        return len(self._rows_by_key)

    @property
    def position(self) -> int:
        """Position of the newest report."""
        return self._position

    def find(self, key: ReportKey) -> LogRow | None:
        """Returns a report, or None."""
        return self._rows_by_key.get(key)

    def keys(self) -> Iterator[ReportKey]:
        """Iterates over the keys of all reports, the oldest first."""
        return iter(self._rows_by_key)

    def oldest(self) -> ReportKey:
        """Returns the key of the report that was added first."""
        return next(iter(self._rows_by_key))

    def active(self, fingerprint: str) -> dict[Crash, LogRow]:
        """Returns the reports of a request that are not cleared, by crash."""
        return self._active_by_fingerprint.get(fingerprint, {})

    def active_by_fingerprint(
        self,
    ) -> Iterator[tuple[str, dict[Crash, LogRow]]]:
        """Iterates over all requests with reports that are not cleared."""
        return iter(self._active_by_fingerprint.items())

    def knows(self, fingerprint: str) -> bool:
        """Returns whether there is a report of a request, cleared or not."""
        return any(key[0] == fingerprint for key in self._rows_by_key)

    def add(self, key: ReportKey, row: LogRow) -> None:
        """Adds a report that is not in the log."""
        self._rows_by_key[key] = row
        self._move_to_end(row)
        self._activate(key, row)

    def advance(
        self, key: ReportKey, run: reports.CrashedRun, refuted: int
    ) -> None:
        """Replaces the run of a report by one that has come further.

        A report that was cleared counts again: what cleared it had not passed
        the point of the new run.

        Args:
            key: Key of the report.
            run: The run.
            refuted: Measures by which an answer has passed it, as bits.
        """
        row = self._rows_by_key[key]
        row.run = run
        row.refuted = refuted
        row.cleared = False
        self._change(row)
        self._activate(key, row)

    def refute(self, key: ReportKey, refuted: int) -> None:
        """Sets the measures by which an answer has passed a crash."""
        row = self._rows_by_key[key]
        row.refuted = refuted
        self._change(row)

    def _change(self, row: LogRow) -> None:
        row.is_upstream = False
        self._move_to_end(row)

    def clear(
        self, key: ReportKey, expires_at_s: float, is_upstream: bool
    ) -> None:
        """Marks a report as cleared.

        Args:
            key: Key of the report.
            expires_at_s: Latest time at which the report expires from now on.
            is_upstream: Whether the upstream host knows that it is cleared.
        """
        row = self._rows_by_key[key]
        row.cleared = True
        row.is_upstream = is_upstream
        row.expires_at_s = min(row.expires_at_s, expires_at_s)
        self._move_to_end(row)
        self._deactivate(key)

    def remove(self, key: ReportKey) -> None:
        """Removes a report."""
        del self._rows_by_key[key]
        self._deactivate(key)

    def expire(self, now_s: float) -> None:
        """Removes the reports that have expired."""
        for key, row in list(self._rows_by_key.items()):
            if row.expires_at_s <= now_s:
                self.remove(key)

    def since(
        self, log_id: str, position: int, now_s: float
    ) -> shared_reports.ReportBatch:
        """Returns the reports after a position.

        Args:
            log_id: Log that the position is of; all reports are returned if it
                is another one.
            position: Position that the other host has.
            now_s: Current time.
        """
        after = position if log_id == self.log_id else 0
        return self._batch(lambda row: row.position > after, now_s)

    def missing_upstream(self, now_s: float) -> shared_reports.ReportBatch:
        """Returns the reports that the upstream host lacks."""
        return self._batch(lambda row: not row.is_upstream, now_s)

    def mark_upstream(self, batch: shared_reports.ReportBatch) -> None:
        """Records that the upstream host has received a batch."""
        for report in batch.reports:
            row = self._rows_by_key.get(report.key)
            if row is not None and _report_state(row) == (
                report.cleared,
                report.refuted,
            ):
                row.is_upstream = True

    def forget_upstream(self) -> None:
        """Records that another host, or a restarted one, is upstream now."""
        for row in self._rows_by_key.values():
            row.is_upstream = False

    def active_reports(
        self, fingerprint: str, now_s: float
    ) -> tuple[shared_reports.SharedReport, ...]:
        """Returns the reports of a request that are not cleared."""
        return tuple(
            _report_of((fingerprint, *crash), row, now_s)
            for crash, row in self.active(fingerprint).items()
        )

    def _batch(
        self, includes: Callable[[LogRow], bool], now_s: float
    ) -> shared_reports.ReportBatch:
        found = sorted(
            (item for item in self._rows_by_key.items() if includes(item[1])),
            key=lambda item: item[1].position,
        )
        sizes = itertools.accumulate(
            len(row.companions) + REPORT_NAMES for _, row in found
        )
        count = sum(size <= MAX_BATCH_NAMES for size in sizes)
        is_whole = count == len(found)
        return shared_reports.ReportBatch(
            self.log_id,
            self._position if is_whole else found[count - 1][1].position,
            tuple(_report_of(key, row, now_s) for key, row in found[:count]),
            self.kind,
        )

    def _move_to_end(self, row: LogRow) -> None:
        self._position += 1
        row.position = self._position

    def _activate(self, key: ReportKey, row: LogRow) -> None:
        fingerprint, target, boot_id = key
        active = self._active_by_fingerprint.setdefault(fingerprint, {})
        active[target, boot_id] = row

    def _deactivate(self, key: ReportKey) -> None:
        fingerprint, target, boot_id = key
        active = self._active_by_fingerprint.get(fingerprint, {})
        active.pop((target, boot_id), None)
        if not active:
            self._active_by_fingerprint.pop(fingerprint, None)


def _report_of(
    key: ReportKey, row: LogRow, now_s: float
) -> shared_reports.SharedReport:
    """Returns a row of the log as it is sent to another host."""
    run = row.run
    return shared_reports.SharedReport(
        *key,
        events=run.tokens,
        crashed_ago_s=now_s - run.crashed_s,
        ran_s=run.crashed_s - run.started_s,
        error_s=run.clock_error_s,
        cleared=row.cleared,
        companions=row.companions,
        position=run.position,
        refuted=row.refuted,
        writing_s=run.writing_s,
    )


def _report_state(row: LogRow) -> tuple[bool, int]:
    return row.cleared, row.refuted
