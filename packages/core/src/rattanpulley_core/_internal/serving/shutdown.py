"""Decides which requests a stopping host still accepts."""

# Requests that arrive in the first seconds of a stop may be cut off at its end.
# A later request must either finish or be refused.
ACCEPT_ALL_S = 2.6


def accepts_request(
    since_stop_s: float, longest_s: float, left_s: float
) -> bool:
    """Returns whether a stopping host accepts a request.

    Args:
        since_stop_s: Seconds since the stop began.
        longest_s: Maximum duration of the request in seconds.
        left_s: Seconds until the host ends the requests that still run.
    """
    return since_stop_s < ACCEPT_ALL_S or longest_s < left_s
