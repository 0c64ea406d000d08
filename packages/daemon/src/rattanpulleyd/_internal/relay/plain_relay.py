"""Relays one request whose answer is passed on as a whole.

The answer is held until it is complete, so that a client never gets a part of
one, and a repeatable request can still be sent to another target.
"""

from collections.abc import Callable
from typing import TypeVar

from rattanpulley_core import results
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import answers
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import tries as tries_lib
from rattanpulleyd._internal.relay import wire

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Connections that fail cost nothing at a target, but time.
MAX_CONNECT_FAILURES = 6
# A repeatable request is sent again when an answer takes longer than this
# share of the objective.
PATIENCE_SHARE = 1.2
# After the last attempt the client is told while it has time to ask again.
LAST_PATIENCE_SHARE = 2.5
# How long a request waits for a target, as a share of its objective.
NO_TARGET_WAIT_SHARE = 0.12
NO_TARGET_STEP_S = 0.02
RETRY_AFTER_RANGE_S = (0.15, 0.45)
# A waiting request notices a changed timeout within this time.
MAX_READ_WAIT_S = 0.25

_Part = TypeVar("_Part")


class PlainRelay:
    """One request of a safe or unsafe route."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
    ) -> None:
        self._context = context
        self._admission = admission
        self._tries = tries_lib.Tries(context, admission, MAX_CONNECT_FAILURES)
        self.targets: list[str] = []

    def run(self) -> answers.Answer:
        """Returns the answer for the client."""
        while True:
            entry = self._next_target()
            if entry is None:
                return self._give_up("no target is ready")
            try:
                return self._attempt(entry)
            except target_connection.AttemptError as error:
                self._tries.record(entry, error)
                if not self._tries.may_go_on():
                    return self._give_up(str(error))

    def _next_target(self) -> serving.TargetEntry | None:
        """Returns a target, after a short wait if there is none."""
        query = serving.PlacementQuery(
            self._admission.pool,
            frozenset(self._tries.tried_ids),
            prefers_canary=self._tries.on_trial,
        )
        wait_s = self._admission.route.objective_s * NO_TARGET_WAIT_SHARE
        until_s = clock.now_s() + wait_s
        while True:
            entry = self._context.placement.choose(query, clock.now_s())
            if entry is not None or clock.now_s() >= until_s:
                return entry
            target_connection.pause_s(NO_TARGET_STEP_S)

    def _attempt(self, entry: serving.TargetEntry) -> answers.Answer:
        """Sends the request to a target and returns its answer."""
        request = self._admission.request
        connection = target_connection.TargetConnection(entry)
        load = self._context.loads.load_of(entry.target_id)
        load.in_flight += 1
        sent_at_s = clock.now_s()
        self.targets.append(entry.target_id)
        try:
            connection.connect(target_connection.CONNECT_TIMEOUT_S)
            headers = context_lib.outgoing_headers(
                self._context, self._admission, entry
            )
            connection.send(
                request.method,
                request.target,
                headers,
                request.body,
                max(0.001, self._tries.answer_by_s() - clock.now_s()),
            )
            return self._read_answer(entry, connection, sent_at_s)
        finally:
            load.in_flight -= 1
            connection.close()

    def _read_answer(
        self,
        entry: serving.TargetEntry,
        connection: target_connection.TargetConnection,
        sent_at_s: float,
    ) -> answers.Answer:
        """Reads, checks and returns a complete answer."""
        head = self._wait(connection.read_head, sent_at_s)
        answers.check_head(head, self._admission.request, self._context.names)
        target_health.record_load(self._context, entry, head)
        body = self._read_body(connection, sent_at_s)
        answer = answers.Answer(
            head.status,
            wire.forwarded_headers(head.headers, frozenset()),
            body,
            results.ResultCode.OK
            if head.status < 500
            else results.ResultCode.TARGET_ERROR,
            f"answer of {entry.target_id}",
        )
        if head.status >= 500:
            self._tries.failed_answer = answer
            raise target_connection.AttemptError(
                serving.FailureKind.FAILED, f"the target answered {head.status}"
            )
        now_s = clock.now_s()
        self._context.loads.record_success(entry.target_id, now_s)
        self._tries.note_answer(entry, now_s - sent_at_s)
        return answer

    def _read_body(
        self,
        connection: target_connection.TargetConnection,
        sent_at_s: float,
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            part = self._wait(connection.read_data, sent_at_s)
            if part is None:
                return b"".join(parts)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise target_connection.AttemptError(
                    serving.FailureKind.CORRUPT, "the answer is too long"
                )
            parts.append(part)

    def _wait(self, read: Callable[[float], _Part], sent_at_s: float) -> _Part:
        """Reads until bytes arrive or the wait of this attempt is over."""
        while True:
            until_s = min(
                self._tries.answer_by_s(), self._patience_ends_s(sent_at_s)
            )
            step_s = min(until_s, clock.now_s() + MAX_READ_WAIT_S)
            try:
                return read(step_s)
            except target_connection.NothingReceived:
                if clock.now_s() < until_s:
                    continue
            if until_s >= self._tries.answer_by_s():
                raise target_connection.AttemptError(
                    serving.FailureKind.TIMED_OUT, "no answer in time"
                )
            raise target_connection.AttemptError(
                serving.FailureKind.UNRESPONSIVE,
                "no answer within the patience",
            )

    def _patience_ends_s(self, sent_at_s: float) -> float:
        """Returns when an attempt of a repeatable request is left."""
        if not self._admission.route.idempotent:
            return float("inf")
        share = LAST_PATIENCE_SHARE if self._tries.is_last else PATIENCE_SHARE
        return sent_at_s + self._admission.route.objective_s * share

    def _give_up(self, reason: str) -> answers.Answer:
        """Returns the final answer of a request that no target answered."""
        return self._tries.final_answer(
            reason, RETRY_AFTER_RANGE_S, self._context.rng
        )
