"""The share of new requests by date."""

import dataclasses

INITIAL_SHARE = 0.01
# With evidence the share doubles about every 1/7 of the window. Without it the
# share stays at the first one for this part of the window, because a fault that
# is found at a small share harms few requests.
WAIT_PART = 0.5
# A share that is behind may double this many times in the remaining time, one
# more than 1 % to 100 % takes, so a move that falls behind still reaches the
# date and never jumps.
DOUBLINGS_IN_REMAINDER = 8.0
# A move whose share is behind the latest plan for this part of the window from
# now on is at risk.
RISK_PART = 0.1
# The drain of the old version takes at most this part of the whole time.
MAX_DRAIN_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Time in which the share grows, in Unix seconds.

    Attributes:
        start_s: Start of the move.
        full_s: Time at which all new requests must go to the new version.
    """

    start_s: float
    full_s: float

    @classmethod
    def of(cls, start_s: float, finish_by_s: float, drain_s: float) -> "Window":
        """Returns the window that leaves time for the old requests to end.

        Args:
            start_s: Start of the move.
            finish_by_s: Time by which the old version must be empty.
            drain_s: Longest time of a request.
        """
        longest_s = MAX_DRAIN_PART * (finish_by_s - start_s)
        return cls(start_s, finish_by_s - min(drain_s, longest_s))

    def progress(self, wall_s: float) -> float:
        """Returns the part of the window that has passed, from 0 to 1."""
        part = (wall_s - self.start_s) / (self.full_s - self.start_s)
        return min(max(part, 0.0), 1.0)


def planned_share(progress: float) -> float:
    """Returns the largest share, for a move with evidence."""
    return float(INITIAL_SHARE ** (1.0 - progress))


def latest_share(progress: float) -> float:
    """Returns the smallest share that still meets the date."""
    late = max(0.0, (progress - WAIT_PART) / (1.0 - WAIT_PART))
    return float(INITIAL_SHARE ** (1.0 - late))


def grow(
    share: float, target: float, elapsed_s: float, remaining_s: float
) -> float:
    """Returns the share after a step towards a target.

    Args:
        share: Present share.
        target: Share to reach; a smaller one is reached at once.
        elapsed_s: Seconds since the step before.
        remaining_s: Seconds until all requests must be moved.
    """
    if target <= share or remaining_s <= 0:
        return target
    doublings = DOUBLINGS_IN_REMAINDER * elapsed_s / remaining_s
    limit = max(share, INITIAL_SHARE) * 2.0 ** min(doublings, 10.0)
    return float(min(target, limit))
