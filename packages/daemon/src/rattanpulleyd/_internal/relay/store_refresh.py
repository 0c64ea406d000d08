"""Refreshes the configuration and the targets from the store or other hosts."""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import peer_reader

# A changed configuration is read within this fraction of the time in which it
# must be active. Each read confirms the configuration as of its sending, so
# that keys stay valid for the rest of their limit if the store becomes
# unreachable right after.
CONFIG_PERIOD_FRACTION = 0.6
MAX_CONFIG_PERIOD_S = 1.8
PEER_AGE_MARGIN_S = 0.2
CONFIG_TIMEOUT_S = 0.9
# Backoff for an unreachable store: the first retry follows soon, later ones
# less often.
RETRY_S = 0.35
MAX_RETRY_S = 0.9
RETRY_GROWTH = 1.4
WATCH_WAIT_S = 2.5
# Wait while entries are missing, so that missing entries expire on time.
SHORT_WATCH_WAIT_S = 0.5
LIST_TIMEOUT_S = 0.9
JITTER_FRACTION = 0.2
MAX_LOGGED_ROUTES = 10
# Least time between two log lines on unreadable entries.
UNREADABLE_LOG_PERIOD_S = 10.0
# Shortest outage that counts as an interruption. Entries expire after a few
# missed heartbeats; a store that was unreachable for less has lost none.
MIN_OUTAGE_S = 1.0


def _changed_timeouts(
    known: serving.ServingConfig | None, config: serving.ServingConfig
) -> dict[str, tuple[float, float]]:
    """Returns old and new timeouts of up to `MAX_LOGGED_ROUTES` routes."""
    if known is None:
        return {}
    before = known.timeouts_by_route()
    changed = {
        name: (before[name], timeout_s)
        for name, timeout_s in config.timeouts_by_route().items()
        if before.get(name, timeout_s) != timeout_s
    }
    return dict(list(changed.items())[:MAX_LOGGED_ROUTES])


class RetryBackoff:
    """Exponential backoff between calls to an unreachable store."""

    def __init__(self) -> None:
        self._pause_s = RETRY_S

    def next_delay_s(self) -> float:
        """Returns the next delay; it grows up to `MAX_RETRY_S`."""
        pause_s = self._pause_s
        self._pause_s = min(pause_s * RETRY_GROWTH, MAX_RETRY_S)
        return pause_s

    def reset(self) -> None:
        """Resets the delay after a successful call."""
        self._pause_s = RETRY_S


