"""Relays one request and forwards its response only when complete.

The response is buffered, so that a client never receives a partial one and an
idempotent request can still be retried at another target.
"""

from collections.abc import Callable
from typing import TypeVar

from rattanpulley_core import results
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import attempt_progress
from rattanpulleyd._internal.relay import attempts as attempts_lib
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import connection_memory
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import request_crashes
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import stall_detector
from rattanpulleyd._internal.relay import target_connection
from rattanpulleyd._internal.relay import target_health
from rattanpulleyd._internal.relay import wire
from rattanpulleyd._internal.sockets import late_reads

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Failed connections put no load on a target but take time.
MAX_CONNECT_FAILURES = 6
# An idempotent request is retried when the response takes longer than this
# multiple of the route's latency objective.
ATTEMPT_LIMIT_FACTOR = 1.2
# Multiple for the last attempt, after which the client gets an error while it
# still has time to retry.
LAST_ATTEMPT_LIMIT_FACTOR = 2.5
# How long a request waits for a target, as a fraction of the objective.
NO_TARGET_WAIT_FRACTION = 0.12
NO_TARGET_POLL_S = 0.02
RETRY_AFTER_RANGE_S = (0.15, 0.45)
# A waiting request applies a changed timeout within this time.
MAX_READ_WAIT_S = 0.25

_Part = TypeVar("_Part")


