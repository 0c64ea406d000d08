"""State machine of one call of an action that must run at most once.

A call writes its claim, reads it back if the store did not answer, checks the
time, calls the service once, records the outcome and answers. `TRANSITIONS`
maps a state and an event to the handler in the module of its phase; an event
that is not listed for the state is a programming error of the caller.
"""

from rattanpulley_core._internal import transitions
from rattanpulley_core._internal.claims import answers
from rattanpulley_core._internal.claims import call_progress
from rattanpulley_core._internal.claims import claim_phase
from rattanpulley_core._internal.claims import messages
from rattanpulley_core._internal.claims import outcome_phase
from rattanpulley_core._internal.claims import records
from rattanpulley_core._internal.claims import service_phase

_State = call_progress.CallState

TRANSITIONS: dict[
    tuple[call_progress.CallState, type[messages.Event]], call_progress.Handler
] = {
    (_State.CLAIMING, messages.StoreAnswered): claim_phase.on_claim_written,
    (_State.CLAIMING, messages.StoreConflict): claim_phase.on_claim_conflict,
    (_State.CLAIMING, messages.StoreOutcomeUnknown): claim_phase.read_back,
    (_State.READING, messages.StoreAnswered): claim_phase.on_read,
    (_State.READING, messages.StoreOutcomeUnknown): claim_phase.on_read_failed,
    (
        _State.CALLING,
        messages.ServiceAnswered,
    ): service_phase.on_service_answered,
    (
        _State.CALLING,
        messages.ServiceNotSent,
    ): service_phase.on_service_not_sent,
    (
        _State.CALLING,
        messages.ServiceOutcomeUnknown,
    ): service_phase.on_service_unknown,
    (_State.RECORDING, messages.StoreAnswered): outcome_phase.on_write_resolved,
    (_State.RECORDING, messages.StoreConflict): outcome_phase.on_write_resolved,
    (
        _State.RECORDING,
        messages.StoreOutcomeUnknown,
    ): outcome_phase.on_write_unknown,
    (_State.RECORDING_ANSWERED, messages.StoreAnswered): outcome_phase.finish,
    (_State.RECORDING_ANSWERED, messages.StoreConflict): outcome_phase.finish,
    (
        _State.RECORDING_ANSWERED,
        messages.StoreOutcomeUnknown,
    ): outcome_phase.on_rewrite_unknown,
}


class ClaimCall(call_progress.CallProgress):
    """State machine of one call; reads no clock and does no I/O.

    `begin` and `handle` return actions to execute in order. At most one of
    them, the last, is answered by an event; the call has ended when none is.
    Of the attributes, users of a call read `state` and `expiring_record`.
    """

    def begin(self, now_s: float, wall_s: float) -> list[messages.Action]:
        """Starts the call.

        Args:
            now_s: Monotonic seconds, read before `wall_s`. The other order
                would let a pause between the two reads make the record look
                older than the claim is.
            wall_s: Unix seconds.

        Returns:
            Actions to execute, in order.

        Raises:
            ValueError: The call has begun before.
        """
        if self.state is not _State.NEW:
            raise ValueError("the call has begun")
        if not self.request.idempotency_key:
            return self.end(answers.key_required())
        self.key = records.claim_key(
            self.request.account, self.request.idempotency_key
        )
        self.begin_s = now_s
        self.begin_wall_s = wall_s
        self.record = self.new_record(wall_s)
        return claim_phase.put_claim(self)

    def handle(
        self, event: messages.Event, now_s: float
    ) -> list[messages.Action]:
        """Processes the result of the last action.

        Args:
            event: Result of the last action.
            now_s: Monotonic seconds.

        Returns:
            Actions to execute, in order.

        Raises:
            ValueError: The event does not occur in the current state.
        """
        handler = transitions.find_handler(TRANSITIONS, self.state, event)
        return handler(self, event, now_s)
