"""Decides on each request and has it relayed."""

import dataclasses

from rattanpulley_core import results
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import answers
from rattanpulleyd._internal.relay import client_connection
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import plain_relay
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import stream_relay
from rattanpulleyd._internal.relay import wire

# A host that knows too little sends its clients on to another one.
RETRY_AFTER_RANGE_S = (0.1, 0.4)

_STATUS_BY_ACCESS: dict[serving.Access, int] = {
    serving.Access.NO_CONFIGURATION: 503,
    serving.Access.CONFIG_TOO_OLD: 503,
    serving.Access.UNKNOWN_ROUTE: 404,
    serving.Access.UNKNOWN_KEY: 401,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A stop of the host that has begun.

    Attributes:
        began_s: When it began.
        ends_s: When the host ends what still runs.
    """

    began_s: float
    ends_s: float


class Gateway:
    """Serves the requests of all connections."""

    def __init__(
        self,
        context: context_lib.RelayContext,
        copy_calls: memory_copies.MemoryCopyCalls,
    ) -> None:
        self._context = context
        self._copy_calls = copy_calls

    def serve(
        self,
        connection: client_connection.ClientConnection,
        request: wire.ClientRequest,
        closes: bool,
        stop: Stop | None = None,
    ) -> None:
        """Answers one request.

        Args:
            connection: The client's connection.
            request: The request.
            closes: Whether the connection closes after the answer.
            stop: The stop of the host, once it has begun.

        Raises:
            ClientGoneError: The client left.
            StreamCutError: A stream that had begun could not be completed.
        """
        decision = self._context.belief.decide(
            request.host,
            request.path,
            request.key,
            clock.suspend_aware_now_s(),
        )
        route = decision.route
        if decision.access is not serving.Access.GRANTED or route is None:
            self._refuse(connection, request, decision, closes)
            return
        admission = context_lib.Admission(
            request,
            route,
            decision.account,
            route.choose_pool(self._context.rng),
        )
        if stop is not None and not self._may_take(admission, stop):
            self._turn_away(connection, request)
            return
        connection.closes = connection.closes or closes
        with connection.noticing_departure():
            if route.kind is serving.RouteKind.STREAM:
                self._serve_stream(connection, admission)
            else:
                self._serve_plain(connection, admission)

    def _refuse(
        self,
        connection: client_connection.ClientConnection,
        request: wire.ClientRequest,
        decision: serving.AccessDecision,
        closes: bool,
    ) -> None:
        status = _STATUS_BY_ACCESS[decision.access]
        retry_after_s = None
        if status == 503:
            retry_after_s = self._context.rng.uniform(*RETRY_AFTER_RANGE_S)
            # Another host may know more; a new connection reaches one.
            closes = True
        answer = answers.refusal(status, decision.access.value, retry_after_s)
        self._context.log.failure(
            "request.refused",
            request=request.request_id,
            reason=decision.access.value,
            status=status,
            config_version=decision.version,
            config_age_s=round(decision.age_s, 3),
        )
        self._context.metrics.requests.labels("none", str(status)).inc()
        connection.send_answer(answer, closes)

    def _may_take(self, admission: context_lib.Admission, stop: Stop) -> bool:
        """Returns whether a stopping host can finish a request."""
        now_s = clock.now_s()
        return serving.accepts_while_stopping(
            since_stop_s=now_s - stop.began_s,
            longest_s=admission.answer_by_s(self._context.belief) - now_s,
            left_s=stop.ends_s - now_s,
        )

    def _turn_away(
        self,
        connection: client_connection.ClientConnection,
        request: wire.ClientRequest,
    ) -> None:
        """Sends a client on to another host."""
        self._context.log.failure(
            "request.refused",
            request=request.request_id,
            reason="stopping",
            status=503,
        )
        self._context.metrics.requests.labels("none", "503").inc()
        retry_after_s = self._context.rng.uniform(*RETRY_AFTER_RANGE_S)
        answer = answers.refusal(503, "the host is stopping", retry_after_s)
        connection.send_answer(answer, closes=True)

    def _serve_plain(
        self,
        connection: client_connection.ClientConnection,
        admission: context_lib.Admission,
    ) -> None:
        relay = plain_relay.PlainRelay(self._context, admission)
        try:
            answer = relay.run()
        except context_lib.ClientGoneError:
            self._note(admission, 0, "the client left", relay.targets)
            raise
        connection.send_answer(answer, closes=False)
        self._note(admission, answer.status, answer.reason, relay.targets)

    def _serve_stream(
        self,
        connection: client_connection.ClientConnection,
        admission: context_lib.Admission,
    ) -> None:
        relay = stream_relay.StreamRelay(
            self._context, admission, connection, self._copy_calls
        )
        status, reason = 0, "the client left"
        try:
            answer = relay.run()
            status, reason = 200, "complete"
            if answer is not None:
                connection.send_answer(answer, closes=False)
                status, reason = answer.status, answer.reason
        except stream_channel.StreamCutError as error:
            status, reason = 599, f"cut: {error}"
            raise
        finally:
            report = relay.report
            self._context.metrics.pause_seconds.observe(report.longest_pause_s)
            self._note(
                admission,
                status,
                reason,
                report.targets,
                resumes=report.resumes,
                from_copy=report.resumes_from_copy,
                first_event_s=report.first_event_s,
                longest_pause_s=round(report.longest_pause_s, 3),
            )

    def _note(
        self,
        admission: context_lib.Admission,
        status: int,
        reason: str,
        targets: list[str],
        **fields: object,
    ) -> None:
        """Logs and counts the end of a request."""
        kind = admission.route.kind.value
        took_s = clock.now_s() - admission.request.received_at_s
        metrics = self._context.metrics
        metrics.requests.labels(kind, str(status)).inc()
        metrics.answer_seconds.labels(kind).observe(took_s)
        log = self._context.log
        write = log.success if 200 <= status < 300 else log.failure
        write(
            "request.ended",
            request=admission.request.request_id,
            route=admission.route.name,
            kind=kind,
            account=admission.account,
            status=status,
            reason=reason,
            targets=targets,
            took_s=round(took_s, 3),
            **fields,
        )


def malformed(error: wire.MalformedRequestError) -> answers.Answer:
    """Returns the answer to a request that is not forwarded."""
    status = error.status if error.status in (400, 408, 413, 431) else 400
    return answers.Answer(
        status,
        (),
        str(error).encode(),
        results.ResultCode.MALFORMED_REQUEST,
        str(error),
    )
