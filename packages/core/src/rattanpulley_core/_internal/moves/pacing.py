"""Schedule of the share of new requests for the new version."""

import dataclasses

INITIAL_SHARE = 0.01
# With evidence the share doubles about every 1/7 of the window. Without it the
# share stays at `INITIAL_SHARE` for this fraction of the window, because a
# fault that is detected at a small share affects few requests.
WAIT_FRACTION = 0.5
# A share that is behind schedule may double this many times in the remaining
# time, one more than the growth from 1 % to 100 % takes, so that a delayed move
# meets the deadline without a jump.
DOUBLINGS_IN_REMAINING_TIME = 8.0
# A paused move is at risk when its share is below the minimum share of the time
# that is this fraction of the window ahead.
RISK_LOOKAHEAD_FRACTION = 0.1
# Largest fraction of the move's time that is reserved to drain the old version.
MAX_DRAIN_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Time window in which the share grows, in Unix seconds.

    Attributes:
        start_s: Start of the move.
        full_s: Time at which all new requests must go to the new version.
    """

    start_s: float
    full_s: float

    @classmethod
    def of(cls, start_s: float, finish_by_s: float, drain_s: float) -> "Window":
        """Returns the window that leaves time to drain the old version.

        Args:
            start_s: Start of the move.
            finish_by_s: Time by which the old version must be drained.
            drain_s: Maximum duration of a request, in seconds.
        """
        longest_s = MAX_DRAIN_FRACTION * (finish_by_s - start_s)
        return cls(start_s, finish_by_s - min(drain_s, longest_s))

    def progress(self, wall_s: float) -> float:
        """Returns the elapsed fraction of the window, 0 to 1."""
        part = (wall_s - self.start_s) / (self.full_s - self.start_s)
        return min(max(part, 0.0), 1.0)


def planned_share(progress: float) -> float:
    """Returns the largest share, for a move with enough evidence."""
    return float(INITIAL_SHARE ** (1.0 - progress))


def minimum_share(progress: float) -> float:
    """Returns the smallest share that still meets the deadline."""
    late = max(0.0, (progress - WAIT_FRACTION) / (1.0 - WAIT_FRACTION))
    return float(INITIAL_SHARE ** (1.0 - late))


def grow_share(
    share: float, target: float, elapsed_s: float, remaining_s: float
) -> float:
    """Returns the share after a step towards a target.

    Args:
        share: Current share.
        target: Share to reach; a smaller target applies immediately.
        elapsed_s: Seconds since the previous step.
        remaining_s: Seconds until all new requests must go to the new version.
    """
    if target <= share or remaining_s <= 0:
        return target
    doublings = DOUBLINGS_IN_REMAINING_TIME * elapsed_s / remaining_s
    limit = max(share, INITIAL_SHARE) * 2.0 ** min(doublings, 10.0)
    return float(min(target, limit))
