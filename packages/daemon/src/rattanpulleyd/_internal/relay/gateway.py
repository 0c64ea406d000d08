"""Authorizes each client request and forwards it to a target."""

import dataclasses

from rattanpulley_core import results
from rattanpulley_core import serving
from rattanpulleyd._internal.relay import admission_wait
from rattanpulleyd._internal.relay import client_connection
from rattanpulleyd._internal.relay import clock
from rattanpulleyd._internal.relay import context as context_lib
from rattanpulleyd._internal.relay import memory_copies
from rattanpulleyd._internal.relay import plain_relay
from rattanpulleyd._internal.relay import request_crashes
from rattanpulleyd._internal.relay import responses
from rattanpulleyd._internal.relay import stream_channel
from rattanpulleyd._internal.relay import stream_relay
from rattanpulleyd._internal.relay import wire

# Range of Retry-After when this host cannot serve a request but another may.
RETRY_AFTER_RANGE_S = (0.1, 0.4)

_STATUS_BY_ACCESS: dict[serving.Access, int] = {
    serving.Access.NO_CONFIGURATION: 503,
    serving.Access.CONFIG_TOO_OLD: 503,
    serving.Access.UNKNOWN_ROUTE: 404,
    serving.Access.UNKNOWN_KEY: 401,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """A shutdown of the host that has started.

    Attributes:
        started_s: When it started, on the monotonic clock.
        deadline_s: When the host aborts requests that still run.
    """

    started_s: float
    deadline_s: float


class Gateway:
    """Handles the requests of all client connections."""

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
        shutdown: Shutdown | None = None,
    ) -> None:
        """Handles one request and sends its response.

        Args:
            connection: The client's connection.
            request: The request.
            closes: Whether the connection closes after the response.
            shutdown: The shutdown of the host, once it has started.

        Raises:
            ClientDisconnectedError: The client disconnected.
            StreamAbortedError: A stream that had started could not be
                completed.
        """
        decision = self._context.cached_config.decide(
            request.host,
            request.path,
            request.key,
            clock.suspend_aware_now_s(),
        )
        route = decision.route
        if decision.access is not serving.Access.GRANTED or route is None:
            self._refuse(connection, request, decision, closes)
            return
        admission = self._admit(request, route, decision)
        if shutdown is not None and not self._can_finish(admission, shutdown):
            self._reject_while_stopping(connection, request)
            return
        refused_for_s = request_crashes.refused_for_s(self._context, admission)
        if refused_for_s:
            self._reject_suspect(connection, admission, refused_for_s)
            return
        connection.closes = connection.closes or closes
        with connection.cancelling_on_disconnect():
            if route.kind is serving.RouteKind.STREAM:
                self._serve_stream(connection, admission)
            else:
                self._serve_plain(connection, admission)

    def _admit(
        self,
        request: wire.ClientRequest,
        route: serving.ServingRoute,
        decision: serving.AccessDecision,
    ) -> context_lib.Admission:
        """Returns the admission of a request with the decision on it."""
        pool = route.choose_pool(self._context.rng)
        config = self._context.cached_config.config
        return context_lib.Admission(
            request,
            route,
            decision.account,
            pool,
            serving.request_fingerprint(decision.account, request.content),
            serving.RequestTerms(route, request.host, request.path),
            decision.version,
            decision.priority,
            config is not None and config.pool_has_engines(pool),
        )

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
            # Another host may have the configuration; a new connection can
            # reach it.
            closes = True
        response = responses.error_response(
            status, decision.access.value, retry_after_s
        )
        self._context.log.failure(
            "request.refused",
            request=request.request_id,
            reason=decision.access.value,
            status=status,
            config_version=decision.version,
            config_age_s=round(decision.age_s, 3),
        )
        self._context.metrics.requests.labels("none", str(status)).inc()
        connection.send_response(response, closes)

    def _can_finish(
        self, admission: context_lib.Admission, shutdown: Shutdown
    ) -> bool:
        """Returns whether a request can finish before the host stops."""
        now_s = clock.now_s()
        return serving.accepts_while_stopping(
            since_stop_s=now_s - shutdown.started_s,
            longest_s=admission.timeout_deadline_s(self._context.cached_config)
            - now_s,
            left_s=shutdown.deadline_s - now_s,
        )

    def _reject_while_stopping(
        self,
        connection: client_connection.ClientConnection,
        request: wire.ClientRequest,
    ) -> None:
        """Refuses a request so that the client retries at another host."""
        self._context.log.failure(
            "request.refused",
            request=request.request_id,
            reason="stopping",
            status=503,
        )
        self._context.metrics.requests.labels("none", "503").inc()
        retry_after_s = self._context.rng.uniform(*RETRY_AFTER_RANGE_S)
        response = responses.error_response(
            503, "the host is stopping", retry_after_s
        )
        connection.send_response(response, closes=True)

    def _reject_suspect(
        self,
        connection: client_connection.ClientConnection,
        admission: context_lib.Admission,
        refused_for_s: float,
    ) -> None:
        """Refuses a request that crashes targets; it has not run this time."""
        self._context.log.failure(
            "request.refused",
            request=admission.request.request_id,
            fingerprint=admission.fingerprint,
            parts=admission.request.shared_parts,
            account=admission.account,
            reason="crashes_targets",
            status=503,
            refused_for_s=round(refused_for_s, 1),
        )
        metrics = self._context.metrics
        metrics.requests.labels(admission.route.kind.value, "503").inc()
        metrics.suspects.labels("refused").inc()
        response = responses.error_response(
            503, request_crashes.REFUSAL_REASON, refused_for_s
        )
        connection.send_response(response, closes=False)

    def _serve_plain(
        self,
        connection: client_connection.ClientConnection,
        admission: context_lib.Admission,
    ) -> None:
        relay = plain_relay.PlainRelay(
            self._context, admission, connection.memory
        )
        try:
            response = relay.run()
        except context_lib.ClientDisconnectedError:
            self._record_end(admission, 0, "the client left", relay.targets)
            raise
        connection.send_response(response, closes=False)
        self._record_end(
            admission,
            response.status,
            response.reason,
            relay.targets,
            **relay.attempts.log_fields(),
        )

    def _serve_stream(
        self,
        connection: client_connection.ClientConnection,
        admission: context_lib.Admission,
    ) -> None:
        relay = stream_relay.StreamRelay(
            self._context, admission, connection, self._copy_calls
        )
        status, reason = 502, "program error"
        try:
            response = relay.run()
            status, reason = 200, "complete"
            if response is not None:
                connection.send_response(response, closes=False)
                status, reason = response.status, response.reason
        except context_lib.ClientDisconnectedError:
            status, reason = 0, "the client left"
            raise
        except stream_channel.StreamAbortedError as error:
            status, reason = 599, f"aborted: {error}"
            raise
        finally:
            report = relay.report
            self._context.metrics.pause_seconds.observe(report.longest_pause_s)
            admission_wait.record_end(
                self._context, admission, report, status == 200
            )
            self._record_end(
                admission,
                status,
                reason,
                report.targets,
                resumes=report.resumes,
                from_copy=report.resumes_from_copy,
                first_event_s=report.first_event_s,
                longest_pause_s=round(report.longest_pause_s, 3),
                **relay.admission_fields(),
                **relay.attempts.log_fields(),
            )

    def _record_end(
        self,
        admission: context_lib.Admission,
        status: int,
        reason: str,
        targets: list[str],
        **fields: object,
    ) -> None:
        """Logs the outcome of a request and updates its metrics."""
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
            priority=admission.priority,
            fingerprint=admission.fingerprint,
            parts=admission.request.shared_parts,
            status=status,
            reason=reason,
            targets=targets,
            took_s=round(took_s, 3),
            **fields,
        )


def malformed_response(error: wire.MalformedRequestError) -> responses.Response:
    """Returns the response to a malformed request."""
    status = error.status if error.status in (400, 408, 413, 431) else 400
    return responses.Response(
        status,
        (),
        str(error).encode(),
        results.ResultCode.MALFORMED_REQUEST,
        str(error),
    )
