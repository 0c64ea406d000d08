"""Decides which requests entry hosts refuse because they crash targets.

The crashes that all hosts see count together; the log is what they exchange.
"""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet

from rattanpulley_core._internal.suspects import crash_log
from rattanpulley_core._internal.suspects import known_crashes
from rattanpulley_core._internal.suspects import reports
from rattanpulley_core._internal.suspects import shared_reports

# Crashes in succession from which a request is refused. A request that runs
# beside the cause may follow it to a second target.
REFUSAL_CRASHES = 3
# Crashes from which a request is refused although another one was at all of
# them too.
AMBIGUOUS_CRASHES = 5
# Events of a stream past the point of its crash that clear the request.
CLEARED_AFTER_EVENTS = 30


class SharedSuspects(known_crashes.KnownCrashes):
    """Requests that crash targets, as known to one entry host."""

    kind = shared_reports.SuspectKind.REQUEST

    def __init__(self, log_id: str) -> None:
        """Creates an instance without reports.

        Args:
            log_id: Unique for each process.
        """
        super().__init__(log_id)
        self._table = reports.SuspectTable(REFUSAL_CRASHES)
        # Requests with enough crashes that are not yet refused for long.
        self._candidates: list[str] = []

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
        self._record_own((fingerprint, target, boot_id), run, now_s)

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
        if now_s < latest_s + known_crashes.SETTLE_S:
            return latest_s + known_crashes.SETTLE_S - now_s
        expiries = sorted(row.expires_at_s for row in rows)
        return max(0.0, expiries[-REFUSAL_CRASHES] - now_s)

    def pop_newly_refused(self, now_s: float) -> list[str]:
        """Returns the requests that are refused for long from now on."""
        self._candidates += self._table.pop_newly_refused()
        due = [
            fingerprint
            for fingerprint in self._candidates
            if self.refused_for_s(fingerprint, now_s) > known_crashes.SETTLE_S
        ]
        self._candidates = [
            fingerprint
            for fingerprint in self._candidates
            if fingerprint not in due
            and self._table.is_refused(fingerprint, now_s)
        ]
        return due

    def expire(self, now_s: float) -> None:
        """Removes reports that have expired."""
        self._table.expire(now_s)
        super().expire(now_s)

    def _accepts(self, report: shared_reports.SharedReport) -> bool:
        """Returns whether an unknown report is neither old nor cleared here."""
        return super()._accepts(report) and not self._table.is_cleared(
            *report.key
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
        row = super()._add(key, run, now_s, is_own, is_upstream, companions)
        self._table.apply_remote(*key, now_s, row.expires_at_s - now_s, run)
        return row

    def _remove(self, key: crash_log.ReportKey) -> None:
        super()._remove(key)
        self._table.remove(*key)

    def _clear(
        self, key: crash_log.ReportKey, now_s: float, is_upstream: bool
    ) -> None:
        super()._clear(key, now_s, is_upstream)
        self._table.clear_report(*key)
