"""How many client connections the process allows.

Descriptors and memory limit them.
"""

import dataclasses
import resource

# For the store, other hosts, the pages, the log and the event loop.
RESERVED_DESCRIPTORS = 32
# The rest is for connections to targets. A request needs one, a stream also
# some for probes and copies.
OPEN_SHARE = 0.75
# Connections beyond this share are closed after their response. Otherwise idle
# ones would keep further clients waiting until an idle timeout.
KEPT_SHARE = 0.5
# Of the descriptors, for each of the readiness checks, the pages and the other
# hosts. They have no share in the memory budget, so that their number is small.
PAGE_SHARE = 0.05
MIN_PAGE_CONNECTIONS = 4
MAX_PAGE_CONNECTIONS = 128


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits for client connections.

    Attributes:
        max_open: Maximum number of connections.
        max_kept: Number of connections from which on a further one is closed
            after its next response.
    """

    max_open: int
    max_kept: int


def limits_of_process(
    max_descriptors: int | None, affordable: int
) -> ConnectionLimits:
    """Returns the limits on the connections of clients.

    Args:
        max_descriptors: How many files the process may open, or None for the
            number that the operating system allows.
        affordable: How many connections the memory allows.
    """
    max_open = affordable
    allowed = _allowed_descriptors(max_descriptors)
    if allowed is not None:
        free = max(0, allowed - RESERVED_DESCRIPTORS)
        max_open = min(max_open, int(free * OPEN_SHARE))
    kept = int(max_open * KEPT_SHARE / OPEN_SHARE)
    return ConnectionLimits(max(2, max_open), max(1, kept))


def page_connections(max_descriptors: int | None) -> int:
    """Returns the number of connections to each page of the process.

    Args:
        max_descriptors: How many files the process may open, or None for the
            number that the operating system allows.
    """
    allowed = _allowed_descriptors(max_descriptors)
    if allowed is None:
        return MAX_PAGE_CONNECTIONS
    share = max(MIN_PAGE_CONNECTIONS, int(allowed * PAGE_SHARE))
    return min(share, MAX_PAGE_CONNECTIONS)


def _allowed_descriptors(stated: int | None) -> int | None:
    """Returns how many files the process may open, or None for any."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return stated
    return soft if stated is None else min(soft, stated)
