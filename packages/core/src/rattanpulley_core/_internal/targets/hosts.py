"""Rows of the platform's host list."""

import dataclasses
import enum


class HostState(enum.Enum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One row of the platform's list of live and leaving hosts.

    Attributes:
        name: Unique name of the host.
        failure_domain: Failure domain of the host.
        url: Base URL.
        kind: Kind of the host.
        version: Version that the host runs.
        state: Whether the host is live or leaving.
    """

    name: str
    failure_domain: str
    url: str
    kind: str
    version: str
    state: HostState
