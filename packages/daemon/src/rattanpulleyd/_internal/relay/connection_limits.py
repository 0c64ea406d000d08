"""How many client connections the descriptors of the process allow."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits for client connections.

    Attributes:
        max_open: Maximum number of connections, or None for any.
        max_kept: Number of connections from which on a further one is closed
            after its next response; infinite for any.
    """

    max_open: int | None
    max_kept: float


def limits_of_process() -> ConnectionLimits:
    """Returns the limits for the number of files the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return ConnectionLimits(None, float("inf"))
    free = max(0, soft - RESERVED_DESCRIPTORS)
    return ConnectionLimits(
        max(2, int(free * OPEN_SHARE)), max(1, int(free * KEPT_SHARE))
    )
