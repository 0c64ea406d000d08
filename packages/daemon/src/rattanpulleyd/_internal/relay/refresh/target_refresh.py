"""Refreshes the targets from the store or other hosts."""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import peer_reader
from rattanpulleyd._internal.relay.refresh import read_timeout
from rattanpulleyd._internal.relay.refresh import store_backoff
from rattanpulleyd._internal.relay.refresh import unreadable_entries

WATCH_WAIT_S = 2.5
# Wait while entries are missing, so that missing entries expire on time.
SHORT_WATCH_WAIT_S = 0.5
LIST_TIMEOUT_S = 0.9
# Shortest outage that counts as an interruption. Entries expire after a few
# missed heartbeats; a store that was unreachable for less has lost none.
MIN_OUTAGE_S = 1.0


class TargetRefresh:
    """Lists the targets and then watches their changes."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        source: serving.ServingSource,
        peers: peer_reader.PeerReader,
        leave_s: float,
    ) -> None:
        """Creates a refresh without reading the store.

        Args:
            context: State of the process.
            source: Store that holds the targets.
            peers: Reads the state of hosts that may have read them recently.
            leave_s: Time in which a leaving target must be left.
        """
        self._context = context
        self._source = source
        self._peers = peers
        self._freshness = serving.TargetFreshness(leave_s)
        self._position: int | None = None
        self._read_from = "store"
        self._outage_since_s: float | None = None
        self._failing = False
        self._repeats_watch = False
        self._list_timeout = read_timeout.ReadTimeout(LIST_TIMEOUT_S)
        self._unreadable = unreadable_entries.UnreadableEntries(context)
        self._backoff = store_backoff.RetryBackoff()

    def set_leaving(self, leave_s: float) -> None:
        """Sets the time in seconds in which a leaving target must be left."""
        self._freshness = serving.TargetFreshness(leave_s)

    def run_forever(self) -> None:
        """Refreshes the target registry; runs in its own greenlet."""
        while True:
            started_s = clock.now_s()
            try:
                changes = self._read()
            except serving.HistoryGoneError as error:
                self._position = None
                self._context.log.change(
                    "store.history_gone", reason=str(error)
                )
                continue
            except serving.ChangesUnreadableError as error:
                self._position = None
                self._context.metrics.store_calls.labels(
                    "targets", "unreadable"
                ).inc()
                self._context.log.change(
                    "store.changes_unreadable", reason=str(error)
                )
                continue
            except serving.SourceError as error:
                if self._repeats_cut_watch(error):
                    continue
                self._position = None
                self._record_failure(error, started_s)
                factor = self._context.rng.uniform(
                    1 - store_backoff.JITTER_FRACTION, 1.0
                )
                gevent.sleep(self._backoff.next_delay_s() * factor)
                continue
            except Exception:
                # A watch from the same position would fail again.
                self._position = None
                raise
            self._backoff.reset()
            self._record_success(changes)
            gevent.sleep(
                self._freshness.next_read_in_s(
                    self._pause_s(), clock.now_s() - started_s, self._age_s()
                )
            )

    def _repeats_cut_watch(self, error: serving.SourceError) -> bool:
        """Returns whether to watch again at once from the same position.

        The store was reachable until the connection of a watch ended. A second
        end in succession shows that it is in trouble.
        """
        is_cut = isinstance(error, serving.SourceConnectionLostError)
        if not is_cut or self._position is None or self._repeats_watch:
            self._repeats_watch = False
            return False
        self._repeats_watch = True
        self._context.metrics.store_calls.labels("targets", "failed").inc()
        self._context.log.change("store.watch_cut", reason=str(error))
        return True

    def _pause_s(self) -> float:
        """Returns the time between the starts of two reads."""
        freshness = self._freshness
        pause_s = freshness.pause_s
        if self._peers.periods() is serving.DOMAIN_LEADER_PERIODS:
            pause_s = min(pause_s, freshness.leader_pause_s)
        if self._context.fleet.has_peers and not self._peers.queries_peers:
            pause_s = min(pause_s, freshness.shared_watch_s)
        return pause_s

    def _age_s(self) -> float:
        """Returns the age of this host's targets."""
        confirmed_at_s = self._context.shared_targets.confirmed_at_s
        return clock.suspend_aware_now_s() - confirmed_at_s

    def _read(self) -> list[serving.RegistryChange]:
        """Lists the targets, or reads what has changed since the last read."""
        self._read_from = "store"
        if self._position is None:
            return self._list()
        changes = self._read_from_host(self._position)
        if changes is None:
            changes = self._watch(self._position)
        return changes

    def _list(self) -> list[serving.RegistryChange]:
        """Replaces all targets by those that the store lists."""
        context = self._context
        sent_at_s = clock.suspend_aware_now_s()
        listing = self._read_list()
        interrupted = (
            self._outage_since_s is not None
            and clock.now_s() - self._outage_since_s >= MIN_OUTAGE_S
        )
        context.metrics.store_calls.labels("targets", "ok").inc()
        changes = context.targets.replace_all(
            listing.entries, clock.now_s(), interrupted
        )
        self._position = listing.position
        context.shared_targets.log.restart(listing.position)
        context.shared_targets.confirmed_at_s = sent_at_s
        self._unreadable.record_listed(listing.unreadable)
        return changes

    def _read_list(self) -> serving.TargetListing:
        """Returns the list; slow answers get more time at the next read."""
        started_s = clock.now_s()
        try:
            listing = self._source.list_targets(self._list_timeout.current_s)
        except serving.SourceError as error:
            took_s = clock.now_s() - started_s
            self._list_timeout.record_failure(error, took_s)
            raise
        self._list_timeout.record_success(clock.now_s() - started_s)
        return listing

    def _read_from_host(
        self, position: int
    ) -> list[serving.RegistryChange] | None:
        """Reads changes from another host; None if the store must be read."""
        max_age_s = self._freshness.max_age_s
        reported = self._peers.fetch_target_changes(position, max_age_s)
        if reported is None:
            return None
        report, confirmed_at_s = reported
        if report.changes is not None:
            self._read_from = "host"
            return self._apply(report.changes, confirmed_at_s)
        # A host that has watched the store itself is a little ahead of the
        # others until their next watch returns.
        return [] if self._age_s() <= max_age_s else None

    def _watch(self, position: int) -> list[serving.RegistryChange]:
        """Waits for changes in the store."""
        wait_s = WATCH_WAIT_S
        if self._context.fleet.has_peers:
            wait_s = self._freshness.shared_watch_s
        # The state is as old as the watch that was cut off.
        if self._repeats_watch or self._context.targets.has_missing_entries():
            wait_s = SHORT_WATCH_WAIT_S
        sent_at_s = clock.suspend_aware_now_s()
        update = self._source.watch_targets(position, wait_s)
        self._context.metrics.store_calls.labels("targets", "ok").inc()
        self._unreadable.record_changed(update.unreadable)
        return self._apply(update, sent_at_s)

    def _apply(
        self, update: serving.TargetChanges, confirmed_at_s: float
    ) -> list[serving.RegistryChange]:
        """Applies changes and logs them for other hosts."""
        targets = self._context.targets
        changes = []
        for target_id in update.removed_ids:
            changes += targets.remove(target_id)
        for entry in update.changed:
            changes += targets.upsert(entry)
        self._position = update.position
        self._context.shared_targets.log.append(update)
        # Another host may have read the store earlier than this one.
        shared = self._context.shared_targets
        shared.confirmed_at_s = max(shared.confirmed_at_s, confirmed_at_s)
        return changes

    def _record_success(self, changes: list[serving.RegistryChange]) -> None:
        context = self._context
        now_s = clock.now_s()
        changes = changes + context.targets.expire(now_s)
        self._outage_since_s = None
        self._repeats_watch = False
        if self._failing:
            self._failing = False
            context.log.change("store.targets_regained")
        for change in changes:
            if change.kind == "removed":
                context.loads.forget(change.target_id)
                context.prober.forget(change.target_id)
            entry = context.targets.entry(change.target_id)
            context.log.change(
                f"target.{change.kind}",
                target=change.target_id,
                version=entry.version if entry else None,
                position=self._position,
                read_from=self._read_from,
                age_s=round(self._age_s(), 3),
            )

    def _record_failure(
        self, error: serving.SourceError, call_started_s: float
    ) -> None:
        """Records a failed call and since when the store is unreachable.

        A waiting watch whose connection is lost shows that the store was
        reachable until then; a timeout does not.
        """
        self._context.metrics.store_calls.labels("targets", "failed").inc()
        if self._outage_since_s is None:
            timed_out = isinstance(error, serving.SourceTimeoutError)
            self._outage_since_s = (
                call_started_s if timed_out else clock.now_s()
            )
        if not self._failing:
            self._failing = True
            self._context.log.failure("store.targets_lost", reason=str(error))
