"""What an entry host believes about the configuration, and how old that is.

A confirmation counts from the moment at which the read was sent, because only
changes acknowledged before that moment are certain to be in the answer. Ages
are measured on a clock that also counts the time for which the host was
suspended.
"""

import dataclasses
import enum

from rattanpulley_core._internal.serving import config as config_lib

# A request may run at most this long after its key was taken away. A key that
# was in a read sent T ago was taken away T ago at the earliest.
KEY_AGE_MARGIN_S = 0.1
# An older belief answers 503 where a fresh one would answer 404 or 401, since
# the route or key may have been added meanwhile.
DENIAL_AGE_LIMIT_S = 2.5
# An older belief takes the host out of the balancer's rotation.
READY_AGE_LIMIT_S = 3.0


class Acceptance(enum.Enum):
    """What a read of the configuration changed."""

    ACCEPTED = "accepted"
    CONFIRMED = "confirmed"
    OLDER = "older"
    CONFLICTING = "conflicting"


class Access(enum.Enum):
    """Whether a request may run."""

    GRANTED = "granted"
    NO_CONFIGURATION = "no_configuration"
    CONFIG_TOO_OLD = "belief_too_old"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"


@dataclasses.dataclass(frozen=True, slots=True)
class AccessDecision:
    """The decision on one request.

    Attributes:
        access: Whether the request may run, or why not.
        route: The route, when it is known.
        account: Client account that holds the key; empty on public routes.
        version: Version of the configuration that decided, or 0.
        age_s: Age of the last confirmation.
    """

    access: Access
    route: config_lib.ServingRoute | None
    account: str
    version: int
    age_s: float


class CachedConfig:
    """The newest configuration seen and its last confirmation."""

    def __init__(self, key_age_limit_s: float) -> None:
        """Starts without a configuration.

        Args:
            key_age_limit_s: Longest time after the removal of a key for which
                a request with it may still run.
        """
        self._key_age_limit_s = key_age_limit_s - KEY_AGE_MARGIN_S
        self._config: config_lib.ServingConfig | None = None
        self._confirmed_at_s = float("-inf")

    def set_key_age_limit(self, key_age_limit_s: float) -> None:
        """Takes another bound on the use of removed keys."""
        self._key_age_limit_s = key_age_limit_s - KEY_AGE_MARGIN_S

    @property
    def config(self) -> config_lib.ServingConfig | None:
        """The configuration in force on this host."""
        return self._config

    def accept(
        self, config: config_lib.ServingConfig, read_sent_at_s: float
    ) -> Acceptance:
        """Takes a configuration that a linearizable read returned.

        A smaller version never replaces a larger one and confirms nothing.

        Args:
            config: What the read returned.
            read_sent_at_s: When the read was sent.
        """
        known = self._config
        if known is not None and config.version < known.version:
            return Acceptance.OLDER
        if known is not None and config.version == known.version:
            if config != known:
                return Acceptance.CONFLICTING
            self._confirm(read_sent_at_s)
            return Acceptance.CONFIRMED
        self._config = config
        self._confirm(read_sent_at_s)
        return Acceptance.ACCEPTED

    def confirm_unchanged(self, read_sent_at_s: float) -> None:
        """Records that a read returned the configuration in force."""
        if self._config is not None:
            self._confirm(read_sent_at_s)

    def _confirm(self, read_sent_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, read_sent_at_s)

    def age_s(self, now_s: float) -> float:
        """Returns the seconds since the confirming read was sent."""
        return now_s - self._confirmed_at_s

    def ready(self, now_s: float) -> bool:
        """Returns whether new connections should come to this host."""
        return self._config is not None and (
            self.age_s(now_s) < READY_AGE_LIMIT_S
        )

    def decide(
        self, host: str, path: str, key: str, now_s: float
    ) -> AccessDecision:
        """Decides whether a request may run.

        Args:
            host: Host name without a port.
            path: Path of the request.
            key: The client's key, or an empty string.
            now_s: Time on the clock that counts suspension.
        """
        config = self._config
        age_s = self.age_s(now_s)
        if config is None:
            return AccessDecision(Access.NO_CONFIGURATION, None, "", 0, age_s)
        route = config.route_for(host, path)
        access, account = self._grant(config, route, key, age_s)
        return AccessDecision(access, route, account, config.version, age_s)

    def _grant(
        self,
        config: config_lib.ServingConfig,
        route: config_lib.ServingRoute | None,
        key: str,
        age_s: float,
    ) -> tuple[Access, str]:
        """Returns the decision and the client account."""
        denial_holds = age_s < DENIAL_AGE_LIMIT_S
        if route is None:
            if denial_holds:
                return Access.UNKNOWN_ROUTE, ""
            return Access.CONFIG_TOO_OLD, ""
        if route.public or not config.needs_keys:
            return Access.GRANTED, ""
        account = config.account_by_key.get(key)
        if account is None:
            if denial_holds:
                return Access.UNKNOWN_KEY, ""
            return Access.CONFIG_TOO_OLD, ""
        if age_s >= self._key_age_limit_s:
            return Access.CONFIG_TOO_OLD, account
        return Access.GRANTED, account
