"""The entry hosts of the deployment, as they announce themselves."""

from collections.abc import Iterable
import dataclasses

# Assumed before the hosts were listed.
DEFAULT_FLEET_HOSTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """What one host announces.

    Attributes:
        name: Name of the host.
        domain: Failure domain.
        address: IP address and port for calls of other hosts, or empty.
    """

    name: str
    domain: str
    address: str


class Fleet:
    """The hosts that have announced themselves.

    A host that was lost without a stop stays in the list, so that the number
    is rather too large: shares of a common budget are then too small.
    """

    def __init__(self, own_name: str) -> None:
        """Creates a fleet that was not listed yet.

        Args:
            own_name: Name of this host.
        """
        self._own_name = own_name
        self._entries: tuple[HostEntry, ...] = ()

    @property
    def hosts(self) -> int:
        """Number of hosts, this one included."""
        return len(self._entries) or DEFAULT_FLEET_HOSTS

    @property
    def listed(self) -> bool:
        """Whether the hosts were ever listed."""
        return bool(self._entries)

    @property
    def has_peers(self) -> bool:
        """Whether there are other hosts that ask for beliefs."""
        return sum(bool(entry.address) for entry in self._entries) > 1

    @property
    def entries(self) -> tuple[HostEntry, ...]:
        """All hosts by name, or none before the first listing."""
        return self._entries

    def replace_all(self, entries: Iterable[HostEntry]) -> bool:
        """Takes a listing and returns whether the number has changed.

        A listing without this host was made before its announcement.
        """
        before = self.hosts
        by_name = {entry.name: entry for entry in entries}
        self._entries = tuple(by_name[name] for name in sorted(by_name))
        return self.hosts != before
