"""What holds for one request while the configuration changes.

A request keeps the route that admitted it: every host that has not read a newer
version would treat it in the same way, and so may its client expect. There are
two exceptions. A request that may no longer run more than once is not repeated,
since its client may know of that earlier than this host. A shorter timeout ends
requests that already wait, which operators shorten it for; it does not cut an
answer that has begun, whose client was promised more time and would lose the
part that it has.
"""

from rattanpulley_core._internal.serving import config as config_lib


class RequestTerms:
    """Terms of one request over the versions of the configuration."""

    def __init__(
        self, route: config_lib.ServingRoute, host: str, path: str
    ) -> None:
        """Starts with what the admitting version says.

        Args:
            route: Route that matched when the request arrived.
            host: Host name of the request, without a port.
            path: Path of the request.
        """
        self._route = route
        self._host = host
        self._path = path
        self._timeout_s = route.timeout_s
        self._longest_timeout_s = route.timeout_s
        self._answer_began = False
        self._may_repeat = route.idempotent
        self._applied: config_lib.ServingConfig | None = None

    def begin_answer(self) -> None:
        """Records that the client has a part of the answer."""
        self._answer_began = True

    def timeout_s(self, config: config_lib.ServingConfig | None) -> float:
        """Returns the timeout of the route in seconds.

        It follows changes of the route, but once the answer has begun it is
        never shorter than it was at any time since the request arrived. If the
        route is gone or no longer covers the request, its last timeout stays:
        that of another route was never meant for the request.

        Args:
            config: Configuration in force, or None.
        """
        self._apply(config)
        if self._answer_began:
            return self._longest_timeout_s
        return self._timeout_s

    @property
    def longest_timeout_s(self) -> float:
        """Longest timeout in seconds that applied since the arrival."""
        return self._longest_timeout_s

    def may_repeat(self, config: config_lib.ServingConfig | None) -> bool:
        """Returns whether the request may run more than once.

        All versions since its arrival must allow that for its path.

        Args:
            config: Configuration in force, or None.
        """
        self._apply(config)
        return self._may_repeat

    def _apply(self, config: config_lib.ServingConfig | None) -> None:
        """Applies a version of the configuration unless that is done."""
        if config is None or config is self._applied:
            return
        self._applied = config
        route = config.find_route(self._route.name, self._host, self._path)
        if route is not None:
            self._timeout_s = route.timeout_s
            self._longest_timeout_s = max(
                self._longest_timeout_s, route.timeout_s
            )
        matching = config.route_for(self._host, self._path)
        if matching is not None and not matching.idempotent:
            self._may_repeat = False
