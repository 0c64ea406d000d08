"""Budget for sending requests to a further target.

All hosts together may add a share of the requests of a window plus a fixed
slack. Each host spends only from its own requests and an even part of the
slack, so that no host needs to ask another.
"""

from collections import deque

# Part of the allowed share that is used; windows slide, and a request counts
# in the window in which its client sent it.
RATIO_PART = 0.6


class RetryWindow:
    """Resends and requests of one pool in a sliding window.

    Attributes:
        slack: Resends allowed without any request, on this host.
    """

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        """Creates an empty window.

        Args:
            window_s: Length of the window.
            ratio: Resends allowed for each request, over all hosts.
            slack: Resends allowed without any request, on this host.
        """
        self._window_s = window_s
        self._ratio = ratio * RATIO_PART
        self.slack = slack
        self._requests: deque[float] = deque()
        self._resends: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Records the first send of a request."""
        self._requests.append(now_s)
        self._drop_old(now_s)

    def try_acquire(self, now_s: float) -> bool:
        """Takes the permit for one resend if there is one."""
        self._drop_old(now_s)
        allowed = self.slack + self._ratio * len(self._requests)
        if len(self._resends) + 1 > allowed:
            return False
        self._resends.append(now_s)
        return True

    def _drop_old(self, now_s: float) -> None:
        for times in (self._requests, self._resends):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()


class PoolRetryBudget:
    """Windows by pool."""

    def __init__(self, window_s: float, ratio: float, slack: float) -> None:
        """Creates a budget that is this host's alone.

        Args:
            window_s: Length of the window.
            ratio: Resends allowed for each request, over all hosts.
            slack: Resends allowed without any request, over all hosts.
        """
        self._window_s = window_s
        self._ratio = ratio
        self._fleet_slack = slack
        self._hosts = 1
        self._windows_by_pool: dict[str, RetryWindow] = {}

    def set_host_count(self, hosts: int) -> None:
        """Divides the slack among another number of hosts."""
        self._hosts = hosts
        for window in self._windows_by_pool.values():
            window.slack = self._slack

    def window_of(self, pool: str) -> RetryWindow:
        """Returns the window of a pool."""
        window = self._windows_by_pool.get(pool)
        if window is None:
            window = RetryWindow(self._window_s, self._ratio, self._slack)
            self._windows_by_pool[pool] = window
        return window

    @property
    def _slack(self) -> float:
        return self._fleet_slack / self._hosts
