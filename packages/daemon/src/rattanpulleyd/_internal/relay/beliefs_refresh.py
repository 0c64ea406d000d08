"""Keeps the configuration and the targets of the process up to date."""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import belief_peers
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib

# A changed configuration is read within this share of the time in which it must
# be in force. Each read confirms the configuration as of its sending, so that
# keys hold for the rest of their bound when the store is cut off right after.
CONFIG_PERIOD_SHARE = 0.6
LONGEST_CONFIG_PERIOD_S = 1.8
# Part of the period after which a host asks another one, which has read the
# store within the same time.
PEER_PERIOD_PART = 0.6
PEER_AGE_MARGIN_S = 0.2
CONFIG_TIMEOUT_S = 0.9
# A store that is away is asked again soon, and then less often.
RETRY_S = 0.35
LONGEST_RETRY_S = 0.9
RETRY_GROWTH = 1.4
WATCH_WAIT_S = 2.5
# A watch confirms what was known when it was sent, so that other hosts are told
# an age of up to two waits.
SHARED_WATCH_WAIT_S = 1.2
# Every change of any target ends a watch. The next one begins after this share
# of the time in which a leaving target must be left, and gets several changes
# at once.
WATCH_PAUSE_SHARE = 0.35
LONGEST_WATCH_PAUSE_S = 1.0
# While entries are missing, the roster is looked at more often.
SHORT_WATCH_WAIT_S = 0.5
LIST_TIMEOUT_S = 0.9
JITTER_SHARE = 0.2
MAX_LOGGED_ROUTES = 10
# Entries expire after a few missed heartbeats; a store that was out of reach
# for less has lost none.
INTERRUPTION_S = 1.0


def _changed_timeouts(
    known: serving.ServingConfig | None, config: serving.ServingConfig
) -> dict[str, tuple[float, float]]:
    """Returns the earlier and the new timeout of routes where they differ."""
    if known is None:
        return {}
    before = known.timeouts_by_route()
    changed = {
        name: (before[name], timeout_s)
        for name, timeout_s in config.timeouts_by_route().items()
        if before.get(name, timeout_s) != timeout_s
    }
    return dict(list(changed.items())[:MAX_LOGGED_ROUTES])


class Retry:
    """Pauses between calls to a store that is away."""

    def __init__(self) -> None:
        self._pause_s = RETRY_S

    def next_pause_s(self) -> float:
        """Returns the next pause; each is longer than the one before."""
        pause_s = self._pause_s
        self._pause_s = min(pause_s * RETRY_GROWTH, LONGEST_RETRY_S)
        return pause_s

    def reset(self) -> None:
        """Notes that a call has succeeded."""
        self._pause_s = RETRY_S


