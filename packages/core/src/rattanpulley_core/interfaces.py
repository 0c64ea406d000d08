"""Abstract base classes between the coordination parts and the outside.

Each class is thin, so that another harness can exchange an adapter without
touching a decision. Adapters report what happened; they decide nothing.
"""

import abc
from collections.abc import Callable
import dataclasses
from typing import Any

from rattanpulley_core._internal.generations import messages
from rattanpulley_core._internal.peers import messages as peer_messages
from rattanpulley_core._internal.targets import hosts
from rattanpulley_core._internal.targets import loads


class Clock(abc.ABC):
    """Source of time."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Returns seconds of a clock that never goes back."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Returns seconds since the Unix epoch, for dates given by people."""


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
    """Base of the object API's failures."""


class StoreConflictError(StoreError):
    """A conditional write found another version.

    Attributes:
        current_version: Version found by the store; 0 when the object is
            absent.
    """

    def __init__(self, key: str, current_version: int) -> None:
        super().__init__(f"{key}: the store holds version {current_version}")
        self.key = key
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store gave no clear answer; a write may have taken effect."""


class ObjectStore(abc.ABC):
    """The platform's object API."""

    @abc.abstractmethod
    def get(self, key: str) -> StoredObject | None:
        """Returns the object, or None when it is absent.

        Raises:
            StoreUnavailableError: There was no clear answer.
        """

    @abc.abstractmethod
    def put(self, key: str, value: Any, expected_version: int) -> StoredObject:
        """Writes when the stored version equals `expected_version` (0 creates).

        Raises:
            StoreConflictError: The store holds another version.
            StoreUnavailableError: No clear answer; the write may have taken
                effect.
        """

    @abc.abstractmethod
    def delete(self, key: str, expected_version: int) -> None:
        """Deletes under the same condition and errors as `put`."""

    @abc.abstractmethod
    def list_objects(self, prefix: str) -> tuple[list[StoredObject], int]:
        """Returns the objects below `prefix` and the store's revision."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[StoredObject], int]:
        """Waits for writes below `prefix` after a revision.

        Returns:
            The changed objects (none after `timeout_s`) and the revision to
            go on from. A watch may skip or repeat; the caller lists again
            after an error.
        """


HostEntry = hosts.HostEntry
HostState = hosts.HostState


class HostList(abc.ABC):
    """The platform's list of live and leaving hosts, which lags."""

    @abc.abstractmethod
    def fetch(self) -> list[HostEntry]:
        """Returns the rows.

        Raises:
            StoreUnavailableError: There was no clear answer.
        """


EventSink = Callable[[messages.Event], None]
LoadReport = loads.LoadReport
LoadSink = Callable[[LoadReport | None], None]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """One read of a target's load.

    Attributes:
        target: Name of the target.
        url: Base URL of the target.
        timeout_s: Longest time for the whole call.
    """

    target: str
    url: str
    timeout_s: float


class EngineApi(abc.ABC):
    """Calls to an engine. No method waits for an answer of the engine."""

    @abc.abstractmethod
    def start(self, order: messages.StartAttempt, sink: EventSink) -> None:
        """Starts or resumes a generation and reports events to `sink`."""

    @abc.abstractmethod
    def attach(self, order: messages.AttachAttempt, sink: EventSink) -> None:
        """Reads a generation that the engine still holds."""

    @abc.abstractmethod
    def cancel(self, order: messages.CancelAttempt) -> None:
        """Ends an attempt, closes its connection and counts errors."""

    @abc.abstractmethod
    def probe(self, order: messages.ProbeTarget, sink: EventSink) -> None:
        """Asks on a new connection whether the target lives."""

    def read_load(self, order: LoadRequest, sink: LoadSink) -> None:
        """Reads a target's load; calls `sink` once within the timeout.

        The sink gets None when there was no valid answer. An adapter that does
        not override this method has no load reports.
        """
        sink(None)


class CallerStream(abc.ABC):
    """One caller's connection. No method waits for the caller."""

    @abc.abstractmethod
    def deliver(self, action: messages.DeliverTokens) -> None:
        """Gives tokens to the caller."""

    @abc.abstractmethod
    def finish(self, action: messages.FinishAnswer) -> None:
        """Ends the answer; nothing follows."""

    @abc.abstractmethod
    def fail(self, action: messages.FailAnswer) -> None:
        """Ends the answer with an error; nothing follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One call to a plain service.

    Attributes:
        target: Name of the target.
        url: Base URL of the target.
        path: Path and query below the base URL.
        method: HTTP method.
        headers: Headers to pass on.
        body: Request body.
        timeout_s: Longest time for the whole call.
        fresh_connection: Whether a reused connection is forbidden, as it is for
            an unrepeatable call.
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
    """Answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceNotSentError(Exception):
    """No byte of the request reached the service; it did not run."""


class ServiceOutcomeUnknownError(Exception):
    """The call failed after bytes were sent; it may have run."""


class ServiceApi(abc.ABC):
    """Calls to plain services."""

    @abc.abstractmethod
    def call(self, order: ServiceRequest) -> ServiceAnswer:
        """Makes the call once, without retries.

        Raises:
            ServiceNotSentError: The request did not reach the service.
            ServiceOutcomeUnknownError: The request was sent and the outcome is
                not known.
        """


PeerEventSink = Callable[[peer_messages.Event], None]


class PeerStream(abc.ABC):
    """Streams of messages between daemons. No method waits for the peer."""

    @abc.abstractmethod
    def open(self, order: peer_messages.OpenStream) -> None:
        """Connects; reports `StreamOpened` or `ConnectFailed`."""

    @abc.abstractmethod
    def send(self, order: peer_messages.Send) -> None:
        """Queues a message; a stream whose queue is full is closed."""

    @abc.abstractmethod
    def close(self, order: peer_messages.CloseStream) -> None:
        """Closes a stream at once, without a `StreamClosed` event."""
