"""Executes the actions of a claimed call, one after the other."""

from collections.abc import Callable

from rattanpulley_core import interfaces
from rattanpulley_core._internal.claims import calls
from rattanpulley_core._internal.claims import messages


def run(
    call: calls.ClaimCall,
    store: interfaces.ObjectStore,
    service: interfaces.ServiceApi,
    clock: interfaces.Clock,
    deliver: Callable[[messages.Answer], None] | None = None,
) -> messages.Answer:
    """Runs a call to its end.

    Args:
        call: New call.
        store: Holds the claim records.
        service: Makes the call.
        clock: Clock of this process.
        deliver: Called with the answer as soon as it is known. If the store
            does not answer the outcome write, `run` repeats it after this
            callback.

    Returns:
        The answer passed to `deliver`, after the last write.
    """
    now_s = clock.monotonic_s()
    pending = call.begin(now_s, clock.wall_s())
    answer: messages.Answer | None = None
    while pending:
        event: messages.Event | None = None
        for action in pending:
            if isinstance(action, messages.Answer):
                answer = action
                if deliver is not None:
                    deliver(action)
            else:
                event = _execute(action, store, service, clock)
        if event is None:
            break
        pending = call.handle(event, clock.monotonic_s())
    assert answer is not None
    return answer


def _execute(
    action: messages.Action,
    store: interfaces.ObjectStore,
    service: interfaces.ServiceApi,
    clock: interfaces.Clock,
) -> messages.Event:
    if isinstance(action, messages.CallService):
        return _call_service(action, service, clock)
    return _execute_store_action(action, store)


def _execute_store_action(
    action: messages.Action, store: interfaces.ObjectStore
) -> messages.Event:
    try:
        if isinstance(action, messages.StorePut):
            return messages.StoreAnswered(
                store.put(action.key, action.value, action.expected_version)
            )
        assert isinstance(action, messages.StoreGet)
        return messages.StoreAnswered(store.get(action.key))
    except interfaces.StoreConflictError:
        return messages.StoreConflict()
    except interfaces.StoreUnavailableError:
        return messages.StoreOutcomeUnknown()


def _call_service(
    action: messages.CallService,
    service: interfaces.ServiceApi,
    clock: interfaces.Clock,
) -> messages.Event:
    # The process can be paused between the decision to call and this line.
    if clock.monotonic_s() > action.start_by_s:
        return messages.ServiceNotSent()
    try:
        return messages.ServiceAnswered(service.call(action.order))
    except interfaces.ServiceNotSentError:
        return messages.ServiceNotSent()
    except interfaces.ServiceOutcomeUnknownError:
        return messages.ServiceOutcomeUnknown()
