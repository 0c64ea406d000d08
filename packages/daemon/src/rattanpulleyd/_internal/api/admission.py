"""Admission control: overload, account limits and draining."""

from collections.abc import Iterator
import contextlib

import bottle

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import tables
from rattanpulleyd import exceptions
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.runtime import runtime as runtime_lib

# A stream takes about 70 KB, so this many fit in 128 MB. At design size a
# daemon has 77 streams.
MAX_IN_FLIGHT = 1000

_Code = results.ResultCode


class ConcurrencySlot:
    """One generation request's share of its account's concurrency limit."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        request: generations.GenerationRequest,
        is_reconnect: bool,
    ) -> None:
        """Acquires a slot for the request.

        Args:
            runtime: Runtime of the daemon.
            request: The routed request.
            is_reconnect: Whether the caller reconnects to an answer that it
                has received in part.

        Raises:
            exceptions.RequestError: The daemon is overloaded or the account
                is at its limit.
        """
        self._limits = runtime.limits
        self._key = (request.route, request.account)
        self._is_acquired = False
        route = runtime.config.routes.routes_by_name[request.route]
        refusal = _overload_error()
        if refusal is None and not self._limits.admit(
            route, request.account, is_reconnect
        ):
            refusal = _account_limit_error(request.account)
        if refusal is not None:
            raise refusal
        self._is_acquired = True

    def release(self) -> None:
        """Releases the slot; further calls have no effect."""
        if self._is_acquired:
            self._is_acquired = False
            self._limits.release(*self._key)


@contextlib.contextmanager
def service_call_slot(
    runtime: runtime_lib.Runtime, route: tables.Route, account: str
) -> Iterator[exceptions.RequestError | None]:
    """Counts a service call against its account's limit while it runs.

    Args:
        runtime: Runtime of the daemon.
        route: Route of the request.
        account: Account of the caller.

    Yields:
        The error that refuses a new call, or None. It is not raised, because
        an earlier call with the same key may have a recorded answer.
    """
    refusal = _overload_error()
    if refusal is None and not runtime.limits.admit(route, account):
        refusal = _account_limit_error(account)
    if refusal is not None:
        yield refusal
        return
    try:
        yield _draining_error() if runtime.draining else None
    finally:
        runtime.limits.release(route.name, account)


def _overload_error() -> exceptions.RequestError | None:
    in_flight = bottle.request.environ.get(http_server.IN_FLIGHT_KEY, 0)
    if in_flight <= MAX_IN_FLIGHT:
        return None
    return exceptions.RequestError(
        _Code.OVERLOADED, "Too many answers are in flight."
    )


def _account_limit_error(account: str) -> exceptions.RequestError:
    return exceptions.RequestError(
        _Code.ACCOUNT_LIMIT,
        f"The account {account!r} has too many requests in flight.",
    )


def _draining_error() -> exceptions.RequestError:
    return exceptions.RequestError(_Code.DRAINING, "This daemon is stopping.")
