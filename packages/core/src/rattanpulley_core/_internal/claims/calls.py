"""One call of an action that must run at most once.

The order is: claim, read back where the store's answer is missing, check the
time, call once, record, answer. `TRANSITIONS` maps a state and an event to the
handler; an event that a state does not list is a fault of the caller.
"""

from collections.abc import Callable
import dataclasses
import enum

from rattanpulley_core import interfaces
from rattanpulley_core._internal.claims import answers
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records
from rattanpulley_core._internal.claims import retention

# Writes of the claim with one token, the first included.
CLAIM_ATTEMPTS = 3
# Reads in a row without a clear answer before the call is refused. A second
# read keeps one lost answer from leaving a claim that an operator must settle.
READ_ATTEMPTS = 2
# Writes of the outcome; only the first one delays the caller's answer.
OUTCOME_ATTEMPTS = 3
# Share of `max_call_s` after which a claim is too old to start the call.
START_WINDOW_FRACTION = 0.5


class CallState(enum.Enum):
    """What a claimed call waits for."""

    NEW = "new"
    CLAIMING = "claiming"
    READING = "reading"
    CALLING = "calling"
    RECORDING = "recording"
    RECORDING_ANSWERED = "recording_answered"
    ENDED = "ended"


class ClaimCall:
    """Drives one call; holds no clock and does no I/O.

    `begin` and `handle` return actions to carry out in order. At most one of
    them, the last, needs an event; the call is over when none does.

    Attributes:
        state: What the call waits for.
        expiring_record: The record with the outcome of this call. None until
            the store has confirmed the write, and for a record that must be
            kept.
    """

    def __init__(self, request: messages.ClaimRequest) -> None:
        """Prepares a call.

        Raises:
            ValueError: `max_call_s` is not positive.
        """
        if not request.max_call_s > 0:
            raise ValueError("max_call_s must be positive")
        self.state = CallState.NEW
        self.expiring_record: retention.ExpiringRecord | None = None
        self._request = request
        self._key = ""
        self._begin_s = 0.0
        self._begin_wall_s = 0.0
        self._claim_puts = 0
        self._unclear_reads = 0
        self._outcome_puts = 0
        self._conflicted = False
        self._record = self._new_record(0.0)
        self._expected_version = 0
        self._answer: messages.Answer | None = None

    def begin(self, now_s: float, wall_s: float) -> list[messages.Action]:
        """Starts the call.

        Args:
            now_s: Monotonic seconds, read before `wall_s`. The other order
                would let a pause between the two reads make the record look
                older than the claim is.
            wall_s: Unix seconds.
        """
        if self.state is not CallState.NEW:
            raise ValueError("the call has begun")
        if not self._request.idempotency_key:
            self.state = CallState.ENDED
            return [answers.key_required()]
        self._key = records.claim_key(
            self._request.account, self._request.idempotency_key
        )
        self._begin_s = now_s
        self._begin_wall_s = wall_s
        self._record = self._new_record(wall_s)
        return self._put_claim()

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Takes the result of the last action.

        Raises:
            ValueError: The call does not wait for such an event.
        """
        handler = TRANSITIONS.get((self.state, type(event)))
        if handler is None:
            raise ValueError(
                f"{type(event).__name__} does not occur in {self.state.value}"
            )
        return handler(self, event, now_s)

    # Claim.

    def _new_record(self, wall_s: float) -> records.ClaimRecord:
        return records.ClaimRecord(
            token=self._request.token,
            fingerprint=self._request.fingerprint,
            state=records.ClaimState.STARTED,
            daemon=self._request.daemon,
            wall_s=wall_s,
            max_call_s=self._request.max_call_s,
        )

    def _put_claim(self) -> list[messages.Action]:
        if self._claim_puts == CLAIM_ATTEMPTS:
            return self._refuse_without_store()
        self._claim_puts += 1
        self.state = CallState.CLAIMING
        return [self._put_record()]

    def _put_record(self) -> messages.StorePut:
        value = records.to_json(self._record)
        return messages.StorePut(self._key, value, self._expected_version)

    def _on_claim_written(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        return self._start(_stored(event).version, now_s)

    def _on_claim_refused(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        self._conflicted = True
        return self._read_back(event, now_s)

    def _read_back(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del event, now_s
        self._unclear_reads = 0
        self.state = CallState.READING
        return [messages.StoreGet(self._key)]

    def _on_read_unclear(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del event, now_s
        self._unclear_reads += 1
        if self._unclear_reads == READ_ATTEMPTS:
            return self._refuse_without_store()
        return [messages.StoreGet(self._key)]

    def _refuse_without_store(self) -> list[messages.Action]:
        # The claim may still reach the store. This token is never used again,
        # so the call that answers `not_run` here cannot run later.
        self.state = CallState.ENDED
        return [answers.store_unavailable(self._conflicted)]

    def _on_read(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        assert isinstance(event, messages.StoreAnswered)
        if event.stored is None:
            self._expected_version = 0
            return self._put_claim()
        try:
            record = records.from_json(event.stored.value)
        except records.RecordError:
            return self._end(answers.unreadable_record())
        if record.fingerprint != self._request.fingerprint:
            return self._end(answers.key_reused())
        if record.token == self._request.token:
            return self._on_own_record(record, event.stored.version, now_s)
        return self._on_other_record(record, event.stored.version, now_s)

    def _on_own_record(
        self, record: records.ClaimRecord, version: int, now_s: float
    ) -> list[messages.Action]:
        if record.state is records.ClaimState.STARTED:
            return self._start(version, now_s)
        # An operator has settled the claim before the action started. The
        # token is used up, so it must not claim the key again.
        if record.state in records.REPEATABLE_STATES:
            return self._end(answers.started_too_late())
        return self._end(answers.of_record(record, record.wall_s))

    def _on_other_record(
        self, record: records.ClaimRecord, version: int, now_s: float
    ) -> list[messages.Action]:
        if record.state in records.REPEATABLE_STATES:
            return self._claim_again(record, version)
        wall_s = self._begin_wall_s + (now_s - self._begin_s)
        return self._end(answers.of_record(record, wall_s))

    def _claim_again(
        self, record: records.ClaimRecord, version: int
    ) -> list[messages.Action]:
        self._record = dataclasses.replace(
            self._record,
            audit=record.audit,
            schema=max(record.schema, records.SCHEMA),
            extra=record.extra,
        )
        self._expected_version = version
        return self._put_claim()

    # Call.

    def _start(self, version: int, now_s: float) -> list[messages.Action]:
        self._expected_version = version
        # A daemon that was paused since the claim could otherwise call after
        # an operator settled the claim as not run.
        if now_s > self._start_by_s():
            return self._record_outcome(
                records.ClaimState.NOT_RUN, answers.started_too_late()
            )
        self.state = CallState.CALLING
        end_s = self._begin_s + self._request.max_call_s
        order = dataclasses.replace(
            self._request.order,
            timeout_s=min(self._request.order.timeout_s, end_s - now_s),
            fresh_connection=True,
        )
        return [messages.CallService(order, self._start_by_s())]

    def _start_by_s(self) -> float:
        return self._begin_s + START_WINDOW_FRACTION * self._request.max_call_s

    def _on_service_answered(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del now_s
        assert isinstance(event, messages.ServiceAnswered)
        return self._record_outcome(
            records.ClaimState.DONE,
            answers.of_service(event.answer),
            records.outcome_from_answer(event.answer),
        )

    def _on_service_not_sent(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del event
        late = now_s > self._start_by_s()
        return self._record_outcome(
            records.ClaimState.NOT_RUN,
            answers.started_too_late()
            if late
            else answers.service_not_reached(),
        )

    def _on_service_unknown(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del event, now_s
        return self._record_outcome(
            records.ClaimState.UNKNOWN, answers.outcome_unknown()
        )

    # Outcome.

    def _record_outcome(
        self,
        state: records.ClaimState,
        answer: messages.Answer,
        outcome: records.Outcome | None = None,
    ) -> list[messages.Action]:
        self._record = dataclasses.replace(
            self._record, state=state, outcome=outcome
        )
        self._answer = answer
        self._outcome_puts = 1
        self.state = CallState.RECORDING
        return [self._put_record()]

    def _on_outcome_settled(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        # A conflict means that an earlier write of this outcome took effect
        # or that an operator settled the claim; neither is overwritten.
        del now_s
        self._note_expiring(event)
        return self._end(self._take_answer())

    def _on_outcome_unclear(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del event, now_s
        answer = self._take_answer()
        self.state = CallState.RECORDING_ANSWERED
        self._outcome_puts += 1
        return [answer, self._put_record()]

    def _on_late_outcome_unclear(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        if self._outcome_puts == OUTCOME_ATTEMPTS:
            return self._finish(event, now_s)
        self._outcome_puts += 1
        return [self._put_record()]

    def _take_answer(self) -> messages.Answer:
        assert self._answer is not None
        return self._answer

    def _finish(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        del now_s
        self._note_expiring(event)
        self.state = CallState.ENDED
        return []

    def _note_expiring(self, event: messages.Event) -> None:
        if isinstance(event, messages.StoreAnswered):
            self.expiring_record = retention.expiring_record(
                self._key, _stored(event).version, self._record
            )

    def _end(self, answer: messages.Answer) -> list[messages.Action]:
        self.state = CallState.ENDED
        return [answer]


def _stored(event: messages.Event) -> interfaces.StoredObject:
    assert isinstance(event, messages.StoreAnswered)
    if event.stored is None:
        raise ValueError("a write is answered with the written object")
    return event.stored


_Handler = Callable[[ClaimCall, messages.Event, float], list[messages.Action]]

TRANSITIONS: dict[tuple[CallState, type[messages.Event]], _Handler] = {
    (CallState.CLAIMING, messages.StoreAnswered): ClaimCall._on_claim_written,
    (CallState.CLAIMING, messages.StoreConflict): ClaimCall._on_claim_refused,
    (CallState.CLAIMING, messages.StoreOutcomeUnknown): ClaimCall._read_back,
    (CallState.READING, messages.StoreAnswered): ClaimCall._on_read,
    (
        CallState.READING,
        messages.StoreOutcomeUnknown,
    ): ClaimCall._on_read_unclear,
    (
        CallState.CALLING,
        messages.ServiceAnswered,
    ): ClaimCall._on_service_answered,
    (
        CallState.CALLING,
        messages.ServiceNotSent,
    ): ClaimCall._on_service_not_sent,
    (
        CallState.CALLING,
        messages.ServiceOutcomeUnknown,
    ): ClaimCall._on_service_unknown,
    (
        CallState.RECORDING,
        messages.StoreAnswered,
    ): ClaimCall._on_outcome_settled,
    (
        CallState.RECORDING,
        messages.StoreConflict,
    ): ClaimCall._on_outcome_settled,
    (
        CallState.RECORDING,
        messages.StoreOutcomeUnknown,
    ): ClaimCall._on_outcome_unclear,
    (CallState.RECORDING_ANSWERED, messages.StoreAnswered): ClaimCall._finish,
    (CallState.RECORDING_ANSWERED, messages.StoreConflict): ClaimCall._finish,
    (
        CallState.RECORDING_ANSWERED,
        messages.StoreOutcomeUnknown,
    ): ClaimCall._on_late_outcome_unclear,
}