class PlainRelay:
    """Relays one request of a safe or unsafe route.

    Attributes:
        attempts: The attempts so far.
        targets: Ids of the targets of all attempts, in order.
    """

    def __init__(
        self,
        context: context_lib.RelayContext,
        admission: context_lib.Admission,
        memory: connection_memory.ConnectionMemory | None = None,
    ) -> None:
        """Creates a relay that has sent nothing.

        Args:
            context: State of the process.
            admission: The request.
            memory: Memory of the client's connection; None for an unlimited
                one.
        """
        self._context = context
        self._admission = admission
        self._memory = memory or connection_memory.unlimited()
        self.attempts = attempts_lib.RequestAttempts(
            context, admission, MAX_CONNECT_FAILURES
        )
        self.targets: list[str] = []
        self._late_reads = late_reads.LateReads()
        self._stalls = stall_detector.HostStalls()

    def run(self) -> responses.Response:
        """Returns the response for the client."""
        try:
            return self._run()
        finally:
            self.attempts.release_retry()

    def _run(self) -> responses.Response:
        while True:
            if self.attempts.is_refused():
                return self._give_up(request_crashes.REFUSAL_REASON)
            entry = self._next_target()
            if entry is None:
                return self._give_up(self.attempts.no_target_reason())
            progress = attempt_progress.AttemptProgress(clock.now_s())
            self.attempts.begin_attempt()
            try:
                return self._attempt(entry, progress)
            except target_connection.AttemptError as error:
                self.attempts.record(entry, error, progress)
                if error.kind is serving.FailureKind.WRONG_TARGET:
                    target_health.remove_replaced_target(
                        self._context, entry, error.reported_id
                    )
                if not self.attempts.can_retry():
                    return self._give_up(str(error))

    def _next_target(self) -> serving.TargetEntry | None:
        """Returns a target, or None if there is none after a short wait."""
        query = serving.PlacementQuery(
            self._admission.pool,
            frozenset(self.attempts.tried_ids),
            prefers_canary=self.attempts.prefers_canary,
        )
        wait_s = self._admission.route.objective_s * NO_TARGET_WAIT_FRACTION
        wait_end_s = clock.now_s() + wait_s
        while True:
            now_s = clock.now_s()
            until_s = min(wait_end_s, self.attempts.deadline_s())
            entry = self._context.placement.choose(query, now_s)
            if entry is not None or now_s >= until_s:
                return entry
            shortage = self._context.placement.shortage(query.pool, now_s)
            if shortage.outlasts(until_s - now_s):
                return None
            target_connection.pause(NO_TARGET_POLL_S)

    def _attempt(
        self,
        entry: serving.TargetEntry,
        progress: attempt_progress.AttemptProgress,
    ) -> responses.Response:
        """Sends the request to a target and returns the response."""
        request = self._admission.request
        connection = target_connection.TargetConnection(
            entry, self._context.announcements.record_head
        )
        load = self._context.loads.load_of(entry.target_id)
        begun_at_s = clock.now_s()
        load.begin_attempt(begun_at_s)
        self.targets.append(entry.target_id)
        self._stalls = stall_detector.HostStalls()
        try:
            self._connect(connection)
            self._context.announcements.check(entry)
            headers = context_lib.outgoing_headers(
                self._context, self._admission, entry
            )
            connection.send(
                request.method,
                request.target,
                headers,
                request.body,
                max(0.001, self.attempts.deadline_s() - clock.now_s()),
            )
            return self._read_response(entry, connection, progress)
        finally:
            load.end_attempt(begun_at_s)
            connection.close()

    def _connect(self, connection: target_connection.TargetConnection) -> None:
        """Opens the connection of an attempt."""
        timeout_s = target_connection.CONNECT_TIMEOUT_S
        expires_at_s = clock.now_s() + timeout_s
        connection.connect(timeout_s)
        self._stalls.record_wait(expires_at_s, clock.now_s())

    def _read_response(
        self,
        entry: serving.TargetEntry,
        connection: target_connection.TargetConnection,
        progress: attempt_progress.AttemptProgress,
    ) -> responses.Response:
        """Reads, validates and returns a complete response."""
        sent_at_s = progress.sent_at_s
        head = self._wait(connection.read_head, sent_at_s)
        progress.answered_at_s = clock.now_s()
        # A refusal tells the load as well.
        target_health.record_load(self._context, entry, head)
        responses.check_response_head(
            head, self._admission.request, self._context.names
        )
        body = self._read_body(connection, sent_at_s, _declared_size(head))
        response = responses.Response(
            head.status,
            wire.forwarded_headers(head.headers, frozenset()),
            body,
            results.ResultCode.OK
            if head.status < 500
            else results.ResultCode.TARGET_ERROR,
            f"response of {entry.target_id}",
        )
        if head.status >= 500:
            self.attempts.failed_response = response
            raise target_connection.AttemptError(
                serving.FailureKind.FAILED, f"the target answered {head.status}"
            )
        now_s = clock.now_s()
        self._context.loads.record_success(entry.target_id, now_s)
        self.attempts.record_success(entry, now_s - sent_at_s)
        request_crashes.record_progress(self._context, self._admission)
        request_crashes.record_answer(
            self._context, self._admission, progress, is_complete=True
        )
        return response

    def _read_body(
        self,
        connection: target_connection.TargetConnection,
        sent_at_s: float,
        declared_size: int,
    ) -> bytes:
        body = bytearray()
        while True:
            next_size = len(body) + target_connection.READ_BYTES
            self._hold(declared_size or next_size)
            part = self._wait(connection.read_data, sent_at_s)
            if part is None:
                return bytes(body)
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                raise target_connection.AttemptError(
                    serving.FailureKind.CORRUPT, "the answer is too long"
                )

    def _hold(self, size_bytes: int) -> None:
        """Waits until there is memory for an answer of some size.

        An error of a target is kept beside the next answer.
        """
        failed = self.attempts.failed_response
        kept_bytes = len(failed.body) if failed is not None else 0
        needed_bytes = kept_bytes + size_bytes
        started_s = now_s = clock.now_s()
        while not self._memory.hold_answer(
            needed_bytes,
            min(self.attempts.deadline_s(), now_s + MAX_READ_WAIT_S),
        ):
            now_s = clock.now_s()
            if now_s >= self.attempts.deadline_s():
                raise _timed_out()
        # The target was not read meanwhile.
        self._stalls.record_wait(started_s, clock.now_s())

    def _wait(self, read: Callable[[float], _Part], sent_at_s: float) -> _Part:
        """Reads until bytes arrive or the time limit of the attempt expires."""
        while True:
            now_s = clock.now_s()
            deadline_s = self.attempts.deadline_s()
            if self._late_reads.are_over(now_s, deadline_s):
                raise _timed_out()
            until_s = min(deadline_s, self._next_limit_s(now_s, sent_at_s))
            step_s = min(until_s, now_s + MAX_READ_WAIT_S)
            try:
                return self._read(read, max(step_s, now_s))
            except target_connection.ReadWaitExpired:
                now_s = clock.now_s()
            # Both limits may have changed during the read.
            if now_s >= self.attempts.deadline_s():
                raise _timed_out()
            if self._leaves_target(now_s, sent_at_s):
                raise target_connection.AttemptError(
                    serving.FailureKind.UNRESPONSIVE,
                    "no answer within the patience",
                )

    def _read(self, read: Callable[[float], _Part], until_s: float) -> _Part:
        """Reads until bytes arrive or `until_s` has passed."""
        try:
            return read(until_s)
        finally:
            self._stalls.record_wait(until_s, clock.now_s())

    def _next_limit_s(self, now_s: float, sent_at_s: float) -> float:
        """Returns when the next limit of an attempt is over."""
        if not self.attempts.may_repeat:
            return float("inf")
        limit_s = self._limit_s(sent_at_s, ATTEMPT_LIMIT_FACTOR)
        if self.attempts.is_last or now_s >= limit_s:
            limit_s = self._limit_s(sent_at_s, LAST_ATTEMPT_LIMIT_FACTOR)
        return limit_s

    def _limit_s(self, sent_at_s: float, factor: float) -> float:
        """Returns when a multiple of the objective is over.

        The time during which this host was stalled says nothing about the
        target and does not count.
        """
        limit_s = self._admission.route.objective_s * factor
        return sent_at_s + limit_s + self._stalls.total_s

    def _leaves_target(self, now_s: float, sent_at_s: float) -> bool:
        """Decides whether to abandon an attempt.

        Without retry budget the request keeps its target and asks again; one
        that may no longer run again keeps it. The last target is abandoned so
        that the client can repeat the request in time.
        """
        if not self.attempts.may_repeat:
            return False
        if now_s >= self._limit_s(sent_at_s, LAST_ATTEMPT_LIMIT_FACTOR):
            return True
        if now_s < self._limit_s(sent_at_s, ATTEMPT_LIMIT_FACTOR):
            return False
        return not self.attempts.is_last and self.attempts.reserve_retry()

    def _give_up(self, reason: str) -> responses.Response:
        """Returns the final response to a request that no target completed."""
        return self.attempts.final_response(
            reason, RETRY_AFTER_RANGE_S, self._context.rng
        )


def _declared_size(head: target_connection.ResponseHead) -> int:
    """Returns the size of an answer that its target states, or 0.

    A whole answer that has its memory does not stop halfway for others.
    """
    size = wire.parse_unsigned_int(head.value(b"content-length")) or 0
    return size if size <= MAX_RESPONSE_BYTES else 0


def _timed_out() -> target_connection.AttemptError:
    return target_connection.AttemptError(
        serving.FailureKind.TIMED_OUT, "no answer in time"
    )
