"""Input events and output actions of a claimed call."""

import dataclasses
from typing import Any

from rattanpulley_core import interfaces
from rattanpulley_core import results


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A routed call of a route that is not repeatable.

    Attributes:
        account: Client account.
        idempotency_key: Value of the header, or None when it is absent.
        fingerprint: Hex digest of the request, see `request_fingerprint`.
        token: Unique, unguessable token of this call (32 hex digits). A call
            that repeats an earlier one gets a new token too.
        daemon: Name of the daemon.
        max_call_s: Longest time from the claim to the end of the call, in
            seconds.
        order: Call to the service. A claimed call always uses a fresh
            connection and a timeout of at most the time left of
            `max_call_s`.
    """

    account: str
    idempotency_key: str | None
    fingerprint: str
    token: str
    daemon: str
    max_call_s: float
    order: interfaces.ServiceRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events of a claimed call."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered(Event):
    """The store executed the action.

    Attributes:
        stored: The object written or read; None if a read found no object.
    """

    stored: interfaces.StoredObject | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConflict(Event):
    """The store refused a write because it holds another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown(Event):
    """The store did not answer; a write may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswered(Event):
    """The service answered, with any HTTP status."""

    answer: interfaces.ServiceAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceNotSent(Event):
    """No byte of the request reached the service."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceOutcomeUnknown(Event):
    """The call failed after bytes were sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Base class of the actions that the caller executes, in order."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreGet(Action):
    """Reads an object; answered by `StoreAnswered` or `StoreOutcomeUnknown`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StorePut(Action):
    """Writes an object; answered by any of the three store events."""

    key: str
    value: Any
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallService(Action):
    """Calls the service once; answered by one of the three service events.

    Attributes:
        order: The call.
        start_by_s: Monotonic seconds after which the first byte must not be
            sent. The event is then `ServiceNotSent`.
    """

    order: interfaces.ServiceRequest
    start_by_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer(Action):
    """Answers the caller; returned exactly once for each call.

    Attributes:
        code: Result code.
        run_state: Whether the action ran. Differs from the default of `code`
            where the claim record is more specific.
        message: Explanation for the caller; empty if `code` is `OK`.
        response: Answer of the service to relay to the caller; set if and
            only if `code` is `OK`.
        replayed: Whether `response` was recorded by an earlier call.
    """

    code: results.ResultCode
    run_state: results.RunState
    message: str
    response: interfaces.ServiceAnswer | None = None
    replayed: bool = False
