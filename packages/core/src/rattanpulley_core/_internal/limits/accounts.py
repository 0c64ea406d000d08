"""Limits of the concurrent requests of an account on a route.

A limit applies to all daemons together, but admission does not wait for other
daemons. Each daemon admits a share of the limit, computed from the number of
daemons that it knows to be alive. The load balancer distributes an account's
requests unevenly, so the share is twice an equal one. For a limit of `c` and
`n` daemons, at most `2 c + n` requests run at once, and no daemon refuses a
request while it has fewer than `c / n`. During a network partition each side
admits as if it were alone.

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
        """Sets the number of live daemons, including this one.

        Raises:
            ValueError: The count is below 1.
        """
        if count < 1:
            raise ValueError(f"daemon count must be at least 1, got {count}")
        self._daemon_count = count

    def local_limit(self, route: rows.Route, account: str) -> int | None:
        """Returns the limit of this daemon; None without a limit."""
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
        """Removes an admitted request from the counts."""
        key = (route_name, account)
        self._in_flight[key] -= 1
        if self._in_flight[key] <= 0:
            del self._in_flight[key]

    def busiest_accounts(self, count: int) -> list[tuple[str, str, int]]:
        """Returns the `count` busiest (route, account, requests in flight)."""
        return [
            (route, account, in_flight)
            for (route, account), in_flight in self._in_flight.most_common(
                count
            )
        ]
