"""Shares what crashes targets with other hosts and with the store.

Reports reach the other hosts with the answers to their queries of target
changes. This module passes reports on to the host that this one queries, and
keeps what is refused in the store for hosts that start later or that reach no
other host.
"""

import gevent

from rattanpulley_core import serving
from rattanpulley_core import suspects
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import peer_reader
from rattanpulleyd._internal.relay import request_crashes

STEP_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.9
RETRY_S = 0.5
# A host that queries no other one depends on the store for what hosts beyond
# its reach have found.
READ_PERIOD_S = 1.0


class SuspectSharing:
    """Passes crash reports of one kind on and records what is refused."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        store: serving.SuspectStore,
        peers: peer_reader.PeerReader,
        kind: suspects.SuspectKind = suspects.SuspectKind.REQUEST,
    ) -> None:
        """Creates the sharing without any call.

        Args:
            context: State of the process.
            store: Keeps what is refused.
            peers: The hosts that this one queries.
            kind: What the reports are about.
        """
        self._context = context
        self._known = context_lib.known_crashes(context, kind)
        self._store = store
        self._peers = peers
        self._unrecorded: list[str] = []
        self._next_read_s = float("-inf")
        self._next_write_s = float("-inf")
        self._was_read = False

    def run_forever(self) -> None:
        """Runs `step` periodically; runs in its own greenlet."""
        while True:
            self.step()
            gevent.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Makes the calls that are due."""
        now_s = clock.suspend_aware_now_s()
        if self._known.kind is suspects.SuspectKind.PART:
            request_crashes.record_reported_losses(self._context)
        if len(self._known):
            self._known.expire(now_s)
            self._send_reports(now_s)
            self._note_refused(now_s)
        if self._unrecorded and now_s >= self._next_write_s:
            self._record(self._unrecorded[0], now_s)
        if now_s >= self._next_read_s and self._must_read():
            self._read(now_s)

    def _send_reports(self, now_s: float) -> None:
        """Sends the reports that the queried host lacks."""
        log = self._known.log
        batch = log.missing_upstream(now_s)
        if batch.reports and self._peers.send_crashes(batch):
            log.mark_upstream(batch)

    def _note_refused(self, now_s: float) -> None:
        """Logs what is newly refused; hosts that saw a crash record it."""
        known = self._known
        for fingerprint in known.pop_newly_refused(now_s):
            self._context.metrics.suspects.labels("newly_refused").inc()
            self._context.log.change(
                "suspect.refused",
                kind=known.kind.value,
                fingerprint=fingerprint,
                refused_for_s=round(known.refused_for_s(fingerprint, now_s), 1),
                targets=[
                    row.target
                    for row in known.log.active_reports(fingerprint, now_s)
                ],
            )
            if known.is_own(fingerprint):
                self._unrecorded.append(fingerprint)

    def _record(self, fingerprint: str, now_s: float) -> None:
        """Records what is refused, unless it was cleared meanwhile."""
        known = self._known
        try:
            if known.refused_for_s(fingerprint, now_s):
                found = known.log.active_reports(fingerprint, now_s)
                self._store.record_suspect(fingerprint, found, CALL_TIMEOUT_S)
                self._count_call("ok")
        except serving.SourceError as error:
            self._next_write_s = now_s + RETRY_S
            self._fail(error)
        else:
            self._unrecorded.remove(fingerprint)

    def _must_read(self) -> bool:
        return not self._was_read or not self._peers.queries_peers

    def _read(self, now_s: float) -> None:
        """Reads what is recorded as refused."""
        known = self._known
        self._next_read_s = now_s + READ_PERIOD_S
        try:
            found_by_fingerprint = self._store.read_suspects(
                CALL_TIMEOUT_S, may_be_old=self._was_read
            )
            self._count_call("ok")
            self._was_read = True
            for fingerprint, found in found_by_fingerprint.items():
                if self._is_obsolete(fingerprint, found, now_s):
                    self._store.remove_suspect(fingerprint, CALL_TIMEOUT_S)
                    self._count_call("ok")
                else:
                    known.merge(found, now_s, 0.0, is_upstream=False)
        except serving.SourceError as error:
            self._fail(error)

    def _is_obsolete(
        self,
        fingerprint: str,
        found: tuple[suspects.SharedReport, ...],
        now_s: float,
    ) -> bool:
        """Returns whether a record has expired or was cleared."""
        ages_s = [row.crashed_ago_s for row in found]
        if min(ages_s, default=float("inf")) >= suspects.SHARED_REPORT_TTL_S:
            return True
        return self._known.has_cleared(fingerprint)

    def _count_call(self, result: str) -> None:
        self._context.metrics.store_calls.labels("suspects", result).inc()

    def _fail(self, error: serving.SourceError) -> None:
        self._count_call("failed")
        self._context.log.failure("suspect.call_failed", reason=str(error))
