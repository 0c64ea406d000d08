"""Response bodies of generation requests."""

from collections.abc import Callable, Iterator
from typing import Any

from rattanpulley_core import generations
from rattanpulley_core import results
from rattanpulley_core import resume_token
from rattanpulleyd import exceptions
from rattanpulleyd._internal.api import caller
from rattanpulleyd._internal.api import direct_writer
from rattanpulleyd._internal.api import errors
from rattanpulleyd._internal.api import openai_format
from rattanpulleyd._internal.runtime import runtime as runtime_lib

# Proxies between caller and daemon close connections that are idle for longer.
KEEP_ALIVE_S = 2.0


class Call:
    """One caller's request, from its arrival to the end of its connection."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        request: generations.GenerationRequest,
        resume: generations.ResumePoint | None,
        on_close: Callable[[], None],
    ) -> None:
        """Registers the caller with the runtime, which starts the answer.

        Args:
            runtime: Runtime of the daemon.
            request: The routed request.
            resume: Position from which a reconnecting caller continues, or
                None for a new request.
            on_close: Called at the end of the connection, possibly more than
                once.
        """
        self._runtime = runtime
        self._on_close = on_close
        self._generation_id = request.generation_id
        self._caller_id = runtime.next_caller_id()
        self._caller = caller.QueuedCaller()
        runtime.add_caller(self._caller_id, self._caller, request, resume)

    def receive(self) -> list[caller.Delivery]:
        """Returns queued deliveries, or none after `KEEP_ALIVE_S` seconds."""
        return self._caller.receive(KEEP_ALIVE_S)

    def forward_to(self, sink: Callable[[caller.Delivery], None]) -> None:
        """Passes queued and later deliveries to a function.

        Args:
            sink: Receives the deliveries; must not block.
        """
        self._caller.forward_to(sink)

    def close(self) -> None:
        """Handles the end of the connection; may be called again."""
        self._on_close()
        self._runtime.remove_caller(self._caller_id, self._generation_id)


class StreamBody:
    """Server-sent events of one answer.

    It is not a generator, because closing a generator that was never started
    does not run its `finally` blocks.
    """

    def __init__(
        self,
        call: Call,
        first: list[caller.Delivery],
        stream_format: openai_format.StreamFormat,
        handler: Any = None,
    ) -> None:
        """Prepares the body.

        Args:
            call: The caller's request.
            first: Deliveries that were received already.
            stream_format: Renders the deliveries.
            handler: The server's connection handler if the body may write to
                the socket directly, else None.
        """
        self._handler = handler
        self._has_started = False
        self._call = call
        self._first_deliveries = first
        self._format = stream_format
        self._is_finished = False

    def __iter__(self) -> Iterator[bytes]:
        """Returns the iterator of the body's parts."""
        return self

    def __next__(self) -> bytes:
        """Returns all queued events, or a keep-alive comment after a timeout.

        After the first part, the remaining events are written to the socket
        directly if there is a handler.
        """
        if (
            self._has_started
            and self._handler is not None
            and not self._is_finished
        ):
            self._write_remaining(self._handler)
        if self._is_finished:
            raise StopIteration
        self._has_started = True
        deliveries = self._first_deliveries or self._call.receive()
        self._first_deliveries = []
        if not deliveries:
            return openai_format.KEEP_ALIVE
        return b"".join([self._render(item) for item in deliveries])

    def _write_remaining(self, handler: Any) -> None:
        """Writes all later events to the connection and waits for their end."""
        writer = direct_writer.DirectWriter(handler)

        def write(delivery: caller.Delivery) -> None:
            writer.write(self._render(delivery))
            if self._is_finished:
                writer.finish()

        self._call.forward_to(write)
        writer.run(KEEP_ALIVE_S)

    def close(self) -> None:
        """Closes the call; the server calls this at the end of the body."""
        self._call.close()

    def _render(self, delivery: caller.Delivery) -> bytes:
        if isinstance(delivery, generations.DeliverTokens):
            return self._format.tokens(delivery)
        self._is_finished = True
        if isinstance(delivery, generations.FinishAnswer):
            return self._format.finish(delivery)
        return errors.error_event(delivery)


def event_id_function(
    signer: resume_token.Signer, request: generations.GenerationRequest
) -> openai_format.EventIdFunction:
    """Returns a function that encodes the event ids of one answer.

    The part of an event id that is constant for an attempt is computed once.

    Args:
        signer: Signs the event ids.
        request: The routed request.
    """
    encoders: dict[tuple[int, str, str], resume_token.EventIdEncoder] = {}

    def encoder_of(
        action: generations.DeliverTokens,
    ) -> resume_token.EventIdEncoder:
        key = (action.attempt, action.target, action.version)
        encoder = encoders.get(key)
        if encoder is None:
            binding = signer.binding(
                request.generation_id,
                request.account,
                request.fingerprint,
                action.version,
            )
            encoder = signer.encoder(binding, request.generation_id, *key)
            encoders[key] = encoder
        return encoder

    def event_id_of(action: generations.DeliverTokens, position: int) -> str:
        return encoder_of(action).encode(
            action.first_index + position, action.chains[position]
        )

    return event_id_of


def read_complete(
    call: Call, is_connected: Callable[[], bool]
) -> tuple[str, generations.FinishAnswer]:
    """Waits for the end of an answer and returns its text.

    Nothing is written to the connection before the end, so no write fails when
    the caller disconnects; the connection is polled instead.

    Args:
        call: The caller's request.
        is_connected: Returns whether the caller is still connected.

    Raises:
        exceptions.RequestError: The answer failed or the caller disconnected.
    """
    tokens: list[str] = []
    while True:
        deliveries = call.receive()
        if not deliveries and not is_connected():
            raise exceptions.RequestError(
                results.ResultCode.OUTCOME_UNKNOWN, "The caller left."
            )
        for delivery in deliveries:
            if isinstance(delivery, generations.DeliverTokens):
                tokens.extend(delivery.tokens)
            elif isinstance(delivery, generations.FinishAnswer):
                return "".join(tokens), delivery
            else:
                raise errors.request_error(delivery)


def wait_for_first(call: Call) -> list[caller.Delivery]:
    """Waits for the first deliveries, at most `KEEP_ALIVE_S` seconds.

    Args:
        call: The caller's request.

    Raises:
        exceptions.RequestError: The answer failed before its first byte.
    """
    first = call.receive()
    if first and isinstance(first[0], generations.FailAnswer):
        raise errors.request_error(first[0])
    return first
