"""Answers from records alone, when no call can be made."""

from rattanpulley_core import interfaces
from rattanpulley_core._internal.claims import answers
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records


def look_up_answer(
    request: messages.ClaimRequest,
    store: interfaces.ObjectStore,
    wall_s: float,
) -> messages.Answer | None:
    """Returns what an earlier call with the key decides.

    A daemon that cannot make the call, because it is stopping or has no
    target, must not say `not_run` for a key whose action ran.

    Args:
        request: The call.
        store: Holds the claim records.
        wall_s: Unix seconds now.

    Returns:
        The answer, or None when no earlier call ran or may have run.
    """
    if not request.idempotency_key:
        return answers.key_required()
    key = records.claim_key(request.account, request.idempotency_key)
    try:
        stored = store.get(key)
    except interfaces.StoreUnavailableError:
        return answers.store_unavailable(conflicted=False)
    if stored is None:
        return None
    try:
        record = records.from_json(stored.value)
    except records.RecordError:
        return answers.unreadable_record()
    if record.fingerprint != request.fingerprint:
        return answers.key_reused()
    if record.state in records.REPEATABLE_STATES:
        return None
    return answers.of_record(record, wall_s)
