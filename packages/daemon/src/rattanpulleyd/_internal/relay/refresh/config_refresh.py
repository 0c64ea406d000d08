"""Refreshes the configuration from the store or other hosts."""

import gevent

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import peer_reader
from rattanpulleyd._internal.relay.refresh import read_timeout
from rattanpulleyd._internal.relay.refresh import store_backoff

# A changed configuration is read within this fraction of the time in which it
# must be active. Each read confirms the configuration as of its sending, so
# that keys stay valid for the rest of their limit if the store becomes
# unreachable right after.
CONFIG_PERIOD_FRACTION = 0.6
MAX_CONFIG_PERIOD_S = 1.8
PEER_AGE_MARGIN_S = 0.2
CONFIG_TIMEOUT_S = 0.9
MAX_LOGGED_ROUTES = 10


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
        self.set_activation(activation_s)
        self._failing = False
        self._timeout = read_timeout.ReadTimeout(CONFIG_TIMEOUT_S)
        self._backoff = store_backoff.RetryBackoff()

    def set_activation(self, activation_s: float) -> None:
        """Sets the time in seconds in which a change must be active."""
        self._period_s = min(
            activation_s * CONFIG_PERIOD_FRACTION, MAX_CONFIG_PERIOD_S
        )

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
            factor = self._context.rng.uniform(
                1 - store_backoff.JITTER_FRACTION, 1.0
            )
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
        started_s = clock.now_s()
        try:
            config = self._source.read_config(self._timeout.current_s)
        except serving.SourceError as error:
            self._timeout.record_failure(error, clock.now_s() - started_s)
            self._record_failure(error, sent_at_s)
            return False
        self._timeout.record_success(clock.now_s() - started_s)
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
