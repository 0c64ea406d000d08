"""Time after which a client should return with a request that has not run.

Clients return once or twice, and wait for a limited part of the time that they
have left. A return during the same outage is lost, so after an outage that may
last for seconds the client is asked to return as late as it will.
"""

import random

from rattanpulley_core._internal.serving import failure_kinds

# Clients wait at most a third of the time that they have left. The rest is for
# the repeated request.
MAX_WAIT_FRACTION = 0.32
# Spreads the clients of one outage over time.
MIN_OUTAGE_WAIT_FRACTION = 0.22


def choose_retry_after_s(
    failure: failure_kinds.FailureKind | None,
    left_s: float,
    usual_range_s: tuple[float, float],
    rng: random.Random,
) -> float:
    """Returns the Retry-After of a refused request, in seconds.

    Args:
        failure: Last failure of the request; None if no target was usable.
        left_s: Seconds that the client has left.
        usual_range_s: Range for a target that was only busy.
        rng: Spreads the clients.
    """
    least_s, most_s = usual_range_s
    if failure is None or failure in failure_kinds.FAILURES_BEFORE_SENDING:
        least_s = max(least_s, left_s * MIN_OUTAGE_WAIT_FRACTION)
        most_s = max(most_s, left_s * MAX_WAIT_FRACTION)
    return rng.uniform(least_s, most_s)