class ConfigRefresh:
    """Confirms or reads the configuration periodically."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        source: serving.ServingSource,
        peers: peer_reader.PeerReader,
        activation_s: float,
    ) -> None:
        """Creates a refresh without reading the store.

        Args:
            context: State of the process.
            source: Store that holds the configuration.
            peers: Reads the state of hosts that may have read it recently.
            activation_s: Time in which a change must be active.
        """
        self._context = context
        self._source = source
        self._peers = peers
        self._period_s = min(
            activation_s * CONFIG_PERIOD_FRACTION, MAX_CONFIG_PERIOD_S
        )
        self._failing = False
        self._backoff = RetryBackoff()

    def run_forever(self) -> None:
        """Refreshes the cached configuration; runs in its own greenlet."""
        while True:
            started_s = clock.now_s()
            periods = self._peers.periods()
            if self._confirm_with_peer(periods):
                # The age of the other host's state adds to the period.
                period_s = self._period_s * periods.query
            elif self._refresh():
                self._backoff.reset()
                period_s = self._store_read_period_s(periods)
            else:
                self._confirm_with_any_host()
                period_s = self._backoff.next_delay_s()
            factor = self._context.rng.uniform(1 - JITTER_FRACTION, 1.0)
            left_s = started_s + period_s * factor - clock.now_s()
            gevent.sleep(max(0.01, left_s))

    def _store_read_period_s(self, periods: serving.SharingPeriods) -> float:
        """Returns the period of a host that reads the store.

        Other hosts may rely on its reads, so it reads more often.
        """
        if self._context.fleet.has_peers:
            return self._period_s * periods.store
        return self._period_s

    def _confirm_with_peer(self, periods: serving.SharingPeriods) -> bool:
        """Returns whether another host has confirmed the configuration."""
        confirmed_at_s = self._peers.config_confirmed_at_s(
            self._period_s * periods.max_age + PEER_AGE_MARGIN_S
        )
        if confirmed_at_s is None:
            return False
        self._context.cached_config.confirm_unchanged(confirmed_at_s)
        return True

    def _confirm_with_any_host(self) -> None:
        """Queries any host when the store does not serve this one."""
        cached_config = self._context.cached_config
        age_s = cached_config.age_s(clock.suspend_aware_now_s())
        confirmed_at_s = self._peers.config_confirmed_at_s(age_s, any_host=True)
        if confirmed_at_s is not None:
            cached_config.confirm_unchanged(confirmed_at_s)

    def _refresh(self) -> bool:
        """Reads the store; returns whether that confirmed the configuration."""
        context = self._context
        sent_at_s = clock.suspend_aware_now_s()
        try:
            config = self._source.read_config(CONFIG_TIMEOUT_S)
        except serving.SourceError as error:
            self._record_failure(error, sent_at_s)
            return False
        context.metrics.store_calls.labels("config", "ok").inc()
        if self._failing:
            self._failing = False
            context.log.change("store.config_regained")
        if config is None:
            return False
        known = context.cached_config.config
        if config is known:
            context.cached_config.confirm_unchanged(sent_at_s)
            return True
        acceptance = context.cached_config.accept(config, sent_at_s)
        context.log.change(
            "config.read",
            outcome=acceptance.value,
            version=config.version,
            in_force=known.version if known else None,
            routes=sum(map(len, config.routes_by_host.values())),
            keys=len(config.account_by_key),
            timeouts_s=_changed_timeouts(known, config),
        )
        return acceptance in (
            serving.Acceptance.ACCEPTED,
            serving.Acceptance.CONFIRMED,
        )

    def _record_failure(self, error: serving.SourceError, now_s: float) -> None:
        self._context.metrics.store_calls.labels("config", "failed").inc()
        if not self._failing:
            self._failing = True
            self._context.log.failure(
                "store.config_lost",
                reason=str(error),
                config_age_s=round(self._context.cached_config.age_s(now_s), 3),
            )


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
        self._unreadable_logged_at_s = float("-inf")
        self._backoff = RetryBackoff()

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
            except serving.SourceError as error:
                self._position = None
                self._record_failure(error, started_s)
                factor = self._context.rng.uniform(1 - JITTER_FRACTION, 1.0)
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
        targets = self._context.targets
        now_s = clock.now_s
        sent_at_s = clock.suspend_aware_now_s()
        self._read_from = "store"
        if self._position is None:
            listing = self._source.list_targets(LIST_TIMEOUT_S)
            interrupted = (
                self._outage_since_s is not None
                and now_s() - self._outage_since_s >= MIN_OUTAGE_S
            )
            self._context.metrics.store_calls.labels("targets", "ok").inc()
            changes = targets.replace_all(listing.entries, now_s(), interrupted)
            self._position = listing.position
            self._context.shared_targets.log.restart(listing.position)
            self._context.shared_targets.confirmed_at_s = sent_at_s
            self._record_unreadable(listing.unreadable)
            return changes
        reported = self._peers.fetch_target_changes(
            self._position, self._freshness.max_age_s
        )
        if reported is not None:
            report, confirmed_at_s = reported
            if report.changes is not None:
                self._read_from = "host"
                return self._apply(report.changes, confirmed_at_s)
            # A host that has watched the store itself is a little ahead of
            # the others until their next watch returns.
            if self._age_s() <= self._freshness.max_age_s:
                return []
        wait_s = WATCH_WAIT_S
        if self._context.fleet.has_peers:
            wait_s = self._freshness.shared_watch_s
        if targets.has_missing_entries():
            wait_s = SHORT_WATCH_WAIT_S
        sent_at_s = clock.suspend_aware_now_s()
        update = self._source.watch_targets(self._position, wait_s)
        self._context.metrics.store_calls.labels("targets", "ok").inc()
        self._record_unreadable(update.unreadable)
        return self._apply(update, sent_at_s)

    def _record_unreadable(self, entries: int) -> None:
        """Counts unreadable entries; logs them if none were for a while."""
        if not entries:
            return
        self._context.metrics.unreadable_entries.inc(entries)
        now_s = clock.now_s()
        if now_s - self._unreadable_logged_at_s >= UNREADABLE_LOG_PERIOD_S:
            self._unreadable_logged_at_s = now_s
            self._context.log.failure("targets.unreadable", entries=entries)

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
