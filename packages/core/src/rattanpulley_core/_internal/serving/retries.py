"""Budget for retrying requests on another target.

In each window, all hosts together may retry a fraction of the requests plus a
fixed slack. Each host uses only the part from its own requests and an equal
share of the slack, so that hosts do not have to coordinate.
"""

from collections import deque
from collections.abc import Iterator
import contextlib
import dataclasses

# Fraction of the allowed ratio that is used. The margin is needed because the
# windows slide, and a request counts in the window in which its client sent it.
USED_RATIO_FRACTION = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUse:
    """Use of a retry window at one moment.

    Attributes:
        used: Retries in the window.
        allowed: Retries that this host may make in it.
    """

    used: int
    allowed: float


@dataclasses.dataclass(eq=False, slots=True)
class Retry:
    """One retry that a window has allowed.

    Attributes:
        at_s: When it was acquired or, once it is made, sent.
    """

    at_s: float


class RetryWindow:
    """Retries and requests of one pool in a sliding window.

    Attributes:
        slack: Retries that this host may make without any request.
    """

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        """Creates an empty window.

        Args:
            window_s: Length of the window in seconds.
            ratio: Allowed retries per request, over all hosts.
            slack: Retries that this host may make without any request.
        """
        self._requests: deque[float] = deque()
        self._retries: list[Retry] = []
        self._waiters: deque[object] = deque()
        self.set_bounds(window_s, ratio, slack)

    def set_bounds(self, window_s: float, ratio: float, slack: float) -> None:
        """Sets the bounds; what the window has recorded stays."""
        self._window_s = window_s
        self._ratio = ratio * USED_RATIO_FRACTION
        self.slack = slack

    def record_request(self, now_s: float) -> None:
        """Records the first attempt of a request."""
        self._requests.append(now_s)
        self._drop_old(now_s)

    @contextlib.contextmanager
    def waiting(self, waiter: object) -> Iterator[None]:
        """Puts an answer that has begun into the queue for the next retry."""
        self._waiters.append(waiter)
        try:
            yield
        finally:
            self._waiters.remove(waiter)

    def try_acquire(self, now_s: float, waiter: object = None) -> Retry | None:
        """Returns one retry, or None if the budget does not allow it.

        Args:
            now_s: Current time.
            waiter: An answer that waits for it, or None. Retries are kept for
                the answers that have waited for longer.
        """
        use = self.use(now_s)
        is_waiting = waiter in self._waiters
        ahead = (
            self._waiters.index(waiter) if is_waiting else len(self._waiters)
        )
        if use.used + ahead + 1 > use.allowed:
            return None
        retry = Retry(now_s)
        self._retries.append(retry)
        return retry

    def record_sent(self, retry: Retry, now_s: float) -> None:
        """Counts a retry from the time at which it is sent."""
        retry.at_s = now_s
        if retry not in self._retries:
            self._retries.append(retry)

    def use(self, now_s: float) -> RetryUse:
        """Returns how many retries were made and how many are allowed."""
        self._drop_old(now_s)
        allowed = self.slack + self._ratio * len(self._requests)
        return RetryUse(len(self._retries), allowed)

    def release(self, retry: Retry) -> None:
        """Returns a retry that is not made."""
        if retry in self._retries:
            self._retries.remove(retry)

    def _drop_old(self, now_s: float) -> None:
        since_s = now_s - self._window_s
        while self._requests and self._requests[0] <= since_s:
            self._requests.popleft()
        self._retries = [row for row in self._retries if row.at_s > since_s]


class PoolRetryBudget:
    """Retry budget of this host, with one window per pool."""

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        """Creates a budget for a single host.

        Args:
            window_s: Length of the window in seconds.
            ratio: Allowed retries per request, over all hosts.
            slack: Retries allowed without any request, over all hosts.
        """
        self._host_count = 1
        self._windows_by_pool: dict[str, RetryWindow] = {}
        self.set_bounds(window_s, ratio, slack)

    def set_bounds(self, window_s: float, ratio: float, slack: float) -> None:
        """Sets the bounds of all windows.

        Args:
            window_s: Length of the window in seconds.
            ratio: Allowed retries per request, over all hosts.
            slack: Retries allowed without any request, over all hosts.
        """
        self._window_s = window_s
        self._ratio = ratio
        self._fleet_slack = slack
        self._update_windows()

    def set_host_count(self, host_count: int) -> None:
        """Sets the number of hosts that share the slack."""
        self._host_count = host_count
        self._update_windows()

    def _update_windows(self) -> None:
        for window in self._windows_by_pool.values():
            window.set_bounds(self._window_s, self._ratio, self._slack)

    def window_of(self, pool: str) -> RetryWindow:
        """Returns the window of a pool."""
        window = self._windows_by_pool.get(pool)
        if window is None:
            window = RetryWindow(self._window_s, self._ratio, self._slack)
            self._windows_by_pool[pool] = window
        return window

    @property
    def _slack(self) -> float:
        return self._fleet_slack / self._host_count
