"""Entry hosts of the deployment, from the entries that they register."""

from collections.abc import Iterable
import dataclasses

# Number of hosts that is assumed until the hosts have been listed.
DEFAULT_FLEET_HOSTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """Entry that a host registers for itself.

    Attributes:
        name: Name of the host.
        domain: Failure domain.
        address: IP address and port for calls from other hosts, or empty if the
            host accepts none.
    """

    name: str
    domain: str
    address: str


class Fleet:
    """Registered hosts of the deployment.

    A host that crashed remains in the list. The number of hosts is then too
    large, and each host's share of a common budget too small, which is the safe
    direction.
    """

    def __init__(self, own_name: str) -> None:
        """Creates a fleet without entries.

        Args:
            own_name: Name of this host.
        """
        self._own_name = own_name
        self._entries: tuple[HostEntry, ...] = ()

    @property
    def hosts(self) -> int:
        """Number of hosts, including this one."""
        return len(self._entries) or DEFAULT_FLEET_HOSTS

    @property
    def listed(self) -> bool:
        """Whether the hosts have been listed at least once."""
        return bool(self._entries)

    @property
    def has_peers(self) -> bool:
        """Whether more than one host accepts calls from other hosts."""
        return sum(bool(entry.address) for entry in self._entries) > 1

    @property
    def entries(self) -> tuple[HostEntry, ...]:
        """Entries of all hosts, sorted by name; empty before the first list."""
        return self._entries

    def replace_all(self, entries: Iterable[HostEntry]) -> bool:
        """Replaces all entries.

        A listing that lacks this host was read before its registration.

        Args:
            entries: Entries of all hosts.

        Returns:
            Whether the number of hosts changed.
        """
        before = self.hosts
        by_name = {entry.name: entry for entry in entries}
        self._entries = tuple(by_name[name] for name in sorted(by_name))
        return self.hosts != before
