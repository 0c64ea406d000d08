"""The claim record, its key and its JSON form.

One record belongs to one idempotency key of one account. Readers preserve
unknown fields, so that an older daemon never drops what a newer one wrote.
"""

import base64
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
import math
from typing import Any

from rattanpulley_core import interfaces

SCHEMA = 1
KEY_PREFIX = "claims/"
# The object API stores at most 1 MB; base64 adds a third to the body.
OUTCOME_LIMIT_BYTES = 256 * 1024
# Number of audit entries that a record keeps, so that the object stays far
# below the store's limit of 1 MB.
AUDIT_LIMIT = 16
_ACCOUNT_LIMIT_BYTES = 96
_PLAIN_BYTES = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-"
)


class RecordError(ValueError):
    """A stored value is not a valid claim record."""


class ClaimState(enum.Enum):
    """Known state of the action of a claim."""

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    SETTLED_RUN = "settled_run"
    SETTLED_NOT_RUN = "settled_not_run"


# States of an earlier call that did not run: a new call may claim the key.
REPEATABLE_STATES = frozenset({ClaimState.NOT_RUN, ClaimState.SETTLED_NOT_RUN})


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Recorded answer of the service.

    Attributes:
        status: HTTP status.
        headers: Response headers; empty when `body` is None.
        body: Response body; None when the answer exceeds
            `OUTCOME_LIMIT_BYTES`.
        body_bytes: Length of the complete body.
        digest: SHA-256 of the complete body in hex.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    body_bytes: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One settlement by an operator.

    Attributes:
        who: Name of the operator.
        wall_s: Time of the settlement in Unix seconds.
        before: State before the settlement.
        after: State after the settlement.
        reason: Reason stated by the operator.
        token: Token of the settled claim.
    """

    who: str
    wall_s: float
    before: ClaimState
    after: ClaimState
    reason: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Stored record of a claim.

    Attributes:
        token: Unique token of the call that holds the claim.
        fingerprint: Hex digest of the request.
        state: Known state of the action.
        daemon: Name of the daemon that holds the claim.
        wall_s: Time of the claim in Unix seconds.
        max_call_s: Longest time from the claim to the end of the call, in
            seconds.
        outcome: Recorded answer in state `done`, else None.
        audit: Settlements of this key, oldest first.
        schema: Schema version of the record.
        extra: Fields that this version of the code does not know.
    """

    token: str
    fingerprint: str
    state: ClaimState
    daemon: str
    wall_s: float
    max_call_s: float
    outcome: Outcome | None = None
    audit: tuple[AuditEntry, ...] = ()
    schema: int = SCHEMA
    extra: Mapping[str, Any] = dataclasses.field(default_factory=dict)

    def may_be_running(self, wall_s: float) -> bool:
        """Returns whether the call may still run at Unix `wall_s`."""
        is_started = self.state is ClaimState.STARTED
        return is_started and wall_s - self.wall_s <= self.max_call_s


def claim_key(account: str, idempotency_key: str) -> str:
    """Returns the object key of an account's idempotency key."""
    digest = hashlib.sha256(_utf8(idempotency_key)).hexdigest()
    return f"{KEY_PREFIX}{_encode_account(account)}/{digest}"


def request_fingerprint(route: str, method: str, path: str, body: bytes) -> str:
    """Returns a hex digest that differs between different requests of a key."""
    digest = hashlib.sha256()
    for part in (_utf8(route), _utf8(method), _utf8(path), body):
        # The length prefix makes ("ab", "c") differ from ("a", "bc").
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def outcome_from_answer(answer: interfaces.ServiceAnswer) -> Outcome:
    """Returns a service's answer as it is recorded.

    Headers and body are left out if they exceed `OUTCOME_LIMIT_BYTES`.
    """
    digest = hashlib.sha256(answer.body).hexdigest()
    size = len(answer.body)
    total = size + sum(
        len(_utf8(name)) + len(_utf8(value)) for name, value in answer.headers
    )
    if total > OUTCOME_LIMIT_BYTES:
        return Outcome(answer.status, (), None, size, digest)
    return Outcome(answer.status, answer.headers, answer.body, size, digest)


