"""Settlement of unknown outcomes by operators."""

from collections.abc import Sequence
import dataclasses

from rattanpulley_core import interfaces
from rattanpulley_core._internal.claims import records

# Added to `max_call_s` before a claim may be settled. By its own clock, a
# daemon sends the first byte at most half of `max_call_s` after the claim and
# aborts the call at `max_call_s`. The margin covers the difference between the
# hosts' wall clocks and a pause between the daemon's last clock check and the
# first byte.
SETTLE_MARGIN_S = 60.0

_OPEN_STATES = frozenset(
    {records.ClaimState.STARTED, records.ClaimState.UNKNOWN}
)


class SettlementError(Exception):
    """A claim was not settled; the message is for the operator."""


class SettlementRefusedError(SettlementError):
    """The claim cannot be settled, or not yet."""


class SettlementOutcomeUnknownError(SettlementError):
    """The store did not answer; the settlement may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownClaim:
    """A claim whose outcome is not known.

    Attributes:
        key: Object key, the argument of `settle`.
        version: Version of the object.
        record: The record, or None when it is not readable.
        settle_from_wall_s: Unix seconds from which `settle` is allowed;
            infinite when the record is not readable.
    """

    key: str
    version: int
    record: records.ClaimRecord | None
    settle_from_wall_s: float


def list_unknown(
    store: interfaces.ObjectStore, wall_s: float
) -> list[UnknownClaim]:
    """Returns the claims with an unknown outcome, ordered by key.

    These are the claims recorded as unknown, the claims without an outcome
    whose call time has passed, and the records that are not readable.

    Args:
        store: Holds the claim records.
        wall_s: Unix seconds now.

    Raises:
        StoreUnavailableError: The store did not answer.
    """
    stored, _ = store.list_objects(records.KEY_PREFIX)
    rows = (_unknown_claim_or_none(item, wall_s) for item in stored)
    return sorted((row for row in rows if row), key=lambda row: row.key)


def _unknown_claim_or_none(
    stored: interfaces.StoredObject, wall_s: float
) -> UnknownClaim | None:
    try:
        record = records.from_json(stored.value)
    except records.RecordError:
        return UnknownClaim(stored.key, stored.version, None, float("inf"))
    if record.state not in _OPEN_STATES:
        return None
    if record.may_be_running(wall_s):
        return None
    return UnknownClaim(
        stored.key, stored.version, record, settle_from_wall_s(record)
    )


def settle_from_wall_s(record: records.ClaimRecord) -> float:
    """Returns the Unix seconds from which a claim may be settled."""
    return record.wall_s + record.max_call_s + SETTLE_MARGIN_S


def settle(
    store: interfaces.ObjectStore,
    key: str,
    as_run: bool,
    who: str,
    wall_s: float,
    reason: str,
) -> records.ClaimRecord:
    """Settles one claim and records the audit entry in the same write.

    Args:
        store: Holds the claim records.
        key: Object key as in `UnknownClaim`.
        as_run: Whether the action ran, as the operator found. `False` allows
            a new call with the same key.
        who: Name of the operator.
        wall_s: Unix seconds now.
        reason: Reason stated by the operator.

    Returns:
        The settled record.

    Raises:
        SettlementRefusedError: There is no such claim, it has a known outcome,
            its call may still be running, or it changed at the same time.
        SettlementOutcomeUnknownError: The store did not confirm the write.
        StoreUnavailableError: The claim could not be read; nothing was
            written.
    """
    stored = store.get(key)
    if stored is None:
        raise SettlementRefusedError(
            f"{key}: there is no such claim. List the keys again."
        )
    record = _parse_open_record(stored, wall_s)
    settled = _settled_record(record, as_run, who, wall_s, reason)
    try:
        store.put(key, records.to_json(settled), stored.version)
    except interfaces.StoreConflictError as error:
        raise SettlementRefusedError(
            f"{key}: the claim changed at the same time. Read it again."
        ) from error
    except interfaces.StoreUnavailableError as error:
        if not _is_settlement_stored(store, key, settled):
            raise SettlementOutcomeUnknownError(
                f"{key}: the store did not confirm the settlement. Read the "
                "claim again before you settle it again."
            ) from error
    return settled


def _parse_open_record(
    stored: interfaces.StoredObject, wall_s: float
) -> records.ClaimRecord:
    try:
        record = records.from_json(stored.value)
    except records.RecordError as error:
        raise SettlementRefusedError(
            f"{stored.key}: {error}. Use a tool of the version that wrote it."
        ) from error
    if record.state not in _OPEN_STATES:
        raise SettlementRefusedError(
            f"{stored.key}: the state is {record.state.value}, which needs no "
            "settlement."
        )
    wait_s = settle_from_wall_s(record) - wall_s
    if wait_s > 0:
        raise SettlementRefusedError(
            f"{stored.key}: the call may still be running. Try again in "
            f"{wait_s:.0f} s."
        )
    return record


def _settled_record(
    record: records.ClaimRecord,
    as_run: bool,
    who: str,
    wall_s: float,
    reason: str,
) -> records.ClaimRecord:
    after = (
        records.ClaimState.SETTLED_RUN
        if as_run
        else records.ClaimState.SETTLED_NOT_RUN
    )
    entry = records.AuditEntry(
        who, wall_s, record.state, after, reason, record.token
    )
    audit: Sequence[records.AuditEntry] = (*record.audit, entry)
    return dataclasses.replace(
        record, state=after, audit=tuple(audit[-records.AUDIT_LIMIT :])
    )


def _is_settlement_stored(
    store: interfaces.ObjectStore, key: str, settled: records.ClaimRecord
) -> bool:
    """Returns whether an unconfirmed settlement is stored."""
    try:
        stored = store.get(key)
    except interfaces.StoreUnavailableError:
        return False
    if stored is None:
        return False
    try:
        return settled.audit[-1] in records.from_json(stored.value).audit
    except records.RecordError:
        return False
