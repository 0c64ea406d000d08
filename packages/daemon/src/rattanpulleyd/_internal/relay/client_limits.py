"""Limits on clients at the moment, from the cached configuration."""

from rattanpulley_core import serving
from rattanpulleyd._internal.relay import clock


class ClientLimitsInForce:
    """Limits that change while connections wait and requests arrive."""

    def __init__(self, cached_config: serving.CachedConfig) -> None:
        self._cached_config = cached_config

    def for_request(self) -> serving.ClientLimits:
        """Returns the limits on a request that begins to arrive."""
        now_s = clock.suspend_aware_now_s()
        return self._cached_config.request_limits(now_s)

    def close_idle_after_s(self) -> float:
        """Returns how many seconds a connection may wait for a request."""
        now_s = clock.suspend_aware_now_s()
        return self._cached_config.close_idle_after_s(now_s)

    def may_refuse(self) -> bool:
        """Returns whether a request beyond the limits is refused for good."""
        return self._cached_config.may_deny(clock.suspend_aware_now_s())