class ConfigRefresh:
    """Reads the configuration again and again."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        source: serving.ServingSource,
        peers: belief_peers.BeliefPeers,
        in_force_s: float,
    ) -> None:
        """Creates a refresh that has read nothing.

        Args:
            context: State of the process.
            source: Where the configuration is read.
            peers: Hosts that may have read it a moment ago.
            in_force_s: Time in which a change must be in force.
        """
        self._context = context
        self._source = source
        self._peers = peers
        self._period_s = min(
            in_force_s * CONFIG_PERIOD_SHARE, LONGEST_CONFIG_PERIOD_S
        )
        self._failing = False
        self._retry = Retry()

    def run_forever(self) -> None:
        """Refreshes the belief; runs as a greenlet of its own."""
        while True:
            began_s = clock.now_s()
            if self._confirm_by_peer():
                # The age of the other host's belief adds to the period.
                period_s = self._period_s * PEER_PERIOD_PART
            elif self._refresh():
                self._retry.reset()
                period_s = self._leading_period_s()
            else:
                period_s = self._retry.next_pause_s()
            share = self._context.rng.uniform(1 - JITTER_SHARE, 1.0)
            left_s = began_s + period_s * share - clock.now_s()
            gevent.sleep(max(0.01, left_s))

    def _leading_period_s(self) -> float:
        """Returns the period of a host that reads the store.

        Others may rest on its reads, so that it reads more often.
        """
        if self._context.fleet.has_peers:
            return self._period_s * PEER_PERIOD_PART
        return self._period_s

    def _confirm_by_peer(self) -> bool:
        """Returns whether another host has confirmed the configuration."""
        confirmed_at_s = self._peers.config_confirmed_at_s(
            self._period_s * PEER_PERIOD_PART + PEER_AGE_MARGIN_S
        )
        if confirmed_at_s is None:
            return False
        self._context.belief.confirm_unchanged(confirmed_at_s)
        return True

    def _refresh(self) -> bool:
        """Reads once and returns whether the read confirmed the belief."""
        context = self._context
        sent_at_s = clock.suspend_aware_now_s()
        try:
            config = self._source.read_config(CONFIG_TIMEOUT_S)
        except serving.SourceError as error:
            self._note_failure(error, sent_at_s)
            return False
        context.metrics.store_calls.labels("config", "ok").inc()
        if self._failing:
            self._failing = False
            context.log.change("store.config_regained")
        if config is None:
            return False
        known = context.belief.config
        if config is known:
            context.belief.confirm_unchanged(sent_at_s)
            return True
        acceptance = context.belief.accept(config, sent_at_s)
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

    def _note_failure(self, error: serving.SourceError, now_s: float) -> None:
        self._context.metrics.store_calls.labels("config", "failed").inc()
        if not self._failing:
            self._failing = True
            self._context.log.failure(
                "store.config_lost",
                reason=str(error),
                config_age_s=round(self._context.belief.age_s(now_s), 3),
            )


class TargetRefresh:
    """Lists the targets and then watches their changes."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        source: serving.ServingSource,
        peers: belief_peers.BeliefPeers,
        leave_s: float,
    ) -> None:
        """Creates a refresh that has listed nothing.

        Args:
            context: State of the process.
            source: Where the targets are read.
            peers: Hosts that may have read them a moment ago.
            leave_s: Time in which a leaving target must be left.
        """
        self._context = context
        self._source = source
        self._peers = peers
        self._pause_s = min(leave_s * WATCH_PAUSE_SHARE, LONGEST_WATCH_PAUSE_S)
        self._position: int | None = None
        self._away_since_s: float | None = None
        self._failing = False
        self._retry = Retry()

    def run_forever(self) -> None:
        """Refreshes the roster; runs as a greenlet of its own."""
        while True:
            began_s = clock.now_s()
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
                self._note_failure(error, began_s)
                share = self._context.rng.uniform(1 - JITTER_SHARE, 1.0)
                gevent.sleep(self._retry.next_pause_s() * share)
                continue
            self._retry.reset()
            self._note_success(changes)
            gevent.sleep(max(0.0, began_s + self._pause_s - clock.now_s()))

    def _read(self) -> list[serving.RegistryChange]:
        targets = self._context.targets
        now_s = clock.now_s
        sent_at_s = clock.suspend_aware_now_s()
        if self._position is None:
            listing = self._source.list_targets(LIST_TIMEOUT_S)
            interrupted = (
                self._away_since_s is not None
                and now_s() - self._away_since_s >= INTERRUPTION_S
            )
            self._context.metrics.store_calls.labels("targets", "ok").inc()
            changes = targets.replace_all(listing.entries, now_s(), interrupted)
            self._position = listing.position
            self._context.shared_targets.log.restart(listing.position)
            self._context.shared_targets.confirmed_at_s = sent_at_s
            if listing.unreadable:
                self._context.log.failure(
                    "targets.unreadable", entries=listing.unreadable
                )
            return changes
        told = self._peers.targets(self._position)
        if told is not None:
            report, confirmed_at_s = told
            if report.changes is not None:
                return self._apply(report.changes, confirmed_at_s)
            if self._confirmed_lately():
                return []
        wait_s = WATCH_WAIT_S
        if self._context.fleet.has_peers:
            wait_s = SHARED_WATCH_WAIT_S
        if targets.has_missing_entries():
            wait_s = SHORT_WATCH_WAIT_S
        sent_at_s = clock.suspend_aware_now_s()
        update = self._source.watch_targets(self._position, wait_s)
        self._context.metrics.store_calls.labels("targets", "ok").inc()
        return self._apply(update, sent_at_s)

    def _confirmed_lately(self) -> bool:
        """Returns whether the own knowledge is as young as a watch leaves it.

        A host that has watched the store itself is a little ahead of the
        others until their next watch returns.
        """
        confirmed_at_s = self._context.shared_targets.confirmed_at_s
        return clock.suspend_aware_now_s() - confirmed_at_s < WATCH_WAIT_S

    def _apply(
        self, update: serving.TargetChanges, confirmed_at_s: float
    ) -> list[serving.RegistryChange]:
        """Takes changes and keeps them for other hosts."""
        targets = self._context.targets
        changes = []
        for target_id in update.removed_ids:
            changes += targets.remove(target_id)
        for entry in update.changed:
            changes += targets.upsert(entry)
        self._position = update.position
        self._context.shared_targets.log.append(update)
        self._context.shared_targets.confirmed_at_s = confirmed_at_s
        return changes

    def _note_success(self, changes: list[serving.RegistryChange]) -> None:
        context = self._context
        now_s = clock.now_s()
        changes = changes + context.targets.expire(now_s)
        self._away_since_s = None
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
            )

    def _note_failure(
        self, error: serving.SourceError, call_began_s: float
    ) -> None:
        """Notes a failed call.

        A waiting watch that is cut says that the store was there until then;
        one that was never answered does not.
        """
        self._context.metrics.store_calls.labels("targets", "failed").inc()
        if self._away_since_s is None:
            silent = isinstance(error, serving.SourceTimeoutError)
            self._away_since_s = call_began_s if silent else clock.now_s()
        if not self._failing:
            self._failing = True
            self._context.log.failure("store.targets_lost", reason=str(error))
