"""Token buckets that limit retries, resumes and platform calls."""


class TokenBucket:
    """Token bucket whose permits refill at a constant rate up to a burst."""

    def __init__(self, rate_per_s: float, burst: float, now_s: float = 0.0):
        """Creates a full bucket.

        Args:
            rate_per_s: Permits added per second.
            burst: Largest number of permits.
            now_s: Monotonic time of creation.

        Raises:
            ValueError: The rate is negative or the burst is not positive.
        """
        if rate_per_s < 0 or burst <= 0:
            raise ValueError("rate_per_s must be >= 0 and burst > 0")
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._permits = burst
        self._refilled_at_s = now_s

    def available(self, now_s: float) -> float:
        """Returns the available permits at `now_s`."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._permits = min(
            self._burst, self._permits + elapsed_s * self._rate_per_s
        )
        self._refilled_at_s = max(now_s, self._refilled_at_s)
        return self._permits

    def try_acquire(self, now_s: float, amount: float = 1.0) -> bool:
        """Acquires `amount` permits and returns True, or returns False."""
        if self.available(now_s) < amount:
            return False
        self._permits -= amount
        return True

    def add(self, amount: float, now_s: float) -> None:
        """Adds permits up to the burst."""
        self._permits = min(self._burst, self.available(now_s) + amount)


# Share of requests that may be retried. With a higher share, retries multiply
# the load of a pool that is already failing.
RETRY_RATIO = 0.1
# Permits per second without requests, so that a daemon with little traffic can
# retry.
RETRY_FLOOR_PER_S = 1.0
RETRY_BURST = 10.0


class RetryBudget:
    """Retry budget: a share of the requests plus a floor per second."""

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        floor_per_s: float = RETRY_FLOOR_PER_S,
        burst: float = RETRY_BURST,
        now_s: float = 0.0,
    ):
        self._ratio = ratio
        self._bucket = TokenBucket(floor_per_s, burst, now_s)

    def record_request(self, now_s: float) -> None:
        """Adds the fraction of a permit that one request earns."""
        self._bucket.add(self._ratio, now_s)

    def try_acquire_retry(self, now_s: float) -> bool:
        """Acquires the permit for one retry; returns whether there was one."""
        return self._bucket.try_acquire(now_s)

    def available(self, now_s: float) -> float:
        """Returns the permits at `now_s`."""
        return self._bucket.available(now_s)
