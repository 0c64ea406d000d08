"""Concurrent requests of an account on a route.

A route's limit holds for all daemons together, but no request waits for a word
of another daemon. Each daemon admits a share of the limit that follows from the
number of daemons it knows to be alive. The balancer spreads an account's
requests unevenly, so the share is twice the even one. The bounds that follow,
for a limit of `c` and `n` daemons, are at most `2 c + n` requests at once, and
no refusal while a daemon has fewer than `c / n` of them. During a partition
each part admits as if it were alone.

State: the counts of this daemon, owned by `AccountLimits`.
"""

import collections
import math

from rattanpulley_core._internal.tables import rows

IMBALANCE_FACTOR = 2.0


class AccountLimits:
    """Counts the requests in flight by route and account."""

    def __init__(self) -> None:
        self._daemon_count = 1
        self._in_flight: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def set_daemon_count(self, count: int) -> None:
        """Takes the number of daemons alive, this one included.

        Raises:
            ValueError: The count is below 1.
        """
        if count < 1:
            raise ValueError(f"{count} daemons")
        self._daemon_count = count

    def local_limit(self, route: rows.Route, account: str) -> int | None:
        """Returns how many requests this daemon admits; None for no limit."""
        limit = route.limits_by_account.get(account, route.default_limit)
        if limit is None:
            return None
        even = limit.concurrent / self._daemon_count
        return min(limit.concurrent, math.ceil(IMBALANCE_FACTOR * even))

    def admit(
        self, route: rows.Route, account: str, is_reconnect: bool = False
    ) -> bool:
        """Counts a request unless the account is at its limit.

        Args:
            route: Route of the request.
            account: The account.
            is_reconnect: Whether the caller reconnects for the rest of an
                answer. The request is counted but never refused: its old
                connection may still be counted, and a refusal would lose an
                answer in progress.
        """
        share = self.local_limit(route, account)
        key = (route.name, account)
        if (
            not is_reconnect
            and share is not None
            and (self._in_flight[key] >= share)
        ):
            return False
        self._in_flight[key] += 1
        return True

    def release(self, route_name: str, account: str) -> None:
        """Ends the count of an admitted request."""
        key = (route_name, account)
        self._in_flight[key] -= 1
        if self._in_flight[key] <= 0:
            del self._in_flight[key]

    def busiest_accounts(self, count: int) -> list[tuple[str, str, int]]:
        """Returns route, account and requests in flight of the largest ones."""
        return [
            (route, account, in_flight)
            for (route, account), in_flight in self._in_flight.most_common(
                count
            )
        ]
