"""State of a claimed call and the steps that its phases share."""

from collections.abc import Callable
import enum

from rattanpulley_core import interfaces
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import records
from rattanpulley_core._internal.claims import retention


class CallState(enum.Enum):
    """State of a claimed call: the event that it waits for."""

    NEW = "new"
    CLAIMING = "claiming"
    READING = "reading"
    CALLING = "calling"
    RECORDING = "recording"
    RECORDING_ANSWERED = "recording_answered"
    ENDED = "ended"


class CallProgress:
    """What a call has done so far; its event handlers read and change it.

    Attributes:
        request: The call to make.
        state: State of the call.
        expiring_record: The record with the outcome of this call. None until
            the store has confirmed the write, and for a record that must be
            kept.
        key: Object key of the claim; empty until the call begins.
        begin_s: Monotonic seconds at which the call began.
        begin_wall_s: Unix seconds at which the call began.
        claim_puts: Number of attempts to write the claim.
        failed_reads: Number of consecutive reads without an answer.
        outcome_puts: Number of attempts to write the outcome.
        conflicted: Whether the store refused a write of the claim because it
            holds another version.
        record: The record that the next write stores.
        expected_version: Version on which the next write is conditional; 0
            creates the object.
        answer: The answer to the caller, known once the outcome is.
    """

    def __init__(self, request: messages.ClaimRequest) -> None:
        """Initializes a call that has not begun.

        Args:
            request: The call to make.

        Raises:
            ValueError: `max_call_s` is not positive.
        """
        if not request.max_call_s > 0:
            raise ValueError("max_call_s must be positive")
        self.request = request
        self.state = CallState.NEW
        self.expiring_record: retention.ExpiringRecord | None = None
        self.key = ""
        self.begin_s = 0.0
        self.begin_wall_s = 0.0
        self.claim_puts = 0
        self.failed_reads = 0
        self.outcome_puts = 0
        self.conflicted = False
        self.record = self.new_record(0.0)
        self.expected_version = 0
        self.answer: messages.Answer | None = None

    def new_record(self, wall_s: float) -> records.ClaimRecord:
        """Returns the record of a claim made at Unix `wall_s`."""
        return records.ClaimRecord(
            token=self.request.token,
            fingerprint=self.request.fingerprint,
            state=records.ClaimState.STARTED,
            daemon=self.request.daemon,
            wall_s=wall_s,
            max_call_s=self.request.max_call_s,
        )

    def put_record(self) -> messages.StorePut:
        """Returns the action that writes the record."""
        value = records.to_json(self.record)
        return messages.StorePut(self.key, value, self.expected_version)

    def end(self, answer: messages.Answer) -> list[messages.Action]:
        """Ends the call with an answer."""
        self.state = CallState.ENDED
        return [answer]


Handler = Callable[[CallProgress, messages.Event, float], list[messages.Action]]


def written_object(event: messages.Event) -> interfaces.StoredObject:
    """Returns the object that a confirmed write stored."""
    assert isinstance(event, messages.StoreAnswered)
    if event.stored is None:
        raise ValueError("the answer to a write must hold the written object")
    return event.stored
