"""Interfaces to the platform's store that an entry host uses."""

import abc
import dataclasses

from rattanpulley_core._internal.serving import config
from rattanpulley_core._internal.serving import fleet
from rattanpulley_core._internal.serving import rollouts
from rattanpulley_core._internal.serving import target_registry
from rattanpulley_core._internal.serving import version_records
from rattanpulley_core._internal.suspects import shared_reports


class SourceError(Exception):
    """A call to the store failed; its effect is unknown."""


class SourceTimeoutError(SourceError):
    """The store did not answer in time and may have been unavailable."""


class SourceConnectionLostError(SourceError):
    """The connection to the store ended before the response was complete."""


class HistoryGoneError(SourceError):
    """The store no longer has the changes after the position of a watch."""


class ChangesUnreadableError(SourceError):
    """The response to a watch cannot be read, unlike the list."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """Entry of the store that names no target to use.

    Attributes:
        name: Its name, or None if it is unknown.
        revision: Store position of its last change, or None if it is unknown.
        problem: Why it names no target.
    """

    name: str | None
    revision: int | None
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetListing:
    """All targets at one store position.

    Attributes:
        entries: Entries with a usable target.
        unreadable: The other entries.
        position: Store position at which a watch continues.
    """

    entries: tuple[target_registry.TargetEntry, ...]
    unreadable: tuple[UnreadableEntry, ...]
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChanges:
    """Changes of targets after a store position.

    Attributes:
        changed: New or changed entries.
        removed_ids: Ids of targets whose entries were removed or became
            unreadable.
        position: Store position at which the next watch continues.
        unreadable: New or changed entries that name no target.
    """

    changed: tuple[target_registry.TargetEntry, ...]
    removed_ids: tuple[str, ...]
    position: int
    unreadable: tuple[UnreadableEntry, ...] = ()


class ServingSource(abc.ABC):
    """Reads from the platform's store; each may raise `SourceError`."""

    @abc.abstractmethod
    def set_store_address(self, host: str, port: int) -> None:
        """Sets the address of the store for subsequent calls."""

    @abc.abstractmethod
    def read_config(self, timeout_s: float) -> config.ServingConfig | None:
        """Returns the newest configuration, or None if there is none.

        The read is linearizable. An unchanged configuration is returned as the
        same object.
        """

    @abc.abstractmethod
    def list_targets(self, timeout_s: float) -> TargetListing:
        """Returns all targets; the read is linearizable."""

    @abc.abstractmethod
    def watch_targets(self, position: int, wait_s: float) -> TargetChanges:
        """Waits up to `wait_s` seconds for changes after a position.

        Raises:
            HistoryGoneError: The targets must be listed again.
            ChangesUnreadableError: The targets must be listed again.
        """


class RolloutStore(abc.ABC):
    """Rollout orders and the evidence that hosts share about them.

    Each call may raise `SourceError`, in which case a write may still have
    taken effect.
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
        """Records the state of an order.

        Returns:
            Whether the state was recorded; False if the order has changed since
            it was read.
        """

    @abc.abstractmethod
    def write_evidence(
        self,
        pool: str,
        evidence: rollouts.RolloutEvidence,
        timeout_s: float,
    ) -> None:
        """Replaces the evidence of one host."""

    @abc.abstractmethod
    def read_evidence(
        self, order: rollouts.RolloutOrder, timeout_s: float
    ) -> tuple[rollouts.RolloutEvidence, ...]:
        """Returns the evidence of all hosts for an order."""

    @abc.abstractmethod
    def remove_evidence(
        self, pool: str, version: str, host: str, timeout_s: float
    ) -> None:
        """Removes the evidence of one host."""

    @abc.abstractmethod
    def read_version_records(
        self, timeout_s: float
    ) -> tuple[version_records.VersionRecord, ...]:
        """Returns the records of all versions; the read is linearizable."""

    @abc.abstractmethod
    def record_version(
        self, record: version_records.VersionRecord, timeout_s: float
    ) -> None:
        """Replaces the record of a version that the new one supersedes.

        The write is conditional on what was read, so that it does not replace
        a newer record when it arrives late.
        """

    @abc.abstractmethod
    def remove_version_record(
        self, record: version_records.VersionRecord, timeout_s: float
    ) -> None:
        """Removes the record of a version, unless it has changed since."""


class SuspectStore(abc.ABC):
    """Refused requests that outlast all hosts; calls may raise `SourceError`.

    A write whose call fails may still have taken effect.
    """

    @abc.abstractmethod
    def record_suspect(
        self,
        fingerprint: str,
        found: tuple[shared_reports.SharedReport, ...],
        timeout_s: float,
    ) -> None:
        """Replaces the reports of a refused request."""

    @abc.abstractmethod
    def read_suspects(
        self, timeout_s: float, may_be_old: bool
    ) -> dict[str, tuple[shared_reports.SharedReport, ...]]:
        """Returns the reports of all recorded requests by fingerprint.

        Args:
            timeout_s: Maximum wait for the response.
            may_be_old: Whether the records may be seconds old.
        """

    @abc.abstractmethod
    def remove_suspect(self, fingerprint: str, timeout_s: float) -> None:
        """Removes the record of a request."""


class HostDirectory(abc.ABC):
    """Registered hosts of the deployment; calls may raise `SourceError`."""

    @abc.abstractmethod
    def announce_host(self, entry: fleet.HostEntry, timeout_s: float) -> None:
        """Adds or replaces the entry of a host."""

    @abc.abstractmethod
    def list_hosts(self, timeout_s: float) -> tuple[fleet.HostEntry, ...]:
        """Returns the entries of all hosts; they may be seconds old."""

    @abc.abstractmethod
    def withdraw_host(self, name: str, timeout_s: float) -> None:
        """Removes the entry of a stopping host."""
