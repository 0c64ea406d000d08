"""Where an entry host learns its configuration and its targets."""

import abc
import dataclasses

from rattanpulley_core._internal.serving import config
from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import target_registry


class SourceError(Exception):
    """The store could not be read; nothing is known from the call."""


class SourceTimeoutError(SourceError):
    """The store did not answer in time; it may have been away all the while."""


class HistoryGoneError(SourceError):
    """The changes after the position of a watch are no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetListing:
    """All targets at one position of the store.

    Attributes:
        entries: Entries that name a target to use.
        unreadable: Entries of other writers that name none.
        position: Where a watch continues.
    """

    entries: tuple[target_registry.TargetEntry, ...]
    unreadable: int
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChanges:
    """What changed after a position.

    Attributes:
        changed: New or changed entries.
        removed_ids: Targets whose entries are gone or became unreadable.
        position: Where the next watch continues.
    """

    changed: tuple[target_registry.TargetEntry, ...]
    removed_ids: tuple[str, ...]
    position: int


class ServingSource(abc.ABC):
    """Reads of the platform's store; each may raise `SourceError`."""

    @abc.abstractmethod
    def set_store_address(self, host: str, port: int) -> None:
        """Reads from the store at an address from now on."""

    @abc.abstractmethod
    def read_config(self, timeout_s: float) -> config.ServingConfig | None:
        """Returns the newest configuration, or None while there is none.

        The read is linearizable. An unchanged configuration is returned as the
        same object.
        """

    @abc.abstractmethod
    def list_targets(self, timeout_s: float) -> TargetListing:
        """Returns all targets; the read is linearizable."""

    @abc.abstractmethod
    def watch_targets(self, position: int, wait_s: float) -> TargetChanges:
        """Waits for changes after a position, at most `wait_s`.

        Raises:
            HistoryGoneError: The targets must be listed again.
        """


class RolloutStore(abc.ABC):
    """Orders of new versions and what hosts tell each other about them.

    Each call may raise `SourceError`; a write may have been done then.
    """

    @abc.abstractmethod
    def read_orders(
        self, timeout_s: float
    ) -> tuple[rollouts.RolloutOrder, ...]:
        """Returns all orders; the read is linearizable."""

    @abc.abstractmethod
    def record_state(
        self,
        order: rollouts.RolloutOrder,
        state: rollouts.OrderState,
        timeout_s: float,
    ) -> bool:
        """Records how far an order has come.

        Returns:
            Whether it was recorded; False when the order has changed since it
            was read.
        """

    @abc.abstractmethod
    def write_evidence(
        self,
        pool: str,
        evidence: rollouts.RolloutEvidence,
        timeout_s: float,
    ) -> None:
        """Replaces what a host has counted."""

    @abc.abstractmethod
    def read_evidence(
        self, order: rollouts.RolloutOrder, timeout_s: float
    ) -> tuple[rollouts.RolloutEvidence, ...]:
        """Returns what all hosts have counted for an order."""

    @abc.abstractmethod
    def remove_evidence(
        self, pool: str, version: str, host: str, timeout_s: float
    ) -> None:
        """Removes what a host has counted."""

    @abc.abstractmethod
    def record_start(
        self, order: rollouts.RolloutOrder, unix_s: float, timeout_s: float
    ) -> None:
        """Notes when an order was first seen, unless that is known."""

    @abc.abstractmethod
    def read_start(
        self, order: rollouts.RolloutOrder, timeout_s: float
    ) -> float | None:
        """Returns the Unix seconds when an order was first seen, or None."""


class HostDirectory(abc.ABC):
    """The hosts of the deployment; each call may raise `SourceError`."""

    @abc.abstractmethod
    def announce_host(self, entry: fleet.HostEntry, timeout_s: float) -> None:
        """Adds or replaces the entry of a host."""

    @abc.abstractmethod
    def list_hosts(self, timeout_s: float) -> tuple[fleet.HostEntry, ...]:
        """Returns the entries of all hosts."""

    @abc.abstractmethod
    def withdraw_host(self, name: str, timeout_s: float) -> None:
        """Removes the entry of a host that stops."""
