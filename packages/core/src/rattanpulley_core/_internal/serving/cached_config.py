"""Cached configuration of an entry host, its age, and access decisions.

A confirmation is dated to the time when the read was sent, because only changes
acknowledged before that time are certain to be in the response. Ages are
measured on a clock that also advances while the host is suspended.
"""

import dataclasses
import enum

from rattanpulley_core._internal.serving import config as config_lib
from rattanpulley_core._internal.serving import limit_history

# Safety margin that is subtracted from the time for which a removed key may
# still be used. A key returned by a read sent T seconds ago was removed at most
# T seconds ago.
KEY_AGE_MARGIN_S = 0.1
# When the cached configuration is older than this, the host answers 503 instead
# of 404 or 401, because the route or key may have been added in the meantime.
DENIAL_AGE_LIMIT_S = 2.5
# When the cached configuration is older than this, the host is taken out of the
# load balancer's rotation.
READY_AGE_LIMIT_S = 3.0


class Acceptance(enum.Enum):
    """Result of applying a configuration that was read from the store.

    Attributes:
        ACCEPTED: The configuration is newer and replaces the cached one.
        CONFIRMED: The configuration is the cached one.
        OLDER: The version is older than the cached one and is ignored.
        CONFLICTING: The version is the cached one, but its content differs.
    """

    ACCEPTED = "accepted"
    CONFIRMED = "confirmed"
    OLDER = "older"
    CONFLICTING = "conflicting"


class Access(enum.Enum):
    """Whether a request may run, or why not.

    Attributes:
        GRANTED: The request may run.
        NO_CONFIGURATION: The host has not read a configuration yet.
        CONFIG_TOO_OLD: The cached configuration is too old to decide.
        UNKNOWN_ROUTE: No route matches the host name and path.
        UNKNOWN_KEY: The configuration does not contain the key.
    """

    GRANTED = "granted"
    NO_CONFIGURATION = "no_configuration"
    CONFIG_TOO_OLD = "belief_too_old"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"


@dataclasses.dataclass(frozen=True, slots=True)
class AccessDecision:
    """Access decision for one request.

    Attributes:
        access: Whether the request may run, or why not.
        route: The matching route, or None.
        account: Client account that owns the key; empty on public routes.
        version: Configuration version that the decision is based on, or 0.
        age_s: Seconds since the configuration was last confirmed.
        priority: Rank of the request, 0 first, or None.
    """

    access: Access
    route: config_lib.ServingRoute | None
    account: str
    version: int
    age_s: float
    priority: int | None = None


class CachedConfig:
    """Newest configuration that was read, and the time of its confirmation."""

    def __init__(self, key_age_limit_s: float, activation_s: float) -> None:
        """Creates an empty cache.

        Args:
            key_age_limit_s: Longest time in seconds for which a request may
                still use a key after its removal.
            activation_s: Time in seconds after its acknowledgement at which a
                version is active.
        """
        self._key_age_limit_s = key_age_limit_s - KEY_AGE_MARGIN_S
        self._limits = limit_history.LimitHistory(activation_s)
        self._config: config_lib.ServingConfig | None = None
        self._confirmed_at_s = float("-inf")

    def set_key_age_limit(self, key_age_limit_s: float) -> None:
        """Sets how long, in seconds, a request may use a removed key."""
        self._key_age_limit_s = key_age_limit_s - KEY_AGE_MARGIN_S

    def set_activation(self, activation_s: float) -> None:
        """Sets after how many seconds a version is active everywhere."""
        self._limits.set_activation(activation_s)

    @property
    def config(self) -> config_lib.ServingConfig | None:
        """The active configuration, or None before the first read."""
        return self._config

    def accept(
        self, config: config_lib.ServingConfig, read_sent_at_s: float
    ) -> Acceptance:
        """Applies a configuration that a linearizable read returned.

        An older version never replaces or confirms the cached one.

        Args:
            config: Configuration that was read.
            read_sent_at_s: Time when the read was sent.

        Returns:
            How the configuration was applied.
        """
        current = self._config
        if current is not None and config.version < current.version:
            return Acceptance.OLDER
        if current is not None and config.version == current.version:
            if config != current:
                return Acceptance.CONFLICTING
            self._confirm(read_sent_at_s)
            return Acceptance.CONFIRMED
        if current is None:
            self._limits.start(config.limits)
        else:
            self._limits.replace(
                config.limits, self._confirmed_at_s, read_sent_at_s
            )
        self._config = config
        self._confirm(read_sent_at_s)
        return Acceptance.ACCEPTED

    def confirm_unchanged(self, read_sent_at_s: float) -> None:
        """Records that a read returned the cached configuration.

        Args:
            read_sent_at_s: Time when the read was sent.
        """
        if self._config is not None:
            self._confirm(read_sent_at_s)

    def _confirm(self, read_sent_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, read_sent_at_s)

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the confirming read was sent."""
        return now_s - self._confirmed_at_s

    def ready(self, now_s: float) -> bool:
        """Returns whether this host should receive new connections."""
        return self._config is not None and (
            self.age_s(now_s) < READY_AGE_LIMIT_S
        )

    def may_deny(self, now_s: float) -> bool:
        """Returns whether a request that the cached version denies is denied.

        A newer version, which this host has not read, may allow it.
        """
        return self.age_s(now_s) < DENIAL_AGE_LIMIT_S

    def request_limits(self, now_s: float) -> config_lib.ClientLimits:
        """Returns the limits on a request that begins to arrive."""
        return self._limits.request_limits(now_s)

    def close_idle_after_s(self, now_s: float) -> float:
        """Returns how many seconds a connection may wait for a request."""
        return self._limits.close_idle_after_s(now_s, self._confirmed_at_s)

    def decide(
        self, host: str, path: str, key: str, now_s: float
    ) -> AccessDecision:
        """Decides whether a request may run.

        Args:
            host: Host name without a port.
            path: Path of the request.
            key: Key of the client, or an empty string.
            now_s: Current time on the clock that advances during suspension.
        """
        config = self._config
        age_s = self.age_s(now_s)
        if config is None:
            return AccessDecision(Access.NO_CONFIGURATION, None, "", 0, age_s)
        route = config.route_for(host, path)
        access, account = self._check_access(config, route, key, age_s)
        priority = None if route is None else config.priority_of(route, account)
        return AccessDecision(
            access, route, account, config.version, age_s, priority
        )

    def _check_access(
        self,
        config: config_lib.ServingConfig,
        route: config_lib.ServingRoute | None,
        key: str,
        age_s: float,
    ) -> tuple[Access, str]:
        """Returns the access decision and the client account."""
        may_deny = age_s < DENIAL_AGE_LIMIT_S
        if route is None:
            if may_deny:
                return Access.UNKNOWN_ROUTE, ""
            return Access.CONFIG_TOO_OLD, ""
        if route.public or not config.needs_keys:
            return Access.GRANTED, ""
        account = config.account_by_key.get(key)
        if account is None:
            if may_deny:
                return Access.UNKNOWN_KEY, ""
            return Access.CONFIG_TOO_OLD, ""
        if age_s >= self._key_age_limit_s:
            return Access.CONFIG_TOO_OLD, account
        return Access.GRANTED, account
