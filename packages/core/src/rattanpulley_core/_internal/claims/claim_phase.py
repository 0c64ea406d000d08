"""First phase of a claimed call: writes the claim or finds another one."""

import dataclasses

from rattanpulley_core._internal.claims import answers
from rattanpulley_core._internal.claims import call_progress
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records
from rattanpulley_core._internal.claims import service_phase

# Number of attempts to write the claim with one token, the first included.
CLAIM_ATTEMPTS = 3
# Consecutive reads without an answer after which the call is refused. With a
# single read, one lost answer would leave a claim that an operator must settle.
READ_ATTEMPTS = 2

_State = call_progress.CallState


def put_claim(call: call_progress.CallProgress) -> list[messages.Action]:
    """Writes the claim, or refuses the call after `CLAIM_ATTEMPTS`."""
    if call.claim_puts == CLAIM_ATTEMPTS:
        return _refuse_without_store(call)
    call.claim_puts += 1
    call.state = _State.CLAIMING
    return [call.put_record()]


def on_claim_written(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Starts the call to the service."""
    version = call_progress.written_object(event).version
    return service_phase.start_call(call, version, now_s)


def on_claim_conflict(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Reads the record that the store holds instead."""
    call.conflicted = True
    return read_back(call, event, now_s)


def read_back(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Reads the record to find out whether the claim was written."""
    del event, now_s
    call.failed_reads = 0
    call.state = _State.READING
    return [messages.StoreGet(call.key)]


def on_read_failed(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Repeats the read, or refuses the call after `READ_ATTEMPTS`."""
    del event, now_s
    call.failed_reads += 1
    if call.failed_reads == READ_ATTEMPTS:
        return _refuse_without_store(call)
    return [messages.StoreGet(call.key)]


def _refuse_without_store(
    call: call_progress.CallProgress,
) -> list[messages.Action]:
    # The claim may still reach the store, but its token is never used
    # again, so a call answered with `not_run` here cannot run later.
    return call.end(answers.store_unavailable(call.conflicted))


def on_read(
    call: call_progress.CallProgress, event: messages.Event, now_s: float
) -> list[messages.Action]:
    """Continues with the record that holds the key."""
    assert isinstance(event, messages.StoreAnswered)
    if event.stored is None:
        call.expected_version = 0
        return put_claim(call)
    try:
        record = records.from_json(event.stored.value)
    except records.RecordError:
        return call.end(answers.unreadable_record())
    if record.fingerprint != call.request.fingerprint:
        return call.end(answers.key_reused())
    if record.token == call.request.token:
        return _on_own_record(call, record, event.stored.version, now_s)
    return _on_other_record(call, record, event.stored.version, now_s)


def _on_own_record(
    call: call_progress.CallProgress,
    record: records.ClaimRecord,
    version: int,
    now_s: float,
) -> list[messages.Action]:
    if record.state is records.ClaimState.STARTED:
        return service_phase.start_call(call, version, now_s)
    # An operator settled the claim before the action started. A token
    # claims a key only once, so this call must not claim it again.
    if record.state in records.REPEATABLE_STATES:
        return call.end(answers.started_too_late())
    return call.end(answers.from_record(record, record.wall_s))


def _on_other_record(
    call: call_progress.CallProgress,
    record: records.ClaimRecord,
    version: int,
    now_s: float,
) -> list[messages.Action]:
    if record.state in records.REPEATABLE_STATES:
        return _claim_again(call, record, version)
    wall_s = call.begin_wall_s + (now_s - call.begin_s)
    return call.end(answers.from_record(record, wall_s))


def _claim_again(
    call: call_progress.CallProgress,
    record: records.ClaimRecord,
    version: int,
) -> list[messages.Action]:
    call.record = dataclasses.replace(
        call.record,
        audit=record.audit,
        schema=max(record.schema, records.SCHEMA),
        extra=record.extra,
    )
    call.expected_version = version
    return put_claim(call)
