"""Which requests a host that is stopping still takes."""

# Clients whose request crosses the first seconds of a stop may be cut at its
# end; one that is sent later must be finished or refused.
TAKES_ALL_S = 2.6


def accepts_request(
    since_stop_s: float, longest_s: float, left_s: float
) -> bool:
    """Returns whether a stopping host takes a request.

    Args:
        since_stop_s: Time since the stop began.
        longest_s: Time after which the request is over at the latest.
        left_s: Time until the host ends what still runs.
    """
    return since_stop_s < TAKES_ALL_S or longest_s < left_s
