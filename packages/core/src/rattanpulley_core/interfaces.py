"""Abstract base classes of the adapters around the coordination library.

The classes are thin, so that an adapter can be replaced without a change of
policy. Adapters report events; they make no decisions.
"""

import abc
from collections.abc import Callable
import dataclasses
from typing import Any

from rattanpulley_core._internal.generations import actions
from rattanpulley_core._internal.generations import events
from rattanpulley_core._internal.peers import messages as peer_messages
from rattanpulley_core._internal.targets import hosts
from rattanpulley_core._internal.targets import loads


class Clock(abc.ABC):
    """Source of time."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Returns the seconds of a monotonic clock."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Returns seconds since the Unix epoch, for times set by operators."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform's object API.

    Attributes:
        key: Path of the object.
        value: JSON value.
        version: Number of writes of this object, from 1; never decreases.
        revision: Number of writes of the whole store at this object's write.
    """

    key: str
    value: Any
    version: int
    revision: int


class StoreError(Exception):
    """Base class of errors of the object API."""


class StoreConflictError(StoreError):
    """The stored version differs from that of a conditional write.

    Attributes:
        key: Key of the object.
        current_version: Version in the store; 0 when the object is absent.
    """

    def __init__(self, key: str, current_version: int) -> None:
        super().__init__(f"{key}: the store holds version {current_version}")
        self.key = key
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The outcome of a call is unknown; a write may have taken effect."""


class ObjectStore(abc.ABC):
    """The platform's object API."""

    @abc.abstractmethod
    def get(self, key: str) -> StoredObject | None:
        """Returns the object, or None when it is absent.

        Raises:
            StoreUnavailableError: The store did not give a valid answer.
        """

    @abc.abstractmethod
    def put(self, key: str, value: Any, expected_version: int) -> StoredObject:
        """Writes when the stored version equals `expected_version` (0 creates).

        Raises:
            StoreConflictError: The store holds another version.
            StoreUnavailableError: The outcome is unknown; the write may have
                taken effect.
        """

    @abc.abstractmethod
    def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object, with the condition and errors of `put`."""

    @abc.abstractmethod
    def list_objects(self, prefix: str) -> tuple[list[StoredObject], int]:
        """Returns the objects below `prefix` and the store's revision."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[StoredObject], int]:
        """Waits for writes below `prefix` after a revision.

        Returns:
            The changed objects (none after `timeout_s`) and the revision for
            the next call. A watch may skip or repeat changes; the caller lists
            the objects again after an error.
        """


HostEntry = hosts.HostEntry
HostState = hosts.HostState


class HostList(abc.ABC):
    """The platform's list of live and leaving hosts, which lags."""

    @abc.abstractmethod
    def fetch(self) -> list[HostEntry]:
        """Returns the rows.

        Raises:
            StoreUnavailableError: The platform did not give a valid answer.
        """


EventSink = Callable[[events.Event], None]
LoadReport = loads.LoadReport
LoadSink = Callable[[LoadReport | None], None]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """Request for a target's load.

    Attributes:
        target: Name of the target.
        url: Base URL of the target.
        timeout_s: Timeout of the complete call.
    """

    target: str
    url: str
    timeout_s: float


class EngineApi(abc.ABC):
    """Calls to an engine. No method blocks on the engine."""

    @abc.abstractmethod
    def start(self, order: actions.StartAttempt, sink: EventSink) -> None:
        """Starts or resumes a generation and reports events to `sink`."""

    @abc.abstractmethod
    def attach(self, order: actions.AttachAttempt, sink: EventSink) -> None:
        """Attaches to a generation that the engine still has."""

    @abc.abstractmethod
    def cancel(self, order: actions.CancelAttempt) -> None:
        """Cancels an attempt, closes its connection and counts errors."""

    @abc.abstractmethod
    def probe(self, order: actions.ProbeTarget, sink: EventSink) -> None:
        """Checks on a new connection whether the target is alive."""

    def read_load(self, order: LoadRequest, sink: LoadSink) -> None:
        """Reads a target's load; calls `sink` once within the timeout.

        The sink gets None without a valid answer. An adapter that does not
        override this method reports no load.
        """
        sink(None)


class CallerStream(abc.ABC):
    """Connection of one caller. No method blocks on the caller."""

    @abc.abstractmethod
    def deliver(self, action: actions.DeliverTokens) -> None:
        """Sends tokens to the caller."""

    @abc.abstractmethod
    def finish(self, action: actions.FinishAnswer) -> None:
        """Ends the answer; no further call follows."""

    @abc.abstractmethod
    def fail(self, action: actions.FailAnswer) -> None:
        """Ends the answer with an error; no further call follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Request to a plain service.

    Attributes:
        target: Name of the target.
        url: Base URL of the target.
        path: Path and query below the base URL.
        method: HTTP method.
        headers: Headers to forward.
        body: Request body.
        timeout_s: Timeout of the complete call.
        fresh_connection: Whether the call requires a new connection, as a
            non-idempotent call does.
    """

    target: str
    url: str
    path: str
    method: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    fresh_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Response of a plain service.

    Attributes:
        status: HTTP status.
        headers: Response headers.
        body: Response body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceNotSentError(Exception):
    """No byte of the request reached the service; it did not run."""


class ServiceOutcomeUnknownError(Exception):
    """The call failed after bytes were sent; the service may have run it."""


class ServiceApi(abc.ABC):
    """Calls to plain services."""

    @abc.abstractmethod
    def call(self, order: ServiceRequest) -> ServiceAnswer:
        """Sends the request once, without retries.

        Raises:
            ServiceNotSentError: The request did not reach the service.
            ServiceOutcomeUnknownError: The request was sent and its outcome is
                unknown.
        """


PeerEventSink = Callable[[peer_messages.Event], None]


class PeerStream(abc.ABC):
    """Message streams between daemons. No method blocks on the peer."""

    @abc.abstractmethod
    def open(self, order: peer_messages.OpenStream) -> None:
        """Connects; reports `StreamOpened` or `ConnectFailed`."""

    @abc.abstractmethod
    def send(self, order: peer_messages.Send) -> None:
        """Queues a message; a stream whose queue is full is closed."""

    @abc.abstractmethod
    def close(self, order: peer_messages.CloseStream) -> None:
        """Closes a stream at once, without a `StreamClosed` event."""
