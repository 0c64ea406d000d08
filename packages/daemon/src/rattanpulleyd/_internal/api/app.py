"""WSGI application of the caller API."""

from collections.abc import Callable
from typing import Any

import bottle

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import resume_token
from rattanpulley_core import tables
from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import admission
from rattanpulleyd._internal.api import http_io
from rattanpulleyd._internal.api import identity
from rattanpulleyd._internal.api import openai_format
from rattanpulleyd._internal.api import request_parser
from rattanpulleyd._internal.api import responses
from rattanpulleyd._internal.api import router
from rattanpulleyd._internal.api import service_calls
from rattanpulleyd._internal.api import status
from rattanpulleyd._internal.runtime import http_server
from rattanpulleyd._internal.runtime import runtime as runtime_lib
from rattanpulleyd._internal.settings import model
from rattanpulleyd._internal.telemetry import counters

_Counter = counters.Counter


class CallerApi:
    """Handlers of the caller API.

    Attributes:
        app: The WSGI application.
    """

    def __init__(
        self,
        settings: model.Settings,
        runtime: runtime_lib.Runtime,
        signer: resume_token.Signer,
        services: service_calls.ServiceCalls,
        report_parts: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        """Builds the application.

        Args:
            settings: Settings of the daemon.
            runtime: Runtime of the daemon.
            signer: Signs and verifies event ids.
            services: Answers the calls to plain services.
            report_parts: Returns further sections of the status report.
        """
        self.app = http_io.new_app(runtime.counts)
        self._settings = settings
        self._runtime = runtime
        self._signer = signer
        self._services = services
        self._report_parts = report_parts
        self._add_routes()

    def _add_routes(self) -> None:
        app = self.app
        app.post("/v1/chat/completions", callback=self._chat)
        app.post("/v1/completions", callback=self._completion)
        app.get("/v1/models", callback=self._models)
        service_path = "/services/<service>/<path:path>"
        app.route(service_path, ["GET", "POST"], callback=self._service)
        app.get("/ready", callback=self._ready)
        app.get("/status", callback=self._status)

    def _chat(self) -> Any:
        return self._generate(is_chat=True)

    def _completion(self) -> Any:
        return self._generate(is_chat=False)

    def _models(self) -> dict[str, Any]:
        self._account()
        routes = self._runtime.config.routes
        return openai_format.model_list(router.models(routes))

    def _service(self, service: str, path: str) -> bytes:
        account = self._count_and_authenticate()
        route = router.service_route(self._runtime.config.routes, service)
        with admission.service_call_slot(
            self._runtime, route, account
        ) as refusal:
            return self._services.answer(route, account, path, refusal)

    def _ready(self) -> dict[str, Any]:
        ready = status.is_ready(self._runtime)
        bottle.response.status = 200 if ready else 503
        return {"ready": ready, "draining": self._runtime.draining}

    def _status(self) -> dict[str, Any]:
        report = status.report(self._settings, self._runtime)
        return {**report, **self._report_parts()}

    def _account(self) -> str:
        """Returns the account of the current request.

        Raises:
            exceptions.RequestError: There is no valid bearer token.
        """
        return identity.account_of(
            http_io.header("Authorization"), self._settings.account_keys
        )

    def _count_and_authenticate(self) -> str:
        """Counts a new request and returns its authenticated account."""
        self._runtime.counts.count(_Counter.REQUESTS)
        return self._account()

    def _generate(self, is_chat: bool) -> Any:
        """Answers a generation request, streamed or complete."""
        account = self._count_and_authenticate()
        data = http_io.read_body(request_parser.MAX_BODY_BYTES)
        parsed = request_parser.parse(request_parser.decode(data), is_chat)
        request, resume = self._route_request(account, parsed)
        if resume is not None:
            self._runtime.counts.count(_Counter.CALLERS_RECONNECTED)
        metadata = openai_format.ResponseMetadata(
            generation_id=request.generation_id,
            model=parsed.model,
            created_s=int(self._runtime.clock.wall_s()),
            is_chat=is_chat,
            include_usage=parsed.include_usage,
        )
        slot = admission.ConcurrencySlot(
            self._runtime, request, resume is not None
        )
        call = responses.Call(self._runtime, request, resume, slot.release)
        if parsed.stream:
            return self._stream(call, metadata, request)
        try:
            text, finish = responses.read_complete(call, http_io.is_connected)
        finally:
            call.close()
        return openai_format.completion_body(metadata, text, finish)

    def _stream(
        self,
        call: responses.Call,
        metadata: openai_format.ResponseMetadata,
        request: generations.GenerationRequest,
    ) -> responses.StreamBody:
        """Returns the body of a stream.

        An error before the first event is raised, so that the response has the
        HTTP status of the error.
        """
        try:
            first = responses.wait_for_first(call)
        except BaseException:
            call.close()
            raise
        stream_format = openai_format.StreamFormat(
            metadata,
            responses.event_id_function(self._signer, request),
            http_io.header("Last-Event-ID"),
        )
        bottle.response.content_type = "text/event-stream; charset=utf-8"
        bottle.response.set_header("Cache-Control", "no-cache")
        handler = bottle.request.environ.get(http_server.HANDLER_KEY)
        return responses.StreamBody(call, first, stream_format, handler)

    def _verify_event_id(
        self, event_id: str, account: str, fingerprint: str, stream: bool
    ) -> tuple[str, generations.ResumePoint]:
        """Returns the generation id and position in a signed event id.

        Raises:
            exceptions.RequestError: The request is not a stream, or the event
                id is not valid for it.
        """
        if not stream:
            raise request_parser.malformed(
                "$.stream", "must be true with Last-Event-ID"
            )
        try:
            decoded = self._signer.decode(event_id, account, fingerprint)
        except resume_token.ResumeTokenError as error:
            raise exceptions.RequestError(
                results.ResultCode.RESUME_TOKEN_INVALID, str(error)
            ) from error
        resume = generations.ResumePoint(
            attempt=decoded.attempt,
            target=decoded.target,
            version=decoded.version,
            index=decoded.index,
            chain=decoded.chain,
            key_id=decoded.key_id,
        )
        return decoded.generation_id, resume

    def _route_request(
        self, account: str, parsed: request_parser.ParsedRequest
    ) -> tuple[generations.GenerationRequest, generations.ResumePoint | None]:
        """Routes a request and verifies its event id, if it has one."""
        routes = self._runtime.config.routes
        route = router.generation_route(
            routes, parsed.model, http_io.header("X-Route")
        )
        fingerprint = identity.fingerprint_of(
            route.name, parsed.model, parsed.canonical
        )
        generation_id = identity.generation_id_of(
            self._settings.resume_keys[0],
            account,
            http_io.header("Idempotency-Key"),
            fingerprint,
        )
        resume = None
        event_id = http_io.header("Last-Event-ID")
        if event_id:
            generation_id, resume = self._verify_event_id(
                event_id, account, fingerprint, parsed.stream
            )
        now_s = self._runtime.clock.monotonic_s()
        request = _generation_request(
            route, account, parsed, fingerprint, generation_id, now_s
        )
        return request, resume


def _generation_request(
    route: tables.Route,
    account: str,
    parsed: request_parser.ParsedRequest,
    fingerprint: str,
    generation_id: str,
    now_s: float,
) -> generations.GenerationRequest:
    """Returns the request for the generation core.

    The route limits the number of tokens, and a missing seed is derived from
    the generation id.
    """
    seed = parsed.seed
    if seed is None:
        seed = identity.seed_of(generation_id)
    max_tokens = min(parsed.max_tokens or route.max_tokens, route.max_tokens)
    return generations.GenerationRequest(
        generation_id=generation_id,
        account=account,
        route=route.name,
        pool=route.pool,
        model=parsed.model,
        fingerprint=fingerprint,
        prompt=parsed.prompt,
        sampling=generations.Sampling(max_tokens, seed, parsed.temperature),
        priority=route.priority,
        deadline_s=now_s + route.deadline_s,
    )
