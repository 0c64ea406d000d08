"""Whether a request is admitted at all."""

from collections.abc import Iterator
import contextlib

import bottle

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import tables
from rattanpulleyd import exceptions
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.runtime import runtime as runtime_lib

# A stream takes about 70 KB, so that this many fit in 128 MB. The design size
# has 77 streams on a daemon.
MAX_IN_FLIGHT = 1000

_Code = results.ResultCode


class Hold:
    """The count of one generation request against its account's limit."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        request: generations.GenerationRequest,
        returning: bool,
    ) -> None:
        """Counts the request.

        Args:
            runtime: Runtime of the daemon.
            request: The routed request.
            returning: Whether the caller comes back for the rest.

        Raises:
            exceptions.RequestError: It is refused.
        """
        self._limits = runtime.limits
        self._key = (request.route, request.account)
        self._is_held = False
        route = runtime.config.routes.routes_by_name[request.route]
        refusal = _overload()
        if refusal is None and not self._limits.admit(
            route, request.account, returning
        ):
            refusal = _at_limit(request.account)
        if refusal is not None:
            raise refusal
        self._is_held = True

    def release(self) -> None:
        """Ends the count; may be called again."""
        if self._is_held:
            self._is_held = False
            self._limits.release(*self._key)


@contextlib.contextmanager
def admitted(
    runtime: runtime_lib.Runtime, route: tables.Route, account: str
) -> Iterator[exceptions.RequestError | None]:
    """Counts a service call while it runs.

    Args:
        runtime: Runtime of the daemon.
        route: Route of the request.
        account: Account of the caller.

    Yields:
        The refusal, or None. It is not raised, since an earlier call with the
        same key may have an answer all the same.
    """
    refusal = _overload()
    if refusal is None and not runtime.limits.admit(route, account):
        refusal = _at_limit(account)
    if refusal is not None:
        yield refusal
        return
    try:
        yield _draining() if runtime.draining else None
    finally:
        runtime.limits.release(route.name, account)


def _overload() -> exceptions.RequestError | None:
    in_flight = bottle.request.environ.get(http_server.IN_FLIGHT_KEY, 0)
    if in_flight <= MAX_IN_FLIGHT:
        return None
    return exceptions.RequestError(
        _Code.OVERLOADED, "Too many answers are in flight."
    )


def _at_limit(account: str) -> exceptions.RequestError:
    return exceptions.RequestError(
        _Code.ACCOUNT_LIMIT,
        f"The account {account!r} has too many requests in flight.",
    )


def _draining() -> exceptions.RequestError:
    return exceptions.RequestError(_Code.DRAINING, "This daemon is stopping.")