def to_json(record: ClaimRecord) -> dict[str, Any]:
    """Returns the JSON value of a record."""
    value = dict(record.extra)
    value.update(
        schema=record.schema,
        token=record.token,
        fingerprint=record.fingerprint,
        state=record.state.value,
        daemon=record.daemon,
        wall_s=record.wall_s,
        max_call_s=record.max_call_s,
        outcome=_outcome_to_json(record.outcome),
        audit=[_audit_to_json(entry) for entry in record.audit],
    )
    return value


def from_json(value: Any) -> ClaimRecord:
    """Parses a stored value.

    Raises:
        RecordError: The value is not a record that this version can parse.
    """
    try:
        return _parse(value)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise RecordError(f"not a claim record: {error!r}") from error


_KNOWN_FIELDS = frozenset(
    field.name for field in dataclasses.fields(ClaimRecord)
) - {"extra"}


def _parse(value: Any) -> ClaimRecord:
    extra = {
        name: field
        for name, field in value.items()
        if name not in _KNOWN_FIELDS
    }
    record = ClaimRecord(
        token=_text(value["token"]),
        fingerprint=_text(value["fingerprint"]),
        state=ClaimState(value["state"]),
        daemon=_text(value["daemon"]),
        wall_s=_seconds(value["wall_s"]),
        max_call_s=_seconds(value["max_call_s"]),
        outcome=_outcome_from_json(value.get("outcome")),
        audit=tuple(_audit_from_json(e) for e in value.get("audit", ())),
        schema=int(value["schema"]),
        extra=extra,
    )
    if (record.state is ClaimState.DONE) != (record.outcome is not None):
        raise ValueError("state and outcome disagree")
    return record


def _outcome_to_json(outcome: Outcome | None) -> dict[str, Any] | None:
    if outcome is None:
        return None
    body = outcome.body
    return {
        "status": outcome.status,
        "headers": [list(pair) for pair in outcome.headers],
        "body": None if body is None else base64.b64encode(body).decode(),
        "body_bytes": outcome.body_bytes,
        "digest": outcome.digest,
    }


def _outcome_from_json(value: Any) -> Outcome | None:
    if value is None:
        return None
    text = value["body"]
    body = None if text is None else base64.b64decode(text, validate=True)
    outcome = Outcome(
        status=int(value["status"]),
        headers=tuple((_text(n), _text(v)) for n, v in value["headers"]),
        body=body,
        body_bytes=int(value["body_bytes"]),
        digest=_text(value["digest"]),
    )
    if body is not None and hashlib.sha256(body).hexdigest() != outcome.digest:
        raise ValueError("the body does not match its digest")
    return outcome


def _audit_to_json(entry: AuditEntry) -> dict[str, Any]:
    return {
        "who": entry.who,
        "wall_s": entry.wall_s,
        "before": entry.before.value,
        "after": entry.after.value,
        "reason": entry.reason,
        "token": entry.token,
    }


def _audit_from_json(value: Any) -> AuditEntry:
    return AuditEntry(
        who=_text(value["who"]),
        wall_s=_seconds(value["wall_s"]),
        before=ClaimState(value["before"]),
        after=ClaimState(value["after"]),
        reason=_text(value["reason"]),
        token=_text(value["token"]),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, found {type(value).__name__}")
    return value


def _seconds(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected seconds, found {type(value).__name__}")
    if not math.isfinite(value):
        raise ValueError("expected a finite number of seconds")
    return float(value)


def _utf8(text: str) -> bytes:
    # Header values can hold lone surrogates, which strict UTF-8 rejects.
    return text.encode("utf-8", "surrogatepass")


def _encode_account(account: str) -> str:
    """Encodes an account as a path segment that is unique to the account.

    The segment consists of letters, digits, `-` and `_`, so that no client or
    server of the object API decodes or normalizes it. A `_` starts an escape.
    """
    data = _utf8(account)
    if not data:
        return "_"
    if len(data) > _ACCOUNT_LIMIT_BYTES:
        return "_h" + hashlib.sha256(data).hexdigest()
    return "".join(
        chr(byte) if byte in _PLAIN_BYTES else f"_{byte:02X}" for byte in data
    )
